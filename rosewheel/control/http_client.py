"""Calls to one control machine, one after another on a connection that is kept while there is use for it."""

from __future__ import annotations

import asyncio
from typing import Any, cast

import httptools
import orjson

from rosewheel.config.platform import Address

CONNECT_S = 0.7
ANSWER_BYTES = 64 << 20  # Guards memory


class HttpCallError(Exception):
    """No answer, or none that makes sense; the text is one plain line."""


class JsonHttpClient:
    def __init__(self, address: Address) -> None:
        self.address = address
        self._connection: _Connection | None = None
        self._turn = asyncio.Lock()

    async def call(
        self, method: str, target: str, row: Any = None, timeout_s: float = 2.0
    ) -> tuple[int, Any]:
        """Status and body. CallError within the time."""
        body = b"" if row is None else orjson.dumps(row, default=tuple)
        host, port = self.address
        head = f"{method} {target} HTTP/1.1\r\nHost: {host}:{port}\r\nContent-Length: {len(body)}\r\n\r\n"
        try:
            async with asyncio.timeout(timeout_s), self._turn:
                kept = self._connection is not None and self._connection.usable
                try:
                    return await self._exchange(head.encode() + body)
                except _UnansweredError:
                    if not kept:
                        raise
                    # The other side ended it for rest just as this was written: it was not read.
                    return await self._exchange(head.encode() + body)
        except TimeoutError as error:
            self.close()  # what comes late must not be taken for the answer to the next one
            raise HttpCallError(f"{host}:{port}: no answer in {timeout_s:g} s") from error
        except (OSError, _UnansweredError, orjson.JSONDecodeError, httptools.HttpParserError) as error:
            self.close()
            raise HttpCallError(f"{host}:{port}: {error or type(error).__name__}") from error
        except asyncio.CancelledError:
            self.close()
            raise

    async def _exchange(self, data: bytes) -> tuple[int, Any]:
        loop = asyncio.get_running_loop()
        if self._connection is None or not self._connection.usable:
            async with asyncio.timeout(CONNECT_S):
                _, self._connection = await loop.create_connection(_Connection, *self.address)
        status, body = await self._connection.exchange(data)
        return status, orjson.loads(body)

    def close(self) -> None:
        connection, self._connection = self._connection, None
        if connection is not None:
            connection.abort()


class _UnansweredError(Exception):
    """The connection ended before a byte of the answer had come."""


class _Connection(asyncio.Protocol):
    def __init__(self) -> None:
        self.transport: asyncio.Transport | None = None
        self.parser = httptools.HttpResponseParser(self)
        self.answer: asyncio.Future[tuple[int, bytes]] | None = None
        self.body = b""
        self.usable = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport, self.usable = cast(asyncio.Transport, transport), True

    def connection_lost(self, exc: Exception | None) -> None:
        self.transport, self.usable = None, False
        if self.answer is not None and not self.answer.done():
            self.answer.set_exception(_UnansweredError(str(exc or "closed")))
        del self.parser

    async def exchange(self, data: bytes) -> tuple[int, bytes]:
        assert self.transport is not None
        self.answer = asyncio.get_running_loop().create_future()
        self.body = b""
        self.transport.write(data)
        return await self.answer

    def data_received(self, data: bytes) -> None:
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserError as error:
            if self.answer is not None and not self.answer.done():
                self.answer.set_exception(error)
            self.abort()

    def on_body(self, data: bytes) -> None:
        self.body += data
        if len(self.body) > ANSWER_BYTES:
            self.abort()

    def on_message_complete(self) -> None:
        self.usable = self.parser.should_keep_alive()
        if self.answer is not None and not self.answer.done():
            self.answer.set_result((self.parser.get_status_code(), self.body))

    def abort(self) -> None:
        self.usable = False
        if self.transport is not None:
            self.transport.abort()
