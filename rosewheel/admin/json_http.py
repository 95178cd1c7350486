"""One side of an HTTP/1.1 connection on which calls come in and answers of JSON go out, or a stream of its lines.

It decides nothing: each whole call goes to the owner, in order, and what that says is written. Callers that say nothing
must not keep others out, so there are deadlines for a call to arrive and for its answer to be taken.
"""

from __future__ import annotations

import asyncio
import logging
import socket
from collections import deque
from collections.abc import Awaitable
from dataclasses import dataclass, field
from typing import Any, Protocol, cast

import httptools
import orjson

log = logging.getLogger("rosewheel.calls")

MAX_PIPELINED_REQUESTS = 16  # calls that may wait on one connection

REASON_PHRASES = {
    200: "OK",
    400: "Bad Request",
    404: "Not Found",
    405: "Method Not Allowed",
    408: "Request Timeout",
    409: "Conflict",
    413: "Content Too Large",
    500: "Internal Server Error",
    503: "Service Unavailable",
}


@dataclass(slots=True)
class JsonResponse:
    status: int
    body: Any = field(default_factory=dict)
    allow: str = ""


@dataclass(slots=True)
class JsonRequest:
    method: str
    target: str
    body: bytes
    keep_alive: bool  # the caller wants to use its connection again


@dataclass(slots=True, frozen=True)
class ConnectionLimits:
    max_request_bytes: int  # of one call, its body included
    receive_timeout_s: float  # how long a call may take to arrive
    send_timeout_s: float  # and its last answer to be taken
    idle_timeout_s: float = 0.0  # how long a connection may rest between two calls; 0: one call each


class RequestHandler(Protocol):
    """Who answers."""

    def connection_opened(self, caller: JsonConnection) -> None: ...

    def connection_closed(self, caller: JsonConnection) -> None: ...

    def handle(self, call: JsonRequest, caller: JsonConnection) -> Awaitable[JsonResponse | None]:
        """What a call is told; None where the connection has become a stream."""


class JsonConnection(asyncio.Protocol):
    def __init__(
        self, owner: RequestHandler, limits: ConnectionLimits, loop: asyncio.AbstractEventLoop
    ) -> None:
        self.handler, self.limits, self.loop = owner, limits, loop
        self.transport: asyncio.Transport | None = None
        self.parser = httptools.HttpRequestParser(self)
        self.bytes_read = 0
        self.request_received = (
            False  # a whole call has come, and no more is taken before its answer, or ever
        )
        self.streaming = False
        self.last_response_written = False  # the last answer is written
        self.pending: deque[JsonRequest] = deque()
        self.task: asyncio.Task[None] | None = None
        self.timer: asyncio.TimerHandle | None = None
        self._fresh()

    def _fresh(self) -> None:
        self.target, self.body = b"", b""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        # A cast: the transports of uvloop are none of asyncio's classes.
        self.transport = cast(asyncio.Transport, transport)
        self._after(self.limits.receive_timeout_s)
        self.handler.connection_opened(self)

    def connection_lost(self, exc: Exception | None) -> None:
        self.transport = None
        self._after(None)
        self.handler.connection_closed(self)
        # Guards memory: the parser and this object hold one another, and the collector comes seldom.
        del self.parser

    def abort(self) -> None:
        if self.transport is not None:
            self.transport.abort()

    def _after(self, wait_s: float | None) -> None:
        if self.timer is not None:
            self.timer.cancel()
        self.timer = None if wait_s is None else self.loop.call_later(wait_s, self._late)

    def _late(self) -> None:
        if self.last_response_written or (
            not self.bytes_read and self.limits.idle_timeout_s
        ):  # it does not take its answer, or rests too long
            self.abort()
        elif not self.request_received:
            self._last(JsonResponse(408, {"error": "the call did not arrive in time"}))

    def data_received(self, data: bytes) -> None:
        if (
            self.last_response_written
            or self.streaming
            or self.transport is None
            or (self.request_received and not self.limits.idle_timeout_s)
        ):
            return
        if not self.bytes_read and not self.request_received:
            self._after(self.limits.receive_timeout_s)
        self.bytes_read += len(data)
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            pass  # nothing to upgrade to: the call itself is a plain one, and answered as such
        except httptools.HttpParserError:
            if not self.request_received:
                self._last(JsonResponse(400, {"error": "not HTTP/1.1"}))
                return
        if self.bytes_read > self.limits.max_request_bytes and not self.request_received:
            self._last(JsonResponse(413, {"error": "a call without end"}))

    def eof_received(self) -> bool:
        return (
            self.request_received and not self.streaming
        )  # who ends its sending behind the call still reads

    def on_url(self, url: bytes) -> None:
        self.target += url

    def on_body(self, data: bytes) -> None:
        if len(self.body) <= self.limits.max_request_bytes:
            self.body += data

    def on_message_complete(self) -> None:
        if (self.request_received and not self.limits.idle_timeout_s) or len(
            self.pending
        ) >= MAX_PIPELINED_REQUESTS:
            return
        method = self.parser.get_method().decode("latin-1")
        keep = bool(self.limits.idle_timeout_s) and self.parser.should_keep_alive()
        self.pending.append(JsonRequest(method, self.target.decode("latin-1"), self.body, keep))
        self._fresh()
        self.request_received, self.bytes_read = True, 0
        self._after(None)
        if self.task is None:
            self.task = self.loop.create_task(self._answer())

    async def _answer(self) -> None:
        while self.pending and not self.last_response_written:
            call = self.pending.popleft()
            try:
                reply = await self.handler.handle(call, self)
            except Exception:
                log.exception("%s %.200s", call.method, call.target)
                reply = JsonResponse(500, {"error": "a fault of the node"})
            if reply is None:
                break
            if call.keep_alive:
                self._write(reply, "keep-alive")
            else:
                self._last(reply)
        self.task = None
        if not self.last_response_written and not self.streaming:
            self.request_received = False
            self._after(self.limits.idle_timeout_s)

    def _last(self, reply: JsonResponse) -> None:
        """The answer after which the connection ends."""
        if self.last_response_written:
            return
        self.last_response_written = self.request_received = True
        self._write(reply, "close")
        if self.transport is not None:
            self.transport.close()
        self._after(self.limits.send_timeout_s)

    def _write(self, reply: JsonResponse, connection: str) -> None:
        if self.transport is None or self.transport.is_closing():
            return
        body = orjson.dumps(reply.body, default=tuple) + b"\n"  # named tuples too
        head = f"HTTP/1.1 {reply.status} {REASON_PHRASES[reply.status]}\r\nContent-Type: application/json\r\n"
        if reply.allow:
            head += f"Allow: {reply.allow}\r\n"
        head += f"Content-Length: {len(body)}\r\nCache-Control: no-store\r\nConnection: {connection}\r\n\r\n"
        self.transport.write(head.encode() + body)

    # ------------------------------------------------------------------- a stream

    def start_stream(self) -> None:
        """What follows is one answer without end, in chunks."""
        self.streaming = True
        self._after(None)
        head = b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nCache-Control: no-store\r\n"
        self.write(head + b"Transfer-Encoding: chunked\r\n\r\n")

    def write(self, chunks: bytes) -> None:
        if self.transport is not None and not self.transport.is_closing():
            self.transport.write(chunks)

    def set_acknowledgement_timeout(self, wait_s: float) -> None:
        """End where what is written is not taken in by the system at the other end for so long."""
        sock = None if self.transport is None else self.transport.get_extra_info("socket")
        if sock is not None:
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, int(wait_s * 1000.0))

    @property
    def unsent_bytes(self) -> int:
        return 0 if self.transport is None else self.transport.get_write_buffer_size()


def encode_chunk(data: bytes) -> bytes:
    return b"%x\r\n%b\r\n" % (len(data), data)
