"""Rate limit for starting watches when many nodes connect to a control machine at once. No I/O and no clock."""

from __future__ import annotations

WATCHES_PER_S = 250.0  # starts the watches of 540 nodes within 2 s
WATCH_BURST = 40


class ConnectionPacer:
    """A token bucket that delays callers instead of rejecting them.

    Attributes:
        per_s: Refill rate, in tokens per second.
        burst: Capacity of the bucket, in tokens.
    """

    def __init__(self, per_s: float = WATCHES_PER_S, burst: int = WATCH_BURST) -> None:
        self.per_s, self.burst = per_s, burst
        self._full_at_s = 0.0  # time at which the bucket was or will be full

    def reserve(self, now_s: float) -> float:
        """Take a token for a watch that is opened at `now_s`.

        Returns:
            Delay before the watch may start, in seconds.
        """
        self._full_at_s = max(self._full_at_s, now_s) + 1.0 / self.per_s
        return max(0.0, self._full_at_s - now_s - self.burst / self.per_s)
