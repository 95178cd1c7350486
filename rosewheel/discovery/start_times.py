"""Start times of servers on this process's monotonic clock.

Discovery tells them by a wall clock, which may be stepped on any machine and at any time. Certain is only when this
process was notified of a start, and that it had a list without it before. That moment counts: it is never earlier than
the start, so a warming server is never taken for a warmer one.
"""

from __future__ import annotations

import time

MAX_AHEAD_MS = 10_000.0  # a start that is told to be further ahead is that of a clock that was stepped
FORGET_REMOVED_AFTER_MS = (
    600_000.0  # a server that returns within this time with the same start was not restarted
)


class ServerStartTimes:
    """Maps starts from a wall clock to the monotonic clock, each once."""

    def __init__(self) -> None:
        self._starts: dict[
            str, tuple[float, float]
        ] = {}  # by host: on the wall clock, on the monotonic clock
        self._removed_ms: dict[str, float] = {}  # by host: when it was removed, the longest ago first
        self._has_list = False

    def launched_ms(self, host: str, born_ms: float) -> float:
        """The start of a server on the monotonic clock, in milliseconds.

        Args:
            host: The server.
            born_ms: Its start as discovery tells it, in milliseconds of Unix time.
        """
        self._removed_ms.pop(host, None)
        known = self._starts.get(host)
        if known is not None and known[0] == born_ms:
            return known[1]
        now_ms = time.monotonic() * 1000.0
        told_ms = now_ms + born_ms - time.time() * 1000.0
        is_notified = self._has_list and told_ms < now_ms
        launched_ms = now_ms if is_notified or told_ms > now_ms + MAX_AHEAD_MS else told_ms
        self._starts[host] = born_ms, launched_ms
        return launched_ms

    def list_applied(self) -> None:
        """This process has a list: starts that it lacks are new from now on."""
        self._has_list = True

    def removed(self, host: str) -> None:
        """A server was removed; its start is remembered for a while, since it may return."""
        if host not in self._starts:
            return
        now_ms = time.monotonic() * 1000.0
        self._removed_ms.setdefault(host, now_ms)
        for other, removed_ms in list(self._removed_ms.items()):
            if now_ms - removed_ms < FORGET_REMOVED_AFTER_MS:
                return
            del self._removed_ms[other], self._starts[other]
