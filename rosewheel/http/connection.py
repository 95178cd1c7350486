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
from rosewheel.http.body import Body
from rosewheel.http.framing import Chunks, FramingError
from rosewheel.policy.events import AttemptResult
from rosewheel.policy.settings_codec import REPORT_FIELDS

if TYPE_CHECKING:
    from rosewheel.http.upstream import Upstream

log = logging.getLogger("rosewheel.equipos")

BODY_BYTES = 32 << 20  # the longest answer; Guards callers against a server that sends without end
BEGIN_BYTES = 64 * 1024  # a longer answer is passed on as it comes
READ_BYTES = 64 * 1024  # what the system may hold of an answer that is not read; as much comes at a time
HEAD_BYTES = 16 * 1024  # of an answer, those of the interim ones before it included
PARTIAL_S = 0.8  # an answer that has begun and pauses for so long is no good
STALL_S = 15.0  # the same of one that is being passed on: cutting it off is the last resort
WRITE_STALL_S = 6.0  # how long a server may take nothing at all of a request that is being written
FIGURE = re.compile(r"[0-9]{1,6}(\.[0-9]{1,9})?")  # a load is no more than that
STALE_S = 0.02  # a reset this soon after a request on a connection that rested says that it had gone stale

Report = dict[str, float]
Sink = Callable[[bytes], bool]  # takes a piece of an answer; False: no more until it is eased


def report_from(text: str) -> Report | None:
    """`TEXT inflight=7, queue=2` as figures, in the module's words; what is not a figure is left out."""
    report: Report = {}
    for part in text.replace(",", " ").split():
        name, equals, value = part.partition("=")
        if equals and FIGURE.fullmatch(value):
            report[REPORT_FIELDS.get(name, name)] = float(value)
    return report or None


class SpoiltError(Exception):
    """An answer that is none."""


@dataclass(slots=True, eq=False)
class Exchange:
    """One attempt or probe on its way."""

    head: bytes
    done: Callable[[AttemptResult, Report | None, bytes], None]
    began_s: float = 0.0
    wrote: Callable[[], None] = lambda: None  # its last byte went out
    begin: Callable[[int | None, Callable[[], None]], Sink | None] | None = None
    wanted: Callable[[], bool] = lambda: True  # asked right before its first byte goes out
    body: Body | None = None
    chunked: bool = False
    at: int = 0  # the number of the body's next piece
    sent: bool = False  # written whole: from here on it may run
    conn: Connection | None = None
    task: asyncio.Task[None] | None = None


@dataclass(slots=True, eq=False)
class Pool:
    """A server's address, whether it may be sent to, and its idle connections, the latest used last."""

    host: str
    dial: Address
    launched_ms: float | None
    up: bool
    idle: list[Connection] = field(default_factory=list)
    heard_s: float = 0.0  # when it last said anything on any connection


@dataclass(slots=True, eq=False)
class Lifted:
    """A connection to a server taken off this process's loop, for another to go on with."""

    fd: int
    state: dict[str, Any]


Lift = Callable[[Lifted | None], None]  # None: it ended meanwhile


class Connection(asyncio.Protocol):
    """One connection to a server. It carries one exchange at a time."""

    def __init__(self, owner: Upstream, pool: Pool) -> None:
        self.owner, self.pool, self.dial = owner, pool, pool.dial
        self.launched_ms = pool.launched_ms  # the start of the server under which it was opened
        self.parser = httptools.HttpResponseParser(self)
        self.transport: asyncio.Transport | None = None
        self.exchange: Exchange | None = None
        self.idle_since = self.heard_s = 0.0
        self.untaken = (0, 0.0)  # what the server has not taken of a request, and since when
        self.sent_s = self.rested_s = 0.0  # when it last got a request, and how long it had rested then
        self.counted = self.choked = self.paused = False
        self.poller: select.poll | None = None  # asks the system of this connection alone
        self.overdue: asyncio.TimerHandle | None = None
        self.lifted: Lift | None = None  # it is being taken off the loop
        self.resuming = False
        self._fresh()

    def _fresh(self) -> None:
        self.head_bytes = 0
        self.begun_with = bytearray()  # the answer's first bytes, up to the end of its head
        self.chunks: Chunks | None = None  # where a long answer in chunks stands; else it can't be moved
        self._next_head()

    def _next_head(self) -> None:
        self.body = bytearray()
        self.size = 0
        self.length: int | None = None
        self.sink: Sink | None = None
        self.report: Report | None = None
        self.not_started = self.framed = self.complete = self.headed = self.keep_alive = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        # A cast: the transports of uvloop are none of asyncio's classes.
        self.transport = cast(asyncio.Transport, transport)
        # Guards memory, the system's and that of the pieces, while an answer waits for a slow caller.
        sock = transport.get_extra_info("socket")
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, READ_BYTES)
        self.poller = select.poll()
        self.poller.register(sock.fileno(), select.POLLIN | select.POLLRDHUP)
        self.counted = True
        self.owner.opened += 1

    def usable(self) -> bool:
        """Open, and silent. Asked of the system: the loop may not have read yet that the server has closed or
        reset it, and a request that is written after that is lost."""
        if self.transport is None or self.transport.is_closing():
            return False
        return self.poller is not None and not self.poller.poll(0)

    def send(self, exchange: Exchange) -> None:
        assert self.transport is not None
        self._fresh()
        self.sent_s = self.owner.loop.time()
        self.untaken = (0, self.sent_s)
        self.rested_s = self.sent_s - self.idle_since if self.idle_since else 0.0
        self.exchange, exchange.conn = exchange, self
        head, exchange.head = exchange.head, b""  # never sent again from here; Guards memory meanwhile
        self._feed(head)

    def _feed(self, start: bytes = b"") -> None:
        """Write `start`, and behind it what there is of the request's body, as far as the server takes it. The first
        bytes go in one piece, as one call of the system and, where they are few, one segment."""
        exchange = self.exchange
        while exchange is not None and not exchange.sent and not self.choked and self.transport is not None:
            body = exchange.body
            piece = body.piece(exchange.at) if body is not None else None
            if body is not None and piece is not None:
                exchange.at += 1
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
                exchange.sent = True
                exchange.wrote()
                if body is not None:
                    body.reader = None
            else:
                body.reader = self._feed
                break
        if start and self.transport is not None:
            self.transport.write(start)

    def pause_writing(self) -> None:
        self.choked = True

    def resume_writing(self) -> None:
        self.choked = False
        self._feed()

    def give_up_if_untaken(self) -> None:
        """Guards a caller that sends a long body against a server that does not read it: no deadline runs
        before the request's last byte."""
        now = self.owner.loop.time()
        left = self.transport.get_write_buffer_size() if self.transport is not None else 0
        if not self.choked or left != self.untaken[0]:
            self.untaken = (left, now)
        elif now - self.untaken[1] >= WRITE_STALL_S:
            log.info("%s:%d takes nothing of a request", *self.dial)
            self._end(AttemptResult.CONNECT_FAILED, keep=False)

    def forget(self) -> None:
        """What this connection carries is over, as far as it goes."""
        exchange, self.exchange = self.exchange, None
        self.sink = None
        if exchange is not None and exchange.body is not None:
            if exchange.body.reader == self._feed:
                exchange.body.reader = None
            exchange.body.again()

    def close(self) -> None:
        if self.transport is not None:
            self.transport.abort()

    # ------------------------------------------------------------ what arrives

    def hold(self) -> None:
        """Backpressure: the caller takes the answer more slowly than the server gives it."""
        if not self.paused and self.transport is not None and not self.transport.is_closing():
            self.paused = True
            self.transport.pause_reading()

    def ease(self) -> None:
        if self.paused:
            self.paused = False
            self.heard_s = self.owner.loop.time()
            if self.transport is not None and not self.transport.is_closing():
                self.transport.resume_reading()

    def data_received(self, data: bytes) -> None:
        self.heard_s = self.pool.heard_s = self.owner.loop.time()
        if self.exchange is None:  # Guards the next attempt against bytes that nobody asked for
            self._leave_pool()
            return
        if not self.headed:
            self.head_bytes += len(data)
        surplus, heads = False, not self.headed
        try:
            self.parser.feed_data(data)
            if not self.headed and self.head_bytes > HEAD_BYTES:
                raise SpoiltError("a head without end")
        except (httptools.HttpParserError, httptools.HttpParserUpgrade, SpoiltError) as error:
            if not self.complete:
                self._spoilt(error)
                return
            surplus = True  # the answer is whole; what stands behind it is nobody's, and ends the connection
        if not self.complete:
            self._follow(data, heads)
        if self.complete:
            # Guards the next attempt: an answer that came before the whole request leaves a rest on its way.
            early = self.transport is None or self.transport.get_write_buffer_size() > 0
            self._answered(keep=self.keep_alive and not early and not surplus)
        elif self.overdue is None:
            self.overdue = self.owner.loop.call_later(PARTIAL_S, self._overdue)

    def _follow(self, data: bytes, heads: bool) -> None:
        """Keep track of where an answer in chunks stands, in case it has to go on in another process."""
        if heads:
            self.begun_with += data
            if not self.headed:
                return
            data, self.begun_with = bytes(self.begun_with), bytearray()
            if self.framed and self.length is None:
                self.chunks = Chunks()
        if self.chunks is not None:
            try:
                self.chunks.feed(data)
            except FramingError as error:
                log.debug("%s: %s", self.dial, error)
                self.chunks = None

    # ----------------------------------------------------------------- moving

    @property
    def movable(self) -> bool:
        """Whether another process could go on with the long answer that comes here."""
        if self.transport is None or self.transport.is_closing() or self.lifted is not None:
            return False
        if self.sink is None or self.complete or self.exchange is None or not self.exchange.sent:
            return False
        return self.length is not None or not self.framed or (self.chunks is not None and self.chunks.midway)

    def lift(self, done: Lift) -> None:
        """Take it off the loop; nothing is read from here on. `done` gets it once the loop lets go of it."""
        assert self.transport is not None
        self.lifted = done
        self.transport.abort()

    def _hand(self, exc: Exception | None) -> None:
        done, self.lifted = self.lifted, None
        assert done is not None
        assert self.transport is not None
        transport, self.transport = self.transport, None
        state = {
            "host": self.pool.host,
            "dial": list(self.dial),
            "launched": self.pool.launched_ms,
            "rested_s": self.owner.loop.time() - self.idle_since,
            "size": self.size,
            "left": None if self.length is None else self.length - self.size,
            "chunks": self.chunks.resume().decode("latin-1") if self.chunks is not None else None,
            "report": self.report,
        }
        self.forget()
        if self.overdue is not None:
            self.overdue.cancel()
            self.overdue = None
        del self.parser
        try:
            if exc is not None:
                raise OSError("it ended")
            fd = os.dup(transport.get_extra_info("socket").fileno())
        except OSError:
            done(None)
            return
        done(Lifted(fd, state))

    def resume(self, exchange: Exchange, state: dict[str, Any], sink: Sink) -> None:
        """Before it has a transport: stand where another process stood in the answer."""
        self._fresh()
        head = b"HTTP/1.1 200 OK\r\nConnection: close\r\n"
        if state["left"] is not None:
            head += b"Content-Length: %d\r\n" % int(state["left"])
        elif state["chunks"] is not None:
            head += b"Transfer-Encoding: chunked\r\n"
        start = head + b"\r\n" + (state["chunks"] or "").encode("latin-1")
        self.resuming = True  # nothing of what the parser finds in it is the answer's
        self.parser.feed_data(start)
        self.resuming = False
        self._follow(start, heads=True)
        self.head_bytes, self.size, self.sink = 1, int(state["size"]), sink
        if self.length is not None:
            self.length += self.size  # of the whole answer, as where it began
        self.report = state["report"]
        self.exchange, exchange.conn = exchange, self
        self.heard_s = self.owner.loop.time()
        self.overdue = self.owner.loop.call_later(PARTIAL_S, self._overdue)

    def _spoilt(self, why: Exception | str) -> None:
        """It has run, and its answer is none."""
        self.owner.spoilt += 1
        self.owner.why = f"{self.pool.dial}: {why}"
        self._end(AttemptResult.RESET, keep=False)

    def _overdue(self) -> None:
        """Guards a repeatable request, and the connection, against an answer that begins and never ends."""
        self.overdue = None
        if self.exchange is None:
            return
        left = self.heard_s + (PARTIAL_S if self.sink is None else STALL_S) - self.owner.loop.time()
        if self.paused:
            left = STALL_S
        if left > 0.01:
            self.overdue = self.owner.loop.call_later(left, self._overdue)
        elif self.usable():
            self._spoilt("an answer that does not end")
        else:  # there is more to read, so it is this node that is late
            self.overdue = self.owner.loop.call_later(PARTIAL_S / 4, self._overdue)

    def on_header(self, name: bytes, value: bytes) -> None:
        if self.headed:
            return  # a trailer, which says nothing that is of use here
        name = name.lower()
        if name == b"server-load":
            self.report = report_from(value.decode("latin-1")) or self.report
        elif name == b"not-started":
            self.not_started = value.strip() == b"1"
        elif name == b"content-length":
            self.framed = True
            self.length = int(value)
            if self.length > BODY_BYTES:
                raise SpoiltError("an answer too long")
        elif name == b"transfer-encoding":
            self.framed = True
            if value.strip().lower() != b"chunked":
                raise SpoiltError("an unknown framing")

    def on_headers_complete(self) -> None:
        # An interim answer is no answer yet: what follows counts as one head with it.
        status = self.parser.get_status_code()
        self.headed = status >= 200
        if status == 200 and self.length is not None and self.length > BEGIN_BYTES and not self.resuming:
            self._begin()

    def on_body(self, data: bytes) -> None:
        if self.resuming:
            return
        self.size += len(data)
        if self.size > BODY_BYTES:
            raise SpoiltError("an answer without end")
        if self.sink is not None:
            if not self.sink(data):
                self.hold()
        elif self.exchange is not None and self.parser.get_status_code() == 200:  # others are not passed on
            self.body += data
            if self.size > BEGIN_BYTES:
                self._begin()

    def _begin(self) -> None:
        """It is too long to be held: its caller gets it as it comes."""
        exchange = self.exchange
        if exchange is None or exchange.begin is None:
            raise SpoiltError("a long answer that nobody asked for")
        if not exchange.sent:
            raise SpoiltError("an answer to half a request")
        sink = exchange.begin(self.length, self.ease)
        if sink is None:
            raise SpoiltError("an answer that came too late")
        self.sink, body, self.body = sink, bytes(self.body), bytearray()
        if body and not sink(body):
            self.hold()

    def on_message_begin(self) -> None:
        if self.complete:
            raise SpoiltError("a second answer")

    def on_message_complete(self) -> None:
        if self.parser.get_status_code() < 200:  # an interim answer; the final one follows
            self._next_head()
        else:
            # Asked here: once the parser has returned it has forgotten the answer and always says no.
            self.complete, self.keep_alive = True, self.parser.should_keep_alive()

    def eof_received(self) -> None:
        if self.exchange is not None and self.headed and not self.framed:
            self._answered(keep=False)  # such an answer ends with its connection

    def connection_lost(self, exc: Exception | None) -> None:
        if self.counted:
            self.counted = False
            self.owner.opened -= 1
        if self.lifted is not None:
            self._hand(exc)
            return
        self._leave_pool()
        self.transport = None
        now = self.owner.loop.time()
        # A reset, not an end: whoever closes a connection in an orderly way has told so before.
        reset = self.exchange is not None and isinstance(exc, ConnectionError) and not self.head_bytes
        if reset and self.rested_s > 0.0 and now - self.sent_s <= STALE_S:
            self.owner.stale(self.rested_s)
        # It was written to, so it may have run, whatever the break looks like from here.
        self._end(AttemptResult.RESET, keep=False)
        # Guards memory: the parser and this object hold one another, and the collector comes seldom.
        del self.parser

    def _answered(self, keep: bool) -> None:
        status = self.parser.get_status_code()
        if status in (503, 504) and self.not_started:
            if not self.idle_since:  # its first
                self.owner.refused()
            self._end(AttemptResult.OVERLOADED, keep)
        elif status == 200 and self.exchange is not None and self.exchange.sent:
            self._end(AttemptResult.OK, keep)
        else:
            self._end(AttemptResult.ERROR, keep)

    def _end(self, result: AttemptResult, keep: bool) -> None:
        exchange = self.exchange
        self.forget()
        if self.overdue is not None:
            self.overdue.cancel()
            self.overdue = None
        if exchange is not None and not exchange.sent:
            keep = False
            if result is not AttemptResult.OVERLOADED:
                # A server begins a request at its last byte: whatever ended this one before, it never ran.
                result = AttemptResult.CONNECT_FAILED
        if not keep:
            self.close()
        if exchange is None:
            return
        self.ease()
        if keep:  # before the outcome is told: what follows from it may use the connection at once
            self.owner.release(self)
        whole = result is AttemptResult.OK
        exchange.done(result, self.report, bytes(self.body) if whole else b"")

    def _leave_pool(self) -> None:
        self.owner.wake(self)
        self.close()
