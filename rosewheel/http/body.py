"""Request bodies: buffered while they are small, streamed once they are large or the memory budget is exceeded."""

from __future__ import annotations

from collections.abc import Callable

from rosewheel.node.memory_account import BufferBudget

MAX_BUFFERED_BODY_BYTES = 1 << 20  # a longer body is streamed
# Received pieces are joined up to this size: each one is an object, which takes far more memory than a few bytes.
MIN_SEGMENT_BYTES = 4096


class RequestBody:
    """A request body, filled by the client's connection and read by the connection of the current attempt.

    Attributes:
        budget: The memory budget that the body shares with all others.
        segments: The buffered segments, beginning with segment `first_index`. Small pieces are joined in a bytearray,
            which becomes immutable once an attempt has read it.
        first_index: Index of the first buffered segment; greater than 0 once segments were dropped.
        received_bytes: Number of bytes received so far.
        buffered_bytes: Number of bytes in the buffered segments.
        complete: The last byte was received.
        streaming: Segments are dropped once they were read.
        reading_started: The current attempt has read from the body.
        released: The body is no longer needed, and received bytes are dropped.
        on_data: Called when more bytes can be read, or the body is complete; None without a reader.
        on_space: Called when buffered bytes were dropped, or the current attempt stopped reading.
    """

    def __init__(self, budget: BufferBudget, on_space: Callable[[], None]) -> None:
        self.budget, self.on_space = budget, on_space
        self.segments: list[bytes | bytearray] = []  # a short one; an empty deque takes 0.6 KB
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
        """True if another attempt can read the body from its first byte."""
        return self.first_index == 0 and not self.released

    def append(self, data: bytes) -> None:
        """Append received bytes; they are dropped if the body was released."""
        self.received_bytes += len(data)
        if self.released:
            return
        self._append_segment(data)
        self.buffered_bytes += len(data)
        self.budget.used_bytes += len(data)
        if self.received_bytes > MAX_BUFFERED_BODY_BYTES or self.budget.exceeded:
            self.streaming = True
        if self.on_data is not None:
            self.on_data()

    def _append_segment(self, data: bytes) -> None:
        """Join a small piece with the last segment, unless an attempt has read that one."""
        last = self.segments[-1] if self.segments else None
        if isinstance(last, bytearray) and len(last) + len(data) <= MIN_SEGMENT_BYTES:
            last += data
        else:
            self.segments.append(bytearray(data) if len(data) < MIN_SEGMENT_BYTES else data)

    def finish(self) -> None:
        """Mark the body as complete."""
        self.complete = True
        if self.on_data is not None:
            self.on_data()

    def segment(self, index: int) -> bytes | None:
        """Return a segment, or None if it was not received yet.

        If the body is streamed, the segments before it are dropped.
        """
        self.reading_started = True
        if self.streaming:
            while self.first_index < index:
                self._drop_first()
        offset = index - self.first_index
        if not 0 <= offset < len(self.segments):
            return None
        segment = self.segments[offset]
        if isinstance(segment, bytearray):
            segment = self.segments[offset] = bytes(segment)
        return segment

    def _drop_first(self) -> None:
        size = len(self.segments.pop(0))
        self.first_index += 1
        self.buffered_bytes -= size
        self.budget.used_bytes -= size
        self.on_space()

    def rewind(self) -> None:
        """Stop reading for the current attempt; if nothing was dropped, another one may read from the first byte."""
        if self.first_index == 0 and self.reading_started and not self.released:
            self.reading_started = False
            self.on_space()

    def release(self) -> None:
        """Drop the buffered bytes, and all that are received later."""
        self.released, self.on_data = True, None
        self.budget.used_bytes -= self.buffered_bytes
        self.buffered_bytes = 0
        self.segments.clear()
