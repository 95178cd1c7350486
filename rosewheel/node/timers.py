"""The pending timers of a node, in the order in which they are due. Times are milliseconds of the node's clock."""

from __future__ import annotations

import functools
import heapq
from collections.abc import Callable, Iterator
from enum import Enum
from typing import NamedTuple

MIN_PRUNE_SIZE = 256  # below this many timers, those that are no longer needed are not looked for


class TimerKind(Enum):
    """What happens when a timer is due."""

    POLICY = "policy"  # the policy asked for it, by name
    ATTEMPT_TIMEOUT = "attempt timeout"
    RESPONSE_BACKSTOP = "response backstop"  # the request is answered without the policy


class Timer(NamedTuple):
    """A pending timer. A tuple, so that the heap compares entries without calls of Python code.

    Attributes:
        due_ms: When it fires.
        order: Number of its start, from 1: timers that are due at the same moment fire in this order.
        kind: What happens then.
        subject: The request's id; the timer's name where its kind is `POLICY`.
        attempt: Number of the attempt where its kind is `ATTEMPT_TIMEOUT`.
    """

    due_ms: float
    order: int
    kind: TimerKind
    subject: str
    attempt: int


# Makes a timer of a tuple of its fields, in half the time of a call of the class: each request starts two timers.
_timer_of = functools.partial(tuple.__new__, Timer)


class TimerQueue:
    """A heap of timers. Timers are not cancelled: those that are no longer needed are dropped as the heap grows.

    Args:
        is_needed: Whether a timer still has an effect when it fires.
    """

    __slots__ = ("_heap", "_is_needed", "_order", "_prune_size")

    def __init__(self, is_needed: Callable[[Timer], bool]) -> None:
        self._is_needed = is_needed
        self._heap: list[Timer] = []
        self._order = 0
        self._prune_size = MIN_PRUNE_SIZE

    def __len__(self) -> int:
        return len(self._heap)

    def __iter__(self) -> Iterator[Timer]:
        return iter(self._heap)

    @property
    def next_due_ms(self) -> float | None:
        """When the next timer fires; None without timers."""
        return self._heap[0][0] if self._heap else None

    def start(self, due_ms: float, kind: TimerKind, subject: str, attempt: int = 0) -> None:
        """Add a timer."""
        self._order += 1
        heapq.heappush(self._heap, _timer_of((due_ms, self._order, kind, subject, attempt)))
        if len(self._heap) > self._prune_size:
            self._prune()

    def pop_due(self, now: float) -> Timer | None:
        """Remove and return the next timer that is due at `now`, if there is one."""
        if self._heap and self._heap[0][0] <= now:
            return heapq.heappop(self._heap)
        return None

    def _prune(self) -> None:
        """Guards memory: timers of requests that ended early would stay until their distant deadlines."""
        self._heap = [timer for timer in self._heap if self._is_needed(timer)]
        heapq.heapify(self._heap)
        self._prune_size = max(MIN_PRUNE_SIZE, 2 * len(self._heap))
