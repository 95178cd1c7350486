"""An emulated equipo on its socket: the model of `equipo.py` behind HTTP, with its faults."""

from __future__ import annotations

import asyncio
import contextlib
import math
import socket
from dataclasses import dataclass
from typing import Protocol

import numpy as np

from rosewheel.lab import server_model as model
from rosewheel.lab.wire import Address, HttpRequest, ServerConnection, now_ms

LISTEN_BACKLOG = 512


@dataclass(slots=True, frozen=True)
class ConnectionFault:
    """What befalls a share of the connections while a trouble lasts."""

    kind: str
    share: float
    delay_ms: float
    rng: np.random.Generator


@dataclass(slots=True, eq=False)
class ServerWork:
    """A request that an equipo works on, and where its answer goes."""

    host: EmulatedServerHost
    request: HttpRequest
    job: model.Job
    class_name: str
    sender: str
    operation_id: str
    deadline_ms: float
    total_work_ms: float  # of work over all tiers
    client_connected: bool = True  # False: whoever asked has gone


class HostOwner(Protocol):
    """What a host needs of the emulator."""

    def accept_request(self, host: EmulatedServerHost, asked: HttpRequest) -> ServerWork | None: ...
    def apply_actions(self, host: EmulatedServerHost, acts: list[model.Action]) -> None: ...
    def record_timer_lag(self, lag_ms: float) -> None: ...


class EmulatedServerHost:
    """One equipo: listener, connections, and the timer that drives its model."""

    def __init__(
        self,
        owner: HostOwner,
        spec: model.ServerSpec,
        memory: model.DedupTable,
        rng: np.random.Generator,
        cold: bool,
        reports: bool,
    ) -> None:
        self.owner, self.spec, self.dedup_table, self.rng, self.reports = owner, spec, memory, rng, reports
        self.loop = asyncio.get_running_loop()
        self.model = model.EmulatedServer(spec, memory, rng, now_ms(), cold)
        self.address: Address = ("127.0.0.1", 0)
        self.faults: dict[int, ConnectionFault] = {}  # by trouble
        self.isolated = False
        self.connections: set[ServerConnection] = set()
        self.affected_connections: dict[ServerConnection, ConnectionFault] = {}
        self._sock: socket.socket | None = None
        self._server: asyncio.Server | None = None
        self._timer: asyncio.TimerHandle | None = None
        self._due = math.inf
        self._fillers: list[socket.socket] = []

    # ------------------------------------------------------------- listening

    async def listen(self) -> Address:
        self._sock = socket.create_server(self.address, backlog=LISTEN_BACKLOG)
        self.address = self._sock.getsockname()[:2]
        await self._accept()
        return self.address

    async def _accept(self) -> None:
        assert self._sock is not None
        # A descriptor of its own, so that closing the server leaves the socket to be used again.
        self._server = await self.loop.create_server(
            self._serving, sock=self._sock.dup(), backlog=LISTEN_BACKLOG
        )

    def _serving(self) -> ServerConnection:
        return ServerConnection(self._asked, self._made, self._lost)

    def stop_accepting(self) -> None:
        """From now on connections are refused: nobody listens."""
        if self._server is not None:
            self._server.close()
            self._server = None
        if self._sock is not None:
            self._sock.close()
            self._sock = None

    async def resume_accepting(self) -> None:
        if self._sock is None:
            await self.listen()
        elif self._server is None:
            await self._accept()

    def isolate(self) -> None:
        """The machine is cut off: what is open says nothing any more, what is new never comes up."""
        self.isolated = True
        for connection in self.connections:
            connection.silent = True
        if self._server is not None and self._sock is not None:
            self._server.close()
            self._server = None
            # With the queue of the listening socket full the system drops what comes: no connection, no reset.
            self._sock.listen(0)
            for _ in range(3):
                filler = socket.socket()
                filler.setblocking(False)
                with contextlib.suppress(BlockingIOError):
                    filler.connect(self.address)
                self._fillers.append(filler)

    async def rejoin(self) -> None:
        """It is back: connections from before are reset."""
        self.isolated = False
        for filler in self._fillers:
            filler.close()
        self._fillers.clear()
        for connection in list(self.connections):
            connection.silent = False
            connection.reset()
        if self._sock is not None:
            self._sock.listen(LISTEN_BACKLOG)
            await self._accept()

    def begin_fault(self, number: int, fault: ConnectionFault) -> None:
        """From now on this befalls its share of the connections, those that are open included."""
        self.faults[number] = fault
        for connection in self.connections:
            self._befall(connection, fault)

    def end_fault(self, number: int) -> None:
        """New connections are well again; those that it befell stay as they are until they are closed."""
        self.faults.pop(number, None)

    def _befall(self, connection: ServerConnection, fault: ConnectionFault) -> None:
        if connection not in self.affected_connections and fault.rng.random() < fault.share:
            self.affected_connections[connection] = fault
            connection.silent = fault.kind == "silence"

    # ------------------------------------------------------------ connections

    def _made(self, connection: ServerConnection) -> None:
        self.connections.add(connection)
        if self.isolated:
            connection.silent = True
        for fault in self.faults.values():
            self._befall(connection, fault)
        self.catch_up(now := now_ms())
        self.model.connect(now)
        self.arm()

    def _lost(self, connection: ServerConnection) -> None:
        self.connections.discard(connection)
        self.affected_connections.pop(connection, None)
        work: ServerWork | None = connection.current_work
        if work is not None:
            work.client_connected = False  # a cancel or a time-out stops no work
        self.catch_up(now := now_ms())
        self.model.disconnect(now)
        self.arm()

    def _asked(self, asked: HttpRequest) -> None:
        path = asked.target.partition(b"?")[0]
        if path in (b"/ping", b"/_load"):
            self.catch_up(now := now_ms())
            up = self.model.check_health(now)
            body = self._load().encode() if path == b"/_load" and self.reports else b""
            asked.connection.respond(200 if up else 503, body)
            self.arm()
            return
        fault = self.affected_connections.get(asked.connection)
        if fault is not None and fault.kind == "reset":
            asked.connection.reset()
            return
        if self.model.connection_count > self.spec.max_connections:
            asked.connection.respond(503, extra=b"Not-Started: 1\r\n", close=True)
            return
        work = self.owner.accept_request(self, asked)
        if work is None:
            return
        asked.connection.current_work = work
        self.catch_up(now := now_ms())
        self.owner.apply_actions(self, self.model.arrive(now, work.job))
        self.arm()

    def reply(self, work: ServerWork, verdict: model.JobResult, body: bytes) -> None:
        """Answer a request, through whatever fault its connection has."""
        connection = work.request.connection
        if connection.current_work is work:
            connection.current_work = None
        if not work.client_connected or connection.transport is None:
            return
        status = {model.JobResult.SERVED: 200, model.JobResult.ERROR: 500, model.JobResult.REJECTED: 503}[
            verdict
        ]
        extra = b"" if not self.reports else b"Server-Load: TEXT %b\r\n" % self._load().encode()
        if verdict is model.JobResult.REJECTED:
            extra += b"Not-Started: 1\r\n"
        fault = self.affected_connections.get(connection)
        if fault is None or fault.kind in ("refuse", "silence", "reset"):
            connection.respond(status, body, extra)
        elif fault.kind == "delay":
            self.loop.call_later(fault.delay_ms / 1000.0, connection.respond, status, body, extra)
        elif fault.kind == "half":
            whole = b"HTTP/1.1 %d X\r\nContent-Length: %d\r\n\r\n%b" % (status, len(body) + 64, body)
            connection.write(whole[: len(whole) // 2])
            connection.close()
        else:  # spoilt
            connection.write(bytes(fault.rng.integers(0, 256, 64, dtype=np.uint8)))

    def _load(self) -> str:
        return f"queue={self.model.reported_queue(now_ms()):.3f}"

    # ----------------------------------------------------------------- timer

    def arm(self) -> None:
        """One timer of the loop, at the model's next moment."""
        due = self.model.next_due_ms()
        if due == self._due and self._timer is not None:
            return
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        self._due = due
        if due != math.inf:
            # Upward to the loop's whole milliseconds: a timer that is early would only come again at once.
            wait = max(0, math.ceil(due - now_ms()))
            self._timer = self.loop.call_later(wait / 1000.0, self._tick, now_ms() + wait)

    def catch_up(self, now: float) -> None:
        """What is due before whatever has just come: a timer may be a moment late, an event is not."""
        if self.model.next_due_ms() <= now:
            self.owner.apply_actions(self, self.model.tick(now))

    def _tick(self, meant_ms: float) -> None:
        now = now_ms()
        self._timer = None
        self._due = math.nan
        self.owner.record_timer_lag(max(0.0, now - meant_ms))
        self.owner.apply_actions(self, self.model.tick(now))
        self.arm()

    # ------------------------------------------------------------------- end

    def terminate(self) -> None:
        """The process is gone: connections reset, new ones refused, and all it held with it."""
        self.model.stop(now_ms())
        self.stop_accepting()
        for connection in list(self.connections):
            connection.reset()
        self.arm()

    def close(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
        for filler in self._fillers:
            filler.close()
        self.stop_accepting()
        for connection in list(self.connections):
            connection.close()

    def restart(self) -> None:
        """A new process under the same name, cold."""
        self.model = model.EmulatedServer(self.spec, self.dedup_table, self.rng, now_ms(), cold=True)
        self.arm()
