"""One connection to a server: sends one request at a time and reports its outcome."""

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
from rosewheel.http.response_reader import ResponsePhase, ResponseReader, ResponseSink
from rosewheel.http.upstream_detach import DetachedUpstream, UpstreamDetachCallback, UpstreamState
from rosewheel.http.write_buffer import WriteProgress
from rosewheel.policy.events import AttemptResult

log = logging.getLogger("rosewheel.upstream")

RECEIVE_BUFFER_BYTES = 64 * 1024  # of the socket: what the system holds of a response that is not read
RESPONSE_PAUSE_TIMEOUT_S = 0.8  # for a pause within a response
STREAM_PAUSE_TIMEOUT_S = 15.0  # the same while it is streamed: aborting that is the last resort
PAUSE_CHECK_TOLERANCE_S = 0.01  # a timeout that ends this soon has ended; the loop's clock has milliseconds
WRITE_STALL_TIMEOUT_S = 6.0  # how long a server may take nothing at all of a request
STALE_RESET_WINDOW_S = 0.02  # a reset this soon after a request shows that the idle connection was stale


class ConnectionPhase(Enum):
    """Whether a connection is on the loop."""

    CONNECTING = auto()
    OPEN = auto()
    DETACHING = auto()  # the loop is about to let go of it
    CLOSED = auto()


class UpstreamConnection(ResponseReader):
    """One connection to a server. It carries one exchange at a time.

    Attributes:
        connection_phase: Whether it is on the loop.
        address: Where it leads; its endpoint may move.
        launched_ms: The start of the server's process to which it was opened.
        exchange: The request that was sent, until its outcome is known.
        idle_since_s: When it last became idle, on the loop's clock; 0 before the first time.
        last_received_s: When it last received anything.
        write_blocked: The transport's buffer is full.
        reading_paused: Nothing is read, since the client reads more slowly.
    """

    def __init__(self, pool: ConnectionPool, endpoint: UpstreamEndpoint) -> None:
        super().__init__()
        self.pool, self.endpoint, self.address = pool, endpoint, endpoint.address
        self.launched_ms = endpoint.launched_ms
        self.connection_phase = ConnectionPhase.CONNECTING
        self.transport: asyncio.Transport | None = None
        self.exchange: Exchange | None = None
        self.idle_since_s = self.last_received_s = 0.0
        self.write_blocked = self.reading_paused = False
        self._request_started_s = self._idle_before_request_s = 0.0
        self._write_progress = WriteProgress()
        self._poller: select.poll | None = None  # of this connection's socket alone
        self._pause_timer: asyncio.TimerHandle | None = None
        self._on_detached: UpstreamDetachCallback | None = None

    # ------------------------------------------------------------------------------------------- begin and end

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Prepare the socket."""
        # A cast: the transports of uvloop do not derive from asyncio's classes.
        self.transport = cast(asyncio.Transport, transport)
        # Guards memory, the system's and that of the segments, while a response waits for a slow client.
        sock = transport.get_extra_info("socket")
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
        self._poller = select.poll()
        self._poller.register(sock.fileno(), select.POLLIN | select.POLLRDHUP)
        self.connection_phase = ConnectionPhase.OPEN
        self.pool.connection_opened()

    def is_usable(self) -> bool:
        """Whether it is open and nothing was received.

        The operating system is queried, since the loop may not have read yet that the server has closed the
        connection: a request that is written after that is lost.
        """
        if self.transport is None or self.transport.is_closing():
            return False
        return self._poller is not None and not self._poller.poll(0)

    def close(self) -> None:
        """Close it without sending what is unsent."""
        if self.transport is not None:
            self.transport.abort()

    def eof_received(self) -> None:
        """The server has closed its side, which ends a response without framing."""
        if self.exchange is not None and self.phase is not ResponsePhase.HEAD and not self.has_framing:
            self._finish_response(keep=False)

    def connection_lost(self, exc: Exception | None) -> None:
        """Fail the exchange, or hand the connection over if it was detached."""
        phase, self.connection_phase = self.connection_phase, ConnectionPhase.CLOSED
        if phase in (ConnectionPhase.OPEN, ConnectionPhase.DETACHING):
            self.pool.connection_closed()
        if phase is ConnectionPhase.DETACHING:
            self._finish_detach(exc)
            return
        self._discard()
        self.transport = None
        now_s = self.pool.loop.time()
        # Only a reset: a server that closes a connection in an orderly way has sent its end before.
        was_reset = self.exchange is not None and isinstance(exc, ConnectionError) and not self.head_bytes
        elapsed_s = now_s - self._request_started_s
        if was_reset and self._idle_before_request_s > 0.0 and elapsed_s <= STALE_RESET_WINDOW_S:
            self.pool.record_stale(self._idle_before_request_s)
        # The request was written, so it may have been executed.
        self._finish_exchange(AttemptResult.RESET, keep=False)
        # Guards memory: the parser and this object refer to one another, and the collector runs rarely.
        del self.parser

    def _discard(self) -> None:
        self.pool.remove_idle(self)
        self.close()

    # ------------------------------------------------------------------------------------------------- requests

    def send(self, exchange: Exchange) -> None:
        """Send a request on the open and idle connection."""
        self._reset()
        self._request_started_s = self.pool.loop.time()
        self._write_progress.restart(self._request_started_s)
        self._idle_before_request_s = (
            self._request_started_s - self.idle_since_s if self.idle_since_s else 0.0
        )
        self.exchange, exchange.connection = exchange, self
        self._send_available(exchange.encode_head())

    def _send_available(self, unsent: bytes = b"") -> None:
        """Write what is available of the request, as far as the server takes it.

        The head and the first bytes of the body are written at once: one system call, and one segment if they are few.

        Args:
            unsent: Bytes to be written before the body's next segment.
        """
        exchange = self.exchange
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
        """The transport's buffer is full."""
        self.write_blocked = True

    def resume_writing(self) -> None:
        """There is space in the transport's buffer."""
        self.write_blocked = False
        self._send_available()

    def fail_if_write_stalled(self) -> None:
        """Guards a client that sends a long body against a server that does not read it.

        No deadline runs before the request's last byte.
        """
        now_s = self.pool.loop.time()
        unsent_bytes = self.transport.get_write_buffer_size() if self.transport is not None else 0
        stalled_s = self._write_progress.stalled_s(unsent_bytes, self.write_blocked, now_s)
        if stalled_s >= WRITE_STALL_TIMEOUT_S:
            log.info("request write stalled: server=%s:%d", *self.address)
            self._finish_exchange(AttemptResult.CONNECT_FAILED, keep=False)

    def release_exchange(self) -> None:
        """Nothing more is reported of the exchange; its body may be read by another attempt."""
        exchange, self.exchange = self.exchange, None
        self.sink = None
        if exchange is not None and exchange.body is not None:
            if exchange.body.on_data == self._send_available:
                exchange.body.on_data = None
            exchange.body.rewind()

    # ------------------------------------------------------------------------------------------------- responses

    def data_received(self, data: bytes) -> None:
        """Parse what was received, and end the exchange if its response is complete."""
        self.last_received_s = self.endpoint.last_received_s = self.pool.loop.time()
        if self.exchange is None:  # guards the next attempt against bytes that do not belong to it
            self._discard()
            return
        phase_before = self.phase
        try:
            has_surplus = self._feed_parser(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade, InvalidResponseError) as error:
            self._fail_invalid_response(error)
            return
        if self.phase is ResponsePhase.COMPLETE:
            # Guards the next attempt: a response before the end of the request leaves unsent bytes of it.
            has_unsent = self.transport is None or self.transport.get_write_buffer_size() > 0
            self._finish_response(keep=self.keep_alive and not has_unsent and not has_surplus)
            return
        self._track_chunks(data, phase_before)
        if self._pause_timer is None:
            self._start_pause_timer(RESPONSE_PAUSE_TIMEOUT_S)

    def pause_response(self) -> None:
        """Stop reading, since the client reads more slowly than the server sends."""
        if not self.reading_paused and self.transport is not None and not self.transport.is_closing():
            self.reading_paused = True
            self.transport.pause_reading()

    def resume_response(self) -> None:
        """The opposite of `pause_response`."""
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
            raise InvalidResponseError("unexpected long response")
        if not exchange.request_sent:
            raise InvalidResponseError("response before the end of the request")
        sink = exchange.on_response_started(self.content_length, self.resume_response)
        if sink is None:
            raise InvalidResponseError("response no longer expected")
        return sink

    def _start_pause_timer(self, delay_s: float) -> None:
        self._pause_timer = self.pool.loop.call_later(delay_s, self._check_response_pause)

    def _cancel_pause_timer(self) -> None:
        if self._pause_timer is not None:
            self._pause_timer.cancel()
            self._pause_timer = None

    def _check_response_pause(self) -> None:
        """Guards an idempotent request, and the connection, against a response that does not end."""
        self._pause_timer = None
        if self.exchange is None:
            return
        timeout_s = RESPONSE_PAUSE_TIMEOUT_S if self.sink is None else STREAM_PAUSE_TIMEOUT_S
        left_s = self.last_received_s + timeout_s - self.pool.loop.time()
        if self.reading_paused:
            left_s = STREAM_PAUSE_TIMEOUT_S
        if left_s > PAUSE_CHECK_TOLERANCE_S:
            self._start_pause_timer(left_s)
        elif self.is_usable():
            self._fail_invalid_response("response stalled")
        else:  # there is more to read, so this node is late
            self._start_pause_timer(RESPONSE_PAUSE_TIMEOUT_S / 4)

    def _fail_invalid_response(self, reason: Exception | str) -> None:
        """The request was executed, and its response is invalid."""
        self.pool.record_invalid_response(f"{self.endpoint.address}: {reason}")
        self._finish_exchange(AttemptResult.RESET, keep=False)

    def _finish_response(self, keep: bool) -> None:
        status = self.parser.get_status_code()
        if status in (503, 504) and self.not_started:
            if not self.idle_since_s:  # the first request of the connection
                self.pool.record_rejection()
            self._finish_exchange(AttemptResult.OVERLOADED, keep)
        elif status == 200 and self.exchange is not None and self.exchange.request_sent:
            self._finish_exchange(AttemptResult.OK, keep)
        else:
            self._finish_exchange(AttemptResult.ERROR, keep)

    def _finish_exchange(self, result: AttemptResult, keep: bool) -> None:
        """Report the result; `keep`: the connection may be used again."""
        exchange = self.exchange
        self.release_exchange()
        self._cancel_pause_timer()
        if exchange is not None and not exchange.request_sent:
            keep = False
            if result is not AttemptResult.OVERLOADED:
                # A server executes a request from its last byte on, so this one was never executed.
                result = AttemptResult.CONNECT_FAILED
        if not keep:
            self.close()
        if exchange is None:
            return
        self.resume_response()
        if keep:  # before the result is reported: the next attempt may use the connection at once
            self.pool.release(self)
        body = bytes(self.response_body) if result is AttemptResult.OK else b""
        exchange.on_done(result, self.load_report, body)

    # ---------------------------------------------------------------------------------------------- hot restart

    @property
    def detachable(self) -> bool:
        """Whether another process could continue with the streamed response."""
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
        """Take the connection off the loop. From now on nothing is read.

        Args:
            on_detached: Receives the connection once the loop lets go of it, or None if it ended meanwhile.
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
        self._cancel_pause_timer()
        del self.parser
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
        """Continue within a streamed response; to be called before the connection has its transport.

        Args:
            exchange: The attempt, whose request was sent by another process.
            state: See `DetachedUpstream`.
            sink: Where the rest of the body is streamed to.
        """
        self._reset()
        decoded = UpstreamState.decode_response(state)
        self._restore_position(decoded.resume_head(), decoded.received_bytes)
        self.sink = sink
        self.load_report = decoded.load_report
        self.exchange, exchange.connection = exchange, self
        self.last_received_s = self.pool.loop.time()
        self._start_pause_timer(RESPONSE_PAUSE_TIMEOUT_S)
