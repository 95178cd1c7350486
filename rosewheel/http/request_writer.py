"""Writes requests to a server, as their bodies arrive and as the server reads them."""

from __future__ import annotations

import asyncio

from rosewheel.http.exchange import ConnectionPool, Exchange
from rosewheel.http.response_reader import ResponseReader
from rosewheel.http.write_buffer import stream_window


class RequestWriter(ResponseReader):
    """Writes the request of the exchange in progress.

    Attributes:
        pool: The pool of the connection.
        transport: The transport; None before the connection is open, and after its end.
        exchange: The exchange in progress.
        write_blocked: The transport's write buffer is full.
    """

    __slots__ = (
        "_unsent_limit_bytes",
        "exchange",
        "pool",
        "transport",
        "write_blocked",
    )

    def __init__(self, pool: ConnectionPool) -> None:
        self.pool = pool
        super().__init__()
        self.transport: asyncio.Transport | None = None
        self.exchange: Exchange | None = None
        self.write_blocked = False
        self._unsent_limit_bytes = 0

    def _limit_unsent(self, transport: asyncio.Transport) -> None:
        """Set above how many unsent bytes the transport asks for no more."""
        limit_bytes = stream_window(self.pool.memory)
        if limit_bytes != self._unsent_limit_bytes:
            self._unsent_limit_bytes = limit_bytes
            transport.set_write_buffer_limits(high=limit_bytes)

    def _send_available(self, unsent: bytes = b"") -> None:
        """Write the available parts of the request until the transport's buffer is full.

        The head is written together with the first segment of the body, which saves a system call and often a packet.

        Args:
            unsent: Bytes to write before the next segment of the body.
        """
        exchange = self.exchange
        if self.transport is not None:
            self._limit_unsent(self.transport)
        while exchange is not None and not exchange.request_sent and not self.write_blocked:
            transport = self.transport
            if transport is None:
                return
            body = exchange.body
            segment = body.segment(exchange.next_segment) if body is not None else None
            if segment is not None:
                exchange.next_segment += 1
                if exchange.chunked:
                    transport.write(b"%b%x\r\n%b\r\n" % (unsent, len(segment), segment))
                else:
                    transport.write(unsent + segment if unsent else segment)
                unsent = b""
            elif body is None or body.complete:
                self._send_end(exchange, transport, unsent)
                return
            else:
                body.on_data = self._send_available
                break
        if unsent and self.transport is not None:
            self.transport.write(unsent)

    def _send_end(self, exchange: Exchange, transport: asyncio.Transport, unsent: bytes) -> None:
        end = unsent + b"0\r\n\r\n" if exchange.chunked else unsent
        if end:
            transport.write(end)
        exchange.request_sent = True
        exchange.on_sent()
        if exchange.body is not None:
            exchange.body.on_data = None

    def pause_writing(self) -> None:
        """Stop writing: the transport's write buffer is full."""
        self.write_blocked = True

    def resume_writing(self) -> None:
        """Continue writing: the transport's write buffer has space."""
        self.write_blocked = False
        self._send_available()
