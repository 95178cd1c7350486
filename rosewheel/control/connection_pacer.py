"""Pace at which a control machine starts the watches of many nodes that connect at once. No I/O and no clock."""

from __future__ import annotations

WATCHES_PER_S = 250.0  # 540 nodes on the last of four machines are served within 2 s
WATCH_BURST = 40


class ConnectionPacer:
    """A token bucket that queues.

    Attributes:
        per_s: Tokens per second.
        burst: Size of the bucket.
    """

    def __init__(self, per_s: float = WATCHES_PER_S, burst: int = WATCH_BURST) -> None:
        self.per_s, self.burst = per_s, burst
        self._full_at_s = 0.0  # when the bucket was, or will be, full

    def reserve(self, now_s: float) -> float:
        """Take a token for a watch that is opened now.

        Returns:
            Seconds until the watch may start.
        """
        self._full_at_s = max(self._full_at_s, now_s) + 1.0 / self.per_s
        return max(0.0, self._full_at_s - now_s - self.burst / self.per_s)
