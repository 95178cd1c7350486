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
    link: Connection
    exchange: Attempt
    job: model.Job
    came_ms: float
    deadline_ms: float
    wanted: bool = True  # False: whoever asked has gone
    targets: tuple[int, ...] = ()  # the tiers that it calls, one call after the other


class HostOwner(Protocol):
    """What a host needs of its world."""

    queue: EventQueue

    def take(self, host: SimulatedServerHost, link: Connection, exchange: Attempt) -> SimulatedWork: ...
    def act(self, host: SimulatedServerHost, acts: list[model.Action]) -> None: ...


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
        self.owner, self.spec, self.memory, self.rng, self.reports = owner, spec, memory, rng, reports
        self.queue = owner.queue
        self.model = model.EmulatedServer(spec, memory, rng, self.queue.now, cold)
        self.listening = False
        self.vanished = False
        self.links: dict[Connection, None] = {}  # in the order in which they came
        self.work: dict[int, SimulatedWork] = {}
        self.faults: dict[int, ConnectionFault] = {}  # by trouble
        self.since_ms = self.queue.now  # when it was last started,
        self.up_ms = 0.0  # and for how long it had run before
        self.worked = 0.0  # work done by the models before this one
        self._armed = math.inf  # when the queue wakes it
        self._due = self.model.due()  # the model's next moment, as of its last event

    # ----------------------------------------------------------- connections

    def made(self, link: Connection) -> None:
        self.links[link] = None
        link.silent = self.vanished
        for fault in self.faults.values():
            self._befall(link, fault)
        self.catch_up()
        self.model.connect(self.queue.now)
        self.arm()

    def lost(self, link: Connection) -> None:
        """Its node has closed it, or is gone."""
        if link not in self.links:
            return
        del self.links[link]
        if link.work is not None:
            link.work.wanted = False  # a cancel or a time-out stops no work
        self.catch_up()
        self.model.disconnect(self.queue.now)
        self.arm()

    def asked(self, link: Connection, exchange: Attempt) -> None:
        if link.dead or link.silent or link not in self.links:
            return
        if link.fault is not None and link.fault.how == "reset":
            self.break_off(link)
            return
        if self.model.connected > self.spec.connections:
            self._answer(link, exchange, AttemptResult.OVERLOADED, keep=False)
            return
        work = self.owner.take(self, link, exchange)
        link.work = self.work[work.job.id] = work
        self.catch_up()
        self.owner.act(self, self.model.arrive(self.queue.now, work.job))
        self.arm()

    def reply(self, work: SimulatedWork, verdict: model.JobResult) -> None:
        """Answer a request, through whatever fault its connection has."""
        link = work.link
        if link.work is work:
            link.work = None
        if not work.wanted or link.dead or link.silent:
            return
        result = {
            model.JobResult.SERVED: AttemptResult.OK,
            model.JobResult.ERROR: AttemptResult.ERROR,
            model.JobResult.TURNED_AWAY: AttemptResult.OVERLOADED,
        }[verdict]
        how = link.fault.how if link.fault is not None else ""
        if how == "delay" and link.fault is not None:
            self.queue.after(link.fault.delay_ms, self._answer, link, work.exchange, result)
        elif how in ("half", "spoilt"):
            self._answer(link, work.exchange, AttemptResult.RESET, keep=False)
        else:
            self._answer(link, work.exchange, result)

    def _answer(self, link: Connection, exchange: Attempt, result: AttemptResult, keep: bool = True) -> None:
        if link.dead or link.silent:
            return
        told = result is not AttemptResult.RESET and self.reports
        report = {"queue": round(self.model.report(self.queue.now), 3)} if told else None
        self.queue.after(link.way_ms, link.node.returned, exchange, result, report, keep)

    def probe(self) -> tuple[AttemptResult, Report | None]:
        """A health call: nothing vanished answers one, nor what does not listen."""
        self.catch_up()
        up = self.model.probe(self.queue.now)
        self.arm()
        report = {"queue": round(self.model.report(self.queue.now), 3)} if self.reports else None
        return (AttemptResult.OK if up else AttemptResult.ERROR), report

    def break_off(self, link: Connection) -> None:
        """Reset a connection."""
        if link not in self.links:
            return
        del self.links[link]
        link.dead = True
        if link.work is not None:
            link.work.wanted = False
        self.model.disconnect(self.queue.now)
        self.queue.after(link.way_ms, link.node.broken, link)

    # --------------------------------------------------------------- troubles

    def begin_fault(self, number: int, fault: ConnectionFault) -> None:
        """From now on this befalls its share of the connections, those that are open included."""
        self.faults[number] = fault
        for link in self.links:
            self._befall(link, fault)

    def end_fault(self, number: int) -> None:
        """New connections are well again; those that it befell stay as they are until they are closed."""
        self.faults.pop(number, None)

    @staticmethod
    def _befall(link: Connection, fault: ConnectionFault) -> None:
        if link.fault is None and fault.rng.random() < fault.part:
            link.fault = fault
            link.silent = fault.how == "silence"

    def vanish(self) -> None:
        """The machine is cut off: what is open says nothing any more, what is new never comes up."""
        self.vanished = True
        for link in self.links:
            link.silent = True

    def reappear(self) -> None:
        """It is back: connections from before are reset."""
        self.vanished = False
        for link in list(self.links):
            link.silent = False
            self.break_off(link)

    def lose(self) -> None:
        """The machine is lost with all it held: as cut off, but nothing goes on there."""
        self.vanish()
        self.model.stop(self.queue.now)
        if self.listening:
            self.up_ms += self.queue.now - self.since_ms
        self.listening = False
        self.work.clear()

    def cut(self, silent: bool, links: list[Connection]) -> None:
        """A cut of the network that these connections cross begins, or is over: then they are reset."""
        for link in links:
            link.silent = silent or self.vanished
            if not link.silent:
                self.break_off(link)

    def die(self) -> None:
        """The process is gone: connections reset, new ones refused, and all it held with it."""
        self.model.stop(self.queue.now)
        if self.listening:
            self.up_ms += self.queue.now - self.since_ms
        self.listening = False
        self.work.clear()
        for link in list(self.links):
            self.break_off(link)

    def start(self) -> None:
        """A new process under the same name, cold."""
        self.worked += self.model.done_work
        self.model = model.EmulatedServer(self.spec, self.memory, self.rng, self.queue.now, cold=True)
        self.listening, self.vanished, self.since_ms = True, False, self.queue.now
        self._armed = math.inf
        self.arm()

    def share(self, now: float) -> float:
        """The work it has done so far, as a share of what all its cores could have, warm and by themselves."""
        up = self.up_ms + (now - self.since_ms if self.listening else 0.0)
        worked = self.worked + self.model.done_work
        return worked / (up * self.spec.cores * self.spec.speed) if up > 0.0 else 0.0

    # ------------------------------------------------------------------ timer

    def arm(self) -> None:
        """After each event: one event of the queue, at the model's next moment or earlier."""
        self._due = due = self.model.due()
        if due < self._armed:
            self._armed = due
            self.queue.at(due, self._tick, due)

    def catch_up(self) -> None:
        """What is due before whatever has just come."""
        if self._due <= self.queue.now:
            self.owner.act(self, self.model.tick(self.queue.now))
            self._due = self.model.due()

    def _tick(self, meant: float) -> None:
        if meant != self._armed:  # an earlier one has been set since
            return
        self._armed = math.inf
        self.catch_up()
        self.arm()
