"""The Request-Ids of ended requests that may have had an effect: they are not forwarded again for a while.

A client may leave while a server executes its request, and send the same id again. Sound clients never do that, so the
ids are kept in memory only, for as long as the settings let a repeat matter.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Iterator

GENERATIONS = 4  # groups of ids with one end each; an id is kept up to a group's length too long
ID_OVERHEAD_BYTES = 120  # memory of an id besides its characters: a string object and its entry in a set


class EndedRequestIds:
    """A table of ids, bounded in memory. When it is full, requests are refused: no id is forgotten early.

    Args:
        now_s: Returns the present time in seconds.
        retention_s: Returns how long an id is kept, in seconds.

    Attributes:
        limit_bytes: Limit of the memory for the ids.
    """

    def __init__(self, now_s: Callable[[], float], retention_s: Callable[[], float]) -> None:
        self.limit_bytes = 1 << 20
        self._now_s, self._retention_s = now_s, retention_s
        self._generations: deque[_IdGeneration] = deque()  # the oldest first
        self._unshared: deque[str] | None = None  # not yet sent to the other process; None without one

    @property
    def used_bytes(self) -> int:
        """Estimated memory of the ids."""
        return sum(generation.used_bytes for generation in self._generations)

    @property
    def is_full(self) -> bool:
        """True if no further id can be added."""
        self._drop_expired()
        return self.used_bytes >= self.limit_bytes

    def __contains__(self, id: str) -> bool:
        """Return whether an id is kept."""
        self._drop_expired()
        return any(id in generation.ids for generation in self._generations)

    def __iter__(self) -> Iterator[str]:
        """Iterate over the ids that are kept."""
        self._drop_expired()
        for generation in list(self._generations):
            yield from list(generation.ids)

    def add(self, id: str) -> None:
        """Keep an id from now on."""
        self.add_shared(id)
        if self._unshared is not None:
            self._unshared.append(id)

    def add_shared(self, id: str) -> None:
        """Keep an id that the other process of the node has sent."""
        self._drop_expired()
        now_s, retention_s = self._now_s(), self._retention_s()
        newest = self._generations[-1] if self._generations else None
        if newest is None or now_s - newest.started_s >= retention_s / GENERATIONS:
            newest = _IdGeneration(now_s)
            self._generations.append(newest)
        newest.add(id, now_s + retention_s)

    def start_sharing(self) -> None:
        """Collect all ids for `take_unshared`. A second call does nothing."""
        if self._unshared is None:
            self._unshared = deque(self)

    def stop_sharing(self) -> None:
        """Collect no further ids: there is no other process."""
        self._unshared = None

    def take_unshared(self, count: int) -> list[str]:
        """Return up to `count` ids that were not returned before."""
        unshared = self._unshared or deque()
        return [unshared.popleft() for _ in range(min(count, len(unshared)))]

    def _drop_expired(self) -> None:
        if not self._generations:
            return
        now_s = self._now_s()
        while self._generations and self._generations[0].ends_s <= now_s:
            self._generations.popleft()


class _IdGeneration:
    """Ids that were added one after another, and are dropped together.

    Attributes:
        started_s: When the first id was added.
        ends_s: When the last id need no longer be kept.
        ids: The ids.
        used_bytes: Estimated memory of the ids.
    """

    __slots__ = ("ends_s", "ids", "started_s", "used_bytes")

    def __init__(self, started_s: float) -> None:
        self.started_s = self.ends_s = started_s
        self.ids: set[str] = set()
        self.used_bytes = 0

    def add(self, id: str, ends_s: float) -> None:
        """Keep an id until a time."""
        self.ends_s = max(self.ends_s, ends_s)
        if id not in self.ids:
            self.ids.add(id)
            self.used_bytes += len(id) + ID_OVERHEAD_BYTES
