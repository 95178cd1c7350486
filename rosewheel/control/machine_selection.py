"""Which control machine a node goes to, and when: no I/O, no clock.

Rendezvous hashing: a node's order of the machines is by a hash of both names, so where one is lost its nodes spread
over the others alike, and no other node moves. The waits are drawn from the node's own seed.
"""

from __future__ import annotations

from collections.abc import Iterable
from hashlib import blake2b
from random import Random

# From the end of a cut to what was missed being in force 6 s are allowed. At worst the watch has just begun to be
# silent: 2.8 s until that is noticed, 0.4 s wait, 1.2 s to the first line, of which 0.7 s to connect: 4.4 s, and 1.1 s
# more where the next machine of the node's order is lost and does not even refuse.
WATCH_IDLE_TIMEOUT_S = 2.8  # an empty line comes every 2 s
RECONNECT_BACKOFF_S = 0.4
CONNECT_TIMEOUT_S = 0.7
FIRST_LINE_TIMEOUT_S = 1.2
LEAST = 0.25  # of a wait is the least that is drawn

RETURN_INTERVAL_S = (60.0, 240.0)  # when a node that had to move looks for its preferred machine again

WATCHES_PER_S = 250.0  # nodes that a machine takes on in a second; 540 on the last of four are done in 2 s
WATCH_BURST = 40


def rendezvous_order(node: str, machines: Iterable[str]) -> list[str]:
    """The machines, the one that this node prefers first."""
    return sorted(machines, key=lambda machine: (_weight(node, machine), machine), reverse=True)


def _weight(node: str, machine: str) -> bytes:
    return blake2b(f"{len(node)}:{node}{machine}".encode(), digest_size=8).digest()


class MachineSelection:
    """Where one node tries next. `lost` counts: a machine that just failed is tried after all the others."""

    def __init__(self, node: str, machines: Iterable[str], seed: int) -> None:
        self.random = Random(seed)
        self.order = rendezvous_order(node, machines)
        if not self.order:
            raise ValueError("no control machine")
        self.at = 0

    @property
    def current(self) -> str:
        return self.order[self.at]

    @property
    def is_preferred(self) -> bool:
        return self.at == 0

    def fail_over(self) -> float:
        """The current one is no use: the next one is current, to be tried after so many seconds."""
        self.at = (self.at + 1) % len(self.order)
        return RECONNECT_BACKOFF_S * self.random.uniform(LEAST, 1.0)

    def return_to_preferred(self) -> None:
        self.at = 0

    def draw_return_wait_s(self) -> float:
        """When to look whether the preferred machine is back."""
        return self.random.uniform(*RETURN_INTERVAL_S)


class ConnectionPacer:
    """A bucket of tokens: how long the next one of a crowd waits for its turn."""

    def __init__(self, per_s: float = WATCHES_PER_S, burst: int = WATCH_BURST) -> None:
        self.per_s, self.burst = per_s, burst
        self._due_s = 0.0  # when the bucket was, or will be, full

    def reserve(self, now_s: float) -> float:
        """Seconds from now until the turn of one that comes now."""
        self._due_s = max(self._due_s, now_s) + 1.0 / self.per_s
        return max(0.0, self._due_s - now_s - self.burst / self.per_s)
