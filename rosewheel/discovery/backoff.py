"""Backoff between two watches, for a node to which discovery pushes the endpoint list."""

from __future__ import annotations

import random

# Divisors of the drain notice, for the delay between the starts of two watches after one failure and after several. The
# delay is a fraction of the drain notice because a node has only that long to learn of a drain, counted from when
# discovery can be reached again. After a watch that lasted longer than the delay, the next one starts at once.
INITIAL_DELAY_DIVISOR, MAX_DELAY_DIVISOR = 8.0, 3.0
MAX_DELAY_S = 2.0  # longest time between the starts of two watches; see the sum in discovery/watch_client.py
MIN_DELAY_S = 0.02  # shortest delay before jitter, so that a short drain notice does not cause a busy loop
MAX_DOUBLINGS = 8  # limit of doublings of the initial delay
JITTER_RANGE = (0.6, 1.0)  # random share of the delay, so that the nodes do not reconnect at the same time


class WatchBackoff:
    """Exponential backoff with jitter between the watches of one node.

    Attributes:
        random: The node's random number generator.
        failed_watches: Number of watches that have ended since one received data, up to `MAX_DOUBLINGS`.
    """

    def __init__(self, rng: random.Random) -> None:
        self.random = rng
        self.failed_watches = 0

    def reset(self) -> None:
        """Return to the initial delay, because a watch has received data (an empty line is enough)."""
        self.failed_watches = 0

    def next_delay_s(self, watch_duration_s: float, drain_notice_s: float) -> float:
        """Count a failed watch, and return the time in seconds until the next one is started.

        Args:
            watch_duration_s: Duration of the watch that has ended.
            drain_notice_s: Time within which the node has to learn that a server is draining.
        """
        delay_s = min(
            drain_notice_s / MAX_DELAY_DIVISOR,
            drain_notice_s / INITIAL_DELAY_DIVISOR * 2.0**self.failed_watches,
        )
        self.failed_watches = min(MAX_DOUBLINGS, self.failed_watches + 1)
        bounded_s = max(min(delay_s, MAX_DELAY_S), MIN_DELAY_S)
        return max(0.0, bounded_s * self.random.uniform(*JITTER_RANGE) - watch_duration_s)
