"""HTTP/1.1 client of the lab: a connection pool to one server, driven by callbacks.

A connection carries one request at a time and buffers complete response bodies.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
from typing import cast

import httptools

from rosewheel.lab.outcomes import AttemptFailure
from rosewheel.lab.wire import Address, now_ms

# A reused connection that ends this soon after a request was sent is assumed to have been closed before the server read
# the request.
STALE_CONNECTION_MS = 20.0


@dataclass(slots=True)
class HttpResponse:
    """Outcome of a request.

    Attributes:
        status: status of the response; 0 without one.
        body: complete body.
        retry_after_s: value of the `Retry-After` header; None without one.
        failure: reason for which there is no response.
    """

    status: int
    body: bytes = b""
    retry_after_s: float | None = None
    failure: AttemptFailure = AttemptFailure.NONE


@dataclass(slots=True, eq=False)
class PendingRequest:
    """A request in flight.

    Attributes:
        data: encoded request.
        on_done: called once with the outcome.
        sent_ms: time at which it was last sent.
        connection: connection on which it was sent; None while it waits for one.
        finished: whether it has its outcome or was abandoned.
        resent: whether it was sent again because the server closed a reused connection.
    """

    data: bytes
    on_done: Callable[[HttpResponse], None]
    sent_ms: float = 0.0
    connection: ClientConnection | None = None
    finished: bool = False
    resent: bool = False

    def abandon(self) -> None:
        """Close the connection without calling `on_done`."""
        self.finished = True
        if self.connection is not None:
            self.connection.close()

    def finish(self, response: HttpResponse) -> None:
        """Call `on_done` with the outcome, unless the request is finished already."""
        if not self.finished:
            self.finished = True
            self.on_done(response)


class ClientConnection(asyncio.Protocol):
    """Client side of a connection.

    Attributes:
        client: owner of the connection.
        transport: transport of the connection; None unless it is open.
        pending: the request in flight, if any.
        request_count: number of requests sent.
    """

    def __init__(self, client: HttpClient) -> None:
        self.client = client
        self.transport: asyncio.Transport | None = None
        self.pending: PendingRequest | None = None
        self.request_count = 0
        self._parser: httptools.HttpResponseParser | None = httptools.HttpResponseParser(self)
        self._keep_alive = False
        self._response_started = False  # whether data was received since the last request was sent
        self._begin_response()

    def _begin_response(self) -> None:
        self._body: list[bytes] = []
        self._retry_after_s: float | None = None
        self._complete = False

    @property
    def usable(self) -> bool:
        """Return whether the connection is open."""
        return self.transport is not None and not self.transport.is_closing()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport of the open connection."""
        self.transport = cast(asyncio.Transport, transport)

    def send(self, pending: PendingRequest) -> None:
        """Send a request on this connection.

        Raises:
            ConnectionError: the connection is not open.
        """
        if self.transport is None:
            raise ConnectionError("connection is not open")
        self.request_count += 1
        self.pending, pending.connection = pending, self
        pending.sent_ms = now_ms()
        self._response_started = False
        self.transport.write(pending.data)

    def data_received(self, data: bytes) -> None:
        """Feed received bytes to the parser; finish the request when its response is complete or invalid."""
        if self._parser is None:
            return
        if self.pending is None:
            self.client.surplus_responses += 1
            self.close()
            return
        self._response_started = True
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError:
            if not self._complete:
                self._finish(HttpResponse(0, failure=AttemptFailure.CONNECTION_CLOSED), keep_open=False)
                return
            self.client.surplus_responses += 1
            self._keep_alive = False
        if self._complete:
            status = self._parser.get_status_code()
            response = HttpResponse(status, b"".join(self._body), self._retry_after_s)
            self._finish(response, keep_open=self._keep_alive)

    def on_header(self, name: bytes, value: bytes) -> None:
        """Store the delay of a `Retry-After` header."""
        if name.lower() == b"retry-after":
            try:
                self._retry_after_s = float(value)
            except ValueError:
                self._retry_after_s = None

    def on_body(self, data: bytes) -> None:
        """Append a part of the body."""
        self._body.append(data)

    def on_message_begin(self) -> None:
        """Count a response that begins after the complete one as surplus."""
        if self._complete:
            self.client.surplus_responses += 1

    def on_message_complete(self) -> None:
        """Mark the response as complete."""
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
        """Finish the request in flight as broken, or resend it once if the closed connection was stale."""
        self.transport = None
        self._parser = None
        self.client.remove_connection(self)
        pending, self.pending = self.pending, None
        if pending is None or pending.finished:
            return
        pending.connection = None
        closed_early = now_ms() - pending.sent_ms < STALE_CONNECTION_MS
        stale = self.request_count > 1 and not self._response_started and closed_early
        if stale and not pending.resent:
            pending.resent = True
            self.client.dispatch(pending, new_connection=True)
        else:
            pending.finish(HttpResponse(0, failure=AttemptFailure.CONNECTION_CLOSED))


class HttpClient:
    """HTTP client of one server, with a pool of reusable connections.

    Attributes:
        address: address of the server.
        idle: connections without a request, the most recently used one last.
        open: all open connections.
        surplus_responses: number of responses without a request.
    """

    def __init__(self, address: Address) -> None:
        self.address = address
        self.loop = asyncio.get_running_loop()
        self.idle: list[ClientConnection] = []
        self.open: set[ClientConnection] = set()
        self.surplus_responses = 0
        self._tasks: set[asyncio.Task[None]] = set()

    def send(
        self, data: bytes, on_done: Callable[[HttpResponse], None], new_connection: bool = False
    ) -> PendingRequest:
        """Send a request.

        Args:
            data: encoded request.
            on_done: called once with the outcome, after this method has returned.
            new_connection: whether to open a new connection even if an idle one could be reused.
        """
        pending = PendingRequest(data, on_done)
        self.dispatch(pending, new_connection)
        return pending

    def dispatch(self, pending: PendingRequest, new_connection: bool = False) -> None:
        """Send a pending request on an idle connection, or on a new one."""
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

    def remove_connection(self, connection: ClientConnection) -> None:
        """Remove a closed connection from the pool."""
        self.open.discard(connection)
        if connection in self.idle:
            self.idle.remove(connection)

    def close(self) -> None:
        """Cancel connection attempts and close all connections."""
        for task in self._tasks:
            task.cancel()
        for connection in list(self.open):
            connection.close()
