"""Tracks which process owns a connection during its transfer. Performs no I/O.

An offered connection belongs to the sender, which does not use it, until the receiver has sent an acknowledgement.
After that it belongs to the receiver, which sends the acknowledgement before it uses the connection. When a sender
stops waiting, it prevents further acknowledgements and then reads those already sent. Only then does it own all
connections that are still pending.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Generic, TypeVar

MAX_PENDING_OFFERS = 16  # limited, because both processes hold the descriptors of a pending offer
ACK_TIMEOUT_S = 0.6  # a receiver that does not answer an offer within this time is considered hung

Connection = TypeVar("Connection")


@dataclass(slots=True, frozen=True)
class _PendingOffer(Generic[Connection]):
    connection: Connection
    offered_at_s: float


class TransferTracker(Generic[Connection]):
    """The offers of one sender. All times are seconds of the same monotonic clock.

    Attributes:
        accepted_count: Number of connections that the receiver has accepted.
        returned_count: Number of connections that the sender owns again.
    """

    def __init__(self, max_pending: int = MAX_PENDING_OFFERS, ack_timeout_s: float = ACK_TIMEOUT_S) -> None:
        self.max_pending = max_pending
        self.accepted_count = 0
        self.returned_count = 0
        self._ack_timeout_s = ack_timeout_s
        self._pending: dict[int, _PendingOffer[Connection]] = {}
        self._last_number = 0

    @property
    def may_offer(self) -> bool:
        """Whether another offer can be made now."""
        return len(self._pending) < self.max_pending

    @property
    def pending_count(self) -> int:
        """The number of unanswered offers."""
        return len(self._pending)

    def offer(self, connection: Connection, now_s: float) -> int:
        """Records an offer, and returns its number."""
        self._last_number += 1
        self._pending[self._last_number] = _PendingOffer(connection, now_s)
        return self._last_number

    def accept(self, number: int) -> Connection | None:
        """Records an acknowledgement; returns the connection, or None if no such offer is pending."""
        pending = self._pending.pop(number, None)
        if pending is None:
            return None
        self.accepted_count += 1
        return pending.connection

    def reject(self, number: int) -> Connection | None:
        """Records a rejection; returns the connection, which the sender owns again, or None if it is not pending."""
        pending = self._pending.pop(number, None)
        if pending is None:
            return None
        self.returned_count += 1
        return pending.connection

    def is_overdue(self, now_s: float) -> bool:
        """Returns whether the oldest pending offer has waited longer than the timeout."""
        oldest = next(iter(self._pending.values()), None)
        return oldest is not None and now_s - oldest.offered_at_s >= self._ack_timeout_s

    def reclaim_pending(self) -> list[Connection]:
        """Returns all pending connections, which the sender owns again.

        Must be called only after all acknowledgements have been read and no more can arrive.
        """
        connections = [pending.connection for pending in self._pending.values()]
        self.returned_count += len(connections)
        self._pending.clear()
        return connections
