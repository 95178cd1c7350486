"""A caller's request: what it holds, and the head with which it goes on to a server."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from rosewheel.http.body import RequestBody

if TYPE_CHECKING:
    from rosewheel.http.downstream_connection import DownstreamConnection

# What may stand in a request once only: two of them are two opinions on what it is.
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
# Of one connection only, or written anew for the server.
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


class BadRequestError(Exception):
    """A request that can't be taken, with the status that tells so."""

    def __init__(self, status: int, why: str) -> None:
        super().__init__(why)
        self.status = status


@dataclass(slots=True, eq=False)
class DownstreamRequest:
    """A caller's request. Its body may still be on its way."""

    connection: DownstreamConnection
    method: bytes
    target: bytes
    headers: list[tuple[bytes, bytes]]
    body: RequestBody
    content_length: int | None = None  # of the body, where the head tells
    id: str = ""
    dispatched: bool = False  # the relay has been asked
    timeout_ms: float = 0.0  # how long its caller waits from its last byte on
    response_started: bool = False  # a long answer is being passed on
    _first_values: dict[bytes, bytes] | None = None  # the first value of each header

    def header(self, name: bytes) -> str | None:
        if self._first_values is None:
            self._first_values = dict(reversed(self.headers))
        value = self._first_values.get(name)
        return None if value is None else value.decode("latin-1").strip()

    def upstream_head(self, timeout_ms: float) -> tuple[bytes, bool]:
        """The request's head as it goes on to a server, and whether its body goes in chunks."""
        target, authority = origin_form(self.target)
        parts = [b"%b %b HTTP/1.1\r\n" % (self.method, target)]
        own = NOT_FORWARDED_HEADERS
        if authority is not None or self.header(b"host") is None:
            parts.append(b"Host: %b\r\n" % (authority or b""))
            own = NOT_FORWARDED_HEADERS | {b"host"}
        # What the caller names in Connection is of that connection only.
        named = self.header(b"connection")
        if named:
            items = {item.strip().lower() for item in named.encode("latin-1").split(b",")}
            own = own | (items - SINGLE_VALUE_HEADERS)
        parts += [b"%b: %b\r\n" % pair for pair in self.headers if pair[0] not in own]
        parts.append(b"Request-Timeout-Ms: %d\r\n" % max(1, int(timeout_ms)))
        length = self.body.received_bytes if self.body.complete else self.content_length
        if length is None:
            parts.append(b"Transfer-Encoding: chunked\r\n")
        elif length or self.method != b"GET":
            parts.append(b"Content-Length: %d\r\n" % length)
        return b"".join((*parts, b"\r\n")), length is None


def origin_form(target: bytes) -> tuple[bytes, bytes | None]:
    """A target as a server wants it, and the authority where the target named one: a proxy takes either."""
    if target[:7].lower() != b"http://":
        return target, None
    # Imported where it is needed, which is seldom: at a start it would cost every node time.
    from urllib.parse import urlsplit

    parts = urlsplit(target.decode("latin-1"))
    path = (parts.path or "/") + (f"?{parts.query}" if "?" in target.decode("latin-1") else "")
    return path.encode("latin-1"), parts.netloc.rpartition("@")[2].encode("latin-1")
