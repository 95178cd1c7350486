"""An emulated server on its socket: the model of `server_model` behind HTTP, with its faults."""

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
TRUNCATED_BYTES = 64  # announced above the length of a truncated response
GARBLED_BYTES = 64
QUEUE_FILLERS = 3  # connections that fill the queue of a listening socket with a backlog of 0


@dataclass(slots=True, eq=False)
class ServerWork:
    """A request that a server works on, and where its response goes.

    Attributes:
        deadline_ms: when its sender stops to wait.
        total_work_ms: its work over all tiers.
        client_connected: False once the sender has closed the connection.
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
    """What a host needs of the emulator."""

    def accept_request(
        self, host: EmulatedServerHost, connection: HostConnection, request: HttpRequest
    ) -> ServerWork | None:
        """The work of a request; None where the request is malformed and has been answered."""

    def apply_actions(self, host: EmulatedServerHost, actions: list[Action]) -> None:
        """Carry out what the model of the host returned."""

    def record_timer_lag(self, lag_ms: float) -> None:
        """A timer of a model fired this late."""


class HostConnection(ServerConnection):
    """A connection to an emulated server.

    Attributes:
        fault: the fault that affects it, if any.
        work: the request in progress on it.
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
    """One server: its listening socket, its connections, and the timer that drives its model.

    Attributes:
        sends_load_reports: whether responses carry the load report.
        isolated: the machine is cut off from the network.
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

    # -------------------------------------------------------------- listening

    async def listen(self) -> Address:
        """Accept connections; returns the address, which stays the same for the life of the host."""
        self._socket = socket.create_server(self.address, backlog=LISTEN_BACKLOG)
        self.address = self._socket.getsockname()[:2]
        await self._accept(self._socket)
        return self.address

    async def _accept(self, listening: socket.socket) -> None:
        # A descriptor of its own, so that closing the server leaves the socket to be used again.
        self._server = await self.loop.create_server(
            lambda: HostConnection(self), sock=listening.dup(), backlog=LISTEN_BACKLOG
        )

    def stop_accepting(self) -> None:
        """Refuse connections from now on."""
        if self._server is not None:
            self._server.close()
            self._server = None
        if self._socket is not None:
            self._socket.close()
            self._socket = None

    async def resume_accepting(self) -> None:
        """Accept connections again on the same address."""
        if self._socket is None:
            await self.listen()
        elif self._server is None:
            await self._accept(self._socket)

    def isolate(self) -> None:
        """Cut the machine off: open connections fall silent, new ones never open."""
        self.isolated = True
        for connection in self.connections:
            connection.silent = True
        if self._server is not None and self._socket is not None:
            self._server.close()
            self._server = None
            self._fill_accept_queue(self._socket)

    def _fill_accept_queue(self, listening: socket.socket) -> None:
        """With a full accept queue the system drops new connections: neither opened nor reset."""
        listening.listen(0)
        for _ in range(QUEUE_FILLERS):
            filler = socket.socket()
            filler.setblocking(False)
            with contextlib.suppress(BlockingIOError):
                filler.connect(self.address)
            self._queue_fillers.append(filler)

    async def rejoin(self) -> None:
        """End the isolation; connections from before it are reset."""
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
        """Affect a share of the connections from now on, the open ones included."""
        self._faults.begin(number, fault, self.connections)

    def end_fault(self, number: int) -> None:
        """Affect new connections no longer."""
        self._faults.end(number)

    # ------------------------------------------------------------ connections

    def connection_opened(self, connection: HostConnection) -> None:
        """A client has opened a connection."""
        self.connections.add(connection)
        if self.isolated:
            connection.silent = True
        self._faults.affect_new(connection)
        self.catch_up(now := now_ms())
        self.model.connection_opened(now)
        self.arm()

    def connection_closed(self, connection: HostConnection) -> None:
        """A connection has ended. A cancelled request or one past its timeout stops no work."""
        self.connections.discard(connection)
        if connection.work is not None:
            connection.work.client_connected = False
        self.catch_up(now := now_ms())
        self.model.connection_closed(now)
        self.arm()

    def receive(self, connection: HostConnection, request: HttpRequest) -> None:
        """A complete request has been received."""
        path = request.target.partition(b"?")[0]
        if path in (HEALTH_PATH, LOAD_PATH):
            self._answer_health_check(connection, path)
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

    def _answer_health_check(self, connection: HostConnection, path: bytes) -> None:
        self.catch_up(now := now_ms())
        up = self.model.check_health(now)
        body = self._load_report().encode() if path == LOAD_PATH and self.sends_load_reports else b""
        connection.respond(200 if up else 503, body)
        self.arm()

    def reply(self, work: ServerWork, result: JobResult, body: bytes) -> None:
        """Send the response of a request, as the fault of its connection has it."""
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

    # ------------------------------------------------------------------ timer

    def arm(self) -> None:
        """Set one timer of the loop to the model's next moment."""
        due_ms = self.model.next_due_ms()
        if due_ms == self._due_ms and self._timer is not None:
            return
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        self._due_ms = due_ms
        if due_ms != math.inf:
            # Rounded up to the loop's milliseconds: an early timer would only have to be set again at once.
            wait_ms = max(0, math.ceil(due_ms - now_ms()))
            self._timer = self.loop.call_later(wait_ms / 1000.0, self._tick, now_ms() + wait_ms)

    def catch_up(self, now: float) -> None:
        """Do what was due before an event that has just happened: a timer may be late, an event is not."""
        if self.model.next_due_ms() <= now:
            self.owner.apply_actions(self, self.model.tick(now))

    def _tick(self, planned_ms: float) -> None:
        now = now_ms()
        self._timer = None
        self._due_ms = math.nan
        self.owner.record_timer_lag(max(0.0, now - planned_ms))
        self.owner.apply_actions(self, self.model.tick(now))
        self.arm()

    # -------------------------------------------------------------------- end

    def terminate(self) -> None:
        """End the process: connections are reset, new ones refused, and all its work is lost."""
        self.model.stop(now_ms())
        self.stop_accepting()
        for connection in list(self.connections):
            connection.reset()
        self.arm()

    def close(self) -> None:
        """Release timer and sockets."""
        if self._timer is not None:
            self._timer.cancel()
        self._close_queue_fillers()
        self.stop_accepting()
        for connection in list(self.connections):
            connection.close()

    def restart(self) -> None:
        """Start a new process under the same name, which warms up."""
        self.model = EmulatedServer(self.spec, self.dedup_table, self.rng, now_ms(), warming_up=True)
        self.arm()
