"""Memory of request heads, limited for all connections of a process together.

A parsed head takes far more memory than its bytes, as each header is several objects. A limit on the bytes of one head
does not bound the memory of many heads, so the heads of all connections share a budget.
"""

from __future__ import annotations

from rosewheel.node.memory_account import BufferBudget

# Memory of one header in CPython besides its bytes: two byte strings, a tuple, and their entries in a list and a dict.
HEADER_OVERHEAD_BYTES = 208
# A received byte of an incomplete head is held twice: unparsed for a hot restart, and parsed.
COPIES_OF_INCOMPLETE_HEAD = 2
# The heads of one connection may take this much while the budget is exceeded, so that ordinary requests are served.
RESERVED_HEAD_BYTES = 4 * 1024


class HeadMemory:
    """Estimated memory of the request heads of one connection, counted in a budget of all connections.

    Attributes:
        used_bytes: The estimate for all heads of this connection, in bytes.
    """

    __slots__ = ("_budget", "_incomplete_bytes", "used_bytes")

    def __init__(self, budget: BufferBudget) -> None:
        self._budget = budget
        self._incomplete_bytes = 0
        self.used_bytes = 0

    @property
    def exceeded(self) -> bool:
        """True if the budget is exceeded and this connection holds more than its reserved share."""
        return self._budget.exceeded and self.used_bytes > RESERVED_HEAD_BYTES

    def set_incomplete(self, received_bytes: int, header_count: int) -> None:
        """Count the head that is being received in place of its previous size; 0 bytes once it is complete or dropped.

        Args:
            received_bytes: Bytes of the head received so far.
            header_count: Number of headers parsed so far.
        """
        size = COPIES_OF_INCOMPLETE_HEAD * received_bytes + HEADER_OVERHEAD_BYTES * header_count
        self._change(size - self._incomplete_bytes)
        self._incomplete_bytes = size

    def add(self, text_bytes: int, header_count: int) -> int:
        """Count a complete head; return its size, for `remove`.

        Args:
            text_bytes: Length of the target and of the names and values of all headers.
            header_count: Number of headers.
        """
        size = text_bytes + HEADER_OVERHEAD_BYTES * header_count
        self._change(size)
        return size

    def remove(self, size: int) -> None:
        """Stop counting a complete head."""
        self._change(-size)

    def _change(self, difference: int) -> None:
        self.used_bytes += difference
        self._budget.used_bytes += difference
