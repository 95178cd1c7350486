"""Server side of an HTTP/1.1 connection whose responses are JSON objects or streams of JSON lines.

A handler gets the complete requests of a connection in order. Timeouts for receiving a request and for sending the last
response limit how long a stalled client can hold a connection.
"""

from __future__ import annotations

import asyncio
import logging
import socket
from collections import deque
from collections.abc import Awaitable
from dataclasses import dataclass, field
from typing import Protocol, cast

import httptools
import orjson

log = logging.getLogger("rosewheel.json_http")

MAX_PIPELINED_REQUESTS = 16  # limit of waiting requests per connection; further ones are ignored

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
class JsonRequest:
    """A complete request.

    Attributes:
        method: The HTTP method.
        target: The path and query.
        body: The body in bytes.
        keep_alive: Whether the connection stays open after the response.
    """

    method: str
    target: str
    body: bytes
    keep_alive: bool


@dataclass(slots=True)
class JsonResponse:
    """A response.

    Attributes:
        status: A status code of `REASON_PHRASES`.
        body: A value that orjson can encode; named tuples become lists.
        allow: The value of the Allow header, for status 405.
    """

    status: int
    body: object = field(default_factory=dict)
    allow: str = ""


@dataclass(slots=True, frozen=True)
class ConnectionLimits:
    """Limits of one connection.

    Attributes:
        max_request_bytes: Maximum size of a request, including its body.
        receive_timeout_s: Time limit for receiving a request.
        send_timeout_s: Time limit for sending the last response.
        idle_timeout_s: Time limit between two requests; 0 allows only one request per connection.
    """

    max_request_bytes: int
    receive_timeout_s: float
    send_timeout_s: float
    idle_timeout_s: float = 0.0


class RequestHandler(Protocol):
    """Handles requests and the events of connections."""

    def connection_opened(self, connection: JsonConnection) -> None:
        """Handle a new connection."""

    def connection_closed(self, connection: JsonConnection) -> None:
        """Handle the end of a connection."""

    def handle(self, request: JsonRequest, connection: JsonConnection) -> Awaitable[JsonResponse | None]:
        """Handle a request and return its response, or None if the connection has become a stream."""


class JsonConnection(asyncio.Protocol):
    """One connection of a client.

    Attributes:
        transport: The transport, or None before the connection is made and after it is closed.
        request_received: Whether a complete request waits for its response, or the last response has been written.
        streaming: Whether the response is a stream, which ends with the connection.
    """

    def __init__(
        self, handler: RequestHandler, limits: ConnectionLimits, loop: asyncio.AbstractEventLoop
    ) -> None:
        self.transport: asyncio.Transport | None = None
        self.request_received = False
        self.streaming = False
        self._handler, self._limits, self._loop = handler, limits, loop
        self._parser = httptools.HttpRequestParser(self)
        self._bytes_read = 0  # received bytes of the current request
        self._last_response_written = False
        self._pending: deque[JsonRequest] = deque()
        self._handler_task: asyncio.Task[None] | None = None
        self._timer: asyncio.TimerHandle | None = None
        self._target, self._body = b"", b""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Called by the event loop when a client has connected."""
        # A cast, because the transports of uvloop do not derive from asyncio's classes.
        self.transport = cast(asyncio.Transport, transport)
        self._start_timer(self._limits.receive_timeout_s)
        self._handler.connection_opened(self)

    def connection_lost(self, exc: Exception | None) -> None:
        """Called by the event loop when the connection is closed."""
        self.transport = None
        self._start_timer(None)
        self._handler.connection_closed(self)
        # Breaks the reference cycle with the parser, because the garbage collector runs rarely.
        del self._parser

    def abort(self) -> None:
        """Close the connection at once. Unsent data is lost."""
        if self.transport is not None:
            self.transport.abort()

    def _start_timer(self, delay_s: float | None) -> None:
        """Replace the connection's only timer; None stops it."""
        if self._timer is not None:
            self._timer.cancel()
        self._timer = None if delay_s is None else self._loop.call_later(delay_s, self._timed_out)

    def _timed_out(self) -> None:
        idle = not self._bytes_read and bool(self._limits.idle_timeout_s)
        if self._last_response_written or idle:
            self.abort()
        elif not self.request_received:
            self._respond_and_close(JsonResponse(408, {"error": "the request did not arrive in time"}))

    def data_received(self, data: bytes) -> None:
        """Called by the event loop with received data."""
        if self._last_response_written or self.streaming or self.transport is None:
            return
        if self.request_received and not self._limits.idle_timeout_s:
            return
        if not self._bytes_read and not self.request_received:
            self._start_timer(self._limits.receive_timeout_s)
        self._bytes_read += len(data)
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            pass  # protocol upgrades are not supported and are ignored
        except httptools.HttpParserError:
            if not self.request_received:
                self._respond_and_close(JsonResponse(400, {"error": "not HTTP/1.1"}))
                return
        if self._bytes_read > self._limits.max_request_bytes and not self.request_received:
            self._respond_and_close(JsonResponse(413, {"error": "the request is too large"}))

    def eof_received(self) -> bool:
        """Called by the event loop when the client has closed its sending side.

        Returns:
            Whether to keep the connection open, so that the client still receives its response.
        """
        return self.request_received and not self.streaming

    def on_url(self, url: bytes) -> None:
        """Called by the parser with a part of the request target."""
        self._target += url

    def on_body(self, data: bytes) -> None:
        """Called by the parser with a part of the body."""
        if len(self._body) <= self._limits.max_request_bytes:
            self._body += data

    def on_message_complete(self) -> None:
        """Called by the parser at the end of a request."""
        one_request_only = not self._limits.idle_timeout_s
        if (self.request_received and one_request_only) or len(self._pending) >= MAX_PIPELINED_REQUESTS:
            return
        method = self._parser.get_method().decode("latin-1")
        keep_alive = not one_request_only and self._parser.should_keep_alive()
        self._pending.append(JsonRequest(method, self._target.decode("latin-1"), self._body, keep_alive))
        self._target, self._body = b"", b""
        self.request_received, self._bytes_read = True, 0
        self._start_timer(None)
        if self._handler_task is None:
            self._handler_task = self._loop.create_task(self._handle_pending())

    async def _handle_pending(self) -> None:
        while self._pending and not self._last_response_written:
            request = self._pending.popleft()
            response = await self._handle(request)
            if response is None:
                break
            if request.keep_alive:
                self._write_response(response, "keep-alive")
            else:
                self._respond_and_close(response)
        self._handler_task = None
        if not self._last_response_written and not self.streaming:
            self.request_received = False
            self._start_timer(self._limits.idle_timeout_s)

    async def _handle(self, request: JsonRequest) -> JsonResponse | None:
        try:
            return await self._handler.handle(request, self)
        except Exception:
            log.exception("request failed: method=%s, target=%.200s", request.method, request.target)
            return JsonResponse(500, {"error": "internal error"})

    def _respond_and_close(self, response: JsonResponse) -> None:
        """Write a response, and close the connection after it."""
        if self._last_response_written:
            return
        self._last_response_written = self.request_received = True
        self._write_response(response, "close")
        if self.transport is not None:
            self.transport.close()
        self._start_timer(self._limits.send_timeout_s)

    def _write_response(self, response: JsonResponse, connection: str) -> None:
        if self.transport is None or self.transport.is_closing():
            return
        body = orjson.dumps(response.body, default=tuple) + b"\n"
        status = f"{response.status} {REASON_PHRASES[response.status]}"
        head = f"HTTP/1.1 {status}\r\nContent-Type: application/json\r\n"
        if response.allow:
            head += f"Allow: {response.allow}\r\n"
        head += f"Content-Length: {len(body)}\r\nCache-Control: no-store\r\nConnection: {connection}\r\n\r\n"
        self.transport.write(head.encode() + body)

    def start_stream(self) -> None:
        """Start a streamed response with chunked transfer coding."""
        self.streaming = True
        self._start_timer(None)
        head = b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nCache-Control: no-store\r\n"
        self.write(head + b"Transfer-Encoding: chunked\r\n\r\n")

    def write(self, chunks: bytes) -> None:
        """Write encoded chunks to a stream; does nothing on a closed connection."""
        if self.transport is not None and not self.transport.is_closing():
            self.transport.write(chunks)

    def set_acknowledgement_timeout(self, timeout_s: float) -> None:
        """Set the time after which unacknowledged data closes the connection (TCP_USER_TIMEOUT)."""
        sock = None if self.transport is None else self.transport.get_extra_info("socket")
        if sock is not None:
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, int(timeout_s * 1000.0))

    @property
    def unsent_bytes(self) -> int:
        """The number of bytes that were written and not sent yet."""
        return 0 if self.transport is None else self.transport.get_write_buffer_size()


def encode_chunk(data: bytes) -> bytes:
    """Encode one chunk of the chunked transfer coding."""
    return b"%x\r\n%b\r\n" % (len(data), data)
