"""Which machines of a scale run can reach each other. No I/O."""

from __future__ import annotations

import hashlib
from collections.abc import Iterable, Mapping


class Reachability:
    """Lost machines and the partition between regions.

    Attributes:
        regions: Region of each machine, by name.
        lost: Names of machines that cannot reach anything.
        partitioned: Whether the regions cannot reach each other.
    """

    def __init__(self, regions: Mapping[str, int]) -> None:
        self.regions = regions
        self.lost: set[str] = set()
        self.partitioned = False

    def can_reach(self, first: str, second: str) -> bool:
        """Whether packets pass between these machines."""
        if first in self.lost or second in self.lost:
            return False
        return not self.partitioned or self.same_region(first, second)

    def same_region(self, first: str, second: str) -> bool:
        """Whether both machines stand in one region."""
        return self.regions[first] == self.regions[second]

    def choose_target(self, caller: str, targets: Iterable[str]) -> str:
        """The first target that the caller can reach, in an order of the caller's own.

        The first one of that order if it can reach none.
        """
        order = sorted(targets, key=lambda name: hashlib.blake2b(f"{caller}/{name}".encode()).digest())
        return next((name for name in order if self.can_reach(caller, name)), order[0])
