"""Processor sharing: all running jobs get an equal share of the cores of a server.

Every job is processed at the same rate, at most that of one core. One counter, the work done per job, therefore serves
for all of them: a job ends when the counter reaches the value at its start plus its own work. An event costs O(log n).
When `advance` is called affects neither the end times nor the order of jobs.
"""

from __future__ import annotations

import heapq
import math
from collections.abc import Iterator
from typing import NamedTuple

from rosewheel.lab.server_model.jobs import Job

ROUNDING_TOLERANCE_MS = 1e-6


class RunningWork(NamedTuple):
    """A running segment of work. Segments are ordered by their end.

    Attributes:
        ends_at_work_ms: value of the counter of work per job at which the segment ends.
        sequence: number of the segment by start, which breaks ties.
        job: the job of the segment; None for a health check.
    """

    ends_at_work_ms: float
    sequence: int
    job: Job | None


class SharedProcessor:
    """The cores of a server and the work that runs on them.

    Attributes:
        running: heap of the running segments.
        work_done_ms: total work done so far.
    """

    def __init__(self, cores: int) -> None:
        self.cores = cores
        self.running: list[RunningWork] = []
        self.work_done_ms = 0.0
        self._work_per_job_ms = 0.0
        self._rate = 0.0  # work per job and millisecond
        self._sequence = 0

    @property
    def waiting_for_core(self) -> int:
        """Number of running segments in excess of the cores."""
        return max(0, len(self.running) - self.cores)

    @property
    def busy_share(self) -> float:
        """Share of the cores in use."""
        return min(1.0, len(self.running) / self.cores)

    def start(self, work_ms: float, job: Job | None) -> None:
        """Start a segment of work.

        Args:
            job: the job of the segment; None for a health check.
        """
        self._sequence += 1
        heapq.heappush(self.running, RunningWork(self._work_per_job_ms + work_ms, self._sequence, job))

    def advance(self, elapsed_ms: float) -> None:
        """Process the running segments for this time at the current rate."""
        if self.running:
            work_ms = self._rate * elapsed_ms
            self._work_per_job_ms += work_ms
            self.work_done_ms += work_ms * len(self.running)

    def set_capacity(self, capacity: float) -> None:
        """Set the rate per job.

        Args:
            capacity: work that all cores together do in a millisecond.
        """
        core_share = min(1.0, self.cores / len(self.running)) if self.running else 0.0
        self._rate = capacity / self.cores * core_share

    def time_to_next_end_ms(self) -> float:
        """Return the time until the next segment ends at the current rate; infinity if none runs."""
        if not self.running or self._rate <= 0.0:
            return math.inf
        return max(0.0, self.running[0].ends_at_work_ms - self._work_per_job_ms) / self._rate

    def pop_finished(self) -> Iterator[Job | None]:
        """Remove the segments that have ended and yield their jobs in order of their end."""
        while (
            self.running and self.running[0].ends_at_work_ms <= self._work_per_job_ms + ROUNDING_TOLERANCE_MS
        ):
            yield heapq.heappop(self.running).job

    def clear(self) -> None:
        """Remove all segments."""
        self.running.clear()
