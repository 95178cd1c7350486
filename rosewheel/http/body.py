"""The body of a request on its way: held as a whole while it is small, else passed through in pieces."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable

HOLD_BYTES = 1 << 20  # a longer body passes through
SHARES = 4  # no connection's bodies hold more than this part of what all may hold


class Budget:
    """What all bodies together may hold. It is no hard wall: past it bodies pass through, and each of these
    holds no more than its window."""

    def __init__(self, most: int) -> None:
        self.most, self.used = most, 0

    @property
    def spent(self) -> bool:
        return self.used > self.most

    @property
    def share(self) -> int:
        """What one connection's may hold of it."""
        return self.most // SHARES


class Body:
    """Filled by the caller's connection, read by that of the attempt which is out.

    `reader` is called when there is more to read, `eased` when there is room for more.
    """

    def __init__(self, budget: Budget, eased: Callable[[], None]) -> None:
        self.budget, self.eased = budget, eased
        self.pieces: deque[bytes] = deque()
        self.first = 0  # the number of the piece that stands first: more than 0 once some are dropped
        self.size = 0  # of all that has come
        self.held = 0
        self.complete = False
        self.streamed = False  # it passes through
        self.read = False  # some of it is on its way to a server
        self.unwanted = False  # nobody reads it any more
        self.reader: Callable[[], None] | None = None

    @property
    def resendable(self) -> bool:
        return self.first == 0 and not self.unwanted

    def add(self, data: bytes) -> None:
        self.size += len(data)
        if self.unwanted:
            return
        self.pieces.append(data)
        self.held += len(data)
        self.budget.used += len(data)
        if self.size > HOLD_BYTES or self.budget.spent:
            self.streamed = True
        if self.reader is not None:
            self.reader()

    def end(self) -> None:
        self.complete = True
        if self.reader is not None:
            self.reader()

    def piece(self, number: int) -> bytes | None:
        """The piece of this number, or None where it has not come. Of a body that passes through, those
        before it are dropped: they have been read, and are not read again."""
        self.read = True
        if self.streamed:
            while self.first < number:
                self._drop()
        at = number - self.first
        return self.pieces[at] if 0 <= at < len(self.pieces) else None

    def _drop(self) -> None:
        size = len(self.pieces.popleft())
        self.first += 1
        self.held -= size
        self.budget.used -= size
        self.eased()

    def again(self) -> None:
        """Who read it is gone; where all of it is still here, another one may come and read it."""
        if self.first == 0 and self.read and not self.unwanted:
            self.read = False
            self.eased()

    def release(self) -> None:
        """Nobody needs it any more; what still comes of it is not kept."""
        self.unwanted, self.reader = True, None
        self.budget.used -= self.held
        self.held = 0
        self.pieces.clear()
