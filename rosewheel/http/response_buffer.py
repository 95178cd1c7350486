"""A long response that is buffered until it is complete, in place of being streamed."""

from __future__ import annotations

from rosewheel.node.memory_account import BufferBudget

MAX_BUFFERED_RESPONSE_BYTES = 1 << 20
# A response is held back no longer than this; the operators count 2 s as a lost request.
MAX_BUFFERING_MS = 1500.0


class ResponseBuffer:
    """The body of a long response, counted in the memory budget for bodies.

    Attributes:
        attempt: Number of the attempt whose response it is.
        released: The response is no longer needed, and further parts are dropped: its attempt may not be aborted.
    """

    def __init__(self, budget: BufferBudget, attempt: int) -> None:
        self.attempt = attempt
        self.released = False
        self._budget = budget
        self._body = bytearray()

    def has_space(self, additional_bytes: int) -> bool:
        """Return whether the response may grow by this size."""
        if self.released:
            return True
        return not self._budget.exceeded and len(self._body) + additional_bytes <= MAX_BUFFERED_RESPONSE_BYTES

    def append(self, data: bytes) -> None:
        """Append a part of the body; it is dropped if the buffer was released."""
        if self.released:
            return
        self._body += data
        self._budget.used_bytes += len(data)

    def take(self) -> bytes:
        """Return the body, and release its memory."""
        body = bytes(self._body)
        self.release()
        return body

    def release(self) -> None:
        """Release the memory; a second call does nothing."""
        self.released = True
        self._budget.used_bytes -= len(self._body)
        self._body = bytearray()
