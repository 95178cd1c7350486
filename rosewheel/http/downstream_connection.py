"""A client's connection: dispatches its requests in order."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable
from typing import Protocol, cast

from rosewheel.http.body import RequestBody
from rosewheel.http.closable_connection import ClosableConnection, ClosableConnectionOwner
from rosewheel.http.errors import BadRequestError, MemoryExhaustedError, RefusedRequestError
from rosewheel.http.request import DownstreamRequest, origin_form
from rosewheel.http.request_phase import RequestPhase

log = logging.getLogger("rosewheel.downstream")


class ConnectionOwner(ClosableConnectionOwner, Protocol):
    """The server of a connection, as `DownstreamConnection` uses it."""

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


class DownstreamConnection(ClosableConnection):
    """A client's connection."""

    __slots__ = ()

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
        """Dispatch the next requests; an error that belongs to none of them ends this connection."""
        try:
            self._parse_and_dispatch()
        except Exception:
            self.server.monitor.record_error("dispatch")
            self.abort()

    def _parse_and_dispatch(self) -> None:
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
        except MemoryExhaustedError as error:
            self._refuse(request, error)
        except BadRequestError as error:
            self._reject_active(request, error)
        except Exception:
            self.server.monitor.record_error("request")
            self.respond(request, 500, b"")

    def _process(self, request: DownstreamRequest) -> None:
        """Answer a request, or have the server process it.

        Raises:
            MemoryExhaustedError: The process holds too much memory for its body or for any response.
            BadRequestError: The request is not valid.
        """
        self.active_request = request
        if request.is_refused:
            raise MemoryExhaustedError
        if origin_form(request.target)[0].partition(b"?")[0] == b"/_health":
            # During a hot restart the node stays healthy, whichever of its processes receives the health check.
            is_healthy = self.server.is_healthy() and (self.server.hot_restarting or not self.server.draining)
            self.respond(request, 200 if is_healthy else 503, b"")
            return
        if self.over_limit:
            self.respond(request, 503, b"")  # rejected without consulting the policy
            return
        if self.transport is None or self.transport.is_closing() or self.close_if_disconnected():
            self.active_request = None
            self._held.release(request)
            return
        memory = self.server.memory
        if memory.is_full or (request is self.incoming_request and memory.is_exhausted):
            raise MemoryExhaustedError
        self.last_activity_s = self.server.loop.time()
        if request.completed_s is None:
            request.completed_s = self._earliest_end_s(request)
        self.server.request_received(request)

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
