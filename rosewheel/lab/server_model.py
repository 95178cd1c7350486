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

    queue_per_core: float
    trigger_ms: float
    factor: float
    recovery_ms: float
    recovery_busy_share: float
    max_ms: float


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
    concurrency_limit: int = 40  # requests in work, those that wait for the next tier included
    queue_limit: int = 6  # requests that wait for a slot; past it they are turned away
    contention_factor: float = 0.0  # with each request in work past `knee` all work takes this share longer
    contention_threshold: float = math.inf
    warm_up_initial_share: float = 1.0
    warm_up_ms: float = 0.0
    slowdown: OverloadSlowdown | None = None
    overload_factor: float = 4.0  # a cold equipo that is sent more than this many times what it can do
    overload_window_ms: float = 1500.0  # in a window of this length falls over and stays down
    overload_slack_ms: float = 500.0  # of work, for chance: a request or two
    pause_interval_ms: float = math.inf
    pause_ms: float = 0.0
    pause_growth: float = 0.0  # a pause is longer by this share when all slots are taken
    error_rate: float = 0.0
    report_period_ms: float = 200.0
    report_delay_ms: float = 50.0
    report_noise: float = 0.0
    max_connections: int = 1200
    connection_overhead: float = 0.0  # the share of the capacity that a full table of connections takes
    handshake_work_ms: float = 0.0  # of work, for each new connection
    health_check_work_ms: float = 0.0  # of work, for each probe


class LifecycleState(Enum):
    UP = "up"
    DRAINING = "draining"  # ends what it has and turns away what is new
    DOWN = "down"  # stopped, crashed or tipped over


class JobStage(Enum):
    QUEUED = "waiting"
    RUNNING = "running"
    AWAITING_CALL = "calling"  # its slot is kept while the next tier works
    DUPLICATE = "joined"  # a repeat of a key that is being worked on: it gets that one's answer
    FINISHED = "over"


class JobResult(Enum):
    """What an equipo says to a request."""

    SERVED = "served"
    ERROR = "error"
    REJECTED = "turned away"  # it never ran


@dataclass(slots=True)
class DedupEntry:
    """A key that a grupo has seen."""

    expires_at_ms: float
    served: bool = False  # False: the first is still being worked on
    duplicate_jobs: list[int] = field(default_factory=list)


@dataclass(slots=True, eq=False)
class Job:
    """A request at an equipo: stretches of own work with a call to the next tier between each two."""

    id: int
    segments_ms: tuple[float, ...]
    key: str | None = None
    dedup_window_ms: float = 0.0  # how long the grupo drops repeats of the key
    sender_informed: bool = True  # whoever sent it had been told when this equipo started
    stage: JobStage = JobStage.QUEUED
    segment: int = 0  # the stretch it is in
    will_fail: bool = False
    started: bool = False  # its work has begun
    dedup_entry: DedupEntry | None = None  # where the grupo keeps its key, for the first with it


@dataclass(slots=True, frozen=True)
class Reply:
    job_id: int
    result: JobResult


@dataclass(slots=True, frozen=True)
class CallNextTier:
    """Call the next tier for this job; the outcome comes back through `called`."""

    job_id: int
    call_number: int  # of this job's calls, from 0


@dataclass(slots=True, frozen=True)
class JobStarted:
    """The work of a job has begun: from here on it may have had its effect."""

    job_id: int


@dataclass(slots=True, frozen=True)
class ServerCollapsed:
    """A cold equipo was pushed over; `told_share` of the load came from those who had been told of its start."""

    informed_share: float


Action = Reply | CallNextTier | JobStarted | ServerCollapsed


class DedupTable:
    """The keys that the equipos of one grupo remember together."""

    def __init__(self) -> None:
        self.entries: dict[str, DedupEntry] = {}
        self._order: deque[tuple[float, str]] = deque()

    def find(self, now: float, key: str) -> DedupEntry | None:
        while self._order and self._order[0][0] <= now:
            until, old = self._order.popleft()
            entry = self.entries.get(old)
            if entry is not None and entry.expires_at_ms <= until:
                del self.entries[old]
        return self.entries.get(key)

    def add(self, key: str, until_ms: float) -> DedupEntry:
        self.entries[key] = entry = DedupEntry(until_ms)
        self._order.append((until_ms, key))
        return entry

    def remove(self, key: str, entry: DedupEntry) -> None:
        """This one is not remembered any more; a later one under the same key is."""
        if self.entries.get(key) is entry:
            del self.entries[key]


class EmulatedServer:
    """One equipo. Every method takes the time first, never an earlier one than before, and returns actions.

    `tick` must be called at `due()`; a later call does the same work later.
    """

    def __init__(
        self, spec: ServerSpec, memory: DedupTable, rng: np.random.Generator, now: float, cold: bool
    ) -> None:
        self.spec, self.dedup_table, self.rng = spec, memory, rng
        self.state = LifecycleState.UP
        self.started_ms = now if cold else -math.inf
        self.jobs: dict[int, Job] = {}
        self.queued: deque[Job] = deque()
        self.running: list[tuple[float, int, Job | None]] = []  # the mark at which it ends, order, job
        self.awaiting_calls = 0
        self.connection_count = 0
        self.slow_factor = 1.0  # by troubles
        self.neighbour_share = 0.0  # share of the machine that another program has
        self.slowed_since_ms: float | None = None  # since when it is slowed
        self.work_done_ms = 0.0  # in all
        self.arrived = self.ended = self.rejected = 0
        self.forced_error_share = 0.0  # the share of what comes that is answered with an error at once
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
    def in_progress(self) -> int:
        """Requests in work."""
        return len(self.running) + self.awaiting_calls

    @property
    def queue_length(self) -> int:
        """Requests that wait: for a slot, or for a core."""
        return len(self.queued) + max(0, len(self.running) - self.spec.cores)

    def warm_up_share(self, now: float) -> float:
        """The share of its capacity that it has by now, from `cold_from` up to 1."""
        spec = self.spec
        if now - self.started_ms >= spec.warm_up_ms:
            return 1.0
        return (
            spec.warm_up_initial_share
            + (1.0 - spec.warm_up_initial_share) * (now - self.started_ms) / spec.warm_up_ms
        )

    @property
    def capacity(self) -> float:
        """Work it does in a millisecond with all cores busy, as of the last event."""
        spec = self.spec
        if self._pause_end is not None or self.state is LifecycleState.DOWN:
            return 0.0
        share = self.warm_up_share(self._now) * (1.0 - self.neighbour_share) / self.slow_factor
        share /= 1.0 + spec.contention_factor * max(0.0, self.in_progress - spec.contention_threshold)
        share *= 1.0 - spec.connection_overhead * min(1.0, self.connection_count / spec.max_connections)
        if self.slowed_since_ms is not None and spec.slowdown is not None:
            share /= spec.slowdown.factor
        return spec.cores * spec.speed * share

    def reported_queue(self, now: float) -> float:
        """The queue as it tells it: refreshed now and then, late and noisy."""
        if now > self._now:
            self._advance(max(self._now, min(now, self.next_due_ms())))
        while len(self._reports) > 1 and self._reports[1][0] <= now:
            self._reports.popleft()
        return self._reports[0][1]

    def next_due_ms(self) -> float:
        """When `tick` is wanted next; infinity where nothing is to come."""
        if self.state is LifecycleState.DOWN:
            return math.inf
        due = self._pause_next if self._pause_end is None else self._pause_end
        if self.running and self._rate > 0.0:
            due = min(due, self._now + max(0.0, self.running[0][0] - self._had) / self._rate)
        if self.running and self._now - self.started_ms < self.spec.warm_up_ms:
            due = min(due, self._now + WARM_UP_STEP_MS)
        if self.spec.slowdown is not None:
            if self.slowed_since_ms is not None:
                due = min(due, self._now + SLOWDOWN_POLL_MS)
            elif self._over_ms is not None:
                due = min(due, self._over_ms + self.spec.slowdown.trigger_ms)
        return due

    # ----------------------------------------------------------------- events

    def connect(self, now: float) -> bool:
        """A new connection; False where its table is full. What it costs is paid by the first request on it."""
        self._advance(now)
        self.connection_count += 1
        self._set_rate()
        return self.connection_count <= self.spec.max_connections

    def disconnect(self, now: float) -> None:
        self._advance(now)
        self.connection_count -= 1
        self._set_rate()

    def arrive(self, now: float, job: Job) -> list[Action]:
        """A request's last byte has come."""
        self._advance(now)
        self.arrived += 1
        acts = self._strain(now, sum(job.segments_ms), job.sender_informed)
        if self.state is not LifecycleState.UP:
            return [*acts, *self._turn_away(job)]
        if self.forced_error_share and self.rng.random() < self.forced_error_share:
            self.ended += 1
            job.stage = JobStage.FINISHED
            return [*acts, Reply(job.id, JobResult.ERROR)]
        if job.key is not None:
            known = self.dedup_table.find(now, job.key)
            if known is not None and known.served:
                self.ended += 1
                job.stage = JobStage.FINISHED
                return [*acts, Reply(job.id, JobResult.SERVED)]
            if known is not None:
                job.stage = JobStage.DUPLICATE
                known.duplicate_jobs.append(job.id)
                self.jobs[job.id] = job
                return acts
        if self.in_progress >= self.spec.concurrency_limit and len(self.queued) >= self.spec.queue_limit:
            return [*acts, *self._turn_away(job)]
        if job.key is not None:
            job.dedup_entry = self.dedup_table.add(job.key, now + job.dedup_window_ms)
        job.will_fail = bool(self.rng.random() < self.spec.error_rate)
        self.jobs[job.id] = job
        if self.in_progress < self.spec.concurrency_limit:
            acts += self._begin(job)
        else:
            self.queued.append(job)
        self._settle(now)
        return acts

    def call_finished(self, now: float, id: int, ok: bool) -> list[Action]:
        """The next tier has answered a call of this job."""
        self._advance(now)
        job = self.jobs.get(id)
        if job is None or job.stage is not JobStage.AWAITING_CALL:
            return []
        acts: list[Action] = []
        self.awaiting_calls -= 1
        if ok:
            job.segment += 1
            self._run(job)
        else:
            acts = self._end(job, JobResult.ERROR)
            acts += self._fill()
        self._settle(now)
        return acts

    def finish_duplicate(self, id: int) -> bool:
        """The request that this repeat had joined is over; False where this one is gone already."""
        job = self.jobs.pop(id, None)
        if job is None:
            return False
        self.ended += 1
        job.stage = JobStage.FINISHED
        return True

    def check_health(self, now: float) -> bool:
        """A health call, answered beside the queue; it costs a little work. False: not for new work."""
        self._advance(now)
        if self.state is LifecycleState.UP and self.spec.health_check_work_ms > 0.0:
            self._push(self.spec.health_check_work_ms, None)
            self._settle(now)
        return self.state is LifecycleState.UP

    def set_slow_factor(self, now: float, factor: float) -> None:
        """Trouble: everything takes `factor` times as long; 1 ends it."""
        self._advance(now)
        self.slow_factor = factor
        self._settle(now)

    def set_neighbour_share(self, now: float, share: float) -> None:
        """Trouble: another program has this share of the machine; 0 ends it."""
        self._advance(now)
        self.neighbour_share = share
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
            if job.key is not None and job.dedup_entry is not None:
                self.dedup_table.remove(job.key, job.dedup_entry)
        self.ended += len(self.jobs)
        self.jobs.clear()
        self.queued.clear()
        self.running.clear()
        self.awaiting_calls = 0
        self._set_rate()

    def tick(self, now: float) -> list[Action]:
        """Everything that has come due, at its own time: a late call changes no work and no order."""
        acts: list[Action] = []
        while (due := self.next_due_ms()) <= now and self.state is not LifecycleState.DOWN:
            due = max(due, self._now)
            before = self._now
            self._advance(due)
            if self._pause_end is not None and due >= self._pause_end:
                self._pause_end, self._pause_next = None, due + self._wait_for_pause()
            elif self._pause_end is None and due >= self._pause_next:
                longer = 1.0 + self.spec.pause_growth * self.in_progress / self.spec.concurrency_limit
                self._pause_end = due + self.spec.pause_ms * longer
            ended = self._finished()
            acts += ended
            self._settle(due)
            if due == before and not ended and self.next_due_ms() <= due:
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
            self._reports.append((self._report_next + self.spec.report_delay_ms, self.queue_length * noise))
            self._report_next += self.spec.report_period_ms
            if self._report_next < now - 10.0 * self.spec.report_period_ms:
                self._report_next = now  # nothing happened for long: one report is as good as hundreds
        if self.running:
            had = self._rate * passed
            self._had += had
            self.work_done_ms += had * len(self.running)
        busy = min(1.0, len(self.running) / self.spec.cores)
        self._busy = busy + (self._busy - busy) * math.exp(-passed / BUSY_SMOOTHING_MS)
        self._now = now

    def _set_rate(self) -> None:
        """The work that each running job is given in a millisecond."""
        share = min(1.0, self.spec.cores / len(self.running)) if self.running else 0.0
        self._rate = self.capacity / self.spec.cores * share

    def _settle(self, now: float) -> None:
        """After each event: the lasting slowdown, then the pace until the next one."""
        choke = self.spec.slowdown
        if choke is not None and self.state is not LifecycleState.DOWN:
            if self.slowed_since_ms is None:
                over = self.queue_length > choke.queue_per_core * self.spec.cores
                if not over:
                    self._over_ms = None
                elif self._over_ms is None:
                    self._over_ms = now
                elif (
                    now >= self._over_ms + choke.trigger_ms
                ):  # summed as in `due`, or rounding makes it due for ever
                    self.slowed_since_ms, self._calm_ms = now, None
            else:
                if self._busy >= choke.recovery_busy_share:
                    self._calm_ms = None
                elif self._calm_ms is None:
                    self._calm_ms = now
                rested = self._calm_ms is not None and now - self._calm_ms >= choke.recovery_ms
                if rested or now - self.slowed_since_ms >= choke.max_ms:
                    self.slowed_since_ms = self._over_ms = None
        self._set_rate()

    def _push(self, work: float, job: Job | None) -> None:
        self._order += 1
        heapq.heappush(self.running, (self._had + work, self._order, job))

    def _begin(self, job: Job) -> list[Action]:
        job.started = True
        self._run(job)
        return [JobStarted(job.id)]

    def _run(self, job: Job) -> None:
        job.stage = JobStage.RUNNING
        self._push(job.segments_ms[job.segment], job)

    def _finished(self) -> list[Action]:
        """Those whose stretch of work is done: on to the next tier, or to the answer."""
        acts: list[Action] = []
        while self.running and self.running[0][0] <= self._had + 1e-6:  # rounding of late times
            _, _, job = heapq.heappop(self.running)
            if job is None:  # a probe's work
                continue
            if job.will_fail and job.segment == len(job.segments_ms) - 1:
                acts += self._end(job, JobResult.ERROR)
            elif job.segment < len(job.segments_ms) - 1:
                job.stage = JobStage.AWAITING_CALL
                self.awaiting_calls += 1
                acts.append(CallNextTier(job.id, job.segment))
            else:
                acts += self._end(job, JobResult.SERVED)
        return acts + self._fill()

    def _fill(self) -> list[Action]:
        acts: list[Action] = []
        while self.queued and self.in_progress < self.spec.concurrency_limit:
            acts += self._begin(self.queued.popleft())
        return acts

    def _end(self, job: Job, verdict: JobResult) -> list[Action]:
        job.stage = JobStage.FINISHED
        self.jobs.pop(job.id, None)
        self.ended += 1
        acts: list[Action] = [Reply(job.id, verdict)]
        entry = job.dedup_entry
        if job.key is not None and entry is not None:
            entry.served = verdict is JobResult.SERVED
            if not entry.served:  # it may have had its effect in part; a repeat does it anew
                self.dedup_table.remove(job.key, entry)
            # The grupo may have forgotten the key meanwhile; who had joined before is answered all the same.
            acts += [Reply(id, verdict) for id in entry.duplicate_jobs]
            entry.duplicate_jobs = []
        return acts

    def _turn_away(self, job: Job) -> list[Action]:
        job.stage = JobStage.FINISHED
        self.ended += 1
        self.rejected += 1
        return [Reply(job.id, JobResult.REJECTED)]

    # --------------------------------------------------------------- troubles

    def _wait_for_pause(self) -> float:
        if not math.isfinite(self.spec.pause_interval_ms) or self.spec.pause_ms <= 0.0:
            return math.inf
        return float(self.rng.exponential(self.spec.pause_interval_ms))

    def _strain(self, now: float, work: float, told: bool) -> list[Action]:
        """All that is sent to a cold equipo counts, also what it turns away."""
        spec = self.spec
        if self.state is LifecycleState.DOWN or now - self.started_ms >= spec.warm_up_ms:
            return []
        self._offered.append((now, work, told))
        while self._offered[0][0] <= now - spec.overload_window_ms:
            self._offered.popleft()
        offered = sum(item[1] for item in self._offered)
        present = spec.cores * spec.speed * self.warm_up_share(now)
        if offered <= spec.overload_factor * present * spec.overload_window_ms + spec.overload_slack_ms:
            return []
        share = sum(item[1] for item in self._offered if item[2]) / offered
        self.stop(now)
        return [ServerCollapsed(share)]
