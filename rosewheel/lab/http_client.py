"""An HTTP/1.1 client of the lab: its connections to one server, driven by callbacks.

One request at a time on a connection, bodies complete in memory.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
from typing import cast

import httptools

from rosewheel.lab.outcomes import AttemptFailure
from rosewheel.lab.wire import Address, now_ms

# A kept connection that ends this soon after a request was sent had been closed before the request reached it.
STALE_CONNECTION_MS = 20.0


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
                self._finish(HttpResponse(0, failure=AttemptFailure.CONNECTION_CLOSED), keep_open=False)
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
            pending.finish(HttpResponse(0, failure=AttemptFailure.CONNECTION_CLOSED))


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
