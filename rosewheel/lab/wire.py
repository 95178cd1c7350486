"""HTTP/1.1 as the lab needs it: the clock, and a server's connection, driven by callbacks.

One request at a time on a connection, bodies complete in memory. Faults are caused here, since only the owner of a
socket can reset it, truncate a response or stay silent.
"""

from __future__ import annotations

import asyncio
import socket
import struct
import time
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, cast

import httptools

Address = tuple[str, int]


def now_ms() -> float:
    """The clock of every part of a run: monotonic, and one for all processes of the machine."""
    return time.monotonic() * 1000.0


def reset_connection(transport: asyncio.Transport) -> None:
    """End a connection with a reset."""
    sock = transport.get_extra_info("socket")
    if sock is not None:
        no_linger = struct.pack("ii", 1, 0)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, no_linger)
    transport.abort()


@dataclass(slots=True, eq=False)
class HttpRequest:
    """A complete request.

    Attributes:
        headers: by name in lower case.
        first_byte_ms: when its first byte was received; `received_ms` the last.
    """

    connection: ServerConnection
    method: bytes
    target: bytes
    headers: dict[bytes, bytes]
    body_bytes: int
    first_byte_ms: float
    received_ms: float
    first_on_connection: bool

    def header(self, name: bytes) -> str:
        """The value of a header; empty where it is missing."""
        return self.headers.get(name, b"").decode("latin-1")


class ServerConnection(asyncio.Protocol):
    """A server's end of a connection.

    Attributes:
        silent: a fault: whatever is received, nothing is sent.
        current_work: for the owner, what it keeps of the request in progress.
    """

    def __init__(
        self,
        on_request: Callable[[HttpRequest], None],
        on_open: Callable[[ServerConnection], None] | None = None,
        on_close: Callable[[ServerConnection], None] | None = None,
    ) -> None:
        self._on_request, self._on_open, self._on_close = on_request, on_open, on_close
        self.transport: asyncio.Transport | None = None
        self.silent = False
        self.request_count = 0
        self.current_work: Any = None
        self._parser: httptools.HttpRequestParser | None = httptools.HttpRequestParser(self)
        self._first_byte_ms = 0.0
        self._begin_request()

    def _begin_request(self) -> None:
        self._target = b""
        self._headers: dict[bytes, bytes] = {}
        self._body_bytes = 0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """The connection is open."""
        self.transport = cast(asyncio.Transport, transport)
        if self._on_open is not None:
            self._on_open(self)

    def data_received(self, data: bytes) -> None:
        """Bytes have been received."""
        if self.silent or self._parser is None:
            return
        if not self._first_byte_ms:
            self._first_byte_ms = now_ms()
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self.close()

    def on_url(self, url: bytes) -> None:
        """The parser has read a part of the target."""
        self._target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """The parser has read a header."""
        self._headers[name.lower()] = value

    def on_body(self, data: bytes) -> None:
        """The parser has read a part of the body."""
        self._body_bytes += len(data)

    def on_message_complete(self) -> None:
        """The parser has read the end of a request."""
        if self._parser is None:
            return
        self.request_count += 1
        request = HttpRequest(
            connection=self,
            method=self._parser.get_method(),
            target=self._target,
            headers=self._headers,
            body_bytes=self._body_bytes,
            first_byte_ms=self._first_byte_ms,
            received_ms=now_ms(),
            first_on_connection=self.request_count == 1,
        )
        self._first_byte_ms = 0.0
        self._begin_request()
        self._on_request(request)

    def respond(self, status: int, body: bytes = b"", extra: bytes = b"", close: bool = False) -> None:
        """Send a response.

        Args:
            extra: further headers, each with its line end.
            close: close the connection after it.
        """
        if self.transport is None or self.transport.is_closing() or self.silent:
            return
        close_header = b"Connection: close\r\n" if close else b""
        head = b"HTTP/1.1 %d X\r\nContent-Length: %d\r\n%b%b\r\n" % (status, len(body), extra, close_header)
        self.transport.write(head + body)
        if close:
            self.transport.close()

    def write(self, data: bytes) -> None:
        """Send bytes as they are."""
        if self.transport is not None and not self.transport.is_closing() and not self.silent:
            self.transport.write(data)

    def close(self) -> None:
        """Close the connection once everything is sent."""
        if self.transport is not None:
            self.transport.close()

    def reset(self) -> None:
        """Reset the connection."""
        if self.transport is not None:
            reset_connection(self.transport)

    def connection_lost(self, exc: Exception | None) -> None:
        """The connection has ended."""
        self.transport = None
        self._parser = None
        if self._on_close is not None:
            self._on_close(self)
