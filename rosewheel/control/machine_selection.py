"""Which control machine a node watches. No I/O and no clock.

Rendezvous hashing: a node's order of the machines follows a hash of both names. The nodes of a lost machine spread over
the others alike, and no other node moves. Waits are drawn from the node's own seed.
"""

from __future__ import annotations

from collections.abc import Iterable
from hashlib import blake2b
from random import Random

from rosewheel.control.timing import MIN_BACKOFF_SHARE, RECONNECT_BACKOFF_S

# Range of the wait, in seconds, until a node that had to move tries its preferred machine again.
RETURN_INTERVAL_S = (60.0, 240.0)


def rendezvous_order(node: str, machines: Iterable[str]) -> list[str]:
    """Return the machines in the node's order of preference."""
    return sorted(machines, key=lambda machine: (_weight(node, machine), machine), reverse=True)


def _weight(node: str, machine: str) -> bytes:
    return blake2b(f"{len(node)}:{node}{machine}".encode(), digest_size=8).digest()


class MachineSelection:
    """The machine that one node watches, or tries next.

    Attributes:
        order: All machines, the preferred one first.
        index: Position of the current machine in `order`.
        random: Source of the node's waits.
    """

    def __init__(self, node: str, machines: Iterable[str], seed: int) -> None:
        """Start with the preferred machine.

        Raises:
            ValueError: There are no machines.
        """
        self.random = Random(seed)
        self.order = rendezvous_order(node, machines)
        if not self.order:
            raise ValueError("no control machine")
        self.index = 0

    @property
    def current(self) -> str:
        """The machine to watch."""
        return self.order[self.index]

    @property
    def is_preferred(self) -> bool:
        """Whether the current machine is the first of the node's order."""
        return self.index == 0

    def fail_over(self) -> float:
        """Make the next machine of the order current.

        Returns:
            Backoff in seconds before it is tried.
        """
        self.index = (self.index + 1) % len(self.order)
        return RECONNECT_BACKOFF_S * self.random.uniform(MIN_BACKOFF_SHARE, 1.0)

    def return_to_preferred(self) -> None:
        """Make the preferred machine current."""
        self.index = 0

    def draw_return_wait_s(self) -> float:
        """Return how long to wait before the preferred machine is tried again, in seconds."""
        return self.random.uniform(*RETURN_INTERVAL_S)
