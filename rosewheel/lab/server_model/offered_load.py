"""Load offered to a warming server, including rejected requests."""

from __future__ import annotations

from collections import deque
from typing import NamedTuple


class OfferedWork(NamedTuple):
    """Work of one request.

    Attributes:
        sender_informed: whether the sender had been notified of this start of the server.
    """

    at_ms: float
    work_ms: float
    sender_informed: bool


class OfferedLoadWindow:
    """Sliding window over the work offered in the last `length_ms`."""

    def __init__(self, length_ms: float) -> None:
        self.length_ms = length_ms
        self._offered: deque[OfferedWork] = deque()

    def add(self, now: float, work_ms: float, sender_informed: bool) -> None:
        """Add a request and remove those older than the window."""
        self._offered.append(OfferedWork(now, work_ms, sender_informed))
        while self._offered[0].at_ms <= now - self.length_ms:
            self._offered.popleft()

    def total_ms(self) -> float:
        """Return the total work in the window."""
        return sum(offered.work_ms for offered in self._offered)

    def informed_share(self) -> float:
        """Return the share of the work that came from informed senders."""
        informed = sum(offered.work_ms for offered in self._offered if offered.sender_informed)
        return informed / self.total_ms()
