"""Estimates when a client wrote bytes that its connection has not read yet.

The time of a request counts from when its client wrote the last byte. While reading is paused, that byte may wait in
the system for seconds, at either end of the connection. The estimate is the earliest time at which it may have been
written: a request that is given up too early costs a retry, one that is answered too late is lost.
"""

from __future__ import annotations

from collections import deque

# How much a client may have written beyond what was read: the largest send and receive buffers that Linux chooses by
# itself. A smaller receive buffer would stall connections, as its window is less than two segments of loopback.
MAX_UNREAD_BYTES = (4 << 20) + (6 << 20)
# With fewer unread bytes the receive buffer has space, so that all bytes that the client has written have arrived.
MAX_UNREAD_WITH_SPACE_BYTES = 16 * 1024
# Time without received bytes after which nothing is on its way, while the receive buffer has space.
ARRIVAL_DELAY_S = 0.03
MARK_INTERVAL_BYTES = 256 * 1024  # progress of a body between two recorded times


class InputClock:
    """When the unread bytes of one connection may have been written. Times are those of the loop, in seconds."""

    __slots__ = ("_is_paused", "_marks", "_paused_s", "_resumed_s", "_unread_since_s")

    def __init__(self) -> None:
        self._is_paused = False
        self._paused_s = self._resumed_s = 0.0
        self._unread_since_s: float | None = None
        self._marks: deque[tuple[float, int]] | None = (
            None  # time and received bytes of the body, the oldest first
        )

    @property
    def has_unread(self) -> bool:
        """True if bytes may wait that were written some time ago."""
        return self._unread_since_s is not None

    def paused(self, now_s: float) -> None:
        """Record that reading is paused."""
        self._is_paused, self._paused_s = True, now_s
        if self._unread_since_s is None:
            self._unread_since_s = now_s

    def resumed(self, now_s: float) -> None:
        """Record that reading is resumed. What the client has written meanwhile is still to come."""
        self._is_paused, self._resumed_s = False, now_s

    def found_nothing_written(self) -> None:
        """Record that nothing arrived during the pause that ends now: it did not keep any bytes waiting.

        What waited before the pause may still be on its way.
        """
        if self._unread_since_s == self._paused_s:
            self._unread_since_s = None

    def data_received(self, now_s: float, previously_s: float) -> None:
        """Record that bytes were read: if none came for a while before, they have just been written.

        Args:
            now_s: The loop's time.
            previously_s: When bytes were read before.
        """
        waited_s = now_s - max(previously_s, self._resumed_s)
        if not self._is_paused and waited_s >= ARRIVAL_DELAY_S:
            self._unread_since_s = None

    def found_empty(self, now_s: float, last_received_s: float) -> None:
        """Record that the receive buffer has space, and that its bytes do not complete the client's request.

        Args:
            now_s: The loop's time.
            last_received_s: When bytes were last read.
        """
        if now_s - last_received_s >= ARRIVAL_DELAY_S:
            self._unread_since_s = now_s if self._is_paused else None

    def written_s(self, now_s: float) -> float:
        """Return when bytes that are read now were written, at the earliest."""
        return now_s if self._unread_since_s is None else self._unread_since_s

    def body_ended(self) -> None:
        """Forget the progress of a body that is complete or no longer needed."""
        self._marks = None

    def body_received(self, now_s: float, received_bytes: int) -> None:
        """Record the progress of an incomplete body.

        Args:
            now_s: The loop's time.
            received_bytes: Bytes of the body received so far.
        """
        if self._marks is None:
            self._marks = deque([(now_s, received_bytes)])
            return
        marks = self._marks
        if received_bytes - marks[-1][1] >= MARK_INTERVAL_BYTES:
            marks.append((now_s, received_bytes))
        # The first mark is the newest one before which the client can't have been at the present position.
        while len(marks) > 1 and marks[1][1] <= received_bytes - MAX_UNREAD_BYTES:
            marks.popleft()

    def earliest_end_s(self, now_s: float, received_bytes: int, content_length: int | None) -> float | None:
        """Return when the client may have written the last byte of a body, at the earliest; None if it has not.

        Args:
            now_s: The loop's time.
            received_bytes: Bytes of the body received so far.
            content_length: Size of the body; None if it is not known.
        """
        if self._unread_since_s is None:
            return None
        size = received_bytes + 1 if content_length is None else content_length
        if received_bytes < size - MAX_UNREAD_BYTES:
            return None
        reached_s = self._unread_since_s
        for marked_s, marked_bytes in self._marks or ():
            if marked_bytes <= size - MAX_UNREAD_BYTES:
                reached_s = max(reached_s, marked_s)
        return min(reached_s, now_s)
