"""The body of a request on its way: held as a whole while it is small, else passed through in pieces."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable

MAX_BUFFERED_BODY_BYTES = 1 << 20  # a longer body passes through
CONNECTION_SHARE_DIVISOR = 4  # no connection's bodies hold more than this part of what all may hold


class BufferBudget:
    """What all bodies together may hold. It is no hard wall: past it bodies pass through, and each of these
    holds no more than its window."""

    def __init__(self, limit_bytes: int) -> None:
        self.limit_bytes, self.used_bytes = limit_bytes, 0

    @property
    def exceeded(self) -> bool:
        return self.used_bytes > self.limit_bytes

    @property
    def connection_share_bytes(self) -> int:
        """What one connection's may hold of it."""
        return self.limit_bytes // CONNECTION_SHARE_DIVISOR


class RequestBody:
    """Filled by the caller's connection, read by that of the attempt which is out.

    `reader` is called when there is more to read, `eased` when there is room for more.
    """

    def __init__(self, budget: BufferBudget, on_space: Callable[[], None]) -> None:
        self.budget, self.on_space = budget, on_space
        self.segments: deque[bytes] = deque()
        self.first_index = 0  # the number of the piece that stands first: more than 0 once some are dropped
        self.received_bytes = 0  # of all that has come
        self.buffered_bytes = 0
        self.complete = False
        self.streaming = False  # it passes through
        self.reading_started = False  # some of it is on its way to a server
        self.released = False  # nobody reads it any more
        self.on_data: Callable[[], None] | None = None

    @property
    def replayable(self) -> bool:
        return self.first_index == 0 and not self.released

    def append(self, data: bytes) -> None:
        self.received_bytes += len(data)
        if self.released:
            return
        self.segments.append(data)
        self.buffered_bytes += len(data)
        self.budget.used_bytes += len(data)
        if self.received_bytes > MAX_BUFFERED_BODY_BYTES or self.budget.exceeded:
            self.streaming = True
        if self.on_data is not None:
            self.on_data()

    def finish(self) -> None:
        self.complete = True
        if self.on_data is not None:
            self.on_data()

    def segment(self, index: int) -> bytes | None:
        """The piece of this number, or None where it has not come. Of a body that passes through, those
        before it are dropped: they have been read, and are not read again."""
        self.reading_started = True
        if self.streaming:
            while self.first_index < index:
                self._drop_first()
        at = index - self.first_index
        return self.segments[at] if 0 <= at < len(self.segments) else None

    def _drop_first(self) -> None:
        size = len(self.segments.popleft())
        self.first_index += 1
        self.buffered_bytes -= size
        self.budget.used_bytes -= size
        self.on_space()

    def rewind(self) -> None:
        """Who read it is gone; where all of it is still here, another one may come and read it."""
        if self.first_index == 0 and self.reading_started and not self.released:
            self.reading_started = False
            self.on_space()

    def release(self) -> None:
        """Nobody needs it any more; what still comes of it is not kept."""
        self.released, self.on_data = True, None
        self.budget.used_bytes -= self.buffered_bytes
        self.buffered_bytes = 0
        self.segments.clear()
