"""Admission of requests while this process drains: their responses have to be complete before it is killed.

No I/O. Times are milliseconds; those of the drain count from its start.
"""

from __future__ import annotations

from collections.abc import Callable

# A drain lasts as long as the longest deadline of the settings, limited to MAX_DRAIN_DEADLINE_MS, plus
# DRAIN_MARGIN_MS. Operators kill the process by that deadline, whatever clients send.
MAX_DRAIN_DEADLINE_MS = 3000.0
DRAIN_MARGIN_MS = 500.0
# A request is rejected if the drain leaves less time than both its own timeout and this, as an attempt would
# rarely finish.
MIN_DRAIN_DEADLINE_MS = 1000.0
# The platform excuses what it cuts off only of requests that came up to 0.7 s after SIGTERM. This is less,
# since the process may have noticed the signal late.
LATE_AFTER_MS = 500.0
DURATION_WEIGHT = 0.2  # weight of the newest response in the smoothed duration of a class


class DrainAdmission:
    """Decides which requests a draining process accepts, and which of their responses must not be streamed.

    A streamed response has no deadline, so it could be cut off in the middle.

    Args:
        longest_deadline_ms: Returns the longest deadline of the service classes.
    """

    def __init__(self, longest_deadline_ms: Callable[[], float]) -> None:
        self._longest_deadline_ms = longest_deadline_ms
        self._durations_ms: dict[str, float] = {}  # smoothed, by class

    def response_completed(self, class_name: str, duration_ms: float) -> None:
        """Record the time from the last byte of a request to the last byte of its response."""
        smoothed_ms = self._durations_ms.get(class_name, duration_ms)
        self._durations_ms[class_name] = smoothed_ms + DURATION_WEIGHT * (duration_ms - smoothed_ms)

    def time_left_ms(self, elapsed_ms: float) -> float:
        """Return how long the drain still lasts.

        Args:
            elapsed_ms: Time since the start of the drain.
        """
        return min(self._longest_deadline_ms(), MAX_DRAIN_DEADLINE_MS) + DRAIN_MARGIN_MS - elapsed_ms

    def must_be_complete(self, elapsed_ms: float) -> bool:
        """Return whether the response to a request that arrives now has to be complete by the end."""
        return elapsed_ms > LATE_AFTER_MS

    def admits(self, elapsed_ms: float, class_name: str, timeout_ms: float, is_streaming: bool) -> bool:
        """Return whether a request that arrives during the drain is accepted.

        Args:
            elapsed_ms: Time since the start of the drain.
            class_name: Service class of the request.
            timeout_ms: How long its client waits.
            is_streaming: Whether the settings declare that responses of the class are streamed.
        """
        left_ms = self.time_left_ms(elapsed_ms)
        if left_ms < min(timeout_ms, MIN_DRAIN_DEADLINE_MS):
            return False
        if not self.must_be_complete(elapsed_ms):
            return True
        return not is_streaming and self._durations_ms.get(class_name, 0.0) <= left_ms
