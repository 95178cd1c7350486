"""Who owns a connection while it goes from one process to another: a ledger without I/O.

Rule: until its receipt is there an item belongs to the giver, who leaves it alone meanwhile; from the receipt on, to
the taker. The taker sends the receipt before it touches the item. A giver that waits no longer first revokes the
link, so that no receipt can be sent any more, and then looks at those that had been sent: what is left is its own.
"""

from __future__ import annotations

from typing import Generic, TypeVar

T = TypeVar("T")
TRANSFER_WINDOW = 16  # items under way at a time: each holds descriptors twice for the while
RECEIPT_TIMEOUT_S = 0.6  # a taker that says nothing for so long about an item hangs


class TransferLedger(Generic[T]):
    """Of one giver. Times are seconds of one clock."""

    def __init__(self, window: int = TRANSFER_WINDOW, patience_s: float = RECEIPT_TIMEOUT_S) -> None:
        self.window, self.patience_s = window, patience_s
        self.accepted_count = self.returned_count = 0  # items that were taken, and that came back
        self._under_way: dict[int, tuple[T, float]] = {}
        self._number = 0

    @property
    def has_room(self) -> bool:
        return len(self._under_way) < self.window

    @property
    def pending_count(self) -> int:
        return len(self._under_way)

    def offer(self, item: T, now: float) -> int:
        """The number under which it goes."""
        self._number += 1
        self._under_way[self._number] = item, now
        return self._number

    def accept(self, number: int) -> T | None:
        """The receipt. None for what is not under way: settled before, or never offered."""
        row = self._under_way.pop(number, None)
        if row is None:
            return None
        self.accepted_count += 1
        return row[0]

    def reject(self, number: int) -> T | None:
        """The taker does not want it: it is the giver's again."""
        row = self._under_way.pop(number, None)
        if row is None:
            return None
        self.returned_count += 1
        return row[0]

    def overdue(self, now: float) -> bool:
        """Whether the oldest has waited too long."""
        first = next(iter(self._under_way.values()), None)
        return first is not None and now - first[1] >= self.patience_s

    def take_back(self) -> list[T]:
        """The link has ended, and every receipt that was sent has been seen: the rest is the giver's again."""
        items = [item for item, _ in self._under_way.values()]
        self.returned_count += len(items)
        self._under_way.clear()
        return items
