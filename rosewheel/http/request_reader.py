"""Parsing of what a client sends: requests, their bodies and their framing."""

from __future__ import annotations

import asyncio
import logging
from collections import deque
from enum import Enum, auto
from typing import Protocol

import httptools

from rosewheel.http.body import BufferBudget, RequestBody
from rosewheel.http.errors import BadRequestError
from rosewheel.http.partial_request import PartialRequest
from rosewheel.http.request import SINGLE_VALUE_HEADERS, DownstreamRequest

log = logging.getLogger("rosewheel.downstream")

MAX_BODY_BYTES = 32 << 20
MAX_HEAD_BYTES = 16 * 1024
# What a chunked body may take on the wire beside its data: size lines and trailers. Tiny chunks add to it by size.
MAX_CHUNK_OVERHEAD_BYTES = 256 * 1024
MAX_CHUNK_OVERHEAD_FACTOR = 16
MAX_PIPELINED_REQUESTS = 8  # complete requests of one connection that wait for the responses before theirs
# Parsed at a time outside of a body of known length: how far a read can exceed the limits of what waits.
MAX_PARSED_BYTES = 2048
MAX_PARSED_CHUNKED_BYTES = 16 * 1024


class RequestPhase(Enum):
    """What a connection receives next."""

    IDLE = auto()  # a new request
    HEAD = auto()  # more of a head
    BODY = auto()  # more of a body, or its end
    REJECTED = auto()  # nothing: what was received is not a request, and what follows is ignored


# Names of the module, since in Python 3.11 an attribute of an Enum class costs a call, and these are read per header.
IDLE, HEAD, BODY, REJECTED = RequestPhase


class RequestOwner(Protocol):
    """What reading requests needs of the server."""

    @property
    def loop(self) -> asyncio.AbstractEventLoop:
        """The event loop of the connections."""

    @property
    def buffer_budget(self) -> BufferBudget:
        """The memory for all bodies."""

    def request_completed(self, request: DownstreamRequest, /) -> None:
        """The last byte of a request was received after the request was dispatched."""


class RequestReader(asyncio.Protocol):
    """Splits what a connection receives into requests. Subclasses dispatch them.

    Attributes:
        phase: What is received next.
        queued_requests: Complete requests that were not dispatched yet (pipelining).
        queued_bytes: Size of their bodies.
        unparsed: What was read and is not parsed yet, since too many requests are queued.
        active_request: The dispatched request that has no response yet.
        incoming_request: The request whose body is being received; it may be the active one.
        expects_continue: The client waits for `100 Continue` before it sends its body.
        has_sent_request: At least one complete request was received.
        raw_bytes: Bytes received of the current head, or since it ended.
        upgrade_framing: Framing of a request that offers another protocol, until its body is read.
        is_http_1_0: Version of the last request.
        close_after_response: The client wants the connection closed after the last response.
        last_received_s: When bytes were last received, on the loop's clock.
        last_activity_s: When the connection last changed between idle, receiving and busy.
        target: Of the current head, as far as it was received.
        headers: Lower-case names and values of the current head.
    """

    def __init__(self, server: RequestOwner) -> None:
        self.server = server
        self.transport: asyncio.Transport | None = None
        self.parser = httptools.HttpRequestParser(self)
        self.phase: RequestPhase = IDLE
        self.queued_requests: deque[DownstreamRequest] = deque()
        self.queued_bytes = 0
        self.unparsed = b""
        self.active_request: DownstreamRequest | None = None
        self.incoming_request: DownstreamRequest | None = None
        self.expects_continue = False
        self.has_sent_request = False
        self.raw_bytes = 0
        self.upgrade_framing = b""
        self.is_http_1_0 = False
        self.close_after_response = False
        self.last_received_s = server.loop.time()
        self.last_activity_s = self.last_received_s
        self._parsed_received_s = self.last_received_s  # when what is parsed now was received
        self.target = b""
        self.headers: list[tuple[bytes, bytes]] = []
        self._partial = PartialRequest()
        self._messages_begun = self._messages_ended = 0  # within the part that was parsed last

    @property
    def is_receiving(self) -> bool:
        """Whether a request has begun and is incomplete."""
        phase = self.phase
        return phase is BODY or phase is HEAD

    # ------------------------------------------------------------------------------------------------- subclasses

    def _create_request(
        self, method: bytes, body: RequestBody, content_length: int | None
    ) -> DownstreamRequest:
        """Make the request whose head is complete."""
        raise NotImplementedError

    def _on_data_parsed(self) -> None:
        """Continue after a read."""
        raise NotImplementedError

    def _on_request_started(self) -> None:
        """A request begins on an idle connection."""
        raise NotImplementedError

    def _update_backpressure(self) -> None:
        """The number of buffered bytes has changed."""
        raise NotImplementedError

    def _reject(self, error: BadRequestError) -> None:
        """What was received is not a valid request."""
        raise NotImplementedError

    # ---------------------------------------------------------------------------------------------------- parsing

    def data_received(self, data: bytes) -> None:
        """Parse what was received, as far as requests may be queued."""
        if self.phase is REJECTED:
            return
        self.last_received_s = self.server.loop.time()
        if self.incoming_request is not None:
            self.last_activity_s = self.last_received_s
        if self.unparsed:
            self._keep_unparsed(self.unparsed + data)
            return
        self._parsed_received_s = self.last_received_s
        self._parse(data)
        self._on_data_parsed()

    def _parse_kept(self) -> None:
        """Parse what was kept, as far as requests may be queued by now."""
        if self.unparsed and not self._queue_is_full():
            data = self.unparsed
            self._keep_unparsed(b"")
            self._parse(data)

    def _parse(self, data: bytes) -> None:
        """Parse a part at a time, and keep the rest once too many requests are queued."""
        position = 0
        while position < len(data) and self.phase is not REJECTED:
            if self._queue_is_full():
                self._keep_unparsed(data[position:])
                return
            part = data[position : position + self._max_parsed_bytes()]
            position += len(part)
            self._parse_part(part)

    def _queue_is_full(self) -> bool:
        budget = self.server.buffer_budget
        share_bytes = 0 if budget.exceeded else budget.connection_share_bytes
        return len(self.queued_requests) >= MAX_PIPELINED_REQUESTS or self.queued_bytes > share_bytes

    def _keep_unparsed(self, data: bytes) -> None:
        self.server.buffer_budget.used_bytes += len(data) - len(self.unparsed)
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
            if self.is_receiving:
                self._track_partial_request(data, phase)
                self._check_raw_size()
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

    def _feed_parser(self, data: bytes) -> None:
        while data:
            try:
                self.parser.feed_data(data)
                return
            except httptools.HttpParserUpgrade as upgrade:
                # The client offers another protocol, which is not accepted. The parser stops after such a head and
                # takes the body for the other protocol. Guards against a request hidden in it: another parser
                # is given the framing of the body and reads on.
                self.parser = httptools.HttpRequestParser(self)
                self.parser.feed_data(self.upgrade_framing)
                data = data[upgrade.args[0] :]

    def _track_partial_request(self, data: bytes, phase_before: RequestPhase) -> None:
        """Keep the bytes of an incomplete request for another process."""
        partial = self._partial
        if phase_before is IDLE or self._messages_ended:
            is_alone = self._messages_begun == 1 and not self._messages_ended
            partial.start(data if phase_before is IDLE and is_alone else None)
        elif phase_before is HEAD:
            partial.extend_head(data)
        if self.phase is BODY and self.incoming_request is not None:
            partial.extend_body(data, self.incoming_request)

    def _check_raw_size(self) -> None:
        """Guards memory and CPU against heads without end, and chunked bodies that are mostly framing."""
        if self.phase is HEAD:
            if self.raw_bytes > MAX_HEAD_BYTES:
                raise BadRequestError(431, "a request without end")
            return
        body_bytes = self.incoming_request.body.received_bytes if self.incoming_request is not None else 0
        if self.raw_bytes > MAX_CHUNK_OVERHEAD_BYTES + MAX_CHUNK_OVERHEAD_FACTOR * body_bytes:
            raise BadRequestError(413, "a request without end")

    # ------------------------------------------------------------------------------------- callbacks of the parser

    def on_message_begin(self) -> None:
        """A request begins."""
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
        """A part of the target was received."""
        if not self.upgrade_framing:
            self.target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """A header was received. Trailers, and the framing that is fed again after an offer, are ignored."""
        if self.phase is BODY:
            return
        self.headers.append((name.lower(), value))

    def on_headers_complete(self) -> None:
        """Check the head and begin a request with it."""
        if self.upgrade_framing:
            self.upgrade_framing = b""
            return
        self.phase, self.raw_bytes = BODY, 0
        version, method = self.parser.get_http_version(), self.parser.get_method()
        self._check_head(version, method)
        content_length = self._read_framing(version)
        self.expects_continue = self.expects_continue and content_length != 0 and version == "1.1"
        body = RequestBody(self.server.buffer_budget, self._update_backpressure)
        self.incoming_request = self._create_request(method, body, content_length)
        if self.parser.should_upgrade():
            close = b"" if self.parser.should_keep_alive() else b"Connection: close\r\n"
            if content_length is None:
                framing = b"Transfer-Encoding: chunked"
            else:
                framing = b"Content-Length: %d" % content_length
            self.upgrade_framing = b"POST / HTTP/1.1\r\n%b%b\r\n\r\n" % (close, framing)

    def _check_head(self, version: str, method: bytes) -> None:
        """Reject what is too large, or what another parser could understand differently (request smuggling)."""
        size = len(self.target) + sum([len(name) + len(value) for name, value in self.headers])
        single = [name for name, _ in self.headers if name in SINGLE_VALUE_HEADERS]
        if len(single) > 1 and len(set(single)) < len(single):
            raise BadRequestError(400, "a header stands twice")
        if size > MAX_HEAD_BYTES:
            raise BadRequestError(431, "headers too large")
        self.is_http_1_0 = version == "1.0"
        if version not in ("1.1", "1.0"):
            raise BadRequestError(400, "not HTTP/1.1")
        if method == b"CONNECT":
            raise BadRequestError(405, "GET and POST only")

    def _read_framing(self, version: str) -> int | None:
        """The declared size of the body in bytes; None if it is chunked."""
        content_length: int | None = 0
        for name, value in self.headers:
            if name == b"content-length":
                content_length = int(value)
                if content_length > MAX_BODY_BYTES:
                    raise BadRequestError(413, f"bodies hold at most {MAX_BODY_BYTES} bytes")
            elif name == b"transfer-encoding":
                content_length = None
                if value.strip().lower() != b"chunked" or version != "1.1":
                    raise BadRequestError(400, "Transfer-Encoding is not just chunked")
            elif name == b"expect":
                if value.strip().lower() != b"100-continue":
                    raise BadRequestError(417, "an expectation that is not known")
                self.expects_continue = True
        return content_length

    def on_body(self, data: bytes) -> None:
        """A part of the body was received."""
        request = self.incoming_request
        if request is None:
            return
        self.expects_continue = False
        request.body.append(data)
        if request.body.received_bytes > MAX_BODY_BYTES:
            raise BadRequestError(413, f"bodies hold at most {MAX_BODY_BYTES} bytes")

    def on_message_complete(self) -> None:
        """The request is complete: queue it, unless it was dispatched before."""
        if self.upgrade_framing:
            return  # the parser reports the end already after the head
        self._messages_ended += 1
        self.phase, self.has_sent_request = IDLE, True
        self.raw_bytes, self.expects_continue = 0, False
        request, self.incoming_request = self.incoming_request, None
        if request is None:
            return
        if not self.parser.should_keep_alive():
            self.close_after_response = True
        request.body.finish()
        if request.dispatched:
            if self.active_request is request:
                self.last_activity_s = self.server.loop.time()
                self.server.request_completed(request)
            return
        request.completed_s = self._parsed_received_s
        self.queued_bytes += request.body.received_bytes
        self.queued_requests.append(request)
