"""Event queue and virtual clock of a simulated run.

Events that are due at the same time run in the order in which they were scheduled, so that a run is deterministic.
"""

from __future__ import annotations

import heapq
from collections.abc import Callable
from typing import Any

MIN_CANCELLED_TO_COMPACT = 1024


class ScheduledEvent:
    """A scheduled callback, which `EventQueue.cancel` can cancel."""

    __slots__ = ("args", "callback")

    def __init__(self, callback: Callable[..., None], args: tuple[Any, ...]) -> None:
        self.callback: Callable[..., None] | None = callback  # None once run or cancelled
        self.args = args


class EventQueue:
    """Priority queue of events by the time they are due.

    Attributes:
        now: current time in ms since the plan began; negative before that.
        processed: number of events run so far.
    """

    def __init__(self, now: float) -> None:
        self.now = now
        self.processed = 0
        self._heap: list[tuple[float, int, ScheduledEvent]] = []  # (due, sequence, event)
        self._sequence = 0
        self._cancelled = 0  # number of cancelled events that are still in the heap

    def __len__(self) -> int:
        return len(self._heap) - self._cancelled

    def call_at(self, due: float, callback: Callable[..., None], *args: Any) -> ScheduledEvent:
        """Schedule a callback for a time, or for now if that time has passed."""
        self._sequence += 1
        event = ScheduledEvent(callback, args)
        heapq.heappush(self._heap, (due if due > self.now else self.now, self._sequence, event))
        return event

    def call_later(self, delay_ms: float, callback: Callable[..., None], *args: Any) -> ScheduledEvent:
        """Schedule a callback after a delay."""
        return self.call_at(self.now + delay_ms, callback, *args)

    def cancel(self, event: ScheduledEvent) -> None:
        """Cancel an event. Does nothing if it has run or was cancelled."""
        if event.callback is None:
            return
        event.callback, event.args = None, ()
        self._cancelled += 1
        if self._cancelled > MIN_CANCELLED_TO_COMPACT and self._cancelled * 2 > len(self._heap):
            # Most timeouts are cancelled long before they are due and would fill the heap. `run` holds a reference
            # to the list, so it is changed in place.
            self._heap[:] = [entry for entry in self._heap if entry[2].callback is not None]
            heapq.heapify(self._heap)
            self._cancelled = 0

    def run(self, until: float) -> None:
        """Run every event that is due up to and including a time, and advance the clock to it."""
        heap = self._heap
        while heap and heap[0][0] <= until:
            due, _, event = heapq.heappop(heap)
            callback = event.callback
            if callback is None:
                self._cancelled -= 1
                continue
            event.callback = None
            self.now = due
            self.processed += 1
            callback(*event.args)
        self.now = max(self.now, until)
