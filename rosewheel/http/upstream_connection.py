"""A connection to a server: sends one request at a time and reports its result."""

from __future__ import annotations

import asyncio
import logging
import os
import select
import socket
from enum import Enum, auto
from typing import Any, cast

import httptools

from rosewheel.http.errors import InvalidResponseError
from rosewheel.http.exchange import ConnectionPool, Exchange, UpstreamEndpoint
from rosewheel.http.reading import MAX_READ_BYTES, SMALL_READ_BYTES
from rosewheel.http.request_writer import RequestWriter
from rosewheel.http.response_reader import ResponsePhase, ResponseSink
from rosewheel.http.response_timer import ResponseState, ResponseTimer
from rosewheel.http.upstream_detach import DetachedUpstream, UpstreamDetachCallback, UpstreamState
from rosewheel.http.write_buffer import WriteProgress
from rosewheel.policy.events import AttemptResult

log = logging.getLogger("rosewheel.upstream")

RECEIVE_BUFFER_BYTES = 64 * 1024  # receive buffer of the socket, which bounds the unread part of a response
WRITE_STALL_TIMEOUT_S = 6.0  # an attempt fails if the server reads no byte of the request for this long
STALE_RESET_WINDOW_S = 0.02  # a reset this soon after a request shows that the idle connection was stale


class ConnectionPhase(Enum):
    """Lifecycle of a connection to a server."""

    CONNECTING = auto()
    OPEN = auto()
    DETACHING = auto()  # the event loop is about to remove it
    CLOSED = auto()


class UpstreamConnection(RequestWriter):
    """A connection to a server. It carries one exchange at a time.

    Attributes:
        connection_phase: The state of the connection.
        address: The remote address. The endpoint's address may change after the connection was opened.
        launched_ms: Start of the server process to which the connection was opened, on the monotonic clock.
        idle_since_s: When it last became idle, on the loop's clock; 0 before the first time.
        last_received_s: When it last received bytes, on the loop's clock.
        reading_paused: Reading is paused, since the client reads more slowly than the server sends.
    """

    __slots__ = (
        "_idle_before_request_s",
        "_on_detached",
        "_poller",
        "_request_started_s",
        "_response_timer",
        "_write_progress",
        "address",
        "connection_phase",
        "endpoint",
        "idle_since_s",
        "last_received_s",
        "launched_ms",
        "reading_paused",
    )

    def __init__(self, pool: ConnectionPool, endpoint: UpstreamEndpoint) -> None:
        super().__init__(pool)
        self.endpoint, self.address = endpoint, endpoint.address
        self.launched_ms = endpoint.launched_ms
        self.connection_phase = ConnectionPhase.CONNECTING
        self.idle_since_s = self.last_received_s = 0.0
        self.reading_paused = False
        self._request_started_s = self._idle_before_request_s = 0.0
        self._write_progress = WriteProgress()
        self._poller: select.poll | None = None  # polls only this connection's socket
        self._response_timer = ResponseTimer(pool.loop, self)
        self._on_detached: UpstreamDetachCallback | None = None

    def read_size(self) -> int:
        """Return the largest number of bytes to read at once."""
        return SMALL_READ_BYTES if self.pool.memory.is_scarce else MAX_READ_BYTES

    def _on_buffered(self, size: int) -> None:
        self.pool.memory.responses.used_bytes += size

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Configure the socket and register the connection with the pool."""
        # A cast, since uvloop's transports are not subclasses of asyncio's.
        self.transport = cast(asyncio.Transport, transport)
        # Bounds the system memory that a response takes while it waits for a slow client.
        sock = transport.get_extra_info("socket")
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
        self._poller = select.poll()
        self._poller.register(sock.fileno(), select.POLLIN | select.POLLRDHUP)
        self.connection_phase = ConnectionPhase.OPEN
        self.pool.connection_opened()

    def is_usable(self) -> bool:
        """Return whether the connection is open and nothing was received on it.

        A request written after the server has closed the connection is lost, and the event loop may not have read the
        close yet, so the operating system is queried.
        """
        if self.transport is None or self.transport.is_closing():
            return False
        return self._poller is not None and not self._poller.poll(0)

    def close(self) -> None:
        """Close the connection and discard its unsent bytes."""
        if self.transport is not None:
            self.transport.abort()

    def eof_received(self) -> None:
        """Complete a response without framing, which ends when the server closes its side."""
        if self.exchange is not None and self.phase is not ResponsePhase.HEAD and not self.has_framing:
            self._finish_response(reusable=False)

    def connection_lost(self, exc: Exception | None) -> None:
        """Fail the exchange; if the connection was detached, pass it to the callback."""
        phase, self.connection_phase = self.connection_phase, ConnectionPhase.CLOSED
        if phase in (ConnectionPhase.OPEN, ConnectionPhase.DETACHING):
            self.pool.connection_closed()
        if phase is ConnectionPhase.DETACHING:
            self._finish_detach(exc)
            return
        self._discard()
        self.transport = None
        now_s = self.pool.loop.time()
        # Only a reset indicates a stale connection: `is_usable` detects an orderly close before the request.
        was_reset = self.exchange is not None and isinstance(exc, ConnectionError) and not self.head_bytes
        elapsed_s = now_s - self._request_started_s
        if was_reset and self._idle_before_request_s > 0.0 and elapsed_s <= STALE_RESET_WINDOW_S:
            self.pool.record_stale(self._idle_before_request_s)
        # Reported as RESET, since a request that was written may have been executed.
        self._finish_exchange(AttemptResult.RESET, reusable=False)
        self._drop_response_body()
        # They form reference cycles with this object, and the garbage collector runs rarely.
        del self.parser, self._response_timer

    def _discard(self) -> None:
        self.pool.remove_idle(self)
        self.close()

    def send(self, exchange: Exchange) -> None:
        """Send a request on an open and idle connection."""
        self._reset()
        self._request_started_s = self.pool.loop.time()
        self._write_progress.restart(self._request_started_s)
        self._idle_before_request_s = (
            self._request_started_s - self.idle_since_s if self.idle_since_s else 0.0
        )
        self.exchange, exchange.connection = exchange, self
        self._send_available(exchange.encode_head())

    def fail_if_write_stalled(self) -> None:
        """Fail the exchange if the server has stopped reading the request.

        The deadline of a request starts at its last byte, so it does not limit how long the body takes.
        """
        now_s = self.pool.loop.time()
        unsent_bytes = self.transport.get_write_buffer_size() if self.transport is not None else 0
        stalled_s = self._write_progress.stalled_s(unsent_bytes, self.write_blocked, now_s)
        if stalled_s >= WRITE_STALL_TIMEOUT_S:
            log.info("request write stalled: server=%s:%d", *self.address)
            self._finish_exchange(AttemptResult.CONNECT_FAILED, reusable=False)

    def release_exchange(self) -> None:
        """Stop reporting on the exchange; another attempt may read its body."""
        exchange, self.exchange = self.exchange, None
        self.sink = None
        if exchange is not None and exchange.body is not None:
            if exchange.body.on_data == self._send_available:
                exchange.body.on_data = None
            exchange.body.rewind()

    def data_received(self, data: bytes) -> None:
        """Parse received bytes, and finish the exchange once its response is complete."""
        self.last_received_s = self.endpoint.last_received_s = self.pool.loop.time()
        if self.exchange is None:  # the bytes would be parsed as the response to the next request
            self._discard()
            return
        phase_before = self.phase
        try:
            has_surplus = self._feed_parser(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade, InvalidResponseError) as error:
            self._fail_invalid_response(error)
            return
        if self.phase is ResponsePhase.COMPLETE:
            # If the server responds early, the unsent bytes of this request would precede the next one.
            has_unsent = self.transport is None or self.transport.get_write_buffer_size() > 0
            self._finish_response(reusable=self.keep_alive and not has_unsent and not has_surplus)
            return
        self._track_chunks(data, phase_before)
        self._response_timer.data_received()

    def pause_response(self) -> None:
        """Pause reading, since the client reads more slowly than the server sends."""
        if not self.reading_paused and self.transport is not None and not self.transport.is_closing():
            self.reading_paused = True
            self.transport.pause_reading()

    def resume_response(self) -> None:
        """Resume reading after `pause_response`."""
        if self.reading_paused:
            self.reading_paused = False
            self.last_received_s = self.pool.loop.time()
            if self.transport is not None and not self.transport.is_closing():
                self.transport.resume_reading()

    def _has_exchange(self) -> bool:
        return self.exchange is not None

    def _open_sink(self) -> ResponseSink:
        exchange = self.exchange
        if exchange is None or exchange.on_response_started is None:
            raise InvalidResponseError("response too long to be buffered")
        if not exchange.request_sent:
            raise InvalidResponseError("response to an incomplete request")
        sink = exchange.on_response_started(self.content_length, self.resume_response)
        if sink is None:
            raise InvalidResponseError("response no longer expected")
        return sink

    # Called by the timer of the response.

    @property
    def response_state(self) -> ResponseState:
        """How much of the response has come, as far as its time limits depend on it."""
        if self.sink is not None:
            return ResponseState.STREAMED
        is_open = self.phase is ResponsePhase.BODY and self.content_length is None
        can_be_forwarded = self.exchange is not None and self.exchange.can_stream
        if is_open and can_be_forwarded and self.parser.get_status_code() == 200:
            return ResponseState.UNKNOWN_LENGTH
        return ResponseState.SHORT

    def attempt_left_s(self) -> float:
        """Return the time left to the attempt in seconds."""
        return self.exchange.checks.time_left_ms() / 1000.0 if self.exchange is not None else 0.0

    def may_repeat(self) -> bool:
        """Return whether the request could be sent again if this attempt failed."""
        return self.exchange is not None and self.exchange.checks.may_repeat()

    def forward_held_response(self) -> None:
        """Pass on the received part of a response of unknown length, and the rest as it arrives."""
        try:
            self._start_streaming()
            self.pool.record_forwarded(self.endpoint.host)
        except InvalidResponseError as error:
            self._fail_invalid_response(error)

    def fail_stalled_response(self) -> None:
        """Fail the exchange: its server has stopped sending the response."""
        self._fail_invalid_response("response stalled")

    def _fail_invalid_response(self, reason: Exception | str) -> None:
        """Fail an exchange with an invalid response; the request may have been executed."""
        self.pool.record_invalid_response(f"{self.endpoint.address}: {reason}")
        self._finish_exchange(AttemptResult.RESET, reusable=False)

    def _finish_response(self, reusable: bool) -> None:
        status = self.parser.get_status_code()
        if status in (503, 504) and self.not_started:
            if not self.idle_since_s:  # the first request of the connection
                self.pool.record_rejection()
            self._finish_exchange(AttemptResult.OVERLOADED, reusable)
        elif status == 200 and self.exchange is not None and self.exchange.request_sent:
            self._finish_exchange(AttemptResult.OK, reusable)
        else:
            self._finish_exchange(AttemptResult.ERROR, reusable)

    def _finish_exchange(self, result: AttemptResult, reusable: bool) -> None:
        """Report the result, and return the connection to the pool or close it."""
        exchange = self.exchange
        self.release_exchange()
        self._response_timer.cancel()
        if exchange is not None and not exchange.request_sent:
            reusable = False
            if result is not AttemptResult.OVERLOADED:
                # A server executes a request only once it is complete, so this one was not executed.
                result = AttemptResult.CONNECT_FAILED
        if not reusable:
            self.close()
        if exchange is None:
            return
        self.resume_response()
        if reusable:
            # Released before the result is reported, so that the next attempt may use the connection.
            self.pool.release(self)
        body = bytes(self.response_body) if result is AttemptResult.OK else b""
        self._drop_response_body()
        exchange.on_done(result, self.load_report, body)

    @property
    def detachable(self) -> bool:
        """True if another process can continue with the streamed response."""
        if self.transport is None or self.transport.is_closing():
            return False
        if self.connection_phase is ConnectionPhase.DETACHING:
            return False
        if self.sink is None or self.phase is ResponsePhase.COMPLETE:
            return False
        if self.exchange is None or not self.exchange.request_sent:
            return False
        return self.position_is_known

    def detach(self, on_detached: UpstreamDetachCallback) -> None:
        """Remove the connection from the event loop; nothing more is read from it.

        Args:
            on_detached: Receives the connection, or None if it could not be detached and was closed.
        """
        if self.transport is None:
            on_detached(None)
            return
        self.connection_phase = ConnectionPhase.DETACHING
        self._on_detached = on_detached
        self.transport.abort()

    def _finish_detach(self, exc: Exception | None) -> None:
        on_detached, self._on_detached = self._on_detached, None
        transport, self.transport = self.transport, None
        state = self._state()
        self.release_exchange()
        self._response_timer.cancel()
        del self.parser, self._response_timer
        if on_detached is None or transport is None:
            return
        try:
            fd = None if exc is not None else os.dup(transport.get_extra_info("socket").fileno())
        except OSError:
            fd = None
        on_detached(None if fd is None else DetachedUpstream(fd, state.encode()))

    def _state(self) -> UpstreamState:
        missing_bytes = None if self.content_length is None else self.content_length - self.response_bytes
        return UpstreamState(
            host=self.endpoint.host,
            address=self.address,
            launched_ms=self.endpoint.launched_ms,
            idle_s=self.pool.loop.time() - self.idle_since_s,
            received_bytes=self.response_bytes,
            missing_bytes=missing_bytes,
            chunk_prefix=None if self.chunk_tracker is None else self.chunk_tracker.resume_prefix(),
            load_report=self.load_report,
        )

    def restore(self, exchange: Exchange, state: dict[str, Any], sink: ResponseSink) -> None:
        """Restore a streamed response in progress, before the connection has a transport.

        Args:
            exchange: The attempt, whose request was sent by another process.
            state: See `DetachedUpstream`.
            sink: Receives the rest of the body.
        """
        self._reset()
        decoded = UpstreamState.decode_response(state)
        self._restore_position(decoded.resume_head(), decoded.received_bytes)
        self.sink = sink
        self.load_report = decoded.load_report
        self.exchange, exchange.connection = exchange, self
        self.last_received_s = self.pool.loop.time()
        self._response_timer.data_received()
