"""Model of one server: admission, processing and deduplication of its requests."""

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

WARM_UP_STEP_MS = 100.0  # interval between two increases of the capacity of a warming server
BUSY_SMOOTHING_MS = 500.0  # time constant of the smoothed busy share


class LifecycleState(Enum):
    """State of a server process. The values are written to records."""

    UP = "up"
    DRAINING = "draining"  # finishes its requests and rejects new ones
    DOWN = "down"  # stopped, crashed or collapsed


class EmulatedServer:
    """Model of one server.

    Methods that take `now` must be called in order of time. `tick` has to be called at `next_due_ms()`; a later call
    has the same result. The caller carries out the actions that a method returns.

    Attributes:
        started_ms: when the server started; minus infinity if it is warm from the beginning.
        jobs: jobs without a response, by id.
        queued: jobs that wait for a slot, in order of arrival.
        processor: cores and the jobs that run on them.
        awaiting_calls: number of jobs that wait for the next tier.
        connection_count: number of open connections.
        slow_factor: factor by which an injected fault lengthens all work.
        neighbour_share: share of the machine that another program takes, by an injected fault.
        forced_error_share: share of the requests that fail at once, by an injected fault.
        arrived: number of requests received.
        ended: number of requests answered or lost.
        rejected: number of requests rejected.
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
        self._load_reporter = LoadReporter(spec, rng, now)
        self._offered_load = OfferedLoadWindow(spec.overload_window_ms)
        self._set_rate()

    # ------------------------------------------------------------------ state

    @property
    def in_progress(self) -> int:
        """Number of requests in progress, including those that wait for the next tier."""
        return len(self.processor.running) + self.awaiting_calls

    @property
    def queue_length(self) -> int:
        """Number of requests that wait for a slot or a core."""
        return len(self.queued) + self.processor.waiting_for_core

    @property
    def work_done_ms(self) -> float:
        """Total work done so far."""
        return self.processor.work_done_ms

    @property
    def slowed_since_ms(self) -> float | None:
        """When the current overload slowdown began; None if there is none."""
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
        """Return the share of its capacity that the server has by now, from `warm_up_initial_share` to 1."""
        return self.spec.warm_up_share(now - self.started_ms)

    def reported_queue(self, now: float) -> float:
        """Return the queue length of the latest visible load report."""
        if now > self._now:
            self._advance(max(self._now, min(now, self.next_due_ms())))
        return self._load_reporter.visible_queue(now)

    def next_due_ms(self) -> float:
        """Return when `tick` has to be called next; infinity if nothing is due."""
        if self.state is LifecycleState.DOWN:
            return math.inf
        due = self._pauses.next_change_ms
        due = min(due, self._now + self.processor.time_to_next_end_ms())
        if self.processor.running and self._now - self.started_ms < self.spec.warm_up_ms:
            due = min(due, self._now + WARM_UP_STEP_MS)
        return min(due, self._slowdown.next_check_ms(self._now))

    # ----------------------------------------------------------------- events

    def connection_opened(self, now: float) -> bool:
        """Count a new connection. Return False if there are more than `max_connections`.

        The caller adds the work of the handshake to the first request on the connection.
        """
        self._advance(now)
        self.connection_count += 1
        self._set_rate()
        return self.connection_count <= self.spec.max_connections

    def connection_closed(self, now: float) -> None:
        """Count a closed connection."""
        self._advance(now)
        self.connection_count -= 1
        self._set_rate()

    def submit(self, now: float, job: Job) -> list[Action]:
        """Admit, reject or answer a request whose last byte has been received."""
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
        """Continue a job after its call to the next tier, or end it with an error if the call failed."""
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
        self._update_slowdown_and_rate(now)
        return actions

    def finish_duplicate(self, job_id: int) -> bool:
        """Remove a duplicate after the job with its key has ended. Return False if it has been removed already."""
        job = self.jobs.pop(job_id, None)
        if job is None:
            return False
        self.ended += 1
        job.stage = JobStage.FINISHED
        return True

    def check_health(self, now: float) -> bool:
        """Process a health check, which bypasses the queue. Return False if new requests are rejected."""
        self._advance(now)
        if self.state is LifecycleState.UP and self.spec.health_check_work_ms > 0.0:
            self.processor.start(self.spec.health_check_work_ms, None)
            self._update_slowdown_and_rate(now)
        return self.state is LifecycleState.UP

    def set_slow_factor(self, now: float, factor: float) -> None:
        """Inject a fault that lengthens all work by a factor; 1 ends it."""
        self._advance(now)
        self.slow_factor = factor
        self._update_slowdown_and_rate(now)

    def set_neighbour_share(self, now: float, share: float) -> None:
        """Inject a fault in which another program takes a share of the machine; 0 ends it."""
        self._advance(now)
        self.neighbour_share = share
        self._update_slowdown_and_rate(now)

    def drain(self, now: float) -> None:
        """Reject new requests and finish those in progress or queued."""
        self._advance(now)
        if self.state is LifecycleState.UP:
            self.state = LifecycleState.DRAINING
        self._update_slowdown_and_rate(now)

    def stop(self, now: float) -> None:
        """End the process. Its jobs are lost without a response."""
        self._advance(now)
        self.state = LifecycleState.DOWN
        # A duplicate that waits at another server of the cell for one of these jobs gets no response either.
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
        """Process everything that is due, each at its own time, so that a late call has the same result."""
        actions: list[Action] = []
        while (due := self.next_due_ms()) <= now and self.state is not LifecycleState.DOWN:
            due = max(due, self._now)
            before = self._now
            self._advance(due)
            self._pauses.update(due, self.in_progress)
            finished = self._finish_due_segments()
            actions += finished
            self._update_slowdown_and_rate(due)
            if due == before and not finished and self.next_due_ms() <= due:
                break  # no progress is possible at this time; prevents an endless loop
        self._advance(now)
        return actions

    # ------------------------------------------------------------------- work

    def _advance(self, now: float) -> None:
        elapsed_ms = now - self._now
        if elapsed_ms <= 0.0:
            return
        self._load_reporter.refresh(now, self.queue_length)
        self.processor.advance(elapsed_ms)
        busy = self.processor.busy_share
        self._busy_share = busy + (self._busy_share - busy) * math.exp(-elapsed_ms / BUSY_SMOOTHING_MS)
        self._now = now

    def _set_rate(self) -> None:
        self.processor.set_capacity(self.capacity)

    def _update_slowdown_and_rate(self, now: float) -> None:
        """Update the slowdown and the processing rate after an event."""
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
        self._update_slowdown_and_rate(now)
        return actions

    def _start(self, job: Job) -> JobStarted:
        job.started = True
        self._run_segment(job)
        return JobStarted(job.id)

    def _run_segment(self, job: Job) -> None:
        job.stage = JobStage.RUNNING
        self.processor.start(job.segments_ms[job.segment], job)

    def _finish_due_segments(self) -> list[Action]:
        """Call the next tier for each job whose segment has ended, or finish it after its last segment."""
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
            if not entry.served:  # the key of a failed request is not kept, so that a retry executes it again
                self.dedup_table.remove(job.key, entry)
            # Waiting duplicates get the response even if the key has expired meanwhile.
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
        """Stop a warming server whose offered load, including rejected requests, exceeds its limit."""
        spec = self.spec
        if self.state is LifecycleState.DOWN or now - self.started_ms >= spec.warm_up_ms:
            return []
        self._offered_load.add(now, work_ms, sender_informed)
        capacity = spec.cores * spec.speed * self.warm_up_share(now)
        limit_ms = spec.overload_factor * capacity * spec.overload_window_ms + spec.overload_slack_ms
        if self._offered_load.total_ms() <= limit_ms:
            return []
        informed_share = self._offered_load.informed_share()
        self.stop(now)
        return [ServerCollapsed(informed_share)]
