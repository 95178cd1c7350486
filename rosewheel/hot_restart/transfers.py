"""Who owns a connection while it is passed from one process to another: a ledger without I/O.

Until its receipt is there an offered connection belongs to the sender, which does not use it meanwhile; from the
receipt on it belongs to the receiver. The receiver sends the receipt before it uses the connection. A sender that
waits no longer makes the receiver unable to send first, and then reads the receipts that had been sent: whatever is
pending after that is its own again.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Generic, TypeVar

MAX_PENDING_OFFERS = 16  # each holds its descriptors twice while it is pending
RECEIPT_TIMEOUT_S = 0.6  # a receiver that does not answer an offer for this long hangs

Connection = TypeVar("Connection")


@dataclass(slots=True, frozen=True)
class _PendingOffer(Generic[Connection]):
    connection: Connection
    offered_at_s: float


class TransferLedger(Generic[Connection]):
    """The offers of one sender. Times are seconds of one clock.

    Attributes:
        accepted_count: Connections that the receiver has taken.
        returned_count: Connections that are the sender's again.
    """

    def __init__(
        self, max_pending: int = MAX_PENDING_OFFERS, receipt_timeout_s: float = RECEIPT_TIMEOUT_S
    ) -> None:
        self.max_pending = max_pending
        self.accepted_count = 0
        self.returned_count = 0
        self._receipt_timeout_s = receipt_timeout_s
        self._pending: dict[int, _PendingOffer[Connection]] = {}
        self._last_number = 0

    @property
    def has_room(self) -> bool:
        """Whether another offer may be made now."""
        return len(self._pending) < self.max_pending

    @property
    def pending_count(self) -> int:
        """The number of offers without a receipt."""
        return len(self._pending)

    def offer(self, connection: Connection, now_s: float) -> int:
        """Records an offer, and returns its number."""
        self._last_number += 1
        self._pending[self._last_number] = _PendingOffer(connection, now_s)
        return self._last_number

    def accept(self, number: int) -> Connection | None:
        """Records a receipt, and returns the connection; None where no such offer is pending."""
        pending = self._pending.pop(number, None)
        if pending is None:
            return None
        self.accepted_count += 1
        return pending.connection

    def reject(self, number: int) -> Connection | None:
        """Records a rejection: the connection, which this returns, is the sender's again."""
        pending = self._pending.pop(number, None)
        if pending is None:
            return None
        self.returned_count += 1
        return pending.connection

    def is_overdue(self, now_s: float) -> bool:
        """Whether the oldest offer has waited for its receipt for too long."""
        oldest = next(iter(self._pending.values()), None)
        return oldest is not None and now_s - oldest.offered_at_s >= self._receipt_timeout_s

    def take_back(self) -> list[Connection]:
        """Returns all pending connections: they are the sender's again.

        To be called once no receipt can come any more, and all that were sent have been read.
        """
        connections = [pending.connection for pending in self._pending.values()]
        self.returned_count += len(connections)
        self._pending.clear()
        return connections
