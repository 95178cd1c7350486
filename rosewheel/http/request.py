"""A client's request, and the head with which it is forwarded to a server."""

from __future__ import annotations

import re
from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from rosewheel.http.body import RequestBody
from rosewheel.http.errors import BadRequestError
from rosewheel.http.response_buffer import ResponseBuffer

# Headers that may occur only once: with two values, parsers could disagree about the request (request smuggling).
SINGLE_VALUE_HEADERS = frozenset(
    (
        b"content-length",
        b"transfer-encoding",
        b"request-id",
        b"request-class",
        b"request-timeout-ms",
        b"idempotency-key",
    )
)
WHOLE_NUMBER = re.compile("[0-9]{1,7}")  # as milliseconds up to 2.8 h, longer than the deadline of any class
# Headers that apply to one connection only (RFC 9110, section 7.6.1) or that the node generates.
NOT_FORWARDED_HEADERS = frozenset(
    (
        b"connection",
        b"keep-alive",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"expect",
        b"content-length",
        b"request-timeout-ms",
    )
)


class ResponseWriter(Protocol):
    """Interface of the connection to which the response to a request is written."""

    def respond(
        self, request: DownstreamRequest, status: int, body: bytes, retry_after_ms: float = 0.0
    ) -> None:
        """Write a complete response."""

    def start_response(
        self, request: DownstreamRequest, content_length: int | None, on_writable: Callable[[], None]
    ) -> None:
        """Write the head of a streamed response."""

    def send_response_data(self, request: DownstreamRequest, data: bytes) -> bool:
        """Write a part of the streamed body; return False if the sender has to wait for `on_writable`."""

    def finish_response(self, request: DownstreamRequest) -> None:
        """Complete the streamed response."""

    def abort_response(self, request: DownstreamRequest) -> None:
        """Reset the connection, so that the client recognizes the streamed response as incomplete."""

    def close_if_disconnected(self) -> bool:
        """Close the connection if the client has disconnected; return whether it has."""

    def is_connected(self) -> bool:
        """Return whether the client is connected; its connection is closed if it is not."""

    def may_have_left(self) -> bool:
        """Return whether the client may have disconnected unseen."""


@dataclass(slots=True, eq=False)
class DownstreamRequest:
    """A client's request. Its body may be incomplete.

    Attributes:
        connection: The connection to which the response is written.
        method: The method as received.
        target: The request target as received; see `origin_form`.
        headers: Lower-case names and values, in the order received.
        body: The body, as far as it was received.
        content_length: Declared size of the body in bytes; None if it is chunked.
        id: The Request-Id; empty if it is missing or not valid, or before `RequestIds` has read it.
        dispatched: The request is being processed; set before its body is complete if the body is streamed.
        completed_s: When the last byte was written, at the earliest, on the loop's clock; None if that may be still to
            come.
        timeout_ms: How long the client waits for the response, counted from the last byte of the request.
        has_effect: Executing it twice is not the same as executing it once; set when it was dispatched.
        may_have_effect: An attempt of a request with an effect was started.
        head_bytes: Estimated memory of the head, as `HeadMemory` counts it; 0 once the head was dropped.
        must_be_complete: The response must not be streamed; it has to be complete before the drain ends.
        response_buffer: The long response that is being buffered, if any.
        response_started: A streamed response has begun.
        has_final_response: The node has decided on the final response.
        is_refused: It is answered with an error when its turn comes, as the process holds too much memory.
    """

    connection: ResponseWriter
    method: bytes
    target: bytes
    headers: list[tuple[bytes, bytes]]
    body: RequestBody
    content_length: int | None = None
    id: str = ""
    dispatched: bool = False
    completed_s: float | None = None
    timeout_ms: float = 0.0
    has_effect: bool = False
    may_have_effect: bool = False
    head_bytes: int = 0
    must_be_complete: bool = False
    response_buffer: ResponseBuffer | None = None
    response_started: bool = False
    has_final_response: bool = False
    is_refused: bool = False
    _first_values: dict[bytes, bytes] | None = None  # by header name; built on first use

    def is_overdue(self, now_s: float) -> bool:
        """Return whether the time that the client waits is over, by its own header; also before dispatch."""
        timeout = self.header(b"request-timeout-ms") or ""
        if self.completed_s is None or not WHOLE_NUMBER.fullmatch(timeout):
            return False
        return now_s - self.completed_s >= int(timeout) / 1000.0

    def header(self, name: bytes) -> str | None:
        """Return the first value of a header without surrounding white space, or None if it is missing.

        Args:
            name: Name of the header in lower case.
        """
        if self._first_values is None:
            self._first_values = dict(reversed(self.headers))
        value = self._first_values.get(name)
        return None if value is None else value.decode("latin-1").strip()

    def drop_head(self) -> None:
        """Free the headers. No further attempt can be sent."""
        self.headers, self._first_values, self.head_bytes = [], None, 0

    def drop_response_buffer(self) -> None:
        """Release the memory of the buffered response, if there is one."""
        if self.response_buffer is not None:
            self.response_buffer.release()
            self.response_buffer = None

    @property
    def missing_bytes(self) -> int:
        """Declared size of the body in bytes that was not received yet; 0 if it is chunked."""
        return 0 if self.content_length is None else self.content_length - self.body.received_bytes

    @property
    def forwarded_length(self) -> int | None:
        """Size in bytes of the body as it is forwarded; None if it is forwarded in chunked encoding."""
        return self.body.received_bytes if self.body.complete else self.content_length

    def upstream_head(self, timeout_ms: float, length: int | None) -> bytes:
        """Return the head with which this request is forwarded.

        Args:
            timeout_ms: Value of Request-Timeout-Ms for the server, in milliseconds.
            length: The `forwarded_length` at the start of the attempt, which determines how its body is framed.
        """
        target, authority = origin_form(self.target)
        parts = [b"%b %b HTTP/1.1\r\n" % (self.method, target)]
        excluded = NOT_FORWARDED_HEADERS
        if authority is not None or self.header(b"host") is None:
            parts.append(b"Host: %b\r\n" % (authority or b""))
            excluded = NOT_FORWARDED_HEADERS | {b"host"}
        # Headers listed in Connection apply to the client's connection only.
        listed = self.header(b"connection")
        if listed:
            names = {name.strip().lower() for name in listed.encode("latin-1").split(b",")}
            excluded = excluded | (names - SINGLE_VALUE_HEADERS)
        parts += [b"%b: %b\r\n" % pair for pair in self.headers if pair[0] not in excluded]
        parts.append(b"Request-Timeout-Ms: %d\r\n" % max(1, int(timeout_ms)))
        if length is None:
            parts.append(b"Transfer-Encoding: chunked\r\n")
        elif length or self.method != b"GET":
            parts.append(b"Content-Length: %d\r\n" % length)
        return b"".join((*parts, b"\r\n"))


def origin_form(target: bytes) -> tuple[bytes, bytes | None]:
    """Return a request target in origin form, and its authority if it is in absolute form.

    Servers must accept both forms (RFC 9112, section 3.2.2).

    Raises:
        BadRequestError: The target begins like an absolute form, and can't be read as one.
    """
    if target[:7].lower() != b"http://":
        return target, None
    # Imported here, since it is rarely needed and would slow down the start of the process.
    from urllib.parse import urlsplit

    try:
        parts = urlsplit(target.decode("latin-1"))
    except ValueError as error:
        raise BadRequestError(400, "the request target can't be read") from error
    path = (parts.path or "/") + (f"?{parts.query}" if "?" in target.decode("latin-1") else "")
    return path.encode("latin-1"), parts.netloc.rpartition("@")[2].encode("latin-1")
