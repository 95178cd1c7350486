"""The model of one equipo: no sockets, no clock; (now, event) in, actions out.

Work is measured in milliseconds of a yardstick core. Jobs that run share the cores evenly (processor sharing): each
gets the same rate, at most one core, so one figure, the work that each running job has had since the beginning,
stands for all of them, and a job ends when that figure reaches its own mark. All times are milliseconds of one clock
that only advances.
"""

from __future__ import annotations

import heapq
import math
from collections import deque
from dataclasses import dataclass, field
from enum import Enum

import numpy as np

from rosewheel.lab.random_streams import lognormal_factor

WARM_UP_STEP_MS = 100.0  # a cold equipo's capacity is raised in steps of this length, each at its lower end
SLOWDOWN_POLL_MS = 50.0  # how often a slowed equipo looks whether it has been idle for long enough
BUSY_SMOOTHING_MS = 500.0  # smoothing of how busy it is


@dataclass(slots=True, frozen=True)
class OverloadSlowdown:
    """The lasting slowdown: with more than `at` requests waiting for each core for `over_ms` an equipo turns
    `slower` times slower, until it has been busy for less than a share `below` for `rest_ms`, or `most_ms` passed."""

    at: float
    over_ms: float
    slower: float
    rest_ms: float
    below: float
    most_ms: float


@dataclass(slots=True, frozen=True)
class ServerSpec:
    """The figures of one equipo, drawn already."""

    name: str
    tier: int
    kind: str = ""
    zone: str = ""
    cell: int = 0
    cores: int = 2
    speed: float = 1.0  # of the yardstick, each core
    slots: int = 40  # requests in work, those that wait for the next tier included
    queue: int = 6  # requests that wait for a slot; past it they are turned away
    thrash: float = 0.0  # with each request in work past `knee` all work takes this share longer
    knee: float = math.inf
    cold_from: float = 1.0
    cold_ms: float = 0.0
    choke: OverloadSlowdown | None = None
    tip_multiple: float = 4.0  # a cold equipo that is sent more than this many times what it can do
    tip_ms: float = 1500.0  # in a window of this length falls over and stays down
    tip_slack_ms: float = 500.0  # of work, for chance: a request or two
    pause_every_ms: float = math.inf
    pause_ms: float = 0.0
    pause_grow: float = 0.0  # a pause is longer by this share when all slots are taken
    error_rate: float = 0.0
    report_period_ms: float = 200.0
    report_delay_ms: float = 50.0
    report_noise: float = 0.0
    connections: int = 1200
    connection_tax: float = 0.0  # the share of the capacity that a full table of connections takes
    handshake_ms: float = 0.0  # of work, for each new connection
    probe_ms: float = 0.0  # of work, for each probe


class LifecycleState(Enum):
    UP = "up"
    DRAINING = "draining"  # ends what it has and turns away what is new
    DOWN = "down"  # stopped, crashed or tipped over


class JobStage(Enum):
    WAITING = "waiting"
    RUNNING = "running"
    CALLING = "calling"  # its slot is kept while the next tier works
    JOINED = "joined"  # a repeat of a key that is being worked on: it gets that one's answer
    OVER = "over"


class JobResult(Enum):
    """What an equipo says to a request."""

    SERVED = "served"
    ERROR = "error"
    TURNED_AWAY = "turned away"  # it never ran


@dataclass(slots=True)
class DedupEntry:
    """A key that a grupo has seen."""

    until_ms: float
    served: bool = False  # False: the first is still being worked on
    joined: list[int] = field(default_factory=list)


@dataclass(slots=True, eq=False)
class Job:
    """A request at an equipo: stretches of own work with a call to the next tier between each two."""

    id: int
    work: tuple[float, ...]
    key: str | None = None
    memory_ms: float = 0.0  # how long the grupo drops repeats of the key
    told: bool = True  # whoever sent it had been told when this equipo started
    stage: JobStage = JobStage.WAITING
    at: int = 0  # the stretch it is in
    fails: bool = False
    effect: bool = False  # its work has begun
    remembered: DedupEntry | None = None  # where the grupo keeps its key, for the first with it


@dataclass(slots=True, frozen=True)
class Reply:
    job: int
    verdict: JobResult


@dataclass(slots=True, frozen=True)
class CallNextTier:
    """Call the next tier for this job; the outcome comes back through `called`."""

    job: int
    number: int  # of this job's calls, from 0


@dataclass(slots=True, frozen=True)
class JobStarted:
    """The work of a job has begun: from here on it may have had its effect."""

    job: int


@dataclass(slots=True, frozen=True)
class ServerCollapsed:
    """A cold equipo was pushed over; `told_share` of the load came from those who had been told of its start."""

    told_share: float


Action = Reply | CallNextTier | JobStarted | ServerCollapsed


class DedupTable:
    """The keys that the equipos of one grupo remember together."""

    def __init__(self) -> None:
        self.keys: dict[str, DedupEntry] = {}
        self._order: deque[tuple[float, str]] = deque()

    def find(self, now: float, key: str) -> DedupEntry | None:
        while self._order and self._order[0][0] <= now:
            until, old = self._order.popleft()
            entry = self.keys.get(old)
            if entry is not None and entry.until_ms <= until:
                del self.keys[old]
        return self.keys.get(key)

    def add(self, key: str, until_ms: float) -> DedupEntry:
        self.keys[key] = entry = DedupEntry(until_ms)
        self._order.append((until_ms, key))
        return entry

    def drop(self, key: str, entry: DedupEntry) -> None:
        """This one is not remembered any more; a later one under the same key is."""
        if self.keys.get(key) is entry:
            del self.keys[key]


class EmulatedServer:
    """One equipo. Every method takes the time first, never an earlier one than before, and returns actions.

    `tick` must be called at `due()`; a later call does the same work later.
    """

    def __init__(
        self, spec: ServerSpec, memory: DedupTable, rng: np.random.Generator, now: float, cold: bool
    ) -> None:
        self.spec, self.memory, self.rng = spec, memory, rng
        self.state = LifecycleState.UP
        self.started_ms = now if cold else -math.inf
        self.jobs: dict[int, Job] = {}
        self.waiting: deque[Job] = deque()
        self.running: list[tuple[float, int, Job | None]] = []  # the mark at which it ends, order, job
        self.calling = 0
        self.connected = 0
        self.slower = 1.0  # by troubles
        self.taken = 0.0  # share of the machine that another program has
        self.choked_ms: float | None = None  # since when it is slowed
        self.done_work = 0.0  # in all
        self.arrived = self.ended = self.turned_away = 0
        self.failing = 0.0  # the share of what comes that is answered with an error at once
        self._now = now
        self._had = 0.0  # work that each running job has had
        self._order = 0
        self._rate = 0.0
        self._over_ms: float | None = None  # since when more wait than it bears
        self._calm_ms: float | None = None  # since when a slowed one is mostly idle
        self._busy = 0.0
        self._pause_end: float | None = None
        self._pause_next = now + self._wait_for_pause()
        self._offered: deque[tuple[float, float, bool]] = (
            deque()
        )  # sent lately: time, work, told of the start
        self._reports: deque[tuple[float, float]] = deque([(-math.inf, 0.0)])
        self._report_next = now
        self._set_rate()

    # ---------------------------------------------------------------- figures

    @property
    def held(self) -> int:
        """Requests in work."""
        return len(self.running) + self.calling

    @property
    def queue(self) -> int:
        """Requests that wait: for a slot, or for a core."""
        return len(self.waiting) + max(0, len(self.running) - self.spec.cores)

    def warmth(self, now: float) -> float:
        """The share of its capacity that it has by now, from `cold_from` up to 1."""
        spec = self.spec
        if now - self.started_ms >= spec.cold_ms:
            return 1.0
        return spec.cold_from + (1.0 - spec.cold_from) * (now - self.started_ms) / spec.cold_ms

    @property
    def capacity(self) -> float:
        """Work it does in a millisecond with all cores busy, as of the last event."""
        spec = self.spec
        if self._pause_end is not None or self.state is LifecycleState.DOWN:
            return 0.0
        share = self.warmth(self._now) * (1.0 - self.taken) / self.slower
        share /= 1.0 + spec.thrash * max(0.0, self.held - spec.knee)
        share *= 1.0 - spec.connection_tax * min(1.0, self.connected / spec.connections)
        if self.choked_ms is not None and spec.choke is not None:
            share /= spec.choke.slower
        return spec.cores * spec.speed * share

    def report(self, now: float) -> float:
        """The queue as it tells it: refreshed now and then, late and noisy."""
        if now > self._now:
            self._advance(max(self._now, min(now, self.due())))
        while len(self._reports) > 1 and self._reports[1][0] <= now:
            self._reports.popleft()
        return self._reports[0][1]

    def due(self) -> float:
        """When `tick` is wanted next; infinity where nothing is to come."""
        if self.state is LifecycleState.DOWN:
            return math.inf
        due = self._pause_next if self._pause_end is None else self._pause_end
        if self.running and self._rate > 0.0:
            due = min(due, self._now + max(0.0, self.running[0][0] - self._had) / self._rate)
        if self.running and self._now - self.started_ms < self.spec.cold_ms:
            due = min(due, self._now + WARM_UP_STEP_MS)
        if self.spec.choke is not None:
            if self.choked_ms is not None:
                due = min(due, self._now + SLOWDOWN_POLL_MS)
            elif self._over_ms is not None:
                due = min(due, self._over_ms + self.spec.choke.over_ms)
        return due

    # ----------------------------------------------------------------- events

    def connect(self, now: float) -> bool:
        """A new connection; False where its table is full. What it costs is paid by the first request on it."""
        self._advance(now)
        self.connected += 1
        self._set_rate()
        return self.connected <= self.spec.connections

    def disconnect(self, now: float) -> None:
        self._advance(now)
        self.connected -= 1
        self._set_rate()

    def arrive(self, now: float, job: Job) -> list[Action]:
        """A request's last byte has come."""
        self._advance(now)
        self.arrived += 1
        acts = self._strain(now, sum(job.work), job.told)
        if self.state is not LifecycleState.UP:
            return [*acts, *self._turn_away(job)]
        if self.failing and self.rng.random() < self.failing:
            self.ended += 1
            job.stage = JobStage.OVER
            return [*acts, Reply(job.id, JobResult.ERROR)]
        if job.key is not None:
            known = self.memory.find(now, job.key)
            if known is not None and known.served:
                self.ended += 1
                job.stage = JobStage.OVER
                return [*acts, Reply(job.id, JobResult.SERVED)]
            if known is not None:
                job.stage = JobStage.JOINED
                known.joined.append(job.id)
                self.jobs[job.id] = job
                return acts
        if self.held >= self.spec.slots and len(self.waiting) >= self.spec.queue:
            return [*acts, *self._turn_away(job)]
        if job.key is not None:
            job.remembered = self.memory.add(job.key, now + job.memory_ms)
        job.fails = bool(self.rng.random() < self.spec.error_rate)
        self.jobs[job.id] = job
        if self.held < self.spec.slots:
            acts += self._begin(job)
        else:
            self.waiting.append(job)
        self._settle(now)
        return acts

    def called(self, now: float, id: int, ok: bool) -> list[Action]:
        """The next tier has answered a call of this job."""
        self._advance(now)
        job = self.jobs.get(id)
        if job is None or job.stage is not JobStage.CALLING:
            return []
        acts: list[Action] = []
        self.calling -= 1
        if ok:
            job.at += 1
            self._run(job)
        else:
            acts = self._end(job, JobResult.ERROR)
            acts += self._fill()
        self._settle(now)
        return acts

    def joined_ended(self, id: int) -> bool:
        """The request that this repeat had joined is over; False where this one is gone already."""
        job = self.jobs.pop(id, None)
        if job is None:
            return False
        self.ended += 1
        job.stage = JobStage.OVER
        return True

    def probe(self, now: float) -> bool:
        """A health call, answered beside the queue; it costs a little work. False: not for new work."""
        self._advance(now)
        if self.state is LifecycleState.UP and self.spec.probe_ms > 0.0:
            self._push(self.spec.probe_ms, None)
            self._settle(now)
        return self.state is LifecycleState.UP

    def slow_down(self, now: float, factor: float) -> None:
        """Trouble: everything takes `factor` times as long; 1 ends it."""
        self._advance(now)
        self.slower = factor
        self._settle(now)

    def take(self, now: float, share: float) -> None:
        """Trouble: another program has this share of the machine; 0 ends it."""
        self._advance(now)
        self.taken = share
        self._settle(now)

    def drain(self, now: float) -> None:
        self._advance(now)
        if self.state is LifecycleState.UP:
            self.state = LifecycleState.DRAINING
        self._settle(now)

    def stop(self, now: float) -> None:
        """It is gone, and with it all it held; nobody gets an answer."""
        self._advance(now)
        self.state = LifecycleState.DOWN
        # A repeat that joined here may belong to another equipo of the grupo; it never hears more either.
        for job in self.jobs.values():
            if job.key is not None and job.remembered is not None:
                self.memory.drop(job.key, job.remembered)
        self.ended += len(self.jobs)
        self.jobs.clear()
        self.waiting.clear()
        self.running.clear()
        self.calling = 0
        self._set_rate()

    def tick(self, now: float) -> list[Action]:
        """Everything that has come due, at its own time: a late call changes no work and no order."""
        acts: list[Action] = []
        while (due := self.due()) <= now and self.state is not LifecycleState.DOWN:
            due = max(due, self._now)
            before = self._now
            self._advance(due)
            if self._pause_end is not None and due >= self._pause_end:
                self._pause_end, self._pause_next = None, due + self._wait_for_pause()
            elif self._pause_end is None and due >= self._pause_next:
                longer = 1.0 + self.spec.pause_grow * self.held / self.spec.slots
                self._pause_end = due + self.spec.pause_ms * longer
            ended = self._finished()
            acts += ended
            self._settle(due)
            if due == before and not ended and self.due() <= due:
                break  # guards against a step that moves nothing
        self._advance(now)
        return acts

    # ------------------------------------------------------------------- work

    def _advance(self, now: float) -> None:
        passed = now - self._now
        if passed <= 0.0:
            return
        while self._report_next <= now:  # the queue has been the same since the last event
            noise = lognormal_factor(self.rng, self.spec.report_noise)
            self._reports.append((self._report_next + self.spec.report_delay_ms, self.queue * noise))
            self._report_next += self.spec.report_period_ms
            if self._report_next < now - 10.0 * self.spec.report_period_ms:
                self._report_next = now  # nothing happened for long: one report is as good as hundreds
        if self.running:
            had = self._rate * passed
            self._had += had
            self.done_work += had * len(self.running)
        busy = min(1.0, len(self.running) / self.spec.cores)
        self._busy = busy + (self._busy - busy) * math.exp(-passed / BUSY_SMOOTHING_MS)
        self._now = now

    def _set_rate(self) -> None:
        """The work that each running job is given in a millisecond."""
        share = min(1.0, self.spec.cores / len(self.running)) if self.running else 0.0
        self._rate = self.capacity / self.spec.cores * share

    def _settle(self, now: float) -> None:
        """After each event: the lasting slowdown, then the pace until the next one."""
        choke = self.spec.choke
        if choke is not None and self.state is not LifecycleState.DOWN:
            if self.choked_ms is None:
                over = self.queue > choke.at * self.spec.cores
                if not over:
                    self._over_ms = None
                elif self._over_ms is None:
                    self._over_ms = now
                elif (
                    now >= self._over_ms + choke.over_ms
                ):  # summed as in `due`, or rounding makes it due for ever
                    self.choked_ms, self._calm_ms = now, None
            else:
                if self._busy >= choke.below:
                    self._calm_ms = None
                elif self._calm_ms is None:
                    self._calm_ms = now
                rested = self._calm_ms is not None and now - self._calm_ms >= choke.rest_ms
                if rested or now - self.choked_ms >= choke.most_ms:
                    self.choked_ms = self._over_ms = None
        self._set_rate()

    def _push(self, work: float, job: Job | None) -> None:
        self._order += 1
        heapq.heappush(self.running, (self._had + work, self._order, job))

    def _begin(self, job: Job) -> list[Action]:
        job.effect = True
        self._run(job)
        return [JobStarted(job.id)]

    def _run(self, job: Job) -> None:
        job.stage = JobStage.RUNNING
        self._push(job.work[job.at], job)

    def _finished(self) -> list[Action]:
        """Those whose stretch of work is done: on to the next tier, or to the answer."""
        acts: list[Action] = []
        while self.running and self.running[0][0] <= self._had + 1e-6:  # rounding of late times
            _, _, job = heapq.heappop(self.running)
            if job is None:  # a probe's work
                continue
            if job.fails and job.at == len(job.work) - 1:
                acts += self._end(job, JobResult.ERROR)
            elif job.at < len(job.work) - 1:
                job.stage = JobStage.CALLING
                self.calling += 1
                acts.append(CallNextTier(job.id, job.at))
            else:
                acts += self._end(job, JobResult.SERVED)
        return acts + self._fill()

    def _fill(self) -> list[Action]:
        acts: list[Action] = []
        while self.waiting and self.held < self.spec.slots:
            acts += self._begin(self.waiting.popleft())
        return acts

    def _end(self, job: Job, verdict: JobResult) -> list[Action]:
        job.stage = JobStage.OVER
        self.jobs.pop(job.id, None)
        self.ended += 1
        acts: list[Action] = [Reply(job.id, verdict)]
        entry = job.remembered
        if job.key is not None and entry is not None:
            entry.served = verdict is JobResult.SERVED
            if not entry.served:  # it may have had its effect in part; a repeat does it anew
                self.memory.drop(job.key, entry)
            # The grupo may have forgotten the key meanwhile; who had joined before is answered all the same.
            acts += [Reply(id, verdict) for id in entry.joined]
            entry.joined = []
        return acts

    def _turn_away(self, job: Job) -> list[Action]:
        job.stage = JobStage.OVER
        self.ended += 1
        self.turned_away += 1
        return [Reply(job.id, JobResult.TURNED_AWAY)]

    # --------------------------------------------------------------- troubles

    def _wait_for_pause(self) -> float:
        if not math.isfinite(self.spec.pause_every_ms) or self.spec.pause_ms <= 0.0:
            return math.inf
        return float(self.rng.exponential(self.spec.pause_every_ms))

    def _strain(self, now: float, work: float, told: bool) -> list[Action]:
        """All that is sent to a cold equipo counts, also what it turns away."""
        spec = self.spec
        if self.state is LifecycleState.DOWN or now - self.started_ms >= spec.cold_ms:
            return []
        self._offered.append((now, work, told))
        while self._offered[0][0] <= now - spec.tip_ms:
            self._offered.popleft()
        offered = sum(item[1] for item in self._offered)
        present = spec.cores * spec.speed * self.warmth(now)
        if offered <= spec.tip_multiple * present * spec.tip_ms + spec.tip_slack_ms:
            return []
        share = sum(item[1] for item in self._offered if item[2]) / offered
        self.stop(now)
        return [ServerCollapsed(share)]
