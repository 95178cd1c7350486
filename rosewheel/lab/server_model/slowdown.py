"""Tracks when the slowdown of an overloaded server begins and ends."""

from __future__ import annotations

import math

from rosewheel.lab.server_model.spec import OverloadSlowdown, ServerSpec

RECOVERY_POLL_MS = 50.0  # interval between two checks whether a slowed server has recovered


class SlowdownTracker:
    """State of the overload slowdown of one server.

    Attributes:
        slowed_since_ms: when the current slowdown began; None if there is none.
    """

    def __init__(self, spec: ServerSpec) -> None:
        self.parameters, self.cores = spec.slowdown, spec.cores
        self.slowed_since_ms: float | None = None
        self._overloaded_since_ms: float | None = None
        self._idle_since_ms: float | None = None

    @property
    def factor(self) -> float:
        """Factor by which the server is slowed now; 1 if it is not."""
        if self.slowed_since_ms is None or self.parameters is None:
            return 1.0
        return self.parameters.factor

    def next_check_ms(self, now: float) -> float:
        """Return when `update` has to be called next; infinity if nothing is due."""
        if self.parameters is None:
            return math.inf
        if self.slowed_since_ms is not None:
            return now + RECOVERY_POLL_MS
        if self._overloaded_since_ms is not None:
            return self._overloaded_since_ms + self.parameters.trigger_ms
        return math.inf

    def update(self, now: float, queue_length: int, busy_share: float) -> None:
        """Begin or end the slowdown after an event.

        Args:
            queue_length: requests that wait for a slot or a core.
            busy_share: smoothed share of the cores in use.
        """
        parameters = self.parameters
        if parameters is None:
            return
        if self.slowed_since_ms is None:
            self._check_begin(now, parameters, queue_length)
        elif self._is_over(now, parameters, self.slowed_since_ms, busy_share):
            self.slowed_since_ms = self._overloaded_since_ms = None

    def _check_begin(self, now: float, parameters: OverloadSlowdown, queue_length: int) -> None:
        if queue_length <= parameters.queue_per_core * self.cores:
            self._overloaded_since_ms = None
        elif self._overloaded_since_ms is None:
            self._overloaded_since_ms = now
        elif now >= self._overloaded_since_ms + parameters.trigger_ms:
            # The same sum as in `next_check_ms`. A difference could round to less than `trigger_ms` at the time
            # of that check, which would then repeat without end.
            self.slowed_since_ms, self._idle_since_ms = now, None

    def _is_over(
        self, now: float, parameters: OverloadSlowdown, slowed_since_ms: float, busy_share: float
    ) -> bool:
        if busy_share >= parameters.recovery_busy_share:
            self._idle_since_ms = None
        elif self._idle_since_ms is None:
            self._idle_since_ms = now
        idle_since_ms = self._idle_since_ms
        recovered = idle_since_ms is not None and now - idle_since_ms >= parameters.recovery_ms
        return recovered or now - slowed_since_ms >= parameters.max_ms
