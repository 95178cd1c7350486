"""Selects the control machine that a node watches, by rendezvous hashing. No I/O and no clock.

Each node orders the machines by a hash of both names. The nodes of a lost machine spread evenly over the others, and no
other node moves. Backoffs are drawn from a per-node seed, so that nodes do not reconnect at the same time.
"""

from __future__ import annotations

from collections.abc import Iterable
from hashlib import blake2b
from random import Random

from rosewheel.control.timing import MIN_BACKOFF_SHARE, RECONNECT_BACKOFF_S

RETURN_INTERVAL_S = (60.0, 240.0)  # range of the wait before a node tries its preferred machine again


def rendezvous_order(node: str, machines: Iterable[str]) -> list[str]:
    """Return the machines in the node's order of preference."""
    return sorted(machines, key=lambda machine: (_weight(node, machine), machine), reverse=True)


def _weight(node: str, machine: str) -> bytes:
    return blake2b(f"{len(node)}:{node}{machine}".encode(), digest_size=8).digest()


class MachineSelection:
    """The machine that one node watches, or tries next.

    Attributes:
        order: All machines, the preferred one first.
        index: Index of the current machine in `order`.
        random: Random source of the node's waits.
    """

    def __init__(self, node: str, machines: Iterable[str], seed: int) -> None:
        """Start with the preferred machine.

        Raises:
            ValueError: `machines` is empty.
        """
        self.random = Random(seed)
        self.order = rendezvous_order(node, machines)
        if not self.order:
            raise ValueError("no control machine is configured")
        self.index = 0

    @property
    def current(self) -> str:
        """The machine to watch."""
        return self.order[self.index]

    @property
    def is_preferred(self) -> bool:
        """Whether the current machine is the first in the node's order."""
        return self.index == 0

    def fail_over(self) -> float:
        """Make the next machine of the order current.

        Returns:
            Backoff before the attempt, in seconds.
        """
        self.index = (self.index + 1) % len(self.order)
        return RECONNECT_BACKOFF_S * self.random.uniform(MIN_BACKOFF_SHARE, 1.0)

    def return_to_preferred(self) -> None:
        """Make the preferred machine current."""
        self.index = 0

    def draw_return_wait_s(self) -> float:
        """Return a random wait before the next attempt at the preferred machine, in seconds."""
        return self.random.uniform(*RETURN_INTERVAL_S)
