"""The queue of events: one clock for all parts of a simulated run.

Events of one moment happen in the order in which they were scheduled, so a run depends on nothing else.
"""

from __future__ import annotations

import heapq
from collections.abc import Callable
from typing import Any

MIN_CANCELLED_TO_COMPACT = 1024


class ScheduledEvent:
    """A callback in the queue; the handle for `EventQueue.cancel`."""

    __slots__ = ("args", "callback")

    def __init__(self, callback: Callable[..., None], args: tuple[Any, ...]) -> None:
        self.callback: Callable[..., None] | None = callback  # None once it has happened or was cancelled
        self.args = args


class EventQueue:
    """Events in order of time.

    Attributes:
        now: ms of the plan's clock; below zero before the plan begins.
        processed: events so far.
    """

    def __init__(self, now: float) -> None:
        self.now = now
        self.processed = 0
        self._heap: list[tuple[float, int, ScheduledEvent]] = []  # due, sequence, event
        self._sequence = 0
        self._cancelled = 0  # events in the heap that were cancelled

    def __len__(self) -> int:
        return len(self._heap) - self._cancelled

    def call_at(self, due: float, callback: Callable[..., None], *args: Any) -> ScheduledEvent:
        """Schedule a callback for this moment, or for now where it has passed."""
        self._sequence += 1
        event = ScheduledEvent(callback, args)
        heapq.heappush(self._heap, (due if due > self.now else self.now, self._sequence, event))
        return event

    def call_later(self, delay_ms: float, callback: Callable[..., None], *args: Any) -> ScheduledEvent:
        """Schedule a callback for after this delay."""
        return self.call_at(self.now + delay_ms, callback, *args)

    def cancel(self, event: ScheduledEvent) -> None:
        """Cancel an event; nothing where it has happened."""
        if event.callback is None:
            return
        event.callback, event.args = None, ()
        self._cancelled += 1
        if self._cancelled > MIN_CANCELLED_TO_COMPACT and self._cancelled * 2 > len(self._heap):
            # Guards memory: timeouts are cancelled long before they are due. In place: `run` holds the list.
            self._heap[:] = [entry for entry in self._heap if entry[2].callback is not None]
            heapq.heapify(self._heap)
            self._cancelled = 0

    def run(self, until: float) -> None:
        """Process every event up to this moment, that moment included."""
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
