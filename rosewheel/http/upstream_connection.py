"""One connection to a server: an exchange at a time, what arrives, and what became of it."""

from __future__ import annotations

import asyncio
import logging
import os
import re
import select
import socket
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any, cast

import httptools

from rosewheel.config.platform import Address
from rosewheel.http.body import RequestBody
from rosewheel.http.chunk_tracker import ChunkedEncodingError, ChunkTracker
from rosewheel.policy.events import AttemptResult
from rosewheel.policy.settings_codec import REPORT_FIELDS

if TYPE_CHECKING:
    from rosewheel.http.upstream_pool import UpstreamPool

log = logging.getLogger("rosewheel.equipos")

MAX_RESPONSE_BYTES = 32 << 20  # the longest answer; Guards callers against a server that sends without end
STREAM_THRESHOLD_BYTES = 64 * 1024  # a longer answer is passed on as it comes
RECEIVE_BUFFER_BYTES = (
    64 * 1024
)  # what the system may hold of an answer that is not read; as much comes at a time
MAX_RESPONSE_HEAD_BYTES = 16 * 1024  # of an answer, those of the interim ones before it included
RESPONSE_PAUSE_TIMEOUT_S = 0.8  # an answer that has begun and pauses for so long is no good
STREAM_PAUSE_TIMEOUT_S = 15.0  # the same of one that is being passed on: cutting it off is the last resort
WRITE_STALL_TIMEOUT_S = 6.0  # how long a server may take nothing at all of a request that is being written
LOAD_VALUE = re.compile(r"[0-9]{1,6}(\.[0-9]{1,9})?")  # a load is no more than that
STALE_RESET_WINDOW_S = (
    0.02  # a reset this soon after a request on a connection that rested says that it had gone stale
)

LoadReport = dict[str, float]
ResponseSink = Callable[[bytes], bool]  # takes a piece of an answer; False: no more until it is eased


def parse_load_report(text: str) -> LoadReport | None:
    """`TEXT inflight=7, queue=2` as figures, in the module's words; what is not a figure is left out."""
    report: LoadReport = {}
    for part in text.replace(",", " ").split():
        name, equals, value = part.partition("=")
        if equals and LOAD_VALUE.fullmatch(value):
            report[REPORT_FIELDS.get(name, name)] = float(value)
    return report or None


class InvalidResponseError(Exception):
    """An answer that is none."""


@dataclass(slots=True, eq=False)
class Exchange:
    """One attempt or probe on its way."""

    head: bytes
    on_done: Callable[[AttemptResult, LoadReport | None, bytes], None]
    started_s: float = 0.0
    on_sent: Callable[[], None] = lambda: None  # its last byte went out
    on_response_started: Callable[[int | None, Callable[[], None]], ResponseSink | None] | None = None
    is_wanted: Callable[[], bool] = lambda: True  # asked right before its first byte goes out
    body: RequestBody | None = None
    chunked: bool = False
    next_segment: int = 0  # the number of the body's next piece
    request_sent: bool = False  # written whole: from here on it may run
    connection: UpstreamConnection | None = None
    connect_task: asyncio.Task[None] | None = None


@dataclass(slots=True, eq=False)
class UpstreamEndpoint:
    """A server's address, whether it may be sent to, and its idle connections, the latest used last."""

    host: str
    address: Address
    launched_ms: float | None
    available: bool
    idle_connections: list[UpstreamConnection] = field(default_factory=list)
    last_received_s: float = 0.0  # when it last said anything on any connection


@dataclass(slots=True, eq=False)
class DetachedUpstream:
    """A connection to a server taken off this process's loop, for another to go on with."""

    fd: int
    state: dict[str, Any]


DetachCallback = Callable[[DetachedUpstream | None], None]  # None: it ended meanwhile


class UpstreamConnection(asyncio.Protocol):
    """One connection to a server. It carries one exchange at a time."""

    def __init__(self, pool: UpstreamPool, endpoint: UpstreamEndpoint) -> None:
        self.pool, self.endpoint, self.address = pool, endpoint, endpoint.address
        self.launched_ms = endpoint.launched_ms  # the start of the server under which it was opened
        self.parser = httptools.HttpResponseParser(self)
        self.transport: asyncio.Transport | None = None
        self.exchange: Exchange | None = None
        self.idle_since_s = self.last_received_s = 0.0
        self._unsent_progress = (0, 0.0)  # what the server has not taken of a request, and since when
        self._request_started_s = self._idle_before_request_s = (
            0.0  # when it last got a request, and how long it had rested then
        )
        self._is_counted = self.write_blocked = self.reading_paused = False
        self._poller: select.poll | None = None  # asks the system of this connection alone
        self._pause_timer: asyncio.TimerHandle | None = None
        self._detach_callback: DetachCallback | None = None  # it is being taken off the loop
        self._restoring = False
        self._reset()

    def _reset(self) -> None:
        self.head_bytes = 0
        self._head_buffer = bytearray()  # the answer's first bytes, up to the end of its head
        self.chunk_tracker: ChunkTracker | None = (
            None  # where a long answer in chunks stands; else it can't be moved
        )
        self._reset_response()

    def _reset_response(self) -> None:
        self.response_body = bytearray()
        self.response_bytes = 0
        self.content_length: int | None = None
        self.sink: ResponseSink | None = None
        self.load_report: LoadReport | None = None
        self.not_started = self.has_framing = self.complete = self.head_complete = self.keep_alive = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        # A cast: the transports of uvloop are none of asyncio's classes.
        self.transport = cast(asyncio.Transport, transport)
        # Guards memory, the system's and that of the pieces, while an answer waits for a slow caller.
        sock = transport.get_extra_info("socket")
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
        self._poller = select.poll()
        self._poller.register(sock.fileno(), select.POLLIN | select.POLLRDHUP)
        self._is_counted = True
        self.pool.open_count += 1

    def is_usable(self) -> bool:
        """Open, and silent. Asked of the system: the loop may not have read yet that the server has closed or
        reset it, and a request that is written after that is lost."""
        if self.transport is None or self.transport.is_closing():
            return False
        return self._poller is not None and not self._poller.poll(0)

    def send(self, exchange: Exchange) -> None:
        assert self.transport is not None
        self._reset()
        self._request_started_s = self.pool.loop.time()
        self._unsent_progress = (0, self._request_started_s)
        self._idle_before_request_s = (
            self._request_started_s - self.idle_since_s if self.idle_since_s else 0.0
        )
        self.exchange, exchange.connection = exchange, self
        head, exchange.head = exchange.head, b""  # never sent again from here; Guards memory meanwhile
        self._send_available(head)

    def _send_available(self, start: bytes = b"") -> None:
        """Write `start`, and behind it what there is of the request's body, as far as the server takes it. The first
        bytes go in one piece, as one call of the system and, where they are few, one segment."""
        exchange = self.exchange
        while (
            exchange is not None
            and not exchange.request_sent
            and not self.write_blocked
            and self.transport is not None
        ):
            body = exchange.body
            piece = body.segment(exchange.next_segment) if body is not None else None
            if body is not None and piece is not None:
                exchange.next_segment += 1
                if exchange.chunked:
                    self.transport.write(b"%b%x\r\n%b\r\n" % (start, len(piece), piece))
                else:
                    self.transport.write(start + piece if start else piece)
                start = b""
            elif body is None or body.complete:
                rest = start + b"0\r\n\r\n" if exchange.chunked else start
                if rest:
                    self.transport.write(rest)
                    start = b""
                exchange.request_sent = True
                exchange.on_sent()
                if body is not None:
                    body.on_data = None
            else:
                body.on_data = self._send_available
                break
        if start and self.transport is not None:
            self.transport.write(start)

    def pause_writing(self) -> None:
        self.write_blocked = True

    def resume_writing(self) -> None:
        self.write_blocked = False
        self._send_available()

    def fail_if_write_stalled(self) -> None:
        """Guards a caller that sends a long body against a server that does not read it: no deadline runs
        before the request's last byte."""
        now = self.pool.loop.time()
        left = self.transport.get_write_buffer_size() if self.transport is not None else 0
        if not self.write_blocked or left != self._unsent_progress[0]:
            self._unsent_progress = (left, now)
        elif now - self._unsent_progress[1] >= WRITE_STALL_TIMEOUT_S:
            log.info("%s:%d takes nothing of a request", *self.address)
            self._finish_exchange(AttemptResult.CONNECT_FAILED, keep=False)

    def release_exchange(self) -> None:
        """What this connection carries is over, as far as it goes."""
        exchange, self.exchange = self.exchange, None
        self.sink = None
        if exchange is not None and exchange.body is not None:
            if exchange.body.on_data == self._send_available:
                exchange.body.on_data = None
            exchange.body.rewind()

    def close(self) -> None:
        if self.transport is not None:
            self.transport.abort()

    # ------------------------------------------------------------ what arrives

    def pause_response(self) -> None:
        """Backpressure: the caller takes the answer more slowly than the server gives it."""
        if not self.reading_paused and self.transport is not None and not self.transport.is_closing():
            self.reading_paused = True
            self.transport.pause_reading()

    def resume_response(self) -> None:
        if self.reading_paused:
            self.reading_paused = False
            self.last_received_s = self.pool.loop.time()
            if self.transport is not None and not self.transport.is_closing():
                self.transport.resume_reading()

    def data_received(self, data: bytes) -> None:
        self.last_received_s = self.endpoint.last_received_s = self.pool.loop.time()
        if self.exchange is None:  # Guards the next attempt against bytes that nobody asked for
            self._discard()
            return
        if not self.head_complete:
            self.head_bytes += len(data)
        surplus, heads = False, not self.head_complete
        try:
            self.parser.feed_data(data)
            if not self.head_complete and self.head_bytes > MAX_RESPONSE_HEAD_BYTES:
                raise InvalidResponseError("a head without end")
        except (httptools.HttpParserError, httptools.HttpParserUpgrade, InvalidResponseError) as error:
            if not self.complete:
                self._fail_invalid_response(error)
                return
            surplus = True  # the answer is whole; what stands behind it is nobody's, and ends the connection
        if not self.complete:
            self._track_chunks(data, heads)
        if self.complete:
            # Guards the next attempt: an answer that came before the whole request leaves a rest on its way.
            early = self.transport is None or self.transport.get_write_buffer_size() > 0
            self._finish_response(keep=self.keep_alive and not early and not surplus)
        elif self._pause_timer is None:
            self._pause_timer = self.pool.loop.call_later(
                RESPONSE_PAUSE_TIMEOUT_S, self._check_response_pause
            )

    def _track_chunks(self, data: bytes, heads: bool) -> None:
        """Keep track of where an answer in chunks stands, in case it has to go on in another process."""
        if heads:
            self._head_buffer += data
            if not self.head_complete:
                return
            data, self._head_buffer = bytes(self._head_buffer), bytearray()
            if self.has_framing and self.content_length is None:
                self.chunk_tracker = ChunkTracker()
        if self.chunk_tracker is not None:
            try:
                self.chunk_tracker.feed(data)
            except ChunkedEncodingError as error:
                log.debug("%s: %s", self.address, error)
                self.chunk_tracker = None

    # ----------------------------------------------------------------- moving

    @property
    def detachable(self) -> bool:
        """Whether another process could go on with the long answer that comes here."""
        if self.transport is None or self.transport.is_closing() or self._detach_callback is not None:
            return False
        if self.sink is None or self.complete or self.exchange is None or not self.exchange.request_sent:
            return False
        return (
            self.content_length is not None
            or not self.has_framing
            or (self.chunk_tracker is not None and self.chunk_tracker.in_body)
        )

    def detach(self, on_detached: DetachCallback) -> None:
        """Take it off the loop; nothing is read from here on. `done` gets it once the loop lets go of it."""
        assert self.transport is not None
        self._detach_callback = on_detached
        self.transport.abort()

    def _finish_detach(self, exc: Exception | None) -> None:
        done, self._detach_callback = self._detach_callback, None
        assert done is not None
        assert self.transport is not None
        transport, self.transport = self.transport, None
        state = {
            "host": self.endpoint.host,
            "dial": list(self.address),
            "launched": self.endpoint.launched_ms,
            "rested_s": self.pool.loop.time() - self.idle_since_s,
            "size": self.response_bytes,
            "left": None if self.content_length is None else self.content_length - self.response_bytes,
            "chunks": self.chunk_tracker.resume_prefix().decode("latin-1")
            if self.chunk_tracker is not None
            else None,
            "report": self.load_report,
        }
        self.release_exchange()
        if self._pause_timer is not None:
            self._pause_timer.cancel()
            self._pause_timer = None
        del self.parser
        try:
            if exc is not None:
                raise OSError("it ended")
            fd = os.dup(transport.get_extra_info("socket").fileno())
        except OSError:
            done(None)
            return
        done(DetachedUpstream(fd, state))

    def restore(self, exchange: Exchange, state: dict[str, Any], sink: ResponseSink) -> None:
        """Before it has a transport: stand where another process stood in the answer."""
        self._reset()
        head = b"HTTP/1.1 200 OK\r\nConnection: close\r\n"
        if state["left"] is not None:
            head += b"Content-Length: %d\r\n" % int(state["left"])
        elif state["chunks"] is not None:
            head += b"Transfer-Encoding: chunked\r\n"
        start = head + b"\r\n" + (state["chunks"] or "").encode("latin-1")
        self._restoring = True  # nothing of what the parser finds in it is the answer's
        self.parser.feed_data(start)
        self._restoring = False
        self._track_chunks(start, heads=True)
        self.head_bytes, self.response_bytes, self.sink = 1, int(state["size"]), sink
        if self.content_length is not None:
            self.content_length += self.response_bytes  # of the whole answer, as where it began
        self.load_report = state["report"]
        self.exchange, exchange.connection = exchange, self
        self.last_received_s = self.pool.loop.time()
        self._pause_timer = self.pool.loop.call_later(RESPONSE_PAUSE_TIMEOUT_S, self._check_response_pause)

    def _fail_invalid_response(self, why: Exception | str) -> None:
        """It has run, and its answer is none."""
        self.pool.invalid_response_count += 1
        self.pool.last_invalid_response = f"{self.endpoint.address}: {why}"
        self._finish_exchange(AttemptResult.RESET, keep=False)

    def _check_response_pause(self) -> None:
        """Guards a repeatable request, and the connection, against an answer that begins and never ends."""
        self._pause_timer = None
        if self.exchange is None:
            return
        left = (
            self.last_received_s
            + (RESPONSE_PAUSE_TIMEOUT_S if self.sink is None else STREAM_PAUSE_TIMEOUT_S)
            - self.pool.loop.time()
        )
        if self.reading_paused:
            left = STREAM_PAUSE_TIMEOUT_S
        if left > 0.01:
            self._pause_timer = self.pool.loop.call_later(left, self._check_response_pause)
        elif self.is_usable():
            self._fail_invalid_response("an answer that does not end")
        else:  # there is more to read, so it is this node that is late
            self._pause_timer = self.pool.loop.call_later(
                RESPONSE_PAUSE_TIMEOUT_S / 4, self._check_response_pause
            )

    def on_header(self, name: bytes, value: bytes) -> None:
        if self.head_complete:
            return  # a trailer, which says nothing that is of use here
        name = name.lower()
        if name == b"server-load":
            self.load_report = parse_load_report(value.decode("latin-1")) or self.load_report
        elif name == b"not-started":
            self.not_started = value.strip() == b"1"
        elif name == b"content-length":
            self.has_framing = True
            self.content_length = int(value)
            if self.content_length > MAX_RESPONSE_BYTES:
                raise InvalidResponseError("an answer too long")
        elif name == b"transfer-encoding":
            self.has_framing = True
            if value.strip().lower() != b"chunked":
                raise InvalidResponseError("an unknown framing")

    def on_headers_complete(self) -> None:
        # An interim answer is no answer yet: what follows counts as one head with it.
        status = self.parser.get_status_code()
        self.head_complete = status >= 200
        if (
            status == 200
            and self.content_length is not None
            and self.content_length > STREAM_THRESHOLD_BYTES
            and not self._restoring
        ):
            self._start_streaming()

    def on_body(self, data: bytes) -> None:
        if self._restoring:
            return
        self.response_bytes += len(data)
        if self.response_bytes > MAX_RESPONSE_BYTES:
            raise InvalidResponseError("an answer without end")
        if self.sink is not None:
            if not self.sink(data):
                self.pause_response()
        elif self.exchange is not None and self.parser.get_status_code() == 200:  # others are not passed on
            self.response_body += data
            if self.response_bytes > STREAM_THRESHOLD_BYTES:
                self._start_streaming()

    def _start_streaming(self) -> None:
        """It is too long to be held: its caller gets it as it comes."""
        exchange = self.exchange
        if exchange is None or exchange.on_response_started is None:
            raise InvalidResponseError("a long answer that nobody asked for")
        if not exchange.request_sent:
            raise InvalidResponseError("an answer to half a request")
        sink = exchange.on_response_started(self.content_length, self.resume_response)
        if sink is None:
            raise InvalidResponseError("an answer that came too late")
        self.sink, body, self.response_body = sink, bytes(self.response_body), bytearray()
        if body and not sink(body):
            self.pause_response()

    def on_message_begin(self) -> None:
        if self.complete:
            raise InvalidResponseError("a second answer")

    def on_message_complete(self) -> None:
        if self.parser.get_status_code() < 200:  # an interim answer; the final one follows
            self._reset_response()
        else:
            # Asked here: once the parser has returned it has forgotten the answer and always says no.
            self.complete, self.keep_alive = True, self.parser.should_keep_alive()

    def eof_received(self) -> None:
        if self.exchange is not None and self.head_complete and not self.has_framing:
            self._finish_response(keep=False)  # such an answer ends with its connection

    def connection_lost(self, exc: Exception | None) -> None:
        if self._is_counted:
            self._is_counted = False
            self.pool.open_count -= 1
        if self._detach_callback is not None:
            self._finish_detach(exc)
            return
        self._discard()
        self.transport = None
        now = self.pool.loop.time()
        # A reset, not an end: whoever closes a connection in an orderly way has told so before.
        reset = self.exchange is not None and isinstance(exc, ConnectionError) and not self.head_bytes
        if (
            reset
            and self._idle_before_request_s > 0.0
            and now - self._request_started_s <= STALE_RESET_WINDOW_S
        ):
            self.pool.record_stale(self._idle_before_request_s)
        # It was written to, so it may have run, whatever the break looks like from here.
        self._finish_exchange(AttemptResult.RESET, keep=False)
        # Guards memory: the parser and this object hold one another, and the collector comes seldom.
        del self.parser

    def _finish_response(self, keep: bool) -> None:
        status = self.parser.get_status_code()
        if status in (503, 504) and self.not_started:
            if not self.idle_since_s:  # its first
                self.pool.record_rejection()
            self._finish_exchange(AttemptResult.OVERLOADED, keep)
        elif status == 200 and self.exchange is not None and self.exchange.request_sent:
            self._finish_exchange(AttemptResult.OK, keep)
        else:
            self._finish_exchange(AttemptResult.ERROR, keep)

    def _finish_exchange(self, result: AttemptResult, keep: bool) -> None:
        exchange = self.exchange
        self.release_exchange()
        if self._pause_timer is not None:
            self._pause_timer.cancel()
            self._pause_timer = None
        if exchange is not None and not exchange.request_sent:
            keep = False
            if result is not AttemptResult.OVERLOADED:
                # A server begins a request at its last byte: whatever ended this one before, it never ran.
                result = AttemptResult.CONNECT_FAILED
        if not keep:
            self.close()
        if exchange is None:
            return
        self.resume_response()
        if keep:  # before the outcome is told: what follows from it may use the connection at once
            self.pool.release(self)
        whole = result is AttemptResult.OK
        exchange.on_done(result, self.load_report, bytes(self.response_body) if whole else b"")

    def _discard(self) -> None:
        self.pool.remove_idle(self)
        self.close()
