"""Set of servers with constant-time insertion, removal and random sampling."""

from __future__ import annotations

from random import Random

from rosewheel.policy.server_stats import ServerStats


class IndexedSet:
    """Servers in a list, with an index of their positions.

    Attributes:
        items: the members, in no particular order; a removal moves the last one into the gap.
    """

    def __init__(self) -> None:
        self.items: list[ServerStats] = []
        self._positions: dict[ServerStats, int] = {}

    def __len__(self) -> int:
        return len(self.items)

    def __contains__(self, server: object) -> bool:
        return server in self._positions

    def add(self, server: ServerStats) -> None:
        """Add a server if it is not a member."""
        if server not in self._positions:
            self._positions[server] = len(self.items)
            self.items.append(server)

    def discard(self, server: ServerStats) -> None:
        """Remove a server if it is a member."""
        position = self._positions.pop(server, None)
        if position is None:
            return
        last = self.items.pop()
        if last is not server:
            self.items[position] = last
            self._positions[last] = position

    def sample(self, rng: Random, count: int) -> list[ServerStats]:
        """Return the distinct members of `count` random draws, or all members if there are no more."""
        if len(self.items) <= count:
            return list(self.items)
        size = len(self.items)
        return [self.items[index] for index in {int(rng.random() * size) for _ in range(count)}]
