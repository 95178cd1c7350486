"""HTTP/1.1 as the lab needs it: a server's connection and a client's, driven by callbacks.

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

from rosewheel.lab.outcomes import AttemptFailure

Address = tuple[str, int]
# A kept connection that ends this soon after a request was sent had been closed before the request reached it.
STALE_CONNECTION_MS = 20.0


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


# --------------------------------------------------------------------- server


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


# --------------------------------------------------------------------- client


@dataclass(slots=True)
class HttpResponse:
    """How a request ended for its client; `status` is 0 without a response."""

    status: int
    body: bytes = b""
    retry_after_s: float | None = None
    failure: AttemptFailure = AttemptFailure.NONE


@dataclass(slots=True, eq=False)
class PendingRequest:
    """A request in flight.

    Attributes:
        on_done: called once with the outcome.
        resent: it was sent once more, since its connection had closed as it was sent.
    """

    data: bytes
    on_done: Callable[[HttpResponse], None]
    sent_ms: float = 0.0
    connection: ClientConnection | None = None
    finished: bool = False
    resent: bool = False

    def abandon(self) -> None:
        """Close the connection; `on_done` is not called."""
        self.finished = True
        if self.connection is not None:
            self.connection.close()

    def finish(self, response: HttpResponse) -> None:
        """Pass on the outcome, unless there was one."""
        if not self.finished:
            self.finished = True
            self.on_done(response)


class ClientConnection(asyncio.Protocol):
    """A client's end of a connection.

    Attributes:
        pending: the request in flight.
        use_count: requests so far.
    """

    def __init__(self, client: HttpClient) -> None:
        self.client = client
        self.transport: asyncio.Transport | None = None
        self.pending: PendingRequest | None = None
        self.use_count = 0
        self._parser: httptools.HttpResponseParser | None = httptools.HttpResponseParser(self)
        self._keep_alive = False
        self._data_received = False  # since the request was sent
        self._begin_response()

    def _begin_response(self) -> None:
        self._body: list[bytes] = []
        self._retry_after_s: float | None = None
        self._complete = False

    @property
    def usable(self) -> bool:
        """Whether the connection is open."""
        return self.transport is not None and not self.transport.is_closing()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """The connection is open."""
        self.transport = cast(asyncio.Transport, transport)

    def send(self, pending: PendingRequest) -> None:
        """Send a request on this open connection."""
        if self.transport is None:
            raise ConnectionError("the connection is not open")
        self.use_count += 1
        self.pending, pending.connection = pending, self
        pending.sent_ms = now_ms()
        self._data_received = False
        self.transport.write(pending.data)

    def data_received(self, data: bytes) -> None:
        """Bytes have been received."""
        if self._parser is None:
            return
        if self.pending is None:  # of no request
            self.client.surplus_answers += 1
            self.close()
            return
        self._data_received = True
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError:
            if not self._complete:
                self._finish(HttpResponse(0, failure=AttemptFailure.BROKEN), keep_open=False)
                return
            self.client.surplus_answers += 1
            self._keep_alive = False
        if self._complete:
            status = self._parser.get_status_code()
            response = HttpResponse(status, b"".join(self._body), self._retry_after_s)
            self._finish(response, keep_open=self._keep_alive)

    def on_header(self, name: bytes, value: bytes) -> None:
        """The parser has read a header."""
        if name.lower() == b"retry-after":
            try:
                self._retry_after_s = float(value)
            except ValueError:
                self._retry_after_s = None

    def on_body(self, data: bytes) -> None:
        """The parser has read a part of the body."""
        self._body.append(data)

    def on_message_begin(self) -> None:
        """The parser has read the beginning of a response."""
        if self._complete:
            self.client.surplus_answers += 1

    def on_message_complete(self) -> None:
        """The parser has read the end of a response."""
        if self._parser is not None:
            self._complete, self._keep_alive = True, self._parser.should_keep_alive()

    def _finish(self, response: HttpResponse, keep_open: bool) -> None:
        pending, self.pending = self.pending, None
        self._begin_response()
        if keep_open and self.usable:
            self.client.idle.append(self)
        else:
            self.close()
        if pending is not None:
            pending.connection = None
            pending.finish(response)

    def close(self) -> None:
        """Close the connection."""
        if self.transport is not None:
            self.transport.close()

    def connection_lost(self, exc: Exception | None) -> None:
        """The connection has ended; a request that a kept connection had not read is sent once more."""
        self.transport = None
        self._parser = None
        self.client.forget(self)
        pending, self.pending = self.pending, None
        if pending is None or pending.finished:
            return
        pending.connection = None
        at_once = now_ms() - pending.sent_ms < STALE_CONNECTION_MS
        stale = self.use_count > 1 and not self._data_received and at_once
        if stale and not pending.resent:
            pending.resent = True
            self.client.dispatch(pending, new_connection=True)
        else:
            pending.finish(HttpResponse(0, failure=AttemptFailure.BROKEN))


class HttpClient:
    """A client of one server, with the connections that it keeps.

    Attributes:
        idle: connections without a request; the one used last is at the end.
        surplus_answers: responses that no request had asked for.
    """

    def __init__(self, address: Address) -> None:
        self.address = address
        self.loop = asyncio.get_running_loop()
        self.idle: list[ClientConnection] = []
        self.open: set[ClientConnection] = set()
        self.surplus_answers = 0
        self._tasks: set[asyncio.Task[None]] = set()

    def send(
        self, data: bytes, on_done: Callable[[HttpResponse], None], new_connection: bool = False
    ) -> PendingRequest:
        """Send a request.

        Args:
            on_done: called once with the outcome, not before this returns.
            new_connection: use a connection of its own in place of a kept one.
        """
        pending = PendingRequest(data, on_done)
        self.dispatch(pending, new_connection)
        return pending

    def dispatch(self, pending: PendingRequest, new_connection: bool = False) -> None:
        """Send a pending request on a kept connection, or on a new one."""
        while self.idle and not new_connection:
            connection = self.idle.pop()
            if connection.usable:
                connection.send(pending)
                return
        task = self.loop.create_task(self._connect(pending))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _connect(self, pending: PendingRequest) -> None:
        connection = ClientConnection(self)
        try:
            await self.loop.create_connection(lambda: connection, *self.address)
        except OSError:
            pending.finish(HttpResponse(0, failure=AttemptFailure.UNREACHABLE))
            return
        self.open.add(connection)
        if pending.finished:
            connection.close()
        else:
            connection.send(pending)

    def forget(self, connection: ClientConnection) -> None:
        """A connection has ended."""
        self.open.discard(connection)
        if connection in self.idle:
            self.idle.remove(connection)

    def close(self) -> None:
        """Close all connections."""
        for task in self._tasks:
            task.cancel()
        for connection in list(self.open):
            connection.close()
