"""Shares the event loop between connections whose input is expensive to process and all others."""

from __future__ import annotations

import asyncio

# Expensive input takes at most this share of the loop's time, all connections together.
EXPENSIVE_SHARE = 0.5
# Time that one connection may take in a turn of the loop. Tiny chunks, short headers and small requests cost far more
# time than their bytes, and the loop reads one connection many times in a turn.
MAX_TURN_S = 0.0003
# Time that one connection may take at once, and the share of the loop's time by which it earns that again. Ordinary
# clients stay below both.
BURST_S = 0.005
REFILL_SHARE = 0.05


class TurnQuota:
    """Time of the loop that one connection may take before it has to wait for others."""

    __slots__ = ("_spent_s", "_turn_spent_s", "_updated_s")

    def __init__(self) -> None:
        self._spent_s = self._turn_spent_s = self._updated_s = 0.0

    def count(self, now_s: float, spent_s: float) -> None:
        """Count time that the connection has taken in the turn of this time."""
        if now_s != self._updated_s:
            self._turn_spent_s = 0.0
            self._spent_s = max(0.0, self._spent_s - (now_s - self._updated_s) * REFILL_SHARE)
            self._updated_s = now_s
        self._turn_spent_s += spent_s
        self._spent_s += spent_s

    @property
    def is_turn_over(self) -> bool:
        """True if the connection has to wait for the next turn."""
        return self._turn_spent_s > MAX_TURN_S

    @property
    def is_used_up(self) -> bool:
        """True if the connection has to wait longer, since it takes too much time altogether."""
        return self._spent_s > BURST_S


class Turns:
    """Serializes the expensive input of all connections of a process, with pauses in between."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self._loop = loop
        self._busy_until_s = 0.0

    def delay_s(self, spent_s: float) -> float:
        """Return how long a connection waits before it reads again.

        Args:
            spent_s: Time that its last bytes took.
        """
        now_s = self._loop.time()
        self._busy_until_s = max(now_s, self._busy_until_s) + spent_s / EXPENSIVE_SHARE
        return self._busy_until_s - now_s
