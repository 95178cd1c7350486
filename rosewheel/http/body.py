"""The body of a request: buffered while it is small, streamed once it is large or memory is short."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable

MAX_BUFFERED_BODY_BYTES = 1 << 20  # a longer body is streamed
CONNECTION_SHARE_DIVISOR = 4  # one connection's bodies hold at most this part of the budget


class BufferBudget:
    """Memory for the bodies of all connections.

    The limit is soft: past it, new bodies are streamed, and each of them holds no more than its window.

    Attributes:
        limit_bytes: What all bodies together may hold.
        used_bytes: What they hold now.
    """

    def __init__(self, limit_bytes: int) -> None:
        self.limit_bytes, self.used_bytes = limit_bytes, 0

    @property
    def exceeded(self) -> bool:
        """Whether the bodies hold more than the limit."""
        return self.used_bytes > self.limit_bytes

    @property
    def connection_share_bytes(self) -> int:
        """What the bodies of one connection may hold."""
        return self.limit_bytes // CONNECTION_SHARE_DIVISOR


class RequestBody:
    """A body that the downstream connection fills and the connection of the current attempt reads.

    Attributes:
        segments: The buffered bytes as they were received, from segment number `first_index` on.
        first_index: Number of the first buffered segment; more than 0 once some were dropped.
        received_bytes: Size of all that was received.
        buffered_bytes: Size of the segments.
        complete: The last byte was received.
        streaming: Segments are dropped once they were read.
        reading_started: An attempt has read some of it.
        released: Nobody reads it any more.
        on_data: Called when there is more to read, or the body is complete; None without a reader.
        on_space: Called when fewer bytes are buffered.
    """

    def __init__(self, budget: BufferBudget, on_space: Callable[[], None]) -> None:
        self.budget, self.on_space = budget, on_space
        self.segments: deque[bytes] = deque()
        self.first_index = 0
        self.received_bytes = 0
        self.buffered_bytes = 0
        self.complete = False
        self.streaming = False
        self.reading_started = False
        self.released = False
        self.on_data: Callable[[], None] | None = None

    @property
    def replayable(self) -> bool:
        """Whether another attempt could read it from its first byte."""
        return self.first_index == 0 and not self.released

    def append(self, data: bytes) -> None:
        """Add received bytes; they are dropped if the body was released."""
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
        """Mark the body as complete."""
        self.complete = True
        if self.on_data is not None:
            self.on_data()

    def segment(self, index: int) -> bytes | None:
        """The segment of this number, or None if it was not received yet.

        The segments before it are dropped if the body is streamed: they were read, and are not read again.
        """
        self.reading_started = True
        if self.streaming:
            while self.first_index < index:
                self._drop_first()
        offset = index - self.first_index
        return self.segments[offset] if 0 <= offset < len(self.segments) else None

    def _drop_first(self) -> None:
        size = len(self.segments.popleft())
        self.first_index += 1
        self.buffered_bytes -= size
        self.budget.used_bytes -= size
        self.on_space()

    def rewind(self) -> None:
        """The reader is gone. Another one may start from the first byte, if all bytes are still buffered."""
        if self.first_index == 0 and self.reading_started and not self.released:
            self.reading_started = False
            self.on_space()

    def release(self) -> None:
        """Drop the body; bytes received from now on are not kept."""
        self.released, self.on_data = True, None
        self.budget.used_bytes -= self.buffered_bytes
        self.buffered_bytes = 0
        self.segments.clear()
