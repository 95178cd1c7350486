"""Writes responses to a client: complete responses, streamed responses and rejections."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

from rosewheel.http import connection_close
from rosewheel.http.errors import BadRequestError
from rosewheel.http.request import DownstreamRequest
from rosewheel.http.request_phase import RequestPhase
from rosewheel.http.request_reader import RequestReader
from rosewheel.http.request_reader_owner import RequestReaderOwner
from rosewheel.http.response_encoding import encode_response, encode_streamed_head
from rosewheel.http.write_buffer import UnsentBytes, UnsentWrites, WriteProgress

# Errors that are sent while the client may still be sending its request.
STATUSES_WITH_UNREAD_BYTES = frozenset((413, 431, 503))


class ResponseSenderOwner(RequestReaderOwner, Protocol):
    """The server of a connection, as `ResponseSender` uses it."""

    @property
    def closing(self) -> bool:
        """True if connections are closed after their next response."""

    def record_close(self, reason: str, request: DownstreamRequest | None, /) -> None:
        """Record that the node closes a client's connection, for the log."""

    def record_rejection(self, error: BadRequestError) -> None:
        """Count a rejected request for the log."""


class ResponseSender(RequestReader):
    """Writes the responses of a connection. Subclasses decide what is dispatched next.

    Attributes:
        over_limit: The connection exceeds the node's connection limit; it is closed after one response.
        closing_after_request: The last response was written; the connection is closed once the incoming request is
            complete.
        response_chunked: The streamed response uses chunked encoding.
        write_blocked: The transport's write buffer is full.
    """

    __slots__ = (
        "_on_writable",
        "_pending_rejection",
        "_unsent",
        "_unsent_writes",
        "_write_progress",
        "closing_after_request",
        "over_limit",
        "response_chunked",
        "write_blocked",
    )

    server: ResponseSenderOwner

    def __init__(self, server: ResponseSenderOwner) -> None:
        super().__init__(server)
        self.over_limit = False
        self.closing_after_request = False
        self.response_chunked = False
        self.write_blocked = False
        self._pending_rejection: BadRequestError | None = None  # sent after the responses to earlier requests
        self._on_writable: Callable[[], None] | None = None  # resumes the streamed response
        self._unsent_writes = UnsentWrites()
        self._unsent = UnsentBytes(server.memory)
        self._write_progress = WriteProgress()

    # Hooks for subclasses.

    def _dispatch_next(self) -> None:
        """Dispatch the next queued request if none is active."""
        raise NotImplementedError

    def _mark_idle(self) -> None:
        """Record that no request is active, queued or incoming."""
        raise NotImplementedError

    def _release_requests(self) -> None:
        """Drop all requests of the connection, after a disconnect or an invalid request."""
        raise NotImplementedError

    def _send(self, data: bytes) -> None:
        transport = self.transport
        if transport is None:
            return
        self._unsent.limit(transport)
        transport.write(data)
        unsent_bytes = transport.get_write_buffer_size()
        self._unsent_writes.append(data, unsent_bytes)
        self._unsent.count(unsent_bytes)

    def count_unsent(self) -> None:
        """Count the unsent bytes again, which the transport has sent since."""
        unsent_bytes = self.transport.get_write_buffer_size() if self.transport is not None else 0
        self._unsent.count(unsent_bytes)
        if not unsent_bytes and not self.write_blocked:
            self._unsent_writes.clear()

    def _must_close(self) -> bool:
        """Return whether to close the connection after this response; requests that were read are served first."""
        must_close = self.close_after_response or self.server.closing or self.over_limit
        return must_close and not self._has_more_requests()

    def _has_more_requests(self) -> bool:
        """Return whether more responses are due: for queued, incomplete, unparsed or rejected requests."""
        incoming = self.incoming_request
        if incoming is not None and not incoming.dispatched:
            return True
        return bool(self.queued_requests or self.unparsed or self._pending_rejection)

    def _send_response(self, status: int, body: bytes, retry_after_ms: float = 0.0) -> None:
        if self.transport is None or self.transport.is_closing():
            return
        close = self._must_close()
        self._send(encode_response(status, body, close=close, retry_after_ms=retry_after_ms))
        if close:
            self._close_when_request_complete()

    def respond(
        self, request: DownstreamRequest, status: int, body: bytes, retry_after_ms: float = 0.0
    ) -> None:
        """Write the complete response of the active request.

        Args:
            request: The request; if it is not the active one, nothing is written.
            status: The status code.
            body: The body.
            retry_after_ms: Delay in milliseconds after which the client may retry; 0 omits the header.
        """
        if self.active_request is not request:
            return
        self.active_request = None
        self.last_activity_s = self.server.loop.time()
        self._held.release(request)
        self._send_response(status, body, retry_after_ms)
        self._continue_after_response()

    def _continue_after_response(self) -> None:
        if self._has_more_requests() or self.incoming_request is not None:
            self.server.loop.call_soon(self._dispatch_next)
        elif not self.is_receiving:
            self._mark_idle()

    def start_response(
        self, request: DownstreamRequest, content_length: int | None, on_writable: Callable[[], None]
    ) -> None:
        """Write the head of a streamed response.

        Args:
            request: The request; if it is not the active one, nothing is written.
            content_length: Size of the body in bytes; None if it is unknown.
            on_writable: Called when more of the body may be written.
        """
        if self.active_request is not request or self.transport is None:
            return
        request.response_started, self._on_writable = True, on_writable
        self._write_progress.restart(self.server.loop.time())
        self.response_chunked = content_length is None and not self.is_http_1_0
        if content_length is None and self.is_http_1_0:
            self.close_after_response = True  # HTTP/1.0 has no chunked encoding; the body ends with the close
        close = self._must_close()
        if close:
            self.close_after_response = True
        self._send(encode_streamed_head(content_length, chunked=self.response_chunked, close=close))

    def send_response_data(self, request: DownstreamRequest, data: bytes) -> bool:
        """Write a part of the body; return False if the sender has to wait for `on_writable`."""
        if self.active_request is not request or self.transport is None or self.transport.is_closing():
            return True
        self._send(b"%x\r\n%b\r\n" % (len(data), data) if self.response_chunked else data)
        return not self.write_blocked

    def finish_response(self, request: DownstreamRequest) -> None:
        """Complete the streamed response."""
        if self.active_request is not request or self.transport is None:
            return
        self.active_request, self._on_writable = None, None
        self.last_activity_s = self.server.loop.time()
        self._held.release(request)
        if self.response_chunked:
            self._send(b"0\r\n\r\n")
        if self.close_after_response and not self._has_more_requests():
            self._close_when_request_complete()
        else:
            self._continue_after_response()

    def abort_response(self, request: DownstreamRequest) -> None:
        """Reset the connection, so that the client recognizes the streamed response as incomplete."""
        if self.active_request is not request or self.transport is None:
            return
        self.active_request, self._on_writable = None, None
        self.server.record_close("streamed response interrupted", request)
        self._held.release(request)
        connection_close.reset(self.transport)

    def _close_when_request_complete(self) -> None:
        """Close the connection after a response, once the incoming request is complete.

        Closing with unread bytes would reset the connection, and the client could lose the response.
        """
        if self.incoming_request is not None:
            self.closing_after_request = True
        elif self.transport is not None:
            self.transport.close()

    def _reject(self, error: BadRequestError) -> None:
        """Stop reading, and respond with an error after the responses to earlier requests.

        No error is sent if the last of these closes the connection, as the client expects no further response.
        """
        self.phase = RequestPhase.REJECTED
        self.last_activity_s = self.server.loop.time()
        self.server.record_rejection(error)
        self._set_unparsed(b"")
        self._drop_incomplete_head()
        incoming = self.incoming_request
        if incoming is not None and incoming.dispatched:
            self._reject_dispatched(incoming, error)
            return
        if incoming is not None:
            self._held.release(incoming)
            self.incoming_request = None
        if self.active_request is None and not self.queued_requests:
            self._send_rejection(error)
        elif not self.close_after_response:
            self._pending_rejection = error

    def _reject_dispatched(self, incoming: DownstreamRequest, error: BadRequestError) -> None:
        """Reject a request that was dispatched before its body was complete."""
        is_active, response_started = self.active_request is incoming, incoming.response_started
        self._release_requests()
        if is_active and not response_started:
            self._send_rejection(error)
        elif self.transport is None or self.transport.is_closing():
            return
        elif is_active:  # an error response can't be sent within the streamed one
            self.transport.abort()
        else:  # the request has its response; a second one would be matched to another request
            self.transport.close()

    def _send_rejection(self, error: BadRequestError, *, has_unread_body: bool = False) -> None:
        """Respond with an error, and close the connection.

        Args:
            error: The error.
            has_unread_body: The client is still sending the body of the request.
        """
        self._pending_rejection = None
        transport = self.transport
        if transport is None or transport.is_closing():
            return
        self.server.record_close(f"rejected with {error.status}", None)
        self.last_activity_s = self.server.loop.time()
        transport.write(encode_response(error.status, f"{error}\n".encode(), close=True))
        if has_unread_body or error.status in STATUSES_WITH_UNREAD_BYTES:
            if self.server.memory.is_exhausted:
                connection_close.close_after_discarding(transport)
            else:
                connection_close.close_after_lingering(transport, self.server.loop)
        else:
            transport.close()
