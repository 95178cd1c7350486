"""Unsent bytes of a transport: buffered to detach its connection, and counted to detect a peer that does not read."""

from __future__ import annotations

import asyncio

from rosewheel.node.memory_account import MemoryAccount

STREAM_WINDOW_BYTES = 64 * 1024  # buffer for a streamed request body, and for the unsent bytes of a response
SMALL_STREAM_WINDOW_BYTES = 4 * 1024  # the same while memory is scarce
MINIMAL_STREAM_WINDOW_BYTES = 512  # the same while memory is exhausted


def stream_window(memory: MemoryAccount) -> int:
    """Return how many bytes of a streamed body or response one connection may buffer."""
    if not memory.is_scarce:
        return STREAM_WINDOW_BYTES
    return MINIMAL_STREAM_WINDOW_BYTES if memory.is_exhausted else SMALL_STREAM_WINDOW_BYTES


class UnsentWrites:
    """The last writes to a transport, including at least all bytes not yet passed to the operating system.

    Needed since a transport reports only the number of its unsent bytes, not the bytes themselves.

    Attributes:
        size: Total size of the buffered writes in bytes.
    """

    __slots__ = ("_writes", "size")

    def __init__(self) -> None:
        self._writes: list[bytes] = []  # a short one; an empty deque takes 0.6 KB
        self.size = 0

    def append(self, data: bytes, unsent_bytes: int) -> None:
        """Add a write, and drop writes that were sent completely.

        Args:
            data: The written bytes.
            unsent_bytes: Number of unsent bytes of the transport after the write.
        """
        self._writes.append(data)
        self.size += len(data)
        while self._writes and self.size - len(self._writes[0]) >= unsent_bytes:
            self.size -= len(self._writes.pop(0))

    def clear(self) -> None:
        """Drop all writes: they were sent."""
        self._writes.clear()
        self.size = 0

    def tail(self, unsent_bytes: int) -> bytes:
        """Return the last `unsent_bytes` bytes that were written."""
        written = b"".join(self._writes)
        return written[len(written) - unsent_bytes :]


class UnsentBytes:
    """Counts the unsent bytes of one transport in the memory of the process, and limits them."""

    __slots__ = ("_counted_bytes", "_limit_bytes", "_memory")

    def __init__(self, memory: MemoryAccount) -> None:
        self._memory = memory
        self._counted_bytes = self._limit_bytes = 0

    def limit(self, transport: asyncio.Transport) -> None:
        """Set above how many unsent bytes the transport asks for no more."""
        limit_bytes = stream_window(self._memory)
        if limit_bytes != self._limit_bytes:
            self._limit_bytes = limit_bytes
            transport.set_write_buffer_limits(high=limit_bytes)

    def count(self, unsent_bytes: int) -> None:
        """Count the unsent bytes in place of the previous number."""
        self._memory.responses.used_bytes += unsent_bytes - self._counted_bytes
        self._counted_bytes = unsent_bytes


class WriteProgress:
    """Detects a peer that does not read: the number of unsent bytes does not change.

    Attributes:
        unsent_bytes: Number of unsent bytes at the last change.
        changed_s: Time of the last change, on the loop's clock.
    """

    __slots__ = ("changed_s", "unsent_bytes")

    def __init__(self) -> None:
        self.unsent_bytes, self.changed_s = 0, 0.0

    def restart(self, now_s: float) -> None:
        """Restart the measurement at the beginning of a message."""
        self.unsent_bytes, self.changed_s = 0, now_s

    def stalled_s(self, unsent_bytes: int, is_blocked: bool, now_s: float) -> float:
        """Return for how many seconds the peer has read none of the unsent bytes.

        Args:
            unsent_bytes: Number of unsent bytes of the transport now.
            is_blocked: Whether bytes wait for the peer to read; if not, the measurement restarts.
            now_s: The loop's time.
        """
        if not is_blocked or unsent_bytes != self.unsent_bytes:
            self.unsent_bytes, self.changed_s = unsent_bytes, now_s
            return 0.0
        return now_s - self.changed_s
