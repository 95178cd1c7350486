"""Processor sharing: jobs that share the cores of a server evenly.

Each running job gets the same rate, at most one core. So one number, the work that each running job has received
since the beginning, stands for all of them, and a job ends when that number reaches the mark it was given at its
start. An event costs O(log n), and a late look changes no end and no order.
"""

from __future__ import annotations

import heapq
import math
from collections.abc import Iterator
from typing import NamedTuple

from rosewheel.lab.server_model.jobs import Job

ROUNDING_MS = 1e-6  # of the sums of late times


class RunningWork(NamedTuple):
    """A segment of work on the cores, in order of its end.

    Attributes:
        ends_at_work_ms: the work per job at which it ends.
        sequence: order of the starts, for equal ends.
        job: its job; None for the work of a health check.
    """

    ends_at_work_ms: float
    sequence: int
    job: Job | None


class SharedProcessor:
    """The cores of a server and the work that runs on them.

    Attributes:
        running: a heap by the end of the work.
        work_done_ms: all work done so far.
    """

    def __init__(self, cores: int) -> None:
        self.cores = cores
        self.running: list[RunningWork] = []
        self.work_done_ms = 0.0
        self._work_per_job_ms = 0.0
        self._rate = 0.0  # work per job and ms
        self._sequence = 0

    @property
    def waiting_for_core(self) -> int:
        """Segments above the number of cores."""
        return max(0, len(self.running) - self.cores)

    @property
    def busy_share(self) -> float:
        """Share of the cores in use."""
        return min(1.0, len(self.running) / self.cores)

    def start(self, work_ms: float, job: Job | None) -> None:
        """Put a segment of work on the cores."""
        self._sequence += 1
        heapq.heappush(self.running, RunningWork(self._work_per_job_ms + work_ms, self._sequence, job))

    def advance(self, elapsed_ms: float) -> None:
        """Do the work of this time at the current rate."""
        if self.running:
            work_ms = self._rate * elapsed_ms
            self._work_per_job_ms += work_ms
            self.work_done_ms += work_ms * len(self.running)

    def set_capacity(self, capacity: float) -> None:
        """Set the rate of each job by the work that all cores together do in a millisecond."""
        core_share = min(1.0, self.cores / len(self.running)) if self.running else 0.0
        self._rate = capacity / self.cores * core_share

    def time_to_next_end_ms(self) -> float:
        """Time until the next segment ends at the current rate; infinity where none runs."""
        if not self.running or self._rate <= 0.0:
            return math.inf
        return max(0.0, self.running[0].ends_at_work_ms - self._work_per_job_ms) / self._rate

    def pop_finished(self) -> Iterator[Job | None]:
        """Remove the segments that have ended, in order, and give their jobs."""
        while self.running and self.running[0].ends_at_work_ms <= self._work_per_job_ms + ROUNDING_MS:
            yield heapq.heappop(self.running).job

    def clear(self) -> None:
        """Drop all work."""
        self.running.clear()
