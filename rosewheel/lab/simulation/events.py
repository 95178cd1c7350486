"""The queue of events: one clock for all parts of a simulated run.

What falls due at one moment happens in the order in which it was asked for, so a run depends on nothing else.
"""

from __future__ import annotations

import heapq
from collections.abc import Callable
from typing import Any

ScheduledEvent = list[Any]  # due, order, what, its arguments; `what` is None once it was called off


class EventQueue:
    def __init__(self, now: float) -> None:
        self.now = now  # milliseconds of the plan's clock; below zero before it begins
        self.processed = 0  # events so far
        self._rows: list[ScheduledEvent] = []
        self._order = 0
        self._off = 0  # rows that were called off and are still here

    def __len__(self) -> int:
        return len(self._rows) - self._off

    def call_at(self, due: float, what: Callable[..., None], *args: Any) -> ScheduledEvent:
        """Call this at that moment, or now if it is past. What is returned is for `off`."""
        self._order += 1
        row = [due if due > self.now else self.now, self._order, what, args]
        heapq.heappush(self._rows, row)
        return row

    def call_later(self, wait: float, what: Callable[..., None], *args: Any) -> ScheduledEvent:
        return self.call_at(self.now + wait, what, *args)

    def cancel(self, row: ScheduledEvent) -> None:
        """Call it off, if it has not happened yet."""
        if row[2] is None:
            return
        row[2], row[3] = None, ()
        self._off += 1
        if self._off > 1024 and self._off * 2 > len(self._rows):
            # Guards memory: time-outs are called off long before they are due. In place: `run` holds the list.
            self._rows[:] = [one for one in self._rows if one[2] is not None]
            heapq.heapify(self._rows)
            self._off = 0

    def run(self, until: float) -> None:
        """Everything up to this moment, that moment included."""
        rows = self._rows
        while rows and rows[0][0] <= until:
            row = heapq.heappop(rows)
            what, args = row[2], row[3]
            if what is None:
                self._off -= 1
                continue
            row[2] = None  # it has happened: calling it off later means nothing
            self.now = row[0]
            self.processed += 1
            what(*args)
        self.now = max(self.now, until)
