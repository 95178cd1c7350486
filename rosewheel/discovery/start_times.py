"""Start times of servers, converted from discovery's wall clock to the monotonic clock of this process.

The wall clock of any machine may be stepped at any time. So if a server starts after this process has received
a list, its start time is when this process was notified. That is never earlier than the real start, so its warm-up does
not end too early.
"""

from __future__ import annotations

import time

MAX_AHEAD_MS = 10_000.0  # time in the future beyond which a start time is attributed to a stepped clock
FORGET_REMOVED_AFTER_MS = 600_000.0  # time for which the start time of a removed server is kept


class ServerStartTimes:
    """Converts start times from the wall clock to the monotonic clock, each once."""

    def __init__(self) -> None:
        # By host: the start time in ms of Unix time, and in ms of the monotonic clock.
        self._starts: dict[str, tuple[float, float]] = {}
        self._removed_ms: dict[str, float] = {}  # by host: time of its removal, the earliest first
        self._has_list = False

    def launched_ms(self, host: str, born_ms: float) -> float:
        """Return the start time of a server on the monotonic clock, in milliseconds.

        Args:
            host: Name of the server.
            born_ms: Its start time as sent by discovery, in milliseconds of Unix time.
        """
        self._removed_ms.pop(host, None)
        recorded = self._starts.get(host)
        if recorded is not None and recorded[0] == born_ms:
            return recorded[1]
        now_ms = time.monotonic() * 1000.0
        converted_ms = now_ms + born_ms - time.time() * 1000.0
        is_new_start = self._has_list and converted_ms < now_ms
        launched_ms = now_ms if is_new_start or converted_ms > now_ms + MAX_AHEAD_MS else converted_ms
        self._starts[host] = born_ms, launched_ms
        return launched_ms

    def list_applied(self) -> None:
        """Record that a list was applied: a start time that is first received later is that of a new start."""
        self._has_list = True

    def server_removed(self, host: str) -> None:
        """Record that a server was removed; its start time is kept for a while, because it may return."""
        if host not in self._starts:
            return
        now_ms = time.monotonic() * 1000.0
        self._removed_ms.setdefault(host, now_ms)
        for other, removed_ms in list(self._removed_ms.items()):
            if now_ms - removed_ms < FORGET_REMOVED_AFTER_MS:
                return
            del self._removed_ms[other], self._starts[other]
