"""Queue of the pending timers of a node. Times are milliseconds of the node's clock."""

from __future__ import annotations

import functools
import heapq
from collections.abc import Callable, Iterator
from enum import Enum
from typing import NamedTuple

MIN_PRUNE_SIZE = 256  # number of timers up to which obsolete ones are not removed


class TimerKind(Enum):
    """Purpose of a timer."""

    POLICY = "policy"  # started by the policy, under a name
    ATTEMPT_TIMEOUT = "attempt timeout"
    RESPONSE_BACKSTOP = "response backstop"  # answers a request that the policy left unanswered


class Timer(NamedTuple):
    """A pending timer. It is a tuple so that the heap compares entries without calling Python code.

    Attributes:
        due_ms: When it fires.
        order: Sequence number from 1; timers that are due at the same time fire in this order.
        kind: Its purpose.
        subject: Name of the timer if its kind is `POLICY`; otherwise the id of a request.
        attempt: Number of the attempt if its kind is `ATTEMPT_TIMEOUT`; otherwise 0.
        request_number: Number of the request that it belongs to: an id may come again. 0 if its kind is `POLICY`.
    """

    due_ms: float
    order: int
    kind: TimerKind
    subject: str
    attempt: int
    request_number: int


# Creates a Timer from a tuple of its fields. Calling the class takes twice as long, and each request starts two timers.
_timer_from_fields = functools.partial(tuple.__new__, Timer)


class TimerQueue:
    """A priority queue of timers. Timers can't be cancelled; obsolete ones are removed when the queue grows.

    Args:
        is_needed: Returns True if a timer would still have an effect when it fires.
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
        """Due time of the next timer; None without timers."""
        return self._heap[0][0] if self._heap else None

    def start(
        self, due_ms: float, kind: TimerKind, subject: str, attempt: int = 0, request_number: int = 0
    ) -> None:
        """Start a timer; see `Timer` for the arguments."""
        self._order += 1
        fields = due_ms, self._order, kind, subject, attempt, request_number
        heapq.heappush(self._heap, _timer_from_fields(fields))
        if len(self._heap) > self._prune_size:
            self._prune()

    def pop_due(self, now: float) -> Timer | None:
        """Remove the timer that has been due the longest, and return it; None if none is due at `now`."""
        if self._heap and self._heap[0][0] <= now:
            return heapq.heappop(self._heap)
        return None

    def _prune(self) -> None:
        """Remove obsolete timers, so that those of finished requests don't use memory until their deadlines."""
        self._heap = [timer for timer in self._heap if self._is_needed(timer)]
        heapq.heapify(self._heap)
        self._prune_size = max(MIN_PRUNE_SIZE, 2 * len(self._heap))
