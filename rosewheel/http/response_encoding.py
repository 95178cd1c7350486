"""Encoding of the responses that the node writes to clients."""

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
    """Encode a complete response.

    Args:
        status: The status code.
        body: The body.
        close: The connection is closed after the response.
        retry_after_ms: Delay in milliseconds after which the client may retry; 0 omits the header.
    """
    head = f"HTTP/1.1 {status} {REASON_PHRASES.get(status, '')}\r\nContent-Length: {len(body)}\r\n"
    if retry_after_ms > 0.0:
        head += f"Retry-After: {retry_after_ms / 1000.0:.3f}\r\n"
    if close:
        head += "Connection: close\r\n"
    return head.encode() + b"\r\n" + body


def encode_streamed_head(content_length: int | None, *, chunked: bool, close: bool) -> bytes:
    """Encode the head of a streamed response.

    Args:
        content_length: Size of the body in bytes; None if it is unknown.
        chunked: The body uses chunked encoding; ignored if its size is known.
        close: The connection is closed after the response.
    """
    lines = ["HTTP/1.1 200 OK"]
    if content_length is not None:
        lines.append(f"Content-Length: {content_length}")
    elif chunked:
        lines.append("Transfer-Encoding: chunked")
    if close:
        lines.append("Connection: close")
    return "\r\n".join(lines).encode() + b"\r\n\r\n"
