"""A client's connection: dispatches its requests in order, and closes when idle or stalled."""

from __future__ import annotations

import asyncio
import logging
import select
from collections.abc import Callable
from typing import Protocol, cast

from rosewheel.http import connection_close
from rosewheel.http.backpressure import BackpressuredConnection
from rosewheel.http.body import RequestBody
from rosewheel.http.errors import BadRequestError, MemoryExhaustedError, RefusedRequestError
from rosewheel.http.request import DownstreamRequest, origin_form
from rosewheel.http.request_reader import RequestPhase
from rosewheel.http.response_sender import ResponseSenderOwner
from rosewheel.node.rule_monitor import CheckedOperation, RuleMonitor
from rosewheel.node.rules import idle_close_reason

log = logging.getLogger("rosewheel.downstream")

RECEIVE_TIMEOUT_S = 2.6  # limit for the first byte, for a complete head, and for a pause within a body
SEND_STALL_TIMEOUT_S = 30.0  # a client that reads no byte of its response for this long is disconnected
KEEP_ALIVE_TIMEOUT_S = 5.0  # idle time after which a connection is closed


class ConnectionOwner(ResponseSenderOwner, Protocol):
    """The server of a connection, as `DownstreamConnection` uses it."""

    @property
    def monitor(self) -> RuleMonitor:
        """Decides whether an idle connection may be closed, and counts the verdicts."""

    @property
    def draining(self) -> bool:
        """True if the process is shutting down."""

    @property
    def hot_restarting(self) -> bool:
        """True if another process of the node is taking over (hot restart)."""

    def is_healthy(self) -> bool:
        """Return whether the node can serve requests."""

    def request_received(self, request: DownstreamRequest, /) -> None:
        """Process a request; its response is written to its connection.

        Raises:
            BadRequestError: The request is not valid.
        """

    def request_blocking(self, request: DownstreamRequest, /) -> None:
        """End the active request, behind which another one has no time left."""

    def request_overdue(self, request: DownstreamRequest, /) -> None:
        """End the active request, whose body is incomplete: its client's time may be over."""

    def client_disconnected(self, request: DownstreamRequest, /) -> None:
        """Cancel the active request: its client has disconnected or sent invalid bytes."""

    def connection_opened(self, connection: DownstreamConnection, /) -> None:
        """Register an accepted connection."""

    def connection_closed(self, connection: DownstreamConnection, /) -> None:
        """Remove a connection that was closed or detached."""

    def connection_paused(self, connection: DownstreamConnection, /) -> None:
        """Poll a connection for a disconnect: while reading is paused, the event loop does not report it."""

    def mark_idle(self, connection: DownstreamConnection, /) -> None:
        """Record that a connection has no request."""

    def mark_busy(self, connection: DownstreamConnection, /) -> None:
        """Record the start of a request on an idle connection."""

    def mark_partial(self, connection: DownstreamConnection, is_partial: bool) -> None:
        """Record whether an otherwise idle connection has received a part of a head."""


class DownstreamConnection(BackpressuredConnection):
    """A client's connection."""

    server: ConnectionOwner

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Start reading; a restored connection first processes the pending bytes of the other process."""
        # A cast, since uvloop's transports are not subclasses of asyncio's.
        self.transport = cast(asyncio.Transport, transport)
        self._unsent.limit(self.transport)
        self.server.connection_opened(self)
        restored = self._restored
        if restored.unsent:
            unsent, restored.unsent = restored.unsent, b""
            self._send(unsent)
        if restored.closing:
            self.transport.close()
        elif restored.received:
            received, restored.received = restored.received, b""
            self.data_received(received)

    def connection_lost(self, exc: Exception | None) -> None:
        """Drop the requests; if the connection was detached, pass it to the callback."""
        self.server.connection_closed(self)
        if self._on_detached is not None and self._finish_detach(exc):
            return
        self.transport = None
        self.count_unsent()
        self._release_requests()
        # The parser and this object form a reference cycle, and the garbage collector runs rarely.
        del self.parser

    def _release_requests(self) -> None:
        self._set_unparsed(b"")
        self._drop_incomplete_head()
        self._pending_rejection = None
        self.queued_bytes = 0
        self.queued_requests.clear()
        self.incoming_request = None
        active, self.active_request = self.active_request, None
        try:
            if active is not None:
                self.server.client_disconnected(active)
        finally:
            self._held.release_all()

    def eof_received(self) -> None:
        """Drop the client's requests: a client that closes its sending side is treated as disconnected.

        The event loop closes the connection only once the unsent bytes are sent, which may take a long time.
        """
        if self._on_detached is None:
            self._release_requests()

    def close_if_disconnected(self) -> bool:
        """Close the connection if the client has disconnected; return whether it has.

        Servers must not receive the request of a disconnected client. The event loop reports a disconnect late while
        it is busy, and not at all while reading is paused, so the operating system is queried.
        """
        transport = self.transport
        if transport is None or transport.is_closing() or self._on_detached is not None:
            return False
        if not connection_close.peer_has_closed(transport):
            return False
        self.server.record_close("client disconnected", self.active_request)
        self._release_requests()
        if self.write_blocked:  # an orderly close would wait for a client that does not read
            transport.abort()
        else:
            transport.close()
        return True

    def is_connected(self) -> bool:
        """Return whether the client is connected; its connection is closed if it is not."""
        return not self.close_if_disconnected()

    def abort(self) -> None:
        """Close the connection and discard its unsent bytes."""
        if self.transport is not None:
            self.transport.abort()

    def abort_if_sent(self, late_s: float) -> None:
        """Close the connection unless its client is still being sent a response.

        Args:
            late_s: Time since the last response was due; a client that takes too long to read is disconnected.
        """
        unsent_bytes = self.transport.get_write_buffer_size() if self.transport is not None else 0
        if not unsent_bytes or late_s > SEND_STALL_TIMEOUT_S:
            self.server.record_close("end of the drain", None)
            self.abort()

    def _is_idle(self) -> bool:
        is_busy = self.active_request is not None or self.incoming_request is not None
        return not is_busy and not self.is_receiving and not self._has_more_requests()

    def close_if_idle(self, min_idle_s: float) -> bool:
        """Close the connection if it has been idle for `min_idle_s`; return whether it was closed."""
        transport = self.transport
        if transport is None or transport.is_closing():
            return False
        idle_s, is_idle = self.server.loop.time() - self.last_activity_s, self._is_idle()
        has_unread = is_idle and idle_s >= min_idle_s and self._has_unread_request(transport)
        reason = idle_close_reason(is_idle, idle_s, min_idle_s, has_unread)
        if not self.server.monitor.is_allowed(CheckedOperation.CLOSE_IDLE, reason):
            return False
        self.server.record_close("idle", None)
        transport.close()
        return True

    def _has_unread_request(self, transport: asyncio.Transport) -> bool:
        """Return whether the operating system holds bytes that the loop has not read, and the client is connected."""
        has_unread = connection_close.pending_events(transport, select.POLLIN) & select.POLLIN
        return bool(has_unread) and not connection_close.peer_has_closed(transport)

    @property
    def held_incomplete_bytes(self) -> int:
        """Memory of a request that was not received completely; 0 without one, or if its response has begun."""
        if not self.is_receiving or (
            self.active_request is not None and self.active_request.response_started
        ):
            return 0
        incoming = self.incoming_request
        return (
            self._head_memory.used_bytes
            if incoming is None
            else incoming.head_bytes + incoming.body.buffered_bytes
        )

    def reject_for_memory(self) -> None:
        """Reject the incomplete request, since the process holds too much memory."""
        self._reject(MemoryExhaustedError())

    def reject_incomplete_request(self) -> None:
        """Reject a request whose head has been incomplete for too long, which closes the connection."""
        self._reject(BadRequestError(408, "the request did not arrive in time"))

    def close_if_stalled(self, now_s: float) -> None:
        """Close the connection if its client has stopped sending its request or reading its response.

        Such clients would otherwise hold descriptors and memory.

        Args:
            now_s: The loop's time.
        """
        inactive_s = now_s - self.last_activity_s
        if self.active_request is not None and self.active_request.response_started:
            self._abort_if_not_reading(now_s)
        elif self.phase is RequestPhase.REJECTED:
            is_responding = self.active_request is not None or self._has_more_requests()
            if not is_responding and inactive_s >= RECEIVE_TIMEOUT_S:  # the client does not read the error
                self.abort()
        elif self.incoming_request is not None:
            # The timeout restarts with each part of the body, so a slow client is not rejected.
            if inactive_s >= RECEIVE_TIMEOUT_S and not self.reading_paused:
                self._reject(BadRequestError(408, "the body did not arrive in time"))
        elif self.active_request is None and inactive_s >= RECEIVE_TIMEOUT_S:
            if self.is_receiving:
                self.reject_incomplete_request()
            elif not self.has_sent_request or self.over_limit or inactive_s >= KEEP_ALIVE_TIMEOUT_S:
                self.close_if_idle(RECEIVE_TIMEOUT_S)

    def _abort_if_not_reading(self, now_s: float) -> None:
        """Disconnect a client that stopped reading, since its response holds a connection to a server."""
        unsent_bytes = self.transport.get_write_buffer_size() if self.transport is not None else 0
        if self._write_progress.stalled_s(unsent_bytes, unsent_bytes > 0, now_s) >= SEND_STALL_TIMEOUT_S:
            self.server.record_close("client does not read", self.active_request)
            self.abort()

    def restore_response(self, id: str, on_writable: Callable[[], None]) -> DownstreamRequest:
        """Restore the streamed response in progress on a connection that was restored with `restore`.

        Args:
            id: The request's id.
            on_writable: Called when more of the response may be written.

        Returns:
            The active request; its body is not restored.
        """
        body = RequestBody(self.server.memory.bodies, lambda: None)
        body.complete = True
        request = DownstreamRequest(
            self, b"GET", b"/", [], body, 0, id, dispatched=True, response_started=True
        )
        self._held.add(request)
        self.active_request, self._on_writable = request, on_writable
        self._write_progress.restart(self.server.loop.time())
        return request

    def _create_request(
        self, method: bytes, body: RequestBody, content_length: int | None
    ) -> DownstreamRequest:
        return DownstreamRequest(self, method, self.target, self.headers, body, content_length)

    def _on_reading_paused(self) -> None:
        self.server.connection_paused(self)

    def _on_request_overdue(self, request: DownstreamRequest) -> None:
        self.server.request_overdue(request)

    def _on_request_blocking(self, request: DownstreamRequest) -> None:
        self.server.request_blocking(request)

    def _on_request_started(self) -> None:
        self.server.mark_busy(self)

    def _mark_idle(self) -> None:
        self.server.mark_idle(self)

    def _on_data_parsed(self) -> None:
        self._mark_partial_head()
        self._dispatch_next()

    def _mark_partial_head(self) -> None:
        has_only_partial_head = (
            self.phase is RequestPhase.HEAD and self.active_request is None and not self.queued_requests
        )
        self.server.mark_partial(self, has_only_partial_head)

    def _dispatch_next(self) -> None:
        if self.unparsed:
            self._parse_unparsed()
            self._mark_partial_head()
        self._dispatch_queued()
        if self.transport is not None:
            if self.closing_after_request and self.incoming_request is None:
                self.transport.close()
            if self.unparsed and self.active_request is None:
                self.server.loop.call_soon(self._dispatch_next)  # deferred to let other connections proceed
            if self._is_idle():
                self.server.mark_idle(self)
            self._update_backpressure()

    def _dispatch_queued(self) -> None:
        while self.active_request is None and self.queued_requests and self.transport is not None:
            request = self.queued_requests.pop(0)
            self.queued_bytes -= request.body.received_bytes
            self._dispatch(request)
        if self.active_request is None and not self.queued_requests and self.transport is not None:
            incoming = self.incoming_request
            if incoming is not None and incoming.body.streaming and not incoming.dispatched:
                self._dispatch(incoming)  # a streamed body is forwarded while it is received
            elif self.expects_continue:
                self.expects_continue = False
                self._send(b"HTTP/1.1 100 Continue\r\n\r\n")
            elif self._pending_rejection is not None:
                self._send_rejection(self._pending_rejection)

    def _dispatch(self, request: DownstreamRequest) -> None:
        """Answer a request, or have the server process it; whatever fails, it gets a response and is released."""
        request.dispatched = True
        try:
            self._process(request)
        except BadRequestError as error:
            self._reject_active(request, error)
        except Exception:
            log.exception("request failed")
            self._fail(request)

    def _process(self, request: DownstreamRequest) -> None:
        """Answer a request, or have the server process it.

        Raises:
            BadRequestError: The request is not valid.
        """
        if origin_form(request.target)[0].partition(b"?")[0] == b"/_health":
            # During a hot restart the node stays healthy, whichever of its processes receives the health check.
            is_healthy = self.server.is_healthy() and (self.server.hot_restarting or not self.server.draining)
            self._send_response(200 if is_healthy else 503, b"")
            self._held.release(request)
            return
        if self.over_limit:
            self._send_response(503, b"")  # rejected without consulting the policy
            self._held.release(request)
            return
        if self.transport is None or self.transport.is_closing() or self.close_if_disconnected():
            self._held.release(request)
            return
        if self.server.memory.is_exhausted and request is self.incoming_request:
            self._reject(MemoryExhaustedError())
            return
        self.active_request = request
        self.last_activity_s = self.server.loop.time()
        if request.completed_s is None:
            request.completed_s = self._earliest_end_s(request)
        self.server.request_received(request)

    def _fail(self, request: DownstreamRequest) -> None:
        """Respond with status 500 to a request that an unexpected error has ended, unless it has its response."""
        if request.body.released:
            return
        self.active_request = request
        self.respond(request, 500, b"")

    def _reject_active(self, request: DownstreamRequest, error: BadRequestError) -> None:
        """Respond with an error to a request whose framing is valid, and close the connection.

        Closing limits the rate of invalid requests, as each costs the client a new connection. After a
        `RefusedRequestError`, requests that were read already are served first.
        """
        self.active_request = None
        self._held.release(request)
        has_unread_body = self.incoming_request is request
        if isinstance(error, RefusedRequestError) and not has_unread_body:
            self.server.record_rejection(error)
            self.close_after_response = True
            self._send_response(error.status, f"{error}\n".encode())
            return
        self._release_requests()
        self.phase = RequestPhase.REJECTED
        self.server.record_rejection(error)
        self.server.mark_partial(self, False)
        self._send_rejection(error, has_unread_body=has_unread_body)

    def _reject(self, error: BadRequestError) -> None:
        self.server.mark_partial(self, False)
        super()._reject(error)
