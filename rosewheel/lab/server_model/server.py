"""The model of one server: requests in, responses and calls to the next tier out."""

from __future__ import annotations

import math
from collections import deque
from enum import Enum

import numpy as np

from rosewheel.lab.server_model.dedup import DedupEntry, DedupTable
from rosewheel.lab.server_model.jobs import (
    Action,
    CallNextTier,
    Job,
    JobResult,
    JobStage,
    JobStarted,
    Reply,
    ServerCollapsed,
)
from rosewheel.lab.server_model.load_report import LoadReporter
from rosewheel.lab.server_model.offered_load import OfferedLoadWindow
from rosewheel.lab.server_model.pauses import PauseSchedule
from rosewheel.lab.server_model.processor import SharedProcessor
from rosewheel.lab.server_model.slowdown import SlowdownTracker
from rosewheel.lab.server_model.spec import ServerSpec

WARM_UP_STEP_MS = 100.0  # the capacity of a warming server is raised in steps of this length
BUSY_SMOOTHING_MS = 500.0  # time constant of the smoothed busy share


class LifecycleState(Enum):
    """State of a server's process. Values are those of records."""

    UP = "up"
    DRAINING = "draining"  # it finishes its requests and rejects new ones
    DOWN = "down"  # stopped, crashed or collapsed


class EmulatedServer:
    """One server. Every method takes the time first, never an earlier one than before, and returns actions.

    `tick` has to be called at `next_due_ms()`; a later call does the same work later.

    Attributes:
        started_ms: when a warming server started; minus infinity for one that is warm from the beginning.
        jobs: jobs without a response, by id.
        queued: jobs that wait for a slot.
        awaiting_calls: jobs that wait for the next tier.
        slow_factor: an injected fault; all work takes this many times as long.
        neighbour_share: an injected fault; share of the machine that another program takes.
        forced_error_share: an injected fault; share of the requests that fail at once.
        arrived: requests so far; `ended` and `rejected` likewise.
    """

    def __init__(
        self,
        spec: ServerSpec,
        dedup_table: DedupTable,
        rng: np.random.Generator,
        now: float,
        warming_up: bool,
    ) -> None:
        self.spec, self.dedup_table, self.rng = spec, dedup_table, rng
        self.state = LifecycleState.UP
        self.started_ms = now if warming_up else -math.inf
        self.jobs: dict[int, Job] = {}
        self.queued: deque[Job] = deque()
        self.processor = SharedProcessor(spec.cores)
        self.awaiting_calls = 0
        self.connection_count = 0
        self.slow_factor = 1.0
        self.neighbour_share = 0.0
        self.forced_error_share = 0.0
        self.arrived = self.ended = self.rejected = 0
        self._now = now
        self._busy_share = 0.0
        self._slowdown = SlowdownTracker(spec)
        self._pauses = PauseSchedule(spec, rng, now)
        self._reports = LoadReporter(spec, rng, now)
        self._offered = OfferedLoadWindow(spec.overload_window_ms)
        self._set_rate()

    # ------------------------------------------------------------------ state

    @property
    def in_progress(self) -> int:
        """Requests in progress."""
        return len(self.processor.running) + self.awaiting_calls

    @property
    def queue_length(self) -> int:
        """Requests that wait for a slot or for a core."""
        return len(self.queued) + self.processor.waiting_for_core

    @property
    def work_done_ms(self) -> float:
        """All work done so far."""
        return self.processor.work_done_ms

    @property
    def slowed_since_ms(self) -> float | None:
        """When the current lasting slowdown began; None without one."""
        return self._slowdown.slowed_since_ms

    @property
    def capacity(self) -> float:
        """Work that all cores together do in a millisecond, as of the last event."""
        spec = self.spec
        if self._pauses.paused or self.state is LifecycleState.DOWN:
            return 0.0
        share = self.warm_up_share(self._now) * (1.0 - self.neighbour_share) / self.slow_factor
        share /= 1.0 + spec.contention_factor * max(0.0, self.in_progress - spec.contention_threshold)
        share *= 1.0 - spec.connection_overhead * min(1.0, self.connection_count / spec.max_connections)
        return spec.cores * spec.speed * (share / self._slowdown.factor)

    def warm_up_share(self, now: float) -> float:
        """Share of its capacity that the server has by now, from `warm_up_initial_share` up to 1."""
        return self.spec.warm_up_share(now - self.started_ms)

    def reported_queue(self, now: float) -> float:
        """The queue length that the server reports: refreshed periodically, late and noisy."""
        if now > self._now:
            self._advance(max(self._now, min(now, self.next_due_ms())))
        return self._reports.visible_queue(now)

    def next_due_ms(self) -> float:
        """When `tick` has to be called next; infinity where nothing is due."""
        if self.state is LifecycleState.DOWN:
            return math.inf
        due = self._pauses.next_change_ms
        due = min(due, self._now + self.processor.time_to_next_end_ms())
        if self.processor.running and self._now - self.started_ms < self.spec.warm_up_ms:
            due = min(due, self._now + WARM_UP_STEP_MS)
        return min(due, self._slowdown.next_check_ms(self._now))

    # ----------------------------------------------------------------- events

    def connect(self, now: float) -> bool:
        """A new connection; False where the table of connections is full.

        The work of its handshake is part of the first request on it.
        """
        self._advance(now)
        self.connection_count += 1
        self._set_rate()
        return self.connection_count <= self.spec.max_connections

    def disconnect(self, now: float) -> None:
        """A connection has ended."""
        self._advance(now)
        self.connection_count -= 1
        self._set_rate()

    def arrive(self, now: float, job: Job) -> list[Action]:
        """The last byte of a request has been received."""
        self._advance(now)
        self.arrived += 1
        actions = self._check_collapse(now, sum(job.segments_ms), job.sender_informed)
        if self.state is not LifecycleState.UP:
            return [*actions, self._reject(job)]
        if self.forced_error_share and self.rng.random() < self.forced_error_share:
            return [*actions, self._finish_at_once(job, JobResult.ERROR)]
        if job.key is not None:
            entry = self.dedup_table.find(now, job.key)
            if entry is not None:
                return [*actions, *self._answer_duplicate(job, entry)]
        if self.in_progress >= self.spec.concurrency_limit and len(self.queued) >= self.spec.queue_limit:
            return [*actions, self._reject(job)]
        return [*actions, *self._admit(now, job)]

    def call_finished(self, now: float, job_id: int, succeeded: bool) -> list[Action]:
        """The next tier has answered a call of this job."""
        self._advance(now)
        job = self.jobs.get(job_id)
        if job is None or job.stage is not JobStage.AWAITING_CALL:
            return []
        actions: list[Action] = []
        self.awaiting_calls -= 1
        if succeeded:
            job.segment += 1
            self._run_segment(job)
        else:
            actions = self._finish(job, JobResult.ERROR)
            actions += self._start_queued()
        self._settle(now)
        return actions

    def finish_duplicate(self, job_id: int) -> bool:
        """The job that this duplicate repeats has ended; False where the duplicate is gone already."""
        job = self.jobs.pop(job_id, None)
        if job is None:
            return False
        self.ended += 1
        job.stage = JobStage.FINISHED
        return True

    def check_health(self, now: float) -> bool:
        """A health check, answered beside the queue for a little work; False where new requests are rejected."""
        self._advance(now)
        if self.state is LifecycleState.UP and self.spec.health_check_work_ms > 0.0:
            self.processor.start(self.spec.health_check_work_ms, None)
            self._settle(now)
        return self.state is LifecycleState.UP

    def set_slow_factor(self, now: float, factor: float) -> None:
        """Inject a fault: all work takes `factor` times as long; 1 heals it."""
        self._advance(now)
        self.slow_factor = factor
        self._settle(now)

    def set_neighbour_share(self, now: float, share: float) -> None:
        """Inject a fault: another program takes this share of the machine; 0 heals it."""
        self._advance(now)
        self.neighbour_share = share
        self._settle(now)

    def drain(self, now: float) -> None:
        """Reject new requests from now on and finish the others."""
        self._advance(now)
        if self.state is LifecycleState.UP:
            self.state = LifecycleState.DRAINING
        self._settle(now)

    def stop(self, now: float) -> None:
        """End the process with all its jobs; none of them gets a response."""
        self._advance(now)
        self.state = LifecycleState.DOWN
        # A duplicate of one of these jobs may wait at another server of the cell; it gets no response either.
        for job in self.jobs.values():
            if job.key is not None and job.dedup_entry is not None:
                self.dedup_table.remove(job.key, job.dedup_entry)
        self.ended += len(self.jobs)
        self.jobs.clear()
        self.queued.clear()
        self.processor.clear()
        self.awaiting_calls = 0
        self._set_rate()

    def tick(self, now: float) -> list[Action]:
        """Do everything that is due, at its own time: a late call changes no work and no order."""
        actions: list[Action] = []
        while (due := self.next_due_ms()) <= now and self.state is not LifecycleState.DOWN:
            due = max(due, self._now)
            before = self._now
            self._advance(due)
            self._pauses.update(due, self.in_progress)
            finished = self._finish_due_segments()
            actions += finished
            self._settle(due)
            if due == before and not finished and self.next_due_ms() <= due:
                break  # guards against a step that changes nothing
        self._advance(now)
        return actions

    # ------------------------------------------------------------------- work

    def _advance(self, now: float) -> None:
        elapsed_ms = now - self._now
        if elapsed_ms <= 0.0:
            return
        self._reports.refresh(now, self.queue_length)
        self.processor.advance(elapsed_ms)
        busy = self.processor.busy_share
        self._busy_share = busy + (self._busy_share - busy) * math.exp(-elapsed_ms / BUSY_SMOOTHING_MS)
        self._now = now

    def _set_rate(self) -> None:
        self.processor.set_capacity(self.capacity)

    def _settle(self, now: float) -> None:
        """After each event: the lasting slowdown, then the rate until the next event."""
        if self.state is not LifecycleState.DOWN:
            self._slowdown.update(now, self.queue_length, self._busy_share)
        self._set_rate()

    def _admit(self, now: float, job: Job) -> list[Action]:
        if job.key is not None:
            job.dedup_entry = self.dedup_table.add(job.key, now + job.dedup_window_ms)
        job.will_fail = bool(self.rng.random() < self.spec.error_rate)
        self.jobs[job.id] = job
        actions: list[Action] = []
        if self.in_progress < self.spec.concurrency_limit:
            actions.append(self._start(job))
        else:
            self.queued.append(job)
        self._settle(now)
        return actions

    def _start(self, job: Job) -> JobStarted:
        job.started = True
        self._run_segment(job)
        return JobStarted(job.id)

    def _run_segment(self, job: Job) -> None:
        job.stage = JobStage.RUNNING
        self.processor.start(job.segments_ms[job.segment], job)

    def _finish_due_segments(self) -> list[Action]:
        """Jobs whose segment has ended call the next tier, or get their response."""
        actions: list[Action] = []
        for job in self.processor.pop_finished():
            if job is None:
                continue
            last = job.segment == len(job.segments_ms) - 1
            if not last:
                job.stage = JobStage.AWAITING_CALL
                self.awaiting_calls += 1
                actions.append(CallNextTier(job.id, job.segment))
            else:
                actions += self._finish(job, JobResult.ERROR if job.will_fail else JobResult.SERVED)
        return actions + self._start_queued()

    def _start_queued(self) -> list[Action]:
        actions: list[Action] = []
        while self.queued and self.in_progress < self.spec.concurrency_limit:
            actions.append(self._start(self.queued.popleft()))
        return actions

    def _finish(self, job: Job, result: JobResult) -> list[Action]:
        job.stage = JobStage.FINISHED
        self.jobs.pop(job.id, None)
        self.ended += 1
        actions: list[Action] = [Reply(job.id, result)]
        entry = job.dedup_entry
        if job.key is not None and entry is not None:
            entry.served = result is JobResult.SERVED
            if not entry.served:  # it may have had its effect in part; a repeat executes it again
                self.dedup_table.remove(job.key, entry)
            # The key may have expired meanwhile; duplicates from before get the response all the same.
            actions += [Reply(job_id, result) for job_id in entry.duplicate_jobs]
            entry.duplicate_jobs = []
        return actions

    def _finish_at_once(self, job: Job, result: JobResult) -> Reply:
        self.ended += 1
        job.stage = JobStage.FINISHED
        return Reply(job.id, result)

    def _answer_duplicate(self, job: Job, entry: DedupEntry) -> list[Action]:
        if entry.served:
            return [self._finish_at_once(job, JobResult.SERVED)]
        job.stage = JobStage.DUPLICATE
        entry.duplicate_jobs.append(job.id)
        self.jobs[job.id] = job
        return []

    def _reject(self, job: Job) -> Reply:
        self.rejected += 1
        return self._finish_at_once(job, JobResult.REJECTED)

    def _check_collapse(self, now: float, work_ms: float, sender_informed: bool) -> list[Action]:
        """Stop a warming server that has been sent too much; rejected requests count."""
        spec = self.spec
        if self.state is LifecycleState.DOWN or now - self.started_ms >= spec.warm_up_ms:
            return []
        self._offered.add(now, work_ms, sender_informed)
        capacity = spec.cores * spec.speed * self.warm_up_share(now)
        limit_ms = spec.overload_factor * capacity * spec.overload_window_ms + spec.overload_slack_ms
        if self._offered.total_ms() <= limit_ms:
            return []
        informed_share = self._offered.informed_share()
        self.stop(now)
        return [ServerCollapsed(informed_share)]
