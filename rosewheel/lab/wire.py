"""Clock of the lab, and an HTTP/1.1 server connection driven by callbacks.

A connection handles one request at a time and keeps no request bodies. It also implements connection faults: it can
reset itself, send raw bytes or stay silent.
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
    """Return the time of the monotonic clock, which all processes of a machine share, in ms."""
    return time.monotonic() * 1000.0


def reset_connection(transport: asyncio.Transport) -> None:
    """Abort a connection with a TCP reset."""
    sock = transport.get_extra_info("socket")
    if sock is not None:
        no_linger = struct.pack("ii", 1, 0)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, no_linger)
    transport.abort()


@dataclass(slots=True, eq=False)
class HttpRequest:
    """A completely received request.

    Attributes:
        connection: connection on which it was received.
        headers: values by lower-case name.
        body_bytes: size of the body.
        first_byte_ms: time at which the first byte was received.
        received_ms: time at which the last byte was received.
        first_on_connection: whether it is the first request on its connection.
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
        """Return the value of a header; empty if it is missing."""
        return self.headers.get(name, b"").decode("latin-1")


class ServerConnection(asyncio.Protocol):
    """Server side of a connection.

    Attributes:
        transport: transport of the connection; None unless it is open.
        silent: whether the connection ignores what it receives and sends nothing, as an injected fault.
        request_count: number of requests received.
        current_work: state of the request in progress, for use by the owner.
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
        """Store the transport and report the open connection to the owner."""
        self.transport = cast(asyncio.Transport, transport)
        if self._on_open is not None:
            self._on_open(self)

    def data_received(self, data: bytes) -> None:
        """Feed received bytes to the parser; close the connection if they are invalid."""
        if self.silent or self._parser is None:
            return
        if not self._first_byte_ms:
            self._first_byte_ms = now_ms()
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self.close()

    def on_url(self, url: bytes) -> None:
        """Append a part of the request target."""
        self._target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Store a header."""
        self._headers[name.lower()] = value

    def on_body(self, data: bytes) -> None:
        """Count the bytes of a part of the body."""
        self._body_bytes += len(data)

    def on_message_complete(self) -> None:
        """Pass the complete request to the owner."""
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
        """Send a response, unless the connection is closed or silent.

        Args:
            status: status code.
            body: complete body.
            extra: additional header lines, each with its line end.
            close: whether to close the connection after the response.
        """
        if self.transport is None or self.transport.is_closing() or self.silent:
            return
        close_header = b"Connection: close\r\n" if close else b""
        head = b"HTTP/1.1 %d X\r\nContent-Length: %d\r\n%b%b\r\n" % (status, len(body), extra, close_header)
        self.transport.write(head + body)
        if close:
            self.transport.close()

    def write(self, data: bytes) -> None:
        """Send raw bytes, unless the connection is closed or silent."""
        if self.transport is not None and not self.transport.is_closing() and not self.silent:
            self.transport.write(data)

    def close(self) -> None:
        """Close the connection after all buffered data has been sent."""
        if self.transport is not None:
            self.transport.close()

    def reset(self) -> None:
        """Abort the connection with a TCP reset."""
        if self.transport is not None:
            reset_connection(self.transport)

    def connection_lost(self, exc: Exception | None) -> None:
        """Report the closed connection to the owner."""
        self.transport = None
        self._parser = None
        if self._on_close is not None:
            self._on_close(self)
