"""Reads a connection in pieces of limited size.

By itself the event loop reads up to 256 KB at once, whatever the connection may still buffer.
"""

from __future__ import annotations

import asyncio

MAX_READ_BYTES = 64 * 1024
SMALL_READ_BYTES = 4 * 1024  # while memory is scarce
MINIMAL_READ_BYTES = (
    1024  # of requests while memory is exhausted: each connection reads once more before it pauses
)

# One for the process: the loop fills it and passes it on before it reads another connection.
_buffer = memoryview(bytearray(MAX_READ_BYTES))


class BoundedReads(asyncio.BufferedProtocol):
    """A protocol that receives its bytes in `data_received`, in pieces of limited size."""

    __slots__ = ("__weakref__",)

    def read_size(self) -> int:
        """Return the largest number of bytes to read at once."""
        return MAX_READ_BYTES

    def data_received(self, data: bytes) -> None:
        """Process received bytes."""
        raise NotImplementedError

    def get_buffer(self, sizehint: int) -> memoryview:
        """Return the buffer that the event loop fills."""
        size = self.read_size()
        return _buffer if size == MAX_READ_BYTES else _buffer[:size]

    def buffer_updated(self, nbytes: int) -> None:
        """Process the bytes that the event loop has read into the buffer."""
        self.data_received(bytes(_buffer[:nbytes]))
