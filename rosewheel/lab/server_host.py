"""Host of an emulated server: connects the model of `server_model` to HTTP connections and faults."""

from __future__ import annotations

import asyncio
import contextlib
import math
import socket
from dataclasses import dataclass
from typing import Protocol

import numpy as np

from rosewheel.lab.connection_faults import ConnectionFault, ConnectionFaults
from rosewheel.lab.fault_table import ConnectionFaultKind
from rosewheel.lab.record_codec import RequestIdentity
from rosewheel.lab.server_model import Action, DedupTable, EmulatedServer, Job, JobResult, ServerSpec
from rosewheel.lab.wire import Address, HttpRequest, ServerConnection, now_ms

LISTEN_BACKLOG = 512
HEALTH_PATH = b"/ping"
LOAD_PATH = b"/_load"
NOT_STARTED_HEADER = b"Not-Started: 1\r\n"
STATUS_BY_RESULT = {JobResult.SERVED: 200, JobResult.ERROR: 500, JobResult.REJECTED: 503}
TRUNCATED_BYTES = 64  # excess of the declared over the actual body length in a truncated response
GARBLED_BYTES = 64  # number of random bytes that replace a garbled response
QUEUE_FILLERS = 3  # connections that fill the accept queue of a socket with a backlog of 0


@dataclass(slots=True, eq=False)
class ServerWork:
    """A request in progress at a server.

    Attributes:
        host: host of the server.
        connection: connection that receives the response.
        job: job of the server model.
        identity: identifiers of the request in records.
        received_ms: time at which the last byte of the request was received.
        first_byte_ms: time at which its first byte was received.
        deadline_ms: time at which its sender stops waiting.
        total_work_ms: work of the request over all tiers, in ms of a reference core.
        client_connected: False once the connection is closed.
    """

    host: EmulatedServerHost
    connection: HostConnection
    job: Job
    identity: RequestIdentity
    received_ms: float
    first_byte_ms: float
    deadline_ms: float
    total_work_ms: float
    client_connected: bool = True


class HostOwner(Protocol):
    """Handler of the requests of hosts and of the actions of their models."""

    def accept_request(
        self, host: EmulatedServerHost, connection: HostConnection, request: HttpRequest
    ) -> ServerWork | None:
        """Create the work of a received request; respond and return None if the request is malformed."""

    def apply_actions(self, host: EmulatedServerHost, actions: list[Action]) -> None:
        """Carry out the actions that the model of a host has returned."""

    def record_timer_lag(self, lag_ms: float) -> None:
        """Record how late a timer of a server model fired."""


class HostConnection(ServerConnection):
    """Connection to an emulated server.

    Attributes:
        host: host of the server.
        fault: fault that affects the connection, if any.
        work: request in progress on the connection, if any.
    """

    def __init__(self, host: EmulatedServerHost) -> None:
        super().__init__(self._received, self._opened, self._closed)
        self.host = host
        self.fault: ConnectionFault | None = None
        self.work: ServerWork | None = None

    def _received(self, request: HttpRequest) -> None:
        self.host.receive(self, request)

    def _opened(self, _: ServerConnection) -> None:
        self.host.connection_opened(self)

    def _closed(self, _: ServerConnection) -> None:
        self.host.connection_closed(self)


class EmulatedServerHost:
    """Host of one emulated server, which survives restarts of the server process.

    It owns the listening socket, the connections, and the timer that drives the model.

    Attributes:
        model: model of the current server process.
        address: listen address, the same for all processes.
        connections: open connections.
        sends_load_reports: whether responses include a load report.
        isolated: whether the machine is cut off from the network.
    """

    def __init__(
        self,
        owner: HostOwner,
        spec: ServerSpec,
        dedup_table: DedupTable,
        rng: np.random.Generator,
        warming_up: bool,
        sends_load_reports: bool,
    ) -> None:
        self.owner, self.spec, self.dedup_table, self.rng = owner, spec, dedup_table, rng
        self.sends_load_reports = sends_load_reports
        self.loop = asyncio.get_running_loop()
        self.model = EmulatedServer(spec, dedup_table, rng, now_ms(), warming_up)
        self.address: Address = ("127.0.0.1", 0)
        self.isolated = False
        self.connections: set[HostConnection] = set()
        self._faults = ConnectionFaults()
        self._socket: socket.socket | None = None
        self._server: asyncio.Server | None = None
        self._timer: asyncio.TimerHandle | None = None
        self._due_ms = math.inf
        self._queue_fillers: list[socket.socket] = []

    async def listen(self) -> Address:
        """Start to accept connections and return the listen address."""
        self._socket = socket.create_server(self.address, backlog=LISTEN_BACKLOG)
        self.address = self._socket.getsockname()[:2]
        await self._accept(self._socket)
        return self.address

    async def _accept(self, listening: socket.socket) -> None:
        # The server closes its socket; a duplicate keeps the original usable.
        self._server = await self.loop.create_server(
            lambda: HostConnection(self), sock=listening.dup(), backlog=LISTEN_BACKLOG
        )

    def stop_accepting(self) -> None:
        """Close the listening socket, so that new connections are refused."""
        if self._server is not None:
            self._server.close()
            self._server = None
        if self._socket is not None:
            self._socket.close()
            self._socket = None

    async def resume_accepting(self) -> None:
        """Accept connections again, on the same address."""
        if self._socket is None:
            await self.listen()
        elif self._server is None:
            await self._accept(self._socket)

    def isolate(self) -> None:
        """Cut the machine off from the network: open connections fall silent, and new ones are never established."""
        self.isolated = True
        for connection in self.connections:
            connection.silent = True
        if self._server is not None and self._socket is not None:
            self._server.close()
            self._server = None
            self._fill_accept_queue(self._socket)

    def _fill_accept_queue(self, listening: socket.socket) -> None:
        """Fill the accept queue, so that the kernel drops new connections without a reset."""
        listening.listen(0)
        for _ in range(QUEUE_FILLERS):
            filler = socket.socket()
            filler.setblocking(False)
            with contextlib.suppress(BlockingIOError):
                filler.connect(self.address)
            self._queue_fillers.append(filler)

    async def rejoin(self) -> None:
        """Reconnect the machine to the network, and reset its open connections."""
        self.isolated = False
        self._close_queue_fillers()
        for connection in list(self.connections):
            connection.silent = False
            connection.reset()
        if self._socket is not None:
            self._socket.listen(LISTEN_BACKLOG)
            await self._accept(self._socket)

    def _close_queue_fillers(self) -> None:
        for filler in self._queue_fillers:
            filler.close()
        self._queue_fillers.clear()

    def begin_fault(self, number: int, fault: ConnectionFault) -> None:
        """Activate a fault that affects a share of the open connections and of those opened later."""
        self._faults.begin(number, fault, self.connections)

    def end_fault(self, number: int) -> None:
        """Stop affecting new connections."""
        self._faults.end(number)

    def connection_opened(self, connection: HostConnection) -> None:
        """Add a connection that a client has opened."""
        self.connections.add(connection)
        if self.isolated:
            connection.silent = True
        self._faults.affect_new(connection)
        self.catch_up(now := now_ms())
        self.model.connection_opened(now)
        self.arm()

    def connection_closed(self, connection: HostConnection) -> None:
        """Remove a closed connection. Work on a request in progress on it continues."""
        self.connections.discard(connection)
        if connection.work is not None:
            connection.work.client_connected = False
        self.catch_up(now := now_ms())
        self.model.connection_closed(now)
        self.arm()

    def receive(self, connection: HostConnection, request: HttpRequest) -> None:
        """Handle a request received on a connection."""
        path = request.target.partition(b"?")[0]
        if path in (HEALTH_PATH, LOAD_PATH):
            self._respond_to_health_check(connection, path)
            return
        if connection.fault is not None and connection.fault.kind is ConnectionFaultKind.RESET:
            connection.reset()
            return
        if self.model.connection_count > self.spec.max_connections:
            connection.respond(503, extra=NOT_STARTED_HEADER, close=True)
            return
        work = self.owner.accept_request(self, connection, request)
        if work is None:
            return
        connection.work = work
        self.catch_up(now := now_ms())
        self.owner.apply_actions(self, self.model.submit(now, work.job))
        self.arm()

    def _respond_to_health_check(self, connection: HostConnection, path: bytes) -> None:
        self.catch_up(now := now_ms())
        up = self.model.check_health(now)
        body = self._load_report().encode() if path == LOAD_PATH and self.sends_load_reports else b""
        connection.respond(200 if up else 503, body)
        self.arm()

    def reply(self, work: ServerWork, result: JobResult, body: bytes) -> None:
        """Send the response to a request, subject to the fault of its connection."""
        connection = work.connection
        if connection.work is work:
            connection.work = None
        if not work.client_connected or connection.transport is None:
            return
        status = STATUS_BY_RESULT[result]
        headers = (
            b"Server-Load: TEXT %b\r\n" % self._load_report().encode() if self.sends_load_reports else b""
        )
        if result is JobResult.REJECTED:
            headers += NOT_STARTED_HEADER
        fault = connection.fault
        match None if fault is None else fault.kind:
            case ConnectionFaultKind.DELAY if fault is not None:
                delay_s = fault.delay_ms / 1000.0
                self.loop.call_later(delay_s, connection.respond, status, body, headers)
            case ConnectionFaultKind.TRUNCATED_RESPONSE:
                length = len(body) + TRUNCATED_BYTES
                response = b"HTTP/1.1 %d X\r\nContent-Length: %d\r\n\r\n%b" % (status, length, body)
                connection.write(response[: len(response) // 2])
                connection.close()
            case ConnectionFaultKind.GARBLED_RESPONSE if fault is not None:
                connection.write(bytes(fault.rng.integers(0, 256, GARBLED_BYTES, dtype=np.uint8)))
            case _:
                connection.respond(status, body, headers)

    def _load_report(self) -> str:
        return f"queue={self.model.reported_queue(now_ms()):.3f}"

    def arm(self) -> None:
        """Set the timer to the next event of the model."""
        due_ms = self.model.next_due_ms()
        if due_ms == self._due_ms and self._timer is not None:
            return
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        self._due_ms = due_ms
        if due_ms != math.inf:
            # Rounded up to whole milliseconds, so that the timer does not fire before the event is due.
            wait_ms = max(0, math.ceil(due_ms - now_ms()))
            self._timer = self.loop.call_later(wait_ms / 1000.0, self._tick, now_ms() + wait_ms)

    def catch_up(self, now: float) -> None:
        """Process the events of the model that are due by now, in case its timer is late."""
        if self.model.next_due_ms() <= now:
            self.owner.apply_actions(self, self.model.tick(now))

    def _tick(self, planned_ms: float) -> None:
        now = now_ms()
        self._timer = None
        self._due_ms = math.nan
        self.owner.record_timer_lag(max(0.0, now - planned_ms))
        self.owner.apply_actions(self, self.model.tick(now))
        self.arm()

    def terminate(self) -> None:
        """Stop the server process: reset its connections, refuse new ones, and lose all its work."""
        self.model.stop(now_ms())
        self.stop_accepting()
        for connection in list(self.connections):
            connection.reset()
        self.arm()

    def close(self) -> None:
        """Cancel the timer and close all sockets."""
        if self._timer is not None:
            self._timer.cancel()
        self._close_queue_fillers()
        self.stop_accepting()
        for connection in list(self.connections):
            connection.close()

    def restart(self) -> None:
        """Start a new server process, which warms up."""
        self.model = EmulatedServer(self.spec, self.dedup_table, self.rng, now_ms(), warming_up=True)
        self.arm()
