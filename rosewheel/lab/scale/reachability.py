"""Reachability between the machines of a scale run. No I/O."""

from __future__ import annotations

import hashlib
from collections.abc import Iterable, Mapping


class Reachability:
    """Tells which machines can reach each other, given lost machines and a partition between regions.

    Attributes:
        regions: Region of each machine, by name.
        lost: Names of the machines whose packets are dropped.
        partitioned: Whether packets between regions are dropped.
    """

    def __init__(self, regions: Mapping[str, int]) -> None:
        self.regions = regions
        self.lost: set[str] = set()
        self.partitioned = False

    def can_reach(self, first: str, second: str) -> bool:
        """Return whether packets pass between two machines."""
        if first in self.lost or second in self.lost:
            return False
        return not self.partitioned or self.same_region(first, second)

    def same_region(self, first: str, second: str) -> bool:
        """Return whether two machines are in the same region."""
        return self.regions[first] == self.regions[second]

    def choose_target(self, caller: str, targets: Iterable[str]) -> str:
        """Return the first target that the caller can reach, or the first one if it can reach none.

        The order of the targets is a hash of caller and target, so that callers are spread over the targets.
        """
        order = sorted(targets, key=lambda name: hashlib.blake2b(f"{caller}/{name}".encode()).digest())
        return next((name for name in order if self.can_reach(caller, name)), order[0])
