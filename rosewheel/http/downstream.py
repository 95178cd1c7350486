"""One caller's connection: requests are read, each gets its one answer, and what is open can move."""

from __future__ import annotations

import asyncio
import logging
import os
import select
import socket
import struct
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any, cast

from rosewheel.http.body import Body
from rosewheel.http.call import BadRequestError, Call, origin_form
from rosewheel.http.reader import WAITING, Reader

if TYPE_CHECKING:
    from rosewheel.http.callers import Server

log = logging.getLogger("rosewheel.callers")

WINDOW_BYTES = 64 * 1024  # of a body that passes through, and of an answer, what waits for who is slow
PARTIAL_S = 2.6  # how long a head may take to arrive, a body may pause, and a new connection may say nothing
TAKE_S = 30.0  # how long a caller may take nothing at all of its answer
KEPT_S = 5.0  # how long a connection that asks nothing more is kept
LINGER_CLOSE_S = 0.5  # how long what still comes of a refused body may hold the connection

REASONS = {
    200: "OK",
    400: "Bad Request",
    405: "Method Not Allowed",
    408: "Request Timeout",
    409: "Conflict",
    413: "Content Too Large",
    417: "Expectation Failed",
    431: "Request Header Fields Too Large",
    500: "Internal Server Error",
    502: "Bad Gateway",
    503: "Service Unavailable",
    504: "Gateway Timeout",
}


@dataclass(slots=True, eq=False)
class Lifted:
    """A caller's connection taken off this process's loop, for another to go on with."""

    fd: int
    held: (
        bytes  # of what was written, what the system has not taken yet; then what was read of half a request
    )
    state: dict[str, Any]
    call: Call | None  # whose long answer is being passed on


class Caller(Reader):
    """One caller's connection."""

    def __init__(self, server: Server) -> None:
        super().__init__(server)
        self.ending = False  # the connection closes once the rest of a request has come
        self.chunked = False  # the answer that is being passed on goes in chunks
        self.eased: Callable[[], None] | None = None  # where the rest of that answer waits
        self.taken = (0, 0.0)  # what was not taken of it yet, and since when
        self.surplus = False
        self.choked = self.paused = False
        self.recent: deque[bytes] = deque()  # what was written last, at least as far as it is not sent
        self.recent_bytes = 0
        self.lifted: Callable[[Lifted | None], None] | None = None  # it is being taken off the loop
        self.kept = False  # another process did not want it
        self._resumed = b""  # what an earlier process had not sent yet
        self._resumed_read = b""  # and what it had read of a request that is not whole
        self._resumed_close = False

    # ------------------------------------------------------------- connection

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        # A cast: the transports of uvloop are none of asyncio's classes.
        self.transport = cast(asyncio.Transport, transport)
        self.transport.set_write_buffer_limits(high=WINDOW_BYTES)
        self.server.joined(self)
        if self._resumed:
            unsent, self._resumed = self._resumed, b""
            self._put(unsent)
        if self._resumed_close:
            self.transport.close()
        elif self._resumed_read:
            read, self._resumed_read = self._resumed_read, b""
            self.data_received(read)

    def connection_lost(self, exc: Exception | None) -> None:
        self.server.left(self)
        if self.lifted is not None and self._hand(exc):
            return
        self.transport = None
        self._forget()
        # Guards memory: the parser and this object hold one another, and the collector comes seldom.
        del self.parser

    def _forget(self) -> None:
        """The requests of this connection are over, whatever has become of them."""
        for waiting in self.waiting:
            waiting.body.release()
        self.waiting.clear()
        if self.incoming is not None:
            self.incoming.body.release()
            self.incoming = None
        call, self.current = self.current, None
        if call is not None:
            self.server.gone(call)
            call.body.release()

    def eof_received(self) -> None:
        """It sends no more, and so has left, by the protocol: what waits here must not be sent on. The loop
        closes the connection once what was written has gone out, and that may take its time."""
        if self.lifted is None:
            self._forget()

    def forget_if_left(self) -> bool:
        """Guards equipos against work that nobody waits for: while its connection is not read, or the loop is
        late, the loop does not hear of a caller's end. The system knows of it, and is asked."""
        transport = self.transport
        if transport is None or transport.is_closing() or self.lifted is not None:
            return False
        if not self._ended():
            return False
        self._forget()
        if self.choked:  # it does not read what it is owed, either
            transport.abort()
        else:
            transport.close()
        return True

    def still_there(self) -> bool:
        return not self.forget_if_left()

    def _asked_of_system(self, events: int) -> int:
        """Which of these hold for this connection just now."""
        assert self.transport is not None
        poller = select.poll()
        poller.register(self.transport.get_extra_info("socket").fileno(), events)
        found = poller.poll(0)
        return found[0][1] if found else 0

    def _ended(self) -> bool:
        """Whether its end has come, by closing, by a reset or by the end of its sending."""
        return self._asked_of_system(select.POLLRDHUP) != 0

    def pause_writing(self) -> None:
        self.choked = True
        self._throttle()

    def resume_writing(self) -> None:
        self.choked = False
        if self.eased is not None:
            self.eased()
        self._throttle()

    def _throttle(self) -> None:
        """Guards memory against a caller that sends ahead of its answers, or sends and does not read, or
        sends a long body faster than a server takes it. Up to its share all is read, so that its end, which stands
        behind that, is heard while an attempt may still begin."""
        share = 0 if self.server.budget.spent else self.server.budget.share
        pause = self.choked or len(self.waiting) >= WAITING or self.ahead > share
        if self.incoming is not None and self.incoming.body.streamed:
            body = self.incoming.body
            pause = self.choked or body.held > (WINDOW_BYTES if body.read else max(WINDOW_BYTES, share))
            if self.paused and not pause:
                self.since = self.server.loop.time()  # what did not come meanwhile was not to come
        if self.transport is not None and not self.transport.is_closing() and pause is not self.paused:
            self.paused = pause
            if pause:
                self.transport.pause_reading()
                self.server.unread(self)
            else:
                self.transport.resume_reading()

    def _is_idle(self) -> bool:
        return self.current is None and not self.waiting and not self.partial and self.incoming is None

    def close_if_idle(self, for_s: float) -> bool:
        if self.transport is None or self.transport.is_closing() or not self._is_idle():
            return False
        if self.server.loop.time() - self.since < for_s:
            return False
        if self._asked_of_system(select.POLLIN) & select.POLLIN and not self._ended():
            return False  # a request has come, and the loop has not read it yet
        self.transport.close()
        return True

    def give_up(self) -> None:
        """Make room: what has come of this caller's request is too little for too long."""
        self._reject(BadRequestError(408, "the request did not arrive in time"))

    def abort(self) -> None:
        if self.transport is not None:
            self.transport.abort()

    def close_if_stuck(self, now: float) -> None:
        """Guards descriptors and memory against callers that say nothing, or half of something."""
        for_s = now - self.since
        if self.bad:
            if for_s >= PARTIAL_S:  # it does not even take its answer
                self.abort()
        elif self.current is not None and self.current.begun:
            self._close_if_untaken(now)
        elif self.incoming is not None and self.headed:
            if for_s >= PARTIAL_S and not self.paused:  # a body may take its time, but not stop
                self._reject(BadRequestError(408, "the body did not arrive in time"))
        elif self.current is None and for_s >= PARTIAL_S:
            if self.partial:
                self._reject(BadRequestError(408, "the request did not arrive in time"))
            elif not self.asked or self.surplus or for_s >= KEPT_S:
                self.close_if_idle(PARTIAL_S)

    def _close_if_untaken(self, now: float) -> None:
        """Guards an equipo's connection against a caller that reads nothing of its answer any more."""
        left = self.transport.get_write_buffer_size() if self.transport is not None else 0
        before, since = self.taken
        if not left or left != before:
            self.taken = (left, now)
        elif now - since >= TAKE_S:
            self.abort()

    # ----------------------------------------------------------------- moving

    @property
    def movable(self) -> bool:
        """Whether another process could go on from here: nothing of a request is half read or waits for its
        answer, and what was written and not sent is at hand."""
        transport = self.transport
        if transport is None or self.bad or self.surplus or self.kept or self.lifted is not None:
            return False
        if self.waiting or self.ending or self.expecting or self.offer:
            return False
        if (self.partial or self.incoming is not None) and not self.half_movable:
            return False
        if self.current is not None and not self.current.begun:
            return False
        unsent = transport.get_write_buffer_size()
        if transport.is_closing() and not (unsent and self.current is None):
            return False
        return unsent <= self.recent_bytes

    def lift(self, done: Callable[[Lifted | None], None]) -> None:
        """Take a movable connection off the loop; `done` gets it, or None where it ended meanwhile. From here on
        nothing is read from it or written to it. Only a loop whose transports keep what was not sent until
        `connection_lost` has returned will do; uvloop's do."""
        assert self.transport is not None
        self.lifted = done
        self._resumed_close = self.transport.is_closing()
        self.transport.abort()

    def _hand(self, exc: Exception | None) -> bool:
        """The loop lets go of it, and closes its own descriptor as soon as this returns."""
        done, self.lifted = self.lifted, None
        assert done is not None
        assert self.transport is not None
        unsent = self.transport.get_write_buffer_size()
        try:
            if exc is not None or unsent > self.recent_bytes:
                raise OSError("it ended")
            fd = os.dup(self.transport.get_extra_info("socket").fileno())
        except OSError:
            done(None)
            return False
        self.transport = None
        call, self.current = self.current, None
        if call is not None:
            call.body.release()
        state = {
            "old": self.old,
            "last": self.last,
            "chunked": self.chunked,
            "asked": self.asked,
            "closing": self._resumed_close,
            "unsent": unsent,
        }
        read = self.half_read()
        if self.incoming is not None:
            self.incoming.body.release()
            self.incoming = None
        del self.parser
        written = b"".join(self.recent)
        done(Lifted(fd, written[len(written) - unsent :] + read, state, call))
        return True

    def resume(self, state: dict[str, Any], held: bytes) -> None:
        """Before it has a transport: go on where another process left off."""
        unsent = held[: int(state["unsent"])]
        self._resumed_read = held[len(unsent) :]
        self.old, self.last = bool(state["old"]), bool(state["last"])
        self.chunked, self.asked = bool(state["chunked"]), bool(state["asked"])
        self._resumed, self._resumed_close = unsent, bool(state["closing"])

    def resume_answer(self, id: str, eased: Callable[[], None]) -> Call:
        """The same for a long answer in the middle of its passage."""
        call = Call(self, b"GET", b"/", [], Body(self.server.budget, lambda: None), 0, id, True, 0.0, True)
        call.body.complete = True
        self.current, self.eased = call, eased
        self.taken = (0, self.server.loop.time())
        return call

    def _put(self, data: bytes) -> None:
        """Write, and remember what the system has not taken."""
        assert self.transport is not None
        self.transport.write(data)
        self.recent.append(data)
        self.recent_bytes += len(data)
        unsent = self.transport.get_write_buffer_size()
        while self.recent and self.recent_bytes - len(self.recent[0]) >= unsent:
            self.recent_bytes -= len(self.recent.popleft())

    # ---------------------------------------------------------------- answers

    def _call(self, method: bytes, body: Body, length: int | None) -> Call:
        return Call(self, method, self.target, self.headers, body, length)

    def _took(self) -> None:
        self.server.halves.pop(self, None)
        if self.partial and not self.headed and self.current is None and not self.waiting:
            self.server.halves[self] = None  # the last one again
        self._next()

    def _woke(self) -> None:
        self.server.quiet.pop(self, None)

    def _next(self) -> None:
        while self.current is None and self.waiting and self.transport is not None:
            call = self.waiting.popleft()
            self.ahead -= call.body.size
            self._ask(call)
        if self.current is None and not self.waiting and self.transport is not None:
            incoming = self.incoming
            if incoming is not None and incoming.body.streamed and not incoming.asked:
                self._ask(incoming)  # it is too long to be held; its end follows
            elif self.expecting:
                self.expecting = False
                self._put(b"HTTP/1.1 100 Continue\r\n\r\n")
        if self.transport is not None:
            if self.ending and self.incoming is None:
                self.transport.close()
            if self._is_idle():
                self.server.quiet[self] = None
            self._throttle()

    def _ask(self, call: Call) -> None:
        call.asked = True
        if origin_form(call.target)[0].partition(b"?")[0] == b"/_health":
            # At a handover the node as such goes on, whichever of its processes is asked.
            healthy = self.server.healthy() and (self.server.handover or not self.server.draining)
            self._write(200 if healthy else 503, b"")
            call.body.release()
            return
        if self.surplus:
            self._write(503, b"")  # the module never sees it, so it is never sent
            call.body.release()
            return
        if self.transport is None or self.transport.is_closing() or self.forget_if_left():
            call.body.release()
            return
        self.current = call
        self.since = self.server.loop.time()
        try:
            self.server.asked(call)
        except BadRequestError as error:
            # What is asked next may be as bad, and at full speed; that costs it a new connection.
            self.current = None
            call.body.release()
            self._reject(error)
        except Exception:
            log.exception("a request failed")
            self.answer(call, 500, b"")

    def answer(self, call: Call, status: int, body: bytes, retry_after_ms: float = 0.0) -> None:
        if self.current is not call:
            return
        self.current = None
        self.since = self.server.loop.time()
        call.body.release()
        self._write(status, body, retry_after_ms)
        self._follow()

    def _follow(self) -> None:
        """An answer is out; go on with what came behind its request."""
        if self.waiting or self.incoming is not None:
            self.server.loop.call_soon(self._next)
        elif not self.partial:
            self.server.quiet[self] = None

    def begin(self, call: Call, length: int | None, eased: Callable[[], None]) -> None:
        """The head of a long answer; its pieces follow. `eased` is called when there is room for more."""
        if self.current is not call or self.transport is None:
            return
        call.begun, self.eased = True, eased
        self.taken = (0, self.server.loop.time())
        lines = ["HTTP/1.1 200 OK"]
        self.chunked = False
        if length is not None:
            lines.append(f"Content-Length: {length}")
        elif not self.old:
            self.chunked = True
            lines.append("Transfer-Encoding: chunked")
        else:
            self.last = True  # to such a caller only the end of the connection tells the answer's
        if (self.last or self.server.closing or self.surplus) and not self.waiting:
            self.last = True
            lines.append("Connection: close")
        self._put("\r\n".join(lines).encode() + b"\r\n\r\n")

    def piece(self, call: Call, data: bytes) -> bool:
        """A piece of it; False where no more should come before `eased` is called."""
        if self.current is not call or self.transport is None or self.transport.is_closing():
            return True
        self._put(b"%x\r\n%b\r\n" % (len(data), data) if self.chunked else data)
        return not self.choked

    def finish(self, call: Call) -> None:
        """The end of it."""
        if self.current is not call or self.transport is None:
            return
        self.current, self.eased = None, None
        self.since = self.server.loop.time()
        call.body.release()
        if self.chunked:
            self._put(b"0\r\n\r\n")
        if self.last and not self.waiting:
            self._end()
        else:
            self._follow()

    def cut(self, call: Call) -> None:
        """The rest of it will never come. The connection ends with a reset, so that also a caller that was
        promised no length can tell."""
        if self.current is not call or self.transport is None:
            return
        self.current, self.eased = None, None
        call.body.release()
        sock = self.transport.get_extra_info("socket")
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        self.transport.abort()

    def _end(self) -> None:
        """Close behind an answer, but not before the rest of its request: closing on that would reset the
        connection, and the answer might be lost with it."""
        if self.incoming is not None:
            self.ending = True
        elif self.transport is not None:
            self.transport.close()

    def _write(self, status: int, body: bytes, retry_after_ms: float = 0.0) -> None:
        if self.transport is None or self.transport.is_closing():
            return
        close = (self.last or self.server.closing or self.surplus) and not self.waiting
        head = f"HTTP/1.1 {status} {REASONS.get(status, '')}\r\nContent-Length: {len(body)}\r\n"
        if retry_after_ms > 0.0:
            head += f"Retry-After: {retry_after_ms / 1000.0:.3f}\r\n"
        if close:
            head += "Connection: close\r\n"
        self._put(head.encode() + b"\r\n" + body)
        if close:
            self._end()

    def _reject(self, error: BadRequestError) -> None:
        """What came is no request, and nothing after it on this connection is looked at, whatever waits here
        for an answer: who sends this can't be told from who sent that."""
        self.bad, self.partial = True, False
        self.server.halves.pop(self, None)
        self.since = self.server.loop.time()
        self.server.rejected += 1
        self.server.why = f"{error.status}: {error}"
        begun = self.current is not None and self.current.begun
        coming = self.incoming
        answered = coming is not None and coming.asked and self.current is not coming
        self._forget()
        self.ahead = 0
        transport = self.transport
        if transport is None or transport.is_closing():
            return
        if begun:  # in the middle of an answer there is no place for another one
            transport.abort()
            return
        if answered:  # a second answer would be taken for that to another request
            transport.close()
            return
        text = str(error).encode() + b"\n"
        head = f"HTTP/1.1 {error.status} {REASONS[error.status]}\r\nContent-Length: {len(text)}\r\n"
        transport.write(head.encode() + b"Connection: close\r\n\r\n" + text)
        if error.status not in (413, 431):
            transport.close()
            return
        # More is on its way. Closing on it at once would reset the connection, and the answer might be lost
        # with it; so it is left unread for a moment.
        transport.write_eof()
        transport.pause_reading()
        self.server.loop.call_later(LINGER_CLOSE_S, transport.abort)
