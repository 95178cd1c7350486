"""Stop-the-world pauses of a server, such as those of a garbage collector."""

from __future__ import annotations

import math

import numpy as np

from rosewheel.lab.server_model.spec import ServerSpec


class PauseSchedule:
    """Pauses at exponentially distributed intervals, whose length grows with the requests in progress.

    Attributes:
        paused: whether the server is paused.
        next_change_ms: when the next pause begins, or the current one ends.
    """

    def __init__(self, spec: ServerSpec, rng: np.random.Generator, now: float) -> None:
        self.spec, self.rng = spec, rng
        self.paused = False
        self.next_change_ms = now + self._draw_interval_ms()

    def update(self, now: float, in_progress: int) -> None:
        """Begin or end a pause if that is due."""
        if now < self.next_change_ms:
            return
        if self.paused:
            self.paused, self.next_change_ms = False, now + self._draw_interval_ms()
        else:
            length_factor = 1.0 + self.spec.pause_growth * in_progress / self.spec.concurrency_limit
            self.paused, self.next_change_ms = True, now + self.spec.pause_ms * length_factor

    def _draw_interval_ms(self) -> float:
        if not math.isfinite(self.spec.pause_interval_ms) or self.spec.pause_ms <= 0.0:
            return math.inf
        return float(self.rng.exponential(self.spec.pause_interval_ms))
