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

from rosewheel.http.body import RequestBody
from rosewheel.http.request import BadRequestError, DownstreamRequest, origin_form
from rosewheel.http.request_reader import MAX_PIPELINED_REQUESTS, RequestReader

if TYPE_CHECKING:
    from rosewheel.http.downstream_server import DownstreamServer

log = logging.getLogger("rosewheel.callers")

STREAM_WINDOW_BYTES = 64 * 1024  # of a body that passes through, and of an answer, what waits for who is slow
RECEIVE_TIMEOUT_S = (
    2.6  # how long a head may take to arrive, a body may pause, and a new connection may say nothing
)
SEND_STALL_TIMEOUT_S = 30.0  # how long a caller may take nothing at all of its answer
KEEP_ALIVE_TIMEOUT_S = 5.0  # how long a connection that asks nothing more is kept
LINGERING_CLOSE_S = 0.5  # how long what still comes of a refused body may hold the connection

REASON_PHRASES = {
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
class DetachedDownstream:
    """A caller's connection taken off this process's loop, for another to go on with."""

    fd: int
    pending_bytes: (
        bytes  # of what was written, what the system has not taken yet; then what was read of half a request
    )
    state: dict[str, Any]
    request: DownstreamRequest | None  # whose long answer is being passed on


class DownstreamConnection(RequestReader):
    """One caller's connection."""

    def __init__(self, server: DownstreamServer) -> None:
        super().__init__(server)
        self.closing_after_request = False  # the connection closes once the rest of a request has come
        self.response_chunked = False  # the answer that is being passed on goes in chunks
        self._on_writable: Callable[[], None] | None = None  # where the rest of that answer waits
        self._unsent_progress = (0, 0.0)  # what was not taken of it yet, and since when
        self.over_limit = False
        self.write_blocked = self.reading_paused = False
        self._recent_writes: deque[bytes] = (
            deque()
        )  # what was written last, at least as far as it is not sent
        self._recent_write_bytes = 0
        self._detach_callback: Callable[[DetachedDownstream | None], None] | None = (
            None  # it is being taken off the loop
        )
        self.detach_declined = False  # another process did not want it
        self._restored_unsent = b""  # what an earlier process had not sent yet
        self._restored_received = b""  # and what it had read of a request that is not whole
        self._restored_closing = False

    # ------------------------------------------------------------- connection

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        # A cast: the transports of uvloop are none of asyncio's classes.
        self.transport = cast(asyncio.Transport, transport)
        self.transport.set_write_buffer_limits(high=STREAM_WINDOW_BYTES)
        self.server.connection_opened(self)
        if self._restored_unsent:
            unsent, self._restored_unsent = self._restored_unsent, b""
            self._send(unsent)
        if self._restored_closing:
            self.transport.close()
        elif self._restored_received:
            read, self._restored_received = self._restored_received, b""
            self.data_received(read)

    def connection_lost(self, exc: Exception | None) -> None:
        self.server.connection_closed(self)
        if self._detach_callback is not None and self._finish_detach(exc):
            return
        self.transport = None
        self._release_requests()
        # Guards memory: the parser and this object hold one another, and the collector comes seldom.
        del self.parser

    def _release_requests(self) -> None:
        """The requests of this connection are over, whatever has become of them."""
        for waiting in self.queued_requests:
            waiting.body.release()
        self.queued_requests.clear()
        if self.incoming_request is not None:
            self.incoming_request.body.release()
            self.incoming_request = None
        call, self.active_request = self.active_request, None
        if call is not None:
            self.server.on_client_disconnected(call)
            call.body.release()

    def eof_received(self) -> None:
        """It sends no more, and so has left, by the protocol: what waits here must not be sent on. The loop
        closes the connection once what was written has gone out, and that may take its time."""
        if self._detach_callback is None:
            self._release_requests()

    def close_if_disconnected(self) -> bool:
        """Guards equipos against work that nobody waits for: while its connection is not read, or the loop is
        late, the loop does not hear of a caller's end. The system knows of it, and is asked."""
        transport = self.transport
        if transport is None or transport.is_closing() or self._detach_callback is not None:
            return False
        if not self._peer_closed():
            return False
        self._release_requests()
        if self.write_blocked:  # it does not read what it is owed, either
            transport.abort()
        else:
            transport.close()
        return True

    def is_connected(self) -> bool:
        return not self.close_if_disconnected()

    def _poll_socket(self, event_mask: int) -> int:
        """Which of these hold for this connection just now."""
        assert self.transport is not None
        poller = select.poll()
        poller.register(self.transport.get_extra_info("socket").fileno(), event_mask)
        found = poller.poll(0)
        return found[0][1] if found else 0

    def _peer_closed(self) -> bool:
        """Whether its end has come, by closing, by a reset or by the end of its sending."""
        return self._poll_socket(select.POLLRDHUP) != 0

    def pause_writing(self) -> None:
        self.write_blocked = True
        self._update_backpressure()

    def resume_writing(self) -> None:
        self.write_blocked = False
        if self._on_writable is not None:
            self._on_writable()
        self._update_backpressure()

    def _update_backpressure(self) -> None:
        """Guards memory against a caller that sends ahead of its answers, or sends and does not read, or
        sends a long body faster than a server takes it. Up to its share all is read, so that its end, which stands
        behind that, is heard while an attempt may still begin."""
        share = 0 if self.server.buffer_budget.exceeded else self.server.buffer_budget.connection_share_bytes
        pause = (
            self.write_blocked
            or len(self.queued_requests) >= MAX_PIPELINED_REQUESTS
            or self.queued_bytes > share
        )
        if self.incoming_request is not None and self.incoming_request.body.streaming:
            body = self.incoming_request.body
            pause = self.write_blocked or body.buffered_bytes > (
                STREAM_WINDOW_BYTES if body.reading_started else max(STREAM_WINDOW_BYTES, share)
            )
            if self.reading_paused and not pause:
                self.last_activity_s = self.server.loop.time()  # what did not come meanwhile was not to come
        if (
            self.transport is not None
            and not self.transport.is_closing()
            and pause is not self.reading_paused
        ):
            self.reading_paused = pause
            if pause:
                self.transport.pause_reading()
                self.server.connection_paused(self)
            else:
                self.transport.resume_reading()

    def _is_idle(self) -> bool:
        return (
            self.active_request is None
            and not self.queued_requests
            and not self.partial
            and self.incoming_request is None
        )

    def close_if_idle(self, min_idle_s: float) -> bool:
        if self.transport is None or self.transport.is_closing() or not self._is_idle():
            return False
        if self.server.loop.time() - self.last_activity_s < min_idle_s:
            return False
        if self._poll_socket(select.POLLIN) & select.POLLIN and not self._peer_closed():
            return False  # a request has come, and the loop has not read it yet
        self.transport.close()
        return True

    def reject_incomplete_request(self) -> None:
        """Make room: what has come of this caller's request is too little for too long."""
        self._reject(BadRequestError(408, "the request did not arrive in time"))

    def abort(self) -> None:
        if self.transport is not None:
            self.transport.abort()

    def close_if_stalled(self, now: float) -> None:
        """Guards descriptors and memory against callers that say nothing, or half of something."""
        for_s = now - self.last_activity_s
        if self.bad:
            if for_s >= RECEIVE_TIMEOUT_S:  # it does not even take its answer
                self.abort()
        elif self.active_request is not None and self.active_request.response_started:
            self._abort_if_not_reading(now)
        elif self.incoming_request is not None and self.headed:
            if (
                for_s >= RECEIVE_TIMEOUT_S and not self.reading_paused
            ):  # a body may take its time, but not stop
                self._reject(BadRequestError(408, "the body did not arrive in time"))
        elif self.active_request is None and for_s >= RECEIVE_TIMEOUT_S:
            if self.partial:
                self._reject(BadRequestError(408, "the request did not arrive in time"))
            elif not self.has_sent_request or self.over_limit or for_s >= KEEP_ALIVE_TIMEOUT_S:
                self.close_if_idle(RECEIVE_TIMEOUT_S)

    def _abort_if_not_reading(self, now: float) -> None:
        """Guards an equipo's connection against a caller that reads nothing of its answer any more."""
        left = self.transport.get_write_buffer_size() if self.transport is not None else 0
        before, since = self._unsent_progress
        if not left or left != before:
            self._unsent_progress = (left, now)
        elif now - since >= SEND_STALL_TIMEOUT_S:
            self.abort()

    # ----------------------------------------------------------------- moving

    @property
    def detachable(self) -> bool:
        """Whether another process could go on from here: nothing of a request is half read or waits for its
        answer, and what was written and not sent is at hand."""
        transport = self.transport
        if (
            transport is None
            or self.bad
            or self.over_limit
            or self.detach_declined
            or self._detach_callback is not None
        ):
            return False
        if (
            self.queued_requests
            or self.closing_after_request
            or self.expects_continue
            or self.upgrade_framing
        ):
            return False
        if (self.partial or self.incoming_request is not None) and not self.partial_request_detachable:
            return False
        if self.active_request is not None and not self.active_request.response_started:
            return False
        unsent = transport.get_write_buffer_size()
        if transport.is_closing() and not (unsent and self.active_request is None):
            return False
        return unsent <= self._recent_write_bytes

    def detach(self, on_detached: Callable[[DetachedDownstream | None], None]) -> None:
        """Take a movable connection off the loop; `done` gets it, or None where it ended meanwhile. From here on
        nothing is read from it or written to it. Only a loop whose transports keep what was not sent until
        `connection_lost` has returned will do; uvloop's do."""
        assert self.transport is not None
        self._detach_callback = on_detached
        self._restored_closing = self.transport.is_closing()
        self.transport.abort()

    def _finish_detach(self, exc: Exception | None) -> bool:
        """The loop lets go of it, and closes its own descriptor as soon as this returns."""
        done, self._detach_callback = self._detach_callback, None
        assert done is not None
        assert self.transport is not None
        unsent = self.transport.get_write_buffer_size()
        try:
            if exc is not None or unsent > self._recent_write_bytes:
                raise OSError("it ended")
            fd = os.dup(self.transport.get_extra_info("socket").fileno())
        except OSError:
            done(None)
            return False
        self.transport = None
        call, self.active_request = self.active_request, None
        if call is not None:
            call.body.release()
        state = {
            "old": self.is_http_1_0,
            "last": self.close_after_response,
            "chunked": self.response_chunked,
            "asked": self.has_sent_request,
            "closing": self._restored_closing,
            "unsent": unsent,
        }
        read = self.partial_request_bytes()
        if self.incoming_request is not None:
            self.incoming_request.body.release()
            self.incoming_request = None
        del self.parser
        written = b"".join(self._recent_writes)
        done(DetachedDownstream(fd, written[len(written) - unsent :] + read, state, call))
        return True

    def restore(self, state: dict[str, Any], pending_bytes: bytes) -> None:
        """Before it has a transport: go on where another process left off."""
        unsent = pending_bytes[: int(state["unsent"])]
        self._restored_received = pending_bytes[len(unsent) :]
        self.is_http_1_0, self.close_after_response = bool(state["old"]), bool(state["last"])
        self.response_chunked, self.has_sent_request = bool(state["chunked"]), bool(state["asked"])
        self._restored_unsent, self._restored_closing = unsent, bool(state["closing"])

    def restore_response(self, id: str, on_writable: Callable[[], None]) -> DownstreamRequest:
        """The same for a long answer in the middle of its passage."""
        call = DownstreamRequest(
            self,
            b"GET",
            b"/",
            [],
            RequestBody(self.server.buffer_budget, lambda: None),
            0,
            id,
            True,
            0.0,
            True,
        )
        call.body.complete = True
        self.active_request, self._on_writable = call, on_writable
        self._unsent_progress = (0, self.server.loop.time())
        return call

    def _send(self, data: bytes) -> None:
        """Write, and remember what the system has not taken."""
        assert self.transport is not None
        self.transport.write(data)
        self._recent_writes.append(data)
        self._recent_write_bytes += len(data)
        unsent = self.transport.get_write_buffer_size()
        while self._recent_writes and self._recent_write_bytes - len(self._recent_writes[0]) >= unsent:
            self._recent_write_bytes -= len(self._recent_writes.popleft())

    # ---------------------------------------------------------------- answers

    def _create_request(
        self, method: bytes, body: RequestBody, content_length: int | None
    ) -> DownstreamRequest:
        return DownstreamRequest(self, method, self.target, self.headers, body, content_length)

    def _on_data_parsed(self) -> None:
        self.server.partial_connections.pop(self, None)
        if self.partial and not self.headed and self.active_request is None and not self.queued_requests:
            self.server.partial_connections[self] = None  # the last one again
        self._dispatch_next()

    def _on_request_started(self) -> None:
        self.server.idle_connections.pop(self, None)

    def _dispatch_next(self) -> None:
        while self.active_request is None and self.queued_requests and self.transport is not None:
            call = self.queued_requests.popleft()
            self.queued_bytes -= call.body.received_bytes
            self._dispatch(call)
        if self.active_request is None and not self.queued_requests and self.transport is not None:
            incoming = self.incoming_request
            if incoming is not None and incoming.body.streaming and not incoming.dispatched:
                self._dispatch(incoming)  # it is too long to be held; its end follows
            elif self.expects_continue:
                self.expects_continue = False
                self._send(b"HTTP/1.1 100 Continue\r\n\r\n")
        if self.transport is not None:
            if self.closing_after_request and self.incoming_request is None:
                self.transport.close()
            if self._is_idle():
                self.server.idle_connections[self] = None
            self._update_backpressure()

    def _dispatch(self, request: DownstreamRequest) -> None:
        request.dispatched = True
        if origin_form(request.target)[0].partition(b"?")[0] == b"/_health":
            # At a handover the node as such goes on, whichever of its processes is asked.
            healthy = self.server.is_healthy() and (self.server.hot_restarting or not self.server.draining)
            self._send_response(200 if healthy else 503, b"")
            request.body.release()
            return
        if self.over_limit:
            self._send_response(503, b"")  # the module never sees it, so it is never sent
            request.body.release()
            return
        if self.transport is None or self.transport.is_closing() or self.close_if_disconnected():
            request.body.release()
            return
        self.active_request = request
        self.last_activity_s = self.server.loop.time()
        try:
            self.server.on_request(request)
        except BadRequestError as error:
            # What is asked next may be as bad, and at full speed; that costs it a new connection.
            self.active_request = None
            request.body.release()
            self._reject(error)
        except Exception:
            log.exception("a request failed")
            self.respond(request, 500, b"")

    def respond(
        self, request: DownstreamRequest, status: int, body: bytes, retry_after_ms: float = 0.0
    ) -> None:
        if self.active_request is not request:
            return
        self.active_request = None
        self.last_activity_s = self.server.loop.time()
        request.body.release()
        self._send_response(status, body, retry_after_ms)
        self._continue_after_response()

    def _continue_after_response(self) -> None:
        """An answer is out; go on with what came behind its request."""
        if self.queued_requests or self.incoming_request is not None:
            self.server.loop.call_soon(self._dispatch_next)
        elif not self.partial:
            self.server.idle_connections[self] = None

    def start_response(
        self, request: DownstreamRequest, content_length: int | None, on_writable: Callable[[], None]
    ) -> None:
        """The head of a long answer; its pieces follow. `eased` is called when there is room for more."""
        if self.active_request is not request or self.transport is None:
            return
        request.response_started, self._on_writable = True, on_writable
        self._unsent_progress = (0, self.server.loop.time())
        lines = ["HTTP/1.1 200 OK"]
        self.response_chunked = False
        if content_length is not None:
            lines.append(f"Content-Length: {content_length}")
        elif not self.is_http_1_0:
            self.response_chunked = True
            lines.append("Transfer-Encoding: chunked")
        else:
            self.close_after_response = (
                True  # to such a caller only the end of the connection tells the answer's
            )
        if (self.close_after_response or self.server.closing or self.over_limit) and not self.queued_requests:
            self.close_after_response = True
            lines.append("Connection: close")
        self._send("\r\n".join(lines).encode() + b"\r\n\r\n")

    def send_response_data(self, request: DownstreamRequest, data: bytes) -> bool:
        """A piece of it; False where no more should come before `eased` is called."""
        if self.active_request is not request or self.transport is None or self.transport.is_closing():
            return True
        self._send(b"%x\r\n%b\r\n" % (len(data), data) if self.response_chunked else data)
        return not self.write_blocked

    def finish_response(self, request: DownstreamRequest) -> None:
        """The end of it."""
        if self.active_request is not request or self.transport is None:
            return
        self.active_request, self._on_writable = None, None
        self.last_activity_s = self.server.loop.time()
        request.body.release()
        if self.response_chunked:
            self._send(b"0\r\n\r\n")
        if self.close_after_response and not self.queued_requests:
            self._close_after_request()
        else:
            self._continue_after_response()

    def abort_response(self, request: DownstreamRequest) -> None:
        """The rest of it will never come. The connection ends with a reset, so that also a caller that was
        promised no length can tell."""
        if self.active_request is not request or self.transport is None:
            return
        self.active_request, self._on_writable = None, None
        request.body.release()
        sock = self.transport.get_extra_info("socket")
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        self.transport.abort()

    def _close_after_request(self) -> None:
        """Close behind an answer, but not before the rest of its request: closing on that would reset the
        connection, and the answer might be lost with it."""
        if self.incoming_request is not None:
            self.closing_after_request = True
        elif self.transport is not None:
            self.transport.close()

    def _send_response(self, status: int, body: bytes, retry_after_ms: float = 0.0) -> None:
        if self.transport is None or self.transport.is_closing():
            return
        close = (
            self.close_after_response or self.server.closing or self.over_limit
        ) and not self.queued_requests
        head = f"HTTP/1.1 {status} {REASON_PHRASES.get(status, '')}\r\nContent-Length: {len(body)}\r\n"
        if retry_after_ms > 0.0:
            head += f"Retry-After: {retry_after_ms / 1000.0:.3f}\r\n"
        if close:
            head += "Connection: close\r\n"
        self._send(head.encode() + b"\r\n" + body)
        if close:
            self._close_after_request()

    def _reject(self, error: BadRequestError) -> None:
        """What came is no request, and nothing after it on this connection is looked at, whatever waits here
        for an answer: who sends this can't be told from who sent that."""
        self.bad, self.partial = True, False
        self.server.partial_connections.pop(self, None)
        self.last_activity_s = self.server.loop.time()
        self.server.rejected_count += 1
        self.server.last_rejection = f"{error.status}: {error}"
        begun = self.active_request is not None and self.active_request.response_started
        coming = self.incoming_request
        answered = coming is not None and coming.dispatched and self.active_request is not coming
        self._release_requests()
        self.queued_bytes = 0
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
        head = f"HTTP/1.1 {error.status} {REASON_PHRASES[error.status]}\r\nContent-Length: {len(text)}\r\n"
        transport.write(head.encode() + b"Connection: close\r\n\r\n" + text)
        if error.status not in (413, 431):
            transport.close()
            return
        # More is on its way. Closing on it at once would reset the connection, and the answer might be lost
        # with it; so it is left unread for a moment.
        transport.write_eof()
        transport.pause_reading()
        self.server.loop.call_later(LINGERING_CLOSE_S, transport.abort)
