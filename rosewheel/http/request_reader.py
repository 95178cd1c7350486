"""Parses the bytes that a client sends into requests, and enforces the limits on heads, bodies and pipelining."""

from __future__ import annotations

import asyncio
import logging
import time

import httptools

from rosewheel.http.body import RequestBody
from rosewheel.http.errors import BadRequestError, HeadMemoryError
from rosewheel.http.head_memory import HeadMemory
from rosewheel.http.held_requests import HeldRequests
from rosewheel.http.input_clock import InputClock
from rosewheel.http.partial_request import PartialRequest
from rosewheel.http.reading import MAX_READ_BYTES, MINIMAL_READ_BYTES, SMALL_READ_BYTES, BoundedReads
from rosewheel.http.request import DownstreamRequest
from rosewheel.http.request_head import MAX_BODY_BYTES, MAX_HEAD_BYTES, RequestHead
from rosewheel.http.request_phase import RequestPhase
from rosewheel.http.request_reader_owner import RequestReaderOwner

log = logging.getLogger("rosewheel.downstream")

# Limit for the bytes of a chunked body on the wire: this number, plus the factor times the decoded size. Small chunks
# need several bytes of framing per byte of data.
MAX_CHUNK_OVERHEAD_BYTES = 256 * 1024
MAX_CHUNK_OVERHEAD_FACTOR = 16
MAX_PIPELINED_REQUESTS = 8  # complete requests that one connection queues behind the active one
# Bytes passed to the parser at once, except within a body of known length. The queue limits are checked between two
# such parts, and can be exceeded by the requests in one of them.
MAX_PARSED_BYTES = 2048
MAX_PARSED_CHUNKED_BYTES = 16 * 1024


# Module-level aliases: in Python 3.11 each access to a member through its Enum class is a function call, and these are
# read for every header.
IDLE, HEAD, BODY, REJECTED = RequestPhase


class RequestReader(BoundedReads):
    """Splits the bytes received on a connection into requests. Subclasses dispatch them.

    Attributes:
        phase: The parsing state.
        queued_requests: Complete requests that wait for dispatch (pipelining).
        queued_bytes: Total size of their bodies in bytes.
        unparsed: Received bytes that are not parsed until the queue has space.
        active_request: The dispatched request whose response is not complete.
        incoming_request: The request whose body is being received; it may be the active one.
        expects_continue: The client waits for `100 Continue` before it sends its body.
        has_sent_request: At least one complete request was received.
        raw_bytes: Bytes received of the current head; within a body, bytes received since the head.
        upgrade_framing: Replacement head for the body of a request that offers a protocol upgrade; empty once it was
            parsed.
        is_http_1_0: The last request is HTTP/1.0.
        close_after_response: The last request asks to close the connection after its response.
        last_received_s: When bytes were last received, on the loop's clock.
        last_activity_s: When the connection last became idle or busy, or received a part of a body.
        target: Target of the current request, as far as it was received.
        headers: Lower-case names and values of the current head.
    """

    __slots__ = (
        "_body_parts",
        "_head_memory",
        "_held",
        "_input_clock",
        "_input_written_s",
        "_messages_begun",
        "_messages_ended",
        "_partial",
        "active_request",
        "close_after_response",
        "expects_continue",
        "has_sent_request",
        "headers",
        "incoming_request",
        "is_http_1_0",
        "last_activity_s",
        "last_received_s",
        "on_body",
        "parser",
        "phase",
        "queued_bytes",
        "queued_requests",
        "raw_bytes",
        "server",
        "target",
        "transport",
        "unparsed",
        "upgrade_framing",
    )

    def __init__(self, server: RequestReaderOwner) -> None:
        self.server = server
        self.transport: asyncio.Transport | None = None
        self._body_parts: list[bytes] = []
        # The parser calls it for each part of a body. A method in Python would take most of the time for tiny chunks.
        self.on_body = self._body_parts.append
        self.parser = httptools.HttpRequestParser(self)
        self.phase: RequestPhase = IDLE
        self.queued_requests: list[DownstreamRequest] = []  # a short one; an empty deque takes 0.6 KB
        self.queued_bytes = 0
        self.unparsed = b""
        self.active_request: DownstreamRequest | None = None
        self.incoming_request: DownstreamRequest | None = None
        self.expects_continue = self.has_sent_request = False
        self.raw_bytes = 0
        self.upgrade_framing = b""
        self.is_http_1_0 = False
        self.close_after_response = False
        self.last_received_s = server.loop.time()
        self.last_activity_s = self.last_received_s
        self._input_clock = InputClock()
        # When the bytes being parsed were written, at the earliest.
        self._input_written_s = self.last_received_s
        self.target = b""
        self.headers: list[tuple[bytes, bytes]] = []
        self._partial = PartialRequest()
        self._head_memory = HeadMemory(server.memory.heads)
        self._held = HeldRequests(server.request_ids, self._head_memory)
        self._messages_begun = self._messages_ended = 0  # within the last bytes passed to the parser

    @property
    def is_receiving(self) -> bool:
        """True within a head or a body."""
        phase = self.phase
        return phase is BODY or phase is HEAD

    def read_size(self) -> int:
        """Return the largest number of bytes to read at once."""
        memory = self.server.memory
        if memory.is_scarce:
            return MINIMAL_READ_BYTES if memory.is_exhausted else SMALL_READ_BYTES
        incoming = self.incoming_request
        is_chunked = incoming is not None and incoming.content_length is None
        return MAX_PARSED_CHUNKED_BYTES if is_chunked else MAX_READ_BYTES

    # Hooks for subclasses.

    def _create_request(
        self, method: bytes, body: RequestBody, content_length: int | None
    ) -> DownstreamRequest:
        """Create the request once its head is complete."""
        raise NotImplementedError

    def _on_data_parsed(self) -> None:
        """Dispatch requests after received bytes were parsed."""
        raise NotImplementedError

    def _on_request_started(self) -> None:
        """Handle the start of a request on an idle connection."""
        raise NotImplementedError

    def _update_backpressure(self) -> None:
        """Pause or resume reading after the number of buffered bytes has changed."""
        raise NotImplementedError

    def _reject(self, error: BadRequestError) -> None:
        """Respond with an error to invalid bytes, and ignore further input."""
        raise NotImplementedError

    def _time_spent(self, spent_s: float) -> None:
        """Count time that the last bytes took; stop reading if this connection has taken too much."""
        raise NotImplementedError

    def _drop_incomplete_head(self) -> None:
        """Free the memory of the head that is being received; it will not be parsed further."""
        self.target, self.headers = b"", []
        self._partial.clear()
        self._head_memory.set_incomplete(0, 0)

    def data_received(self, data: bytes) -> None:
        """Parse the received bytes until the request queue is full; leave the rest unparsed."""
        if self.phase is REJECTED:
            return
        previously_received_s, self.last_received_s = self.last_received_s, self.server.loop.time()
        self._input_clock.data_received(self.last_received_s, previously_received_s)
        if self.incoming_request is not None:
            self.last_activity_s = self.last_received_s
        if self.unparsed:
            self._set_unparsed(self.unparsed + data)
            return
        self._input_written_s = self._input_clock.written_s(self.last_received_s)
        started_s = time.perf_counter()
        self._parse(data)
        spent_s = time.perf_counter() - started_s
        incoming = self.incoming_request
        if incoming is not None:
            self._input_clock.body_received(self.last_received_s, incoming.body.received_bytes)
        self._on_data_parsed()
        self._time_spent(spent_s)

    def _parse_unparsed(self) -> None:
        """Parse the unparsed bytes if the request queue has space again."""
        if self.unparsed and not self._queue_is_full():
            data = self.unparsed
            self._set_unparsed(b"")
            self._parse(data)

    def _parse(self, data: bytes) -> None:
        """Parse the bytes in parts of limited size; once the request queue is full, leave the rest unparsed."""
        position = 0
        while position < len(data) and self.phase is not REJECTED:
            if self._queue_is_full():
                self._set_unparsed(data[position:])
                return
            part = data[position : position + self._max_parsed_bytes()]
            position += len(part)
            self._parse_part(part)

    def _queue_is_full(self) -> bool:
        budget = self.server.memory.bodies
        share_bytes = 0 if budget.exceeded else budget.connection_share_bytes
        if self.queued_requests and self._head_memory.exceeded:
            return True
        return len(self.queued_requests) >= MAX_PIPELINED_REQUESTS or self.queued_bytes > share_bytes

    def _set_unparsed(self, data: bytes) -> None:
        self.server.memory.bodies.used_bytes += len(data) - len(self.unparsed)
        self.unparsed = data

    def _max_parsed_bytes(self) -> int:
        incoming = self.incoming_request
        if self.phase is not BODY or incoming is None:
            return MAX_PARSED_BYTES
        if incoming.content_length is None:
            return MAX_PARSED_CHUNKED_BYTES
        return max(1, incoming.content_length - incoming.body.received_bytes)

    def _parse_part(self, data: bytes) -> None:
        phase = self.phase
        self.raw_bytes += len(data)
        self._messages_begun = self._messages_ended = 0
        try:
            self._feed_parser(data)
            self._append_body_parts()
            if self.is_receiving:
                self._track_partial_request(data, phase)
                self._check_raw_size()
                self._check_head_memory()
            else:
                self._partial.clear()
        except httptools.HttpParserCallbackError as error:
            cause = error.__context__
            if not isinstance(cause, BadRequestError):
                log.error("request parsing failed", exc_info=cause)
                cause = BadRequestError(400, "the request could not be read")
            self._reject(cause)
        except httptools.HttpParserError as error:
            self._reject(BadRequestError(400, f"not HTTP: {error}"))
        except BadRequestError as error:
            self._reject(error)

    def _append_body_parts(self) -> None:
        """Append the parts of the body that the parser has found, joined into one.

        Raises:
            BadRequestError: The body is too large.
        """
        parts, request = self._body_parts, self.incoming_request
        if not parts:
            return
        self.expects_continue = False
        data = parts[0] if len(parts) == 1 else b"".join(parts)
        parts.clear()
        if request is None:
            return
        request.body.append(data)
        if request.body.received_bytes > MAX_BODY_BYTES:
            raise BadRequestError(413, f"bodies hold at most {MAX_BODY_BYTES} bytes")

    def _feed_parser(self, data: bytes) -> None:
        while data:
            try:
                self.parser.feed_data(data)
                return
            except httptools.HttpParserUpgrade as upgrade:
                # Upgrades are never accepted, but this parser stops after a head that offers one and would treat the
                # body as data of the other protocol. To prevent request smuggling in that body, a new parser receives
                # its framing as a head and continues behind it.
                self.parser = httptools.HttpRequestParser(self)
                self.parser.feed_data(self.upgrade_framing)
                data = data[upgrade.args[0] :]

    def _track_partial_request(self, data: bytes, phase_before: RequestPhase) -> None:
        """Record the bytes of an incomplete request, so that another process can parse them (hot restart)."""
        partial = self._partial
        if phase_before is IDLE or self._messages_ended:
            is_only_message = self._messages_begun == 1 and not self._messages_ended
            partial.start(data if phase_before is IDLE and is_only_message else None)
        elif phase_before is HEAD:
            partial.extend_head(data)
        if self.phase is BODY and self.incoming_request is not None:
            partial.extend_body(data, self.incoming_request)

    def _check_raw_size(self) -> None:
        """Limit the size of heads and of chunk framing, which would otherwise take unlimited memory and CPU time.

        Raises:
            BadRequestError: The head or the framing is too large.
        """
        if self.phase is HEAD:
            if self.raw_bytes > MAX_HEAD_BYTES:
                raise BadRequestError(431, "a request without end")
            return
        body_bytes = self.incoming_request.body.received_bytes if self.incoming_request is not None else 0
        if self.raw_bytes > MAX_CHUNK_OVERHEAD_BYTES + MAX_CHUNK_OVERHEAD_FACTOR * body_bytes:
            raise BadRequestError(413, "a request without end")

    def _check_head_memory(self) -> None:
        """Limit the memory of an incomplete head while the heads of all connections take too much.

        Raises:
            HeadMemoryError: The head is refused.
        """
        if self.phase is HEAD:
            self._head_memory.set_incomplete(self.raw_bytes, len(self.headers))
            if self._head_memory.exceeded and not self.queued_requests:
                raise HeadMemoryError

    # Callbacks of the parser.

    def on_message_begin(self) -> None:
        """Prepare for a new request."""
        if self.upgrade_framing:
            return
        self._messages_begun += 1
        self.phase = HEAD
        if self.active_request is None and not self.queued_requests:
            self._on_request_started()
            self.last_activity_s = self.server.loop.time()
        self.target = b""
        self.headers = []

    def on_url(self, url: bytes) -> None:
        """Append a part of the request target."""
        if not self.upgrade_framing:
            self.target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Append a header. Trailers, and the head parsed again after an upgrade offer, are ignored."""
        if self.phase is BODY:
            return
        self.headers.append((name.lower(), value))

    def on_headers_complete(self) -> None:
        """Validate the head and create the request."""
        if self.upgrade_framing:
            self.upgrade_framing = b""
            return
        self.phase, self.raw_bytes = BODY, 0
        version, method = self.parser.get_http_version(), self.parser.get_method()
        self.is_http_1_0 = version == "1.0"
        head = RequestHead(version, method, self.target, self.headers)
        size = head.check()
        content_length, asks_to_continue = head.framing()
        self.expects_continue = asks_to_continue and content_length != 0 and version == "1.1"
        body = RequestBody(self.server.memory.bodies, self._update_backpressure)
        self.incoming_request = request = self._create_request(method, body, content_length)
        self._held.add(request)
        self._head_memory.set_incomplete(0, 0)
        request.head_bytes = self._head_memory.add(size, len(self.headers))
        self.target, self.headers = b"", []
        self.server.request_ids.reserve(request)
        # Behind an earlier request it waits instead, and reading is paused; see `_queue_is_full`.
        if self._head_memory.exceeded and self.active_request is None and not self.queued_requests:
            raise HeadMemoryError
        if self.parser.should_upgrade():
            close = b"" if self.parser.should_keep_alive() else b"Connection: close\r\n"
            if content_length is None:
                framing = b"Transfer-Encoding: chunked"
            else:
                framing = b"Content-Length: %d" % content_length
            self.upgrade_framing = b"POST / HTTP/1.1\r\n%b%b\r\n\r\n" % (close, framing)

    def on_message_complete(self) -> None:
        """Queue the complete request; if it was dispatched already, report its end to the server."""
        if self.upgrade_framing:
            return  # after an upgrade offer the parser reports the end of the message before its body
        self._messages_ended += 1
        self._append_body_parts()
        self.phase, self.has_sent_request = IDLE, True
        self.raw_bytes, self.expects_continue = 0, False
        request, self.incoming_request = self.incoming_request, None
        if request is None:
            return
        if not self.parser.should_keep_alive():
            self.close_after_response = True
        request.body.finish()
        self._input_clock.body_ended()
        request.completed_s = self._input_written_s
        if request.dispatched:
            if self.active_request is request:
                self.last_activity_s = self.server.loop.time()
                self.server.request_completed(request)
            return
        self.queued_bytes += request.body.received_bytes
        self.queued_requests.append(request)
