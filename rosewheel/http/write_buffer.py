"""What was written to a transport and not sent yet: kept for a detach, and watched for a peer that does not read."""

from __future__ import annotations

from collections import deque


class UnsentWrites:
    """The last writes to a transport, at least those that the operating system has not taken.

    A transport reports how many bytes are unsent, but not which.
    """

    __slots__ = ("_writes", "size")

    def __init__(self) -> None:
        self._writes: deque[bytes] = deque()
        self.size = 0  # bytes

    def append(self, data: bytes, unsent_bytes: int) -> None:
        """Remember a write; `unsent_bytes` are unsent after it."""
        self._writes.append(data)
        self.size += len(data)
        while self._writes and self.size - len(self._writes[0]) >= unsent_bytes:
            self.size -= len(self._writes.popleft())

    def tail(self, unsent_bytes: int) -> bytes:
        """The last bytes that were written."""
        written = b"".join(self._writes)
        return written[len(written) - unsent_bytes :]


class WriteProgress:
    """Since when the number of unsent bytes has not changed.

    Attributes:
        unsent_bytes: At the last change.
        changed_s: When that was, on the loop's clock.
    """

    __slots__ = ("changed_s", "unsent_bytes")

    def __init__(self) -> None:
        self.unsent_bytes, self.changed_s = 0, 0.0

    def restart(self, now_s: float) -> None:
        """A message begins."""
        self.unsent_bytes, self.changed_s = 0, now_s

    def stalled_s(self, unsent_bytes: int, is_blocked: bool, now_s: float) -> float:
        """How long the peer has taken none of the unsent bytes.

        Args:
            unsent_bytes: Of the transport, now.
            is_blocked: Whether there is something for the peer to take.
            now_s: The loop's time.
        """
        if not is_blocked or unsent_bytes != self.unsent_bytes:
            self.unsent_bytes, self.changed_s = unsent_bytes, now_s
            return 0.0
        return now_s - self.changed_s
