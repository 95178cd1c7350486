"""HTTP/1.1 as the lab speaks it: a server's connection and a client's, driven by callbacks.

Plain and lean: one request at a time on a connection, bodies held whole. Faults are caused here, because only who
holds the socket can reset it, say half an answer or say nothing.
"""

from __future__ import annotations

import asyncio
import socket
import struct
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any, cast

import httptools

from rosewheel.lab.outcomes import AttemptFailure

Address = tuple[str, int]
STALE_CONNECTION_MS = (
    20.0  # a kept connection that ends this soon after a request had been closed before it came
)


def now_ms() -> float:
    """The clock of every part of a run: monotonic, and one for all processes of the machine."""
    return time.monotonic() * 1000.0


def reset_connection(transport: asyncio.Transport) -> None:
    """End a connection with a reset."""
    sock = transport.get_extra_info("socket")
    if sock is not None:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    transport.abort()


# --------------------------------------------------------------------- server


@dataclass(slots=True, eq=False)
class HttpRequest:
    """A request that has come whole."""

    connection: ServerConnection
    method: bytes
    target: bytes
    headers: dict[bytes, bytes]
    body_bytes: int  # of the body, bytes
    first_byte_ms: float  # when its first byte came
    received_ms: float
    first_on_connection: bool

    def header(self, name: bytes) -> str:
        return self.headers.get(name, b"").decode("latin-1")


class ServerConnection(asyncio.Protocol):
    """A server's end of a connection."""

    def __init__(
        self,
        asked: Callable[[HttpRequest], None],
        made: Callable[[ServerConnection], None] | None = None,
        lost: Callable[[ServerConnection], None] | None = None,
    ) -> None:
        self._asked, self._made, self._lost = asked, made, lost
        self.transport: asyncio.Transport | None = None
        self.parser: httptools.HttpRequestParser | None = httptools.HttpRequestParser(self)
        self.silent = False  # a fault: whatever comes, nothing is said
        self.request_count = 0
        self.current_work: Any = None  # what the owner keeps of the request that is being worked on
        self._first_ms = 0.0
        self._begin()

    def _begin(self) -> None:
        self._target = b""
        self._headers: dict[bytes, bytes] = {}
        self._size = 0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        if self._made is not None:
            self._made(self)

    def data_received(self, data: bytes) -> None:
        if self.silent or self.parser is None:
            return
        if not self._first_ms:
            self._first_ms = now_ms()
        try:
            self.parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self.close()

    def on_url(self, url: bytes) -> None:
        self._target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        self._headers[name.lower()] = value

    def on_body(self, data: bytes) -> None:
        self._size += len(data)

    def on_message_complete(self) -> None:
        assert self.parser is not None
        self.request_count += 1
        method = self.parser.get_method()
        asked = HttpRequest(
            self,
            method,
            self._target,
            self._headers,
            self._size,
            self._first_ms,
            now_ms(),
            self.request_count == 1,
        )
        self._first_ms = 0.0
        self._begin()
        self._asked(asked)

    def respond(self, status: int, body: bytes = b"", extra: bytes = b"", close: bool = False) -> None:
        if self.transport is None or self.transport.is_closing() or self.silent:
            return
        tail = b"Connection: close\r\n" if close else b""
        head = b"HTTP/1.1 %d X\r\nContent-Length: %d\r\n%b%b\r\n" % (status, len(body), extra, tail)
        self.transport.write(head + body)
        if close:
            self.transport.close()

    def write(self, data: bytes) -> None:
        if self.transport is not None and not self.transport.is_closing() and not self.silent:
            self.transport.write(data)

    def close(self) -> None:
        if self.transport is not None:
            self.transport.close()

    def reset(self) -> None:
        if self.transport is not None:
            reset_connection(self.transport)

    def connection_lost(self, exc: Exception | None) -> None:
        self.transport = None
        self.parser = None
        if self._lost is not None:
            self._lost(self)


# --------------------------------------------------------------------- client


@dataclass(slots=True)
class HttpResponse:
    """How a request ended for its client."""

    status: int  # 0: no answer
    body: bytes = b""
    retry_after_s: float | None = None
    failure: AttemptFailure = AttemptFailure.NONE


@dataclass(slots=True, eq=False)
class PendingRequest:
    """One request on its way."""

    data: bytes
    on_done: Callable[[HttpResponse], None]
    sent_ms: float = 0.0
    connection: ClientConnection | None = None
    finished: bool = False
    resent: bool = False
    given_up: bool = field(default=False)

    def abandon(self) -> None:
        """The client goes away: its connection is closed and nothing more is heard."""
        self.finished = self.given_up = True
        if self.connection is not None:
            self.connection.close()

    def finish(self, answered: HttpResponse) -> None:
        if not self.finished:
            self.finished = True
            self.on_done(answered)


class ClientConnection(asyncio.Protocol):
    """A client's end of a connection."""

    def __init__(self, peer: HttpClient) -> None:
        self.client = peer
        self.transport: asyncio.Transport | None = None
        self.parser: httptools.HttpResponseParser | None = httptools.HttpResponseParser(self)
        self.pending: PendingRequest | None = None
        self.use_count = 0
        self._complete = False
        self._keep = False
        self._heard = False
        self._begin()

    def _begin(self) -> None:
        self._body: list[bytes] = []
        self._retry_after: float | None = None
        self._complete = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)

    def send(self, asking: PendingRequest) -> None:
        assert self.transport is not None
        self.use_count += 1
        self.pending, asking.connection = asking, self
        asking.sent_ms = now_ms()
        self._heard = False
        self.transport.write(asking.data)

    def data_received(self, data: bytes) -> None:
        if self.pending is None:  # nobody asked for this
            self.client.surplus_answers += 1
            self.close()
            return
        self._heard = True
        try:
            assert self.parser is not None
            self.parser.feed_data(data)
        except httptools.HttpParserError:
            if not self._complete:
                self._end(HttpResponse(0, failure=AttemptFailure.BROKEN), keep=False)
                return
            self.client.surplus_answers += 1
            self._keep = False
        if self._complete:
            assert self.parser is not None
            status = self.parser.get_status_code()
            self._end(HttpResponse(status, b"".join(self._body), self._retry_after), keep=self._keep)

    def on_header(self, name: bytes, value: bytes) -> None:
        if name.lower() == b"retry-after":
            try:
                self._retry_after = float(value)
            except ValueError:
                self._retry_after = None

    def on_body(self, data: bytes) -> None:
        self._body.append(data)

    def on_message_begin(self) -> None:
        if self._complete:
            self.client.surplus_answers += 1

    def on_message_complete(self) -> None:
        assert self.parser is not None
        self._complete, self._keep = True, self.parser.should_keep_alive()

    def _end(self, answered: HttpResponse, keep: bool) -> None:
        asking, self.pending = self.pending, None
        self._begin()
        if keep and self.transport is not None and not self.transport.is_closing():
            self.client.idle.append(self)
        else:
            self.close()
        if asking is not None:
            asking.connection = None
            asking.finish(answered)

    def close(self) -> None:
        if self.transport is not None:
            self.transport.close()

    def connection_lost(self, exc: Exception | None) -> None:
        self.transport = None
        self.parser = None
        self.client.forget(self)
        asking, self.pending = self.pending, None
        if asking is None or asking.finished:
            return
        asking.connection = None
        crossed = self.use_count > 1 and not self._heard and now_ms() - asking.sent_ms < STALE_CONNECTION_MS
        if crossed and not asking.resent:
            asking.resent = True
            self.client.dispatch(asking, fresh=True)
        else:
            asking.finish(HttpResponse(0, failure=AttemptFailure.BROKEN))


class HttpClient:
    """A server and this client's connections to it."""

    def __init__(self, address: Address) -> None:
        self.address = address
        self.loop = asyncio.get_running_loop()
        self.idle: list[ClientConnection] = []
        self.open: set[ClientConnection] = set()
        self.surplus_answers = 0  # answers that nobody had asked for
        self._tasks: set[asyncio.Task[None]] = set()

    def send(self, data: bytes, done: Callable[[HttpResponse], None], fresh: bool = False) -> PendingRequest:
        """Send this request, on a kept connection unless a `fresh` one is wanted; `done` is called once."""
        asking = PendingRequest(data, done)
        self.dispatch(asking, fresh)
        return asking

    def dispatch(self, asking: PendingRequest, fresh: bool = False) -> None:
        while self.idle and not fresh:
            connection = self.idle.pop()
            if connection.transport is not None and not connection.transport.is_closing():
                connection.send(asking)
                return
        task = self.loop.create_task(self._connect(asking))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _connect(self, asking: PendingRequest) -> None:
        connection = ClientConnection(self)
        try:
            await self.loop.create_connection(lambda: connection, *self.address)
        except OSError:
            asking.finish(HttpResponse(0, failure=AttemptFailure.UNREACHABLE))
            return
        self.open.add(connection)
        if asking.finished:
            connection.close()
        else:
            connection.send(asking)

    def forget(self, connection: ClientConnection) -> None:
        self.open.discard(connection)
        if connection in self.idle:
            self.idle.remove(connection)

    def close(self) -> None:
        for task in self._tasks:
            task.cancel()
        for connection in list(self.open):
            connection.close()
