"""Heads of the responses that the node writes."""

from __future__ import annotations

REASON_PHRASES = {
    200: "OK",
    400: "Bad Request",
    405: "Method Not Allowed",
    408: "Request Timeout",
    409: "Conflict",
    413: "Content Too Large",
    417: "Expectation Failed",
    431: "Request Header Fields Too Large",
    500: "Internal Server Error",
    502: "Bad Gateway",
    503: "Service Unavailable",
    504: "Gateway Timeout",
}


def encode_response(status: int, body: bytes, *, close: bool, retry_after_ms: float = 0.0) -> bytes:
    """A complete response.

    Args:
        status: The status code.
        body: The body.
        close: The connection is closed after it.
        retry_after_ms: When the client may try again; 0 leaves the header out.
    """
    head = f"HTTP/1.1 {status} {REASON_PHRASES.get(status, '')}\r\nContent-Length: {len(body)}\r\n"
    if retry_after_ms > 0.0:
        head += f"Retry-After: {retry_after_ms / 1000.0:.3f}\r\n"
    if close:
        head += "Connection: close\r\n"
    return head.encode() + b"\r\n" + body


def encode_streamed_head(content_length: int | None, *, chunked: bool, close: bool) -> bytes:
    """The head of a response whose body follows in parts.

    Args:
        content_length: Size of the body in bytes, if it is known.
        chunked: The body is sent in chunks; only without a length.
        close: The connection is closed after it.
    """
    lines = ["HTTP/1.1 200 OK"]
    if content_length is not None:
        lines.append(f"Content-Length: {content_length}")
    elif chunked:
        lines.append("Transfer-Encoding: chunked")
    if close:
        lines.append("Connection: close")
    return "\r\n".join(lines).encode() + b"\r\n\r\n"
