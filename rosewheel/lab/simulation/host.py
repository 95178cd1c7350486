"""Host of a simulated server: connects the model of `server_model` to simulated connections and faults."""

from __future__ import annotations

import math
from dataclasses import dataclass
from typing import Protocol

import numpy as np

from rosewheel.lab.connection_faults import ConnectionFault, ConnectionFaults
from rosewheel.lab.fault_table import ConnectionFaultKind
from rosewheel.lab.server_model import Action, DedupTable, EmulatedServer, Job, JobResult, ServerSpec
from rosewheel.lab.simulation.events import EventQueue
from rosewheel.lab.simulation.network import Attempt, Connection, LoadReport
from rosewheel.policy.events import AttemptResult

ATTEMPT_RESULTS = {
    JobResult.SERVED: AttemptResult.OK,
    JobResult.ERROR: AttemptResult.ERROR,
    JobResult.REJECTED: AttemptResult.OVERLOADED,
}
BROKEN_RESPONSES = (ConnectionFaultKind.TRUNCATED_RESPONSE, ConnectionFaultKind.GARBLED_RESPONSE)


@dataclass(slots=True, eq=False)
class SimulatedWork:
    """A request in progress at a server.

    Attributes:
        received_ms: when its last byte was received.
        deadline_ms: when the attempt of the node times out.
        client_connected: False once the connection is closed or reset.
        call_targets: indices of the tiers to call, in order of the calls.
    """

    host: SimulatedServerHost
    connection: Connection
    attempt: Attempt
    job: Job
    received_ms: float
    deadline_ms: float
    client_connected: bool = True
    call_targets: tuple[int, ...] = ()


class HostOwner(Protocol):
    """Handler of the requests of hosts and of the actions of their models."""

    def accept_request(
        self, host: SimulatedServerHost, connection: Connection, attempt: Attempt
    ) -> SimulatedWork:
        """Create the work of a received request."""

    def apply_actions(self, host: SimulatedServerHost, actions: list[Action]) -> None:
        """Carry out the actions that the model of a host has returned."""


class SimulatedServerHost:
    """Host of one simulated server, which survives restarts of the server process.

    Attributes:
        sends_load_reports: whether responses carry a load report.
        model: model of the current process.
        listening: whether connections are accepted.
        isolated: whether the machine is cut off from the network.
        connections: open connections in the order of their opening, with the request in progress on each.
        work: requests in progress, by id of the job.
    """

    def __init__(
        self,
        owner: HostOwner,
        queue: EventQueue,
        spec: ServerSpec,
        dedup_table: DedupTable,
        rng: np.random.Generator,
        warming_up: bool,
        sends_load_reports: bool,
    ) -> None:
        self.owner, self.queue, self.spec = owner, queue, spec
        self.dedup_table, self.rng, self.sends_load_reports = dedup_table, rng, sends_load_reports
        self.model = EmulatedServer(spec, dedup_table, rng, queue.now, warming_up)
        self.listening = False
        self.isolated = False
        self.connections: dict[Connection, SimulatedWork | None] = {}
        self.work: dict[int, SimulatedWork] = {}
        self._faults = ConnectionFaults()
        self._started_ms = queue.now
        self._earlier_uptime_ms = 0.0  # of previous processes
        self._earlier_work_ms = 0.0  # of previous processes
        self._armed_ms = math.inf  # time of the scheduled `_tick`
        self._due_ms = self.model.next_due_ms()  # as of the last event of the model

    # ----------------------------------------------------------- connections

    def connection_opened(self, connection: Connection) -> None:
        """Add a connection that a node has opened."""
        self.connections[connection] = None
        connection.silent = self.isolated
        self._faults.affect_new(connection)
        self.catch_up(self.queue.now)
        self.model.connection_opened(self.queue.now)
        self.arm()

    def connection_closed(self, connection: Connection) -> None:
        """Remove a connection that a node has closed. Work on a request in progress on it continues."""
        if connection not in self.connections:
            return
        self._remove_connection(connection)
        self.catch_up(self.queue.now)
        self.model.connection_closed(self.queue.now)
        self.arm()

    def _remove_connection(self, connection: Connection) -> None:
        work = self.connections.pop(connection)
        if work is not None:
            work.client_connected = False

    def receive(self, connection: Connection, attempt: Attempt) -> None:
        """Handle an attempt received on a connection."""
        if connection.reset_by_host or connection.silent or connection not in self.connections:
            return
        if connection.fault is not None and connection.fault.kind is ConnectionFaultKind.RESET:
            self.reset_connection(connection)
            return
        if self.model.connection_count > self.spec.max_connections:
            self._respond(connection, attempt, AttemptResult.OVERLOADED, keep_open=False)
            return
        work = self.owner.accept_request(self, connection, attempt)
        self.connections[connection] = self.work[work.job.id] = work
        self.catch_up(self.queue.now)
        self.owner.apply_actions(self, self.model.submit(self.queue.now, work.job))
        self.arm()

    def reply(self, work: SimulatedWork, result: JobResult) -> None:
        """Send the response to a request, subject to the fault of its connection."""
        connection = work.connection
        if self.connections.get(connection) is work:
            self.connections[connection] = None
        if not work.client_connected or connection.reset_by_host or connection.silent:
            return
        fault, attempt_result = connection.fault, ATTEMPT_RESULTS[result]
        if fault is not None and fault.kind is ConnectionFaultKind.DELAY:
            self.queue.call_later(fault.delay_ms, self._respond, connection, work.attempt, attempt_result)
        elif fault is not None and fault.kind in BROKEN_RESPONSES:
            self._respond(connection, work.attempt, AttemptResult.RESET, keep_open=False)
        else:
            self._respond(connection, work.attempt, attempt_result)

    def _respond(
        self, connection: Connection, attempt: Attempt, result: AttemptResult, keep_open: bool = True
    ) -> None:
        if connection.reset_by_host or connection.silent:
            return
        report = None if result is AttemptResult.RESET else self._load_report()
        node = connection.node
        self.queue.call_later(
            connection.one_way_ms, node.attempt_answered, attempt, result, report, keep_open
        )

    def check_health(self) -> tuple[AttemptResult, LoadReport | None]:
        """Process a health check and return its result and the load report."""
        self.catch_up(self.queue.now)
        up = self.model.check_health(self.queue.now)
        self.arm()
        return (AttemptResult.OK if up else AttemptResult.ERROR), self._load_report()

    def _load_report(self) -> LoadReport | None:
        if not self.sends_load_reports:
            return None
        return {"queue": round(self.model.reported_queue(self.queue.now), 3)}

    def reset_connection(self, connection: Connection) -> None:
        """Reset a connection."""
        if connection not in self.connections:
            return
        self._remove_connection(connection)
        connection.reset_by_host = True
        self.model.connection_closed(self.queue.now)
        self.queue.call_later(connection.one_way_ms, connection.node.connection_reset, connection)

    # ----------------------------------------------------------------- faults

    def begin_fault(self, number: int, fault: ConnectionFault) -> None:
        """Affect a share of the open connections and of those opened until `end_fault`."""
        self._faults.begin(number, fault, self.connections)

    def end_fault(self, number: int) -> None:
        """Stop affecting new connections. Those already affected remain so."""
        self._faults.end(number)

    def isolate(self) -> None:
        """Cut the machine off from the network. Nothing is received on open connections, and no new ones open."""
        self.isolated = True
        for connection in self.connections:
            connection.silent = True

    def rejoin(self) -> None:
        """Reconnect the machine to the network. Connections from before the isolation are reset."""
        self.isolated = False
        for connection in list(self.connections):
            connection.silent = False
            self.reset_connection(connection)

    def lose_machine(self) -> None:
        """Isolate the machine and end its process, whose work is lost."""
        self.isolate()
        self._stop()

    def set_partitioned(self, partitioned: bool, connections: list[Connection]) -> None:
        """Begin or end a network partition between the ends of these connections, which are reset when it ends."""
        for connection in connections:
            connection.silent = partitioned or self.isolated
            if not connection.silent:
                self.reset_connection(connection)

    def terminate(self) -> None:
        """End the process. Its connections are reset, new ones are refused, and its work is lost."""
        self._stop()
        for connection in list(self.connections):
            self.reset_connection(connection)

    def _stop(self) -> None:
        self.model.stop(self.queue.now)
        if self.listening:
            self._earlier_uptime_ms += self.queue.now - self._started_ms
        self.listening = False
        self.work.clear()

    def restart(self) -> None:
        """Start a new process, which warms up."""
        self._earlier_work_ms += self.model.work_done_ms
        now = self.queue.now
        self.model = EmulatedServer(self.spec, self.dedup_table, self.rng, now, warming_up=True)
        self.listening, self.isolated, self._started_ms = True, False, now
        self._armed_ms = math.inf
        self.arm()

    def utilization(self, now: float) -> float:
        """Return the work done so far as a share of what all cores could have done during the uptime."""
        uptime_ms = self._earlier_uptime_ms + (now - self._started_ms if self.listening else 0.0)
        work_ms = self._earlier_work_ms + self.model.work_done_ms
        return work_ms / (uptime_ms * self.spec.cores * self.spec.speed) if uptime_ms > 0.0 else 0.0

    # ------------------------------------------------------------------ timer

    def arm(self) -> None:
        """Schedule the next tick of the model, unless one is scheduled before it. Called after each event."""
        self._due_ms = due_ms = self.model.next_due_ms()
        if due_ms < self._armed_ms:
            self._armed_ms = due_ms
            self.queue.call_at(due_ms, self._tick, due_ms)

    def catch_up(self, now: float) -> None:
        """Process what the model has due up to now, before an event is passed to it."""
        if self._due_ms <= now:
            self.owner.apply_actions(self, self.model.tick(now))
            self._due_ms = self.model.next_due_ms()

    def _tick(self, due_ms: float) -> None:
        if due_ms != self._armed_ms:  # replaced by an earlier tick
            return
        self._armed_ms = math.inf
        self.catch_up(self.queue.now)
        self.arm()
