"""How long to wait before the next watch where the last one has ended: where lists are pushed nobody is asked."""

from __future__ import annotations

import random

# Where lists are pushed the module never asks, and asking the agent is free. What discovery has at its return counts
# as told at once, so a watch has to be open then: one follows the other at no more than these parts of the time that
# a drain allows, the second part once several have come to nothing. One that lasted longer is followed at once.
INITIAL_DELAY_DIVISOR, MAX_DELAY_DIVISOR = 8.0, 3.0
MAX_DELAY_S = (
    2.0  # and no more than this from one's beginning to the next one's (see discovery/watch_client.py)
)
MIN_DELAY_S = 0.02  # Guards the processor, whatever a drain allows


class WatchBackoff:
    """The waits of one node, in seconds, drawn by its own generator."""

    def __init__(self, rng: random.Random) -> None:
        self.random = rng
        self.failed_watches = 0  # watches that ended since one last had something to tell

    def reset(self) -> None:
        """A watch is open on a discovery that works, though it may have no change to tell."""
        self.failed_watches = 0

    def next_delay_s(self, watch_duration_s: float, drain_grace_s: float) -> float:
        """A watch that lasted so long has ended: seconds until the next one. `grace_s` is what a drain allows."""
        wait = min(
            drain_grace_s / MAX_DELAY_DIVISOR,
            drain_grace_s / INITIAL_DELAY_DIVISOR * 2.0**self.failed_watches,
        )
        self.failed_watches = min(8, self.failed_watches + 1)
        # Drawn, so that the nodes of a service do not all come back to it at one moment.
        return max(
            0.0, max(min(wait, MAX_DELAY_S), MIN_DELAY_S) * self.random.uniform(0.6, 1.0) - watch_duration_s
        )
