"""A request of a client, and the head with which it is forwarded to a server."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from rosewheel.http.body import RequestBody

# Headers that a request may carry once only: with two values, two parsers could disagree on what the request is.
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
# Headers that apply to one connection (RFC 9110, section 7.6.1), or that the node writes itself.
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
    """The client's side of a request: where its response is written."""

    def respond(
        self, request: DownstreamRequest, status: int, body: bytes, retry_after_ms: float = 0.0
    ) -> None:
        """Write a complete response."""

    def start_response(
        self, request: DownstreamRequest, content_length: int | None, on_writable: Callable[[], None]
    ) -> None:
        """Write the head of a streamed response."""

    def send_response_data(self, request: DownstreamRequest, data: bytes) -> bool:
        """Write a part of its body; False if the sender should wait for `on_writable`."""

    def finish_response(self, request: DownstreamRequest) -> None:
        """End the streamed response."""

    def abort_response(self, request: DownstreamRequest) -> None:
        """Reset the connection, since the streamed response can't be completed."""

    def close_if_disconnected(self) -> bool:
        """Whether the client has disconnected; its connection is closed then."""

    def is_connected(self) -> bool:
        """The opposite of `close_if_disconnected`."""


@dataclass(slots=True, eq=False)
class DownstreamRequest:
    """A request of a client. Its body may still be incomplete.

    Attributes:
        connection: The client's connection.
        method: As received.
        target: As received; see `origin_form`.
        headers: Lower-case names and values, in the order received.
        body: The body as far as it was received.
        content_length: Declared size of the body in bytes; None if it is chunked.
        id: Request-Id, once the request was dispatched.
        dispatched: The proxy has received it.
        completed_s: When its last byte was received, on the loop's clock; None before that, and if it was dispatched
            before.
        timeout_ms: How long its client waits for the response, from the request's last byte on.
        response_started: A streamed response has begun.
        has_final_response: The node has decided on its final response.
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
    response_started: bool = False
    has_final_response: bool = False
    _first_values: dict[bytes, bytes] | None = None  # by header; made at the first look-up

    def header(self, name: bytes) -> str | None:
        """The first value of a header, without surrounding white space.

        Args:
            name: In lower case.
        """
        if self._first_values is None:
            self._first_values = dict(reversed(self.headers))
        value = self._first_values.get(name)
        return None if value is None else value.decode("latin-1").strip()

    @property
    def forwarded_length(self) -> int | None:
        """Size in bytes of the body as it is forwarded; None if it is sent in chunks."""
        return self.body.received_bytes if self.body.complete else self.content_length

    def upstream_head(self, timeout_ms: float, length: int | None) -> bytes:
        """The head with which this request is forwarded.

        Args:
            timeout_ms: The value of Request-Timeout-Ms for the server.
            length: The `forwarded_length` at the start of the attempt: its body is sent accordingly.
        """
        target, authority = origin_form(self.target)
        parts = [b"%b %b HTTP/1.1\r\n" % (self.method, target)]
        excluded = NOT_FORWARDED_HEADERS
        if authority is not None or self.header(b"host") is None:
            parts.append(b"Host: %b\r\n" % (authority or b""))
            excluded = NOT_FORWARDED_HEADERS | {b"host"}
        # Headers that the client lists in Connection apply to that connection only.
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
    """A request target in origin form, and its authority if the target was in absolute form.

    A proxy has to accept both forms (RFC 9112, section 3.2.2).
    """
    if target[:7].lower() != b"http://":
        return target, None
    # Imported here, since it is rarely needed and would slow down each start.
    from urllib.parse import urlsplit

    parts = urlsplit(target.decode("latin-1"))
    path = (parts.path or "/") + (f"?{parts.query}" if "?" in target.decode("latin-1") else "")
    return path.encode("latin-1"), parts.netloc.rpartition("@")[2].encode("latin-1")
