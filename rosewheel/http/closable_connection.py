"""When the node closes a client's connection by itself: idle, stalled, refused for memory, or at the end of a drain."""

from __future__ import annotations

import asyncio
import select
from typing import Protocol

from rosewheel.http import connection_close
from rosewheel.http.backpressure import BackpressuredConnection
from rosewheel.http.errors import BadRequestError, MemoryExhaustedError
from rosewheel.http.input_clock import ARRIVAL_DELAY_S
from rosewheel.http.request import DownstreamRequest
from rosewheel.http.request_phase import RequestPhase
from rosewheel.http.response_sender import ResponseSenderOwner
from rosewheel.node.rule_monitor import CheckedOperation, RuleMonitor
from rosewheel.node.rules import idle_close_reason

RECEIVE_TIMEOUT_S = 2.6  # limit for the first byte, for a complete head, and for a pause within a body
SEND_STALL_TIMEOUT_S = 30.0  # a client that reads no byte of its response for this long is disconnected
MIN_ERROR_READING_S = 0.1  # time that a client has at least to read an error before its connection is reset
KEEP_ALIVE_TIMEOUT_S = 5.0  # idle time after which a connection is closed
MAX_DISCARDED_BODY_BYTES = 64 * 1024  # rest of a refused body that is still read, for the requests behind it


class ClosableConnectionOwner(ResponseSenderOwner, Protocol):
    """The server of a connection, as `ClosableConnection` uses it."""

    @property
    def monitor(self) -> RuleMonitor:
        """Decides whether an idle connection may be closed, and counts the verdicts and unexpected errors."""

    def client_disconnected(self, request: DownstreamRequest, /) -> None:
        """Cancel the active request: its client has disconnected or sent invalid bytes."""


class ClosableConnection(BackpressuredConnection):
    """A client's connection that can be closed in each of its states."""

    __slots__ = ()

    server: ClosableConnectionOwner

    # Hook for subclasses.

    def _reject_active(self, request: DownstreamRequest, error: BadRequestError) -> None:
        """Respond with an error to a request whose framing is valid, and close the connection."""
        raise NotImplementedError

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
        if incoming is None:
            return self._head_memory.used_bytes
        return 0 if incoming.body.released else incoming.head_bytes + incoming.body.buffered_bytes

    def reject_for_memory(self) -> bool:
        """Reject the incomplete request, since the process holds too much memory; return whether it was rejected.

        A head is not rejected while the rest of it may wait unread: other requests may wait behind it.
        """
        incoming = self.incoming_request
        if incoming is None and self.transport is not None and connection_close.unread_bytes(self.transport):
            return False
        if incoming is None or self.expects_continue:
            self._reject(MemoryExhaustedError())
        else:
            self._refuse_incoming(incoming)
        return True

    def _refuse_incoming(self, incoming: DownstreamRequest) -> None:
        """Refuse a request whose body is incomplete; its memory is freed now, also if it has to wait for its turn."""
        if self.active_request is incoming:
            self.server.client_disconnected(incoming)  # ends its attempts
            self._refuse(incoming, MemoryExhaustedError())
            return
        incoming.is_refused = True
        incoming.body.release()
        incoming.body.streaming = True  # it is dispatched in its turn, even if its body is incomplete then
        self._dispatch_next()

    def _refuse(self, request: DownstreamRequest, error: BadRequestError) -> None:
        """Respond to the active request with an error.

        A short rest of its body is read and discarded, since the client may have written other requests behind it.
        """
        request.is_refused = True
        if request is self.incoming_request and request.missing_bytes > MAX_DISCARDED_BODY_BYTES:
            self._reject_active(request, error)
            return
        self.server.record_rejection(error)
        self.respond(request, error.status, f"{error}\n".encode())

    def reject_incomplete_request(self) -> None:
        """Reject a request whose head has been incomplete for too long, which closes the connection."""
        self._reject(BadRequestError(408, "the request did not arrive in time"))

    def close_if_upload_stalled(self, now_s: float, min_inactive_s: float) -> bool:
        """Close the connection if its client has stopped within a body, or has its error; return whether it was closed.

        The request is rejected if it has no response yet.

        Args:
            now_s: The loop's time.
            min_inactive_s: Time for which nothing was received, and nothing waits unread.
        """
        if self.close_if_refused(now_s) or self._abort_if_rejected(now_s):
            return True
        transport, incoming = self.transport, self.incoming_request
        if transport is None or transport.is_closing() or incoming is None or incoming.body.complete:
            return False
        if self.active_request not in (None, incoming) or self.queued_requests or incoming.response_started:
            return False
        if now_s - self.last_received_s < min_inactive_s or connection_close.unread_bytes(transport):
            return False
        self._reject(BadRequestError(408, "the body did not arrive in time"))
        return True

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
            is_stalled = inactive_s >= RECEIVE_TIMEOUT_S and not self.reading_paused
            if not self.close_if_refused(now_s) and is_stalled:
                self._reject(BadRequestError(408, "the body did not arrive in time"))
        elif self.active_request is None and inactive_s >= RECEIVE_TIMEOUT_S:
            if self.is_receiving:
                self.reject_incomplete_request()
            elif not self.has_sent_request or self.over_limit or inactive_s >= KEEP_ALIVE_TIMEOUT_S:
                self.close_if_idle(RECEIVE_TIMEOUT_S)

    def _abort_if_rejected(self, now_s: float) -> bool:
        """Close the connection if its client has had the time to read its error; return whether it was closed."""
        transport = self.transport
        if transport is None or self.phase is not RequestPhase.REJECTED or self.active_request is not None:
            return False
        has_read_error = now_s - self.last_activity_s >= MIN_ERROR_READING_S
        if not has_read_error or self._has_more_requests() or transport.get_write_buffer_size():
            return False
        transport.abort()
        return True

    def close_if_refused(self, now_s: float) -> bool:
        """Close the connection if its client pauses within the body of a refused request; return whether it was closed.

        The request has its response, and nothing that the client has written is on its way.
        """
        transport, incoming = self.transport, self.incoming_request
        if (
            transport is None
            or incoming is None
            or not incoming.is_refused
            or self.active_request is not None
        ):
            return False
        if now_s - self.last_received_s < ARRIVAL_DELAY_S or connection_close.unread_bytes(transport):
            return False
        self.server.record_close("rest of a refused body not received", None)
        self._release_requests()
        self.phase = RequestPhase.REJECTED
        transport.close()
        return True

    def _abort_if_not_reading(self, now_s: float) -> None:
        """Disconnect a client that stopped reading, since its response holds a connection to a server."""
        unsent_bytes = self.transport.get_write_buffer_size() if self.transport is not None else 0
        if self._write_progress.stalled_s(unsent_bytes, unsent_bytes > 0, now_s) >= SEND_STALL_TIMEOUT_S:
            self.server.record_close("client does not read", self.active_request)
            self.abort()
