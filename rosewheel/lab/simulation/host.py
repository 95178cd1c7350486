"""An equipo of a simulated run: the model of `equipo.py` with its connections and faults, without a socket."""

from __future__ import annotations

import math
from dataclasses import dataclass
from typing import Protocol

import numpy as np

from rosewheel.lab import server_model as model
from rosewheel.lab.server_host import ConnectionFault
from rosewheel.lab.simulation.events import EventQueue
from rosewheel.lab.simulation.network import Attempt, Connection
from rosewheel.policy.events import AttemptResult

Report = dict[str, float]


@dataclass(slots=True, eq=False)
class SimulatedWork:
    """A request that an equipo works on."""

    host: SimulatedServerHost
    connection: Connection
    attempt: Attempt
    job: model.Job
    received_ms: float
    deadline_ms: float
    client_connected: bool = True  # False: whoever asked has gone
    call_targets: tuple[int, ...] = ()  # the tiers that it calls, one call after the other


class HostOwner(Protocol):
    """What a host needs of its world."""

    queue: EventQueue

    def accept_request(
        self, host: SimulatedServerHost, link: Connection, exchange: Attempt
    ) -> SimulatedWork: ...
    def apply_actions(self, host: SimulatedServerHost, acts: list[model.Action]) -> None: ...


class SimulatedServerHost:
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
        self.queue = owner.queue
        self.model = model.EmulatedServer(spec, memory, rng, self.queue.now, cold)
        self.listening = False
        self.isolated = False
        self.connections: dict[Connection, None] = {}  # in the order in which they came
        self.work: dict[int, SimulatedWork] = {}
        self.faults: dict[int, ConnectionFault] = {}  # by trouble
        self.since_ms = self.queue.now  # when it was last started,
        self.up_ms = 0.0  # and for how long it had run before
        self.worked = 0.0  # work done by the models before this one
        self._armed = math.inf  # when the queue wakes it
        self._due = self.model.next_due_ms()  # the model's next moment, as of its last event

    # ----------------------------------------------------------- connections

    def connection_opened(self, link: Connection) -> None:
        self.connections[link] = None
        link.silent = self.isolated
        for fault in self.faults.values():
            self._befall(link, fault)
        self.catch_up()
        self.model.connect(self.queue.now)
        self.arm()

    def connection_closed(self, link: Connection) -> None:
        """Its node has closed it, or is gone."""
        if link not in self.connections:
            return
        del self.connections[link]
        if link.work is not None:
            link.work.client_connected = False  # a cancel or a time-out stops no work
        self.catch_up()
        self.model.disconnect(self.queue.now)
        self.arm()

    def receive(self, link: Connection, exchange: Attempt) -> None:
        if link.reset_by_host or link.silent or link not in self.connections:
            return
        if link.fault is not None and link.fault.kind == "reset":
            self.reset_connection(link)
            return
        if self.model.connection_count > self.spec.max_connections:
            self._answer(link, exchange, AttemptResult.OVERLOADED, keep=False)
            return
        work = self.owner.accept_request(self, link, exchange)
        link.work = self.work[work.job.id] = work
        self.catch_up()
        self.owner.apply_actions(self, self.model.arrive(self.queue.now, work.job))
        self.arm()

    def reply(self, work: SimulatedWork, verdict: model.JobResult) -> None:
        """Answer a request, through whatever fault its connection has."""
        link = work.connection
        if link.work is work:
            link.work = None
        if not work.client_connected or link.reset_by_host or link.silent:
            return
        result = {
            model.JobResult.SERVED: AttemptResult.OK,
            model.JobResult.ERROR: AttemptResult.ERROR,
            model.JobResult.REJECTED: AttemptResult.OVERLOADED,
        }[verdict]
        how = link.fault.kind if link.fault is not None else ""
        if how == "delay" and link.fault is not None:
            self.queue.call_later(link.fault.delay_ms, self._answer, link, work.attempt, result)
        elif how in ("half", "spoilt"):
            self._answer(link, work.attempt, AttemptResult.RESET, keep=False)
        else:
            self._answer(link, work.attempt, result)

    def _answer(self, link: Connection, exchange: Attempt, result: AttemptResult, keep: bool = True) -> None:
        if link.reset_by_host or link.silent:
            return
        told = result is not AttemptResult.RESET and self.reports
        report = {"queue": round(self.model.reported_queue(self.queue.now), 3)} if told else None
        self.queue.call_later(link.one_way_ms, link.node.attempt_answered, exchange, result, report, keep)

    def check_health(self) -> tuple[AttemptResult, Report | None]:
        """A health call: nothing vanished answers one, nor what does not listen."""
        self.catch_up()
        up = self.model.check_health(self.queue.now)
        self.arm()
        report = {"queue": round(self.model.reported_queue(self.queue.now), 3)} if self.reports else None
        return (AttemptResult.OK if up else AttemptResult.ERROR), report

    def reset_connection(self, link: Connection) -> None:
        """Reset a connection."""
        if link not in self.connections:
            return
        del self.connections[link]
        link.reset_by_host = True
        if link.work is not None:
            link.work.client_connected = False
        self.model.disconnect(self.queue.now)
        self.queue.call_later(link.one_way_ms, link.node.connection_reset, link)

    # --------------------------------------------------------------- troubles

    def begin_fault(self, number: int, fault: ConnectionFault) -> None:
        """From now on this befalls its share of the connections, those that are open included."""
        self.faults[number] = fault
        for link in self.connections:
            self._befall(link, fault)

    def end_fault(self, number: int) -> None:
        """New connections are well again; those that it befell stay as they are until they are closed."""
        self.faults.pop(number, None)

    @staticmethod
    def _befall(link: Connection, fault: ConnectionFault) -> None:
        if link.fault is None and fault.rng.random() < fault.share:
            link.fault = fault
            link.silent = fault.kind == "silence"

    def isolate(self) -> None:
        """The machine is cut off: what is open says nothing any more, what is new never comes up."""
        self.isolated = True
        for link in self.connections:
            link.silent = True

    def rejoin(self) -> None:
        """It is back: connections from before are reset."""
        self.isolated = False
        for link in list(self.connections):
            link.silent = False
            self.reset_connection(link)

    def lose_machine(self) -> None:
        """The machine is lost with all it held: as cut off, but nothing goes on there."""
        self.isolate()
        self.model.stop(self.queue.now)
        if self.listening:
            self.up_ms += self.queue.now - self.since_ms
        self.listening = False
        self.work.clear()

    def set_partitioned(self, silent: bool, links: list[Connection]) -> None:
        """A cut of the network that these connections cross begins, or is over: then they are reset."""
        for link in links:
            link.silent = silent or self.isolated
            if not link.silent:
                self.reset_connection(link)

    def terminate(self) -> None:
        """The process is gone: connections reset, new ones refused, and all it held with it."""
        self.model.stop(self.queue.now)
        if self.listening:
            self.up_ms += self.queue.now - self.since_ms
        self.listening = False
        self.work.clear()
        for link in list(self.connections):
            self.reset_connection(link)

    def restart(self) -> None:
        """A new process under the same name, cold."""
        self.worked += self.model.work_done_ms
        self.model = model.EmulatedServer(self.spec, self.dedup_table, self.rng, self.queue.now, cold=True)
        self.listening, self.isolated, self.since_ms = True, False, self.queue.now
        self._armed = math.inf
        self.arm()

    def utilization(self, now: float) -> float:
        """The work it has done so far, as a share of what all its cores could have, warm and by themselves."""
        up = self.up_ms + (now - self.since_ms if self.listening else 0.0)
        worked = self.worked + self.model.work_done_ms
        return worked / (up * self.spec.cores * self.spec.speed) if up > 0.0 else 0.0

    # ------------------------------------------------------------------ timer

    def arm(self) -> None:
        """After each event: one event of the queue, at the model's next moment or earlier."""
        self._due = due = self.model.next_due_ms()
        if due < self._armed:
            self._armed = due
            self.queue.call_at(due, self._tick, due)

    def catch_up(self) -> None:
        """What is due before whatever has just come."""
        if self._due <= self.queue.now:
            self.owner.apply_actions(self, self.model.tick(self.queue.now))
            self._due = self.model.next_due_ms()

    def _tick(self, meant: float) -> None:
        if meant != self._armed:  # an earlier one has been set since
            return
        self._armed = math.inf
        self.catch_up()
        self.arm()
