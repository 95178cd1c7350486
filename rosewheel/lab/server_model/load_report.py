"""Load reports of a server: its queue length, sampled periodically, with noise and a delay."""

from __future__ import annotations

import math
from collections import deque

import numpy as np

from rosewheel.lab.random_streams import lognormal_factor
from rosewheel.lab.server_model.spec import ServerSpec

MAX_BACKLOG_PERIODS = 10.0  # further reports that are overdue are skipped


class LoadReporter:
    """Makes the load reports of one server, each of which becomes visible after a delay."""

    def __init__(self, spec: ServerSpec, rng: np.random.Generator, now: float) -> None:
        self.spec, self.rng = spec, rng
        self._reports: deque[tuple[float, float]] = deque([(-math.inf, 0.0)])  # (visible from, queue length)
        self._next_ms = now

    def refresh(self, now: float, queue_length: int) -> None:
        """Make the reports that are due.

        Args:
            queue_length: length of the queue since the last call.
        """
        spec = self.spec
        while self._next_ms <= now:
            noise = lognormal_factor(self.rng, spec.report_noise)
            self._reports.append((self._next_ms + spec.report_delay_ms, queue_length * noise))
            self._next_ms += spec.report_period_ms
            if self._next_ms < now - MAX_BACKLOG_PERIODS * spec.report_period_ms:
                self._next_ms = now

    def visible_queue(self, now: float) -> float:
        """Return the queue length of the latest visible report."""
        while len(self._reports) > 1 and self._reports[1][0] <= now:
            self._reports.popleft()
        return self._reports[0][1]
