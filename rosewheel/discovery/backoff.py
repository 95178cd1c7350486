"""The backoff between two watches, for a node to which the endpoint list is pushed."""

from __future__ import annotations

import random

# A watch has to be open when discovery returns, since a change counts from then on. So the next one follows after at
# most these parts of the time that a drain allows: the first after one failure, the second after several. A watch that
# lasted longer is followed at once.
INITIAL_DELAY_DIVISOR, MAX_DELAY_DIVISOR = 8.0, 3.0
MAX_DELAY_S = 2.0  # between the starts of two watches; see the sum in discovery/watch_client.py
MIN_DELAY_S = 0.02  # guards the processor, whatever a drain allows
MAX_DOUBLINGS = 8
# Share of the delay. It is drawn, so that the nodes of a service do not return at one moment.
JITTER_RANGE = (0.6, 1.0)


class WatchBackoff:
    """The delays of one node.

    Attributes:
        random: The node's own generator.
        failed_watches: Watches that ended since one last received anything.
    """

    def __init__(self, rng: random.Random) -> None:
        self.random = rng
        self.failed_watches = 0

    def reset(self) -> None:
        """A watch has received something, if only an empty line: discovery works."""
        self.failed_watches = 0

    def next_delay_s(self, watch_duration_s: float, drain_grace_s: float) -> float:
        """Seconds until the next watch is started; each call counts as a failure.

        Args:
            watch_duration_s: How long the watch lasted that has ended.
            drain_grace_s: How soon a drain has to be known.
        """
        delay_s = min(
            drain_grace_s / MAX_DELAY_DIVISOR,
            drain_grace_s / INITIAL_DELAY_DIVISOR * 2.0**self.failed_watches,
        )
        self.failed_watches = min(MAX_DOUBLINGS, self.failed_watches + 1)
        bounded_s = max(min(delay_s, MAX_DELAY_S), MIN_DELAY_S)
        return max(0.0, bounded_s * self.random.uniform(*JITTER_RANGE) - watch_duration_s)
