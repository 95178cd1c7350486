"""Parsing of what a server sends: one response at a time, buffered if it is short and streamed if it is long."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable
from enum import Enum, auto

import httptools

from rosewheel.http.chunk_tracker import ChunkTracker
from rosewheel.http.errors import ChunkedEncodingError, InvalidResponseError
from rosewheel.http.load_report import LoadReport, parse_load_report

log = logging.getLogger("rosewheel.upstream")

MAX_RESPONSE_BYTES = 32 << 20  # guards clients against a server that does not stop sending
STREAM_THRESHOLD_BYTES = 64 * 1024  # a longer response is streamed
MAX_RESPONSE_HEAD_BYTES = 16 * 1024  # interim responses before it included

ResponseSink = Callable[[bytes], bool]  # takes a part of a streamed body; False: pause the response


class ResponsePhase(Enum):
    """What is received next of a response."""

    HEAD = auto()  # more of the head; interim responses belong to it
    BODY = auto()  # more of the body, or its end
    COMPLETE = auto()  # nothing


# Names of the module, since in Python 3.11 an attribute of an Enum class costs a call, and these are read per header.
HEAD, BODY, COMPLETE = ResponsePhase


class ResponseReader(asyncio.Protocol):
    """Parses the response to one request after the other. Subclasses send the requests.

    Attributes:
        phase: What is received next.
        head_bytes: Bytes received before the head was complete.
        response_body: The body, as far as it is not streamed.
        response_bytes: Size of the body received so far.
        content_length: Declared size of the body in bytes, if any.
        sink: Where the body is streamed to.
        load_report: The server's report on its load, if any.
        not_started: The server states that it has not executed the request.
        has_framing: The head states where the body ends; otherwise the end of the connection is its end.
        keep_alive: The connection may be used again; known once the response is complete.
        chunk_tracker: Position in a streamed chunked body; None otherwise, or if it is unknown.
    """

    def __init__(self) -> None:
        self.parser = httptools.HttpResponseParser(self)
        self._restoring = False  # what the parser reports does not belong to the response
        self._reset()

    def _reset(self) -> None:
        """Prepare for the response to another request."""
        self.head_bytes = 0
        self._head_buffer = bytearray()  # first bytes of the response, until its head is complete
        self.chunk_tracker: ChunkTracker | None = None
        self._reset_response()

    def _reset_response(self) -> None:
        """Prepare for the response after an interim one."""
        self.phase: ResponsePhase = HEAD
        self.response_body = bytearray()
        self.response_bytes = 0
        self.content_length: int | None = None
        self.sink: ResponseSink | None = None
        self.load_report: LoadReport | None = None
        self.not_started = self.has_framing = self.keep_alive = False

    # ------------------------------------------------------------------------------------------------- subclasses

    def _has_exchange(self) -> bool:
        """Whether a response is expected."""
        raise NotImplementedError

    def _open_sink(self) -> ResponseSink:
        """Where to stream the response to.

        Raises:
            InvalidResponseError: It is not expected, or too early.
        """
        raise NotImplementedError

    def pause_response(self) -> None:
        """Stop reading, since the client reads more slowly than the server sends."""
        raise NotImplementedError

    # ---------------------------------------------------------------------------------------------------- parsing

    def _feed_parser(self, data: bytes) -> bool:
        """Parse what was received; whether there was more behind the complete response.

        Raises:
            HttpParserError: It is not HTTP.
            InvalidResponseError: It is not a valid response.
        """
        if self.phase is HEAD:
            self.head_bytes += len(data)
        try:
            self.parser.feed_data(data)
            if self.phase is HEAD and self.head_bytes > MAX_RESPONSE_HEAD_BYTES:
                raise InvalidResponseError("head too long")
        except (httptools.HttpParserError, httptools.HttpParserUpgrade, InvalidResponseError):
            if self.phase is not COMPLETE:
                raise
            return True
        return False

    def _track_chunks(self, data: bytes, phase_before: ResponsePhase) -> None:
        """Follow the position in a chunked body, in case another process has to continue with it."""
        if phase_before is HEAD:
            self._head_buffer += data
            if self.phase is HEAD:
                return
            data, self._head_buffer = bytes(self._head_buffer), bytearray()
            if self.has_framing and self.content_length is None:
                self.chunk_tracker = ChunkTracker()
        if self.chunk_tracker is not None:
            try:
                self.chunk_tracker.feed(data)
            except ChunkedEncodingError as error:
                log.debug("chunked body not tracked: reason=%s", error)
                self.chunk_tracker = None

    @property
    def position_is_known(self) -> bool:
        """Whether another parser could continue with the body."""
        if self.content_length is not None or not self.has_framing:
            return True
        return self.chunk_tracker is not None and self.chunk_tracker.in_body

    def _restore_position(self, head: bytes, received_bytes: int) -> None:
        """Continue within the body of a response.

        Args:
            head: A head for the bytes that are still to come, and the beginning of a chunk if they are within one.
            received_bytes: What another process received of the body.
        """
        self._restoring = True
        self.parser.feed_data(head)
        self._restoring = False
        self._track_chunks(head, HEAD)
        self.head_bytes, self.response_bytes = 1, received_bytes
        if self.content_length is not None:
            self.content_length += received_bytes  # of the complete response

    # ------------------------------------------------------------------------------------- callbacks of the parser

    def on_header(self, name: bytes, value: bytes) -> None:
        """A header was received; trailers are ignored."""
        if self.phase is not HEAD:
            return
        name = name.lower()
        if name == b"server-load":
            self.load_report = parse_load_report(value.decode("latin-1")) or self.load_report
        elif name == b"not-started":
            self.not_started = value.strip() == b"1"
        elif name == b"content-length":
            self.has_framing = True
            self.content_length = int(value)
            if self.content_length > MAX_RESPONSE_BYTES:
                raise InvalidResponseError("response too long")
        elif name == b"transfer-encoding":
            self.has_framing = True
            if value.strip().lower() != b"chunked":
                raise InvalidResponseError("unknown transfer encoding")

    def on_headers_complete(self) -> None:
        """Begin to stream the response if it is long. An interim response counts as a part of the head."""
        status = self.parser.get_status_code()
        if status >= 200:
            self.phase = BODY
        if status != 200 or self._restoring:
            return
        if self.content_length is not None and self.content_length > STREAM_THRESHOLD_BYTES:
            self._start_streaming()

    def on_body(self, data: bytes) -> None:
        """A part of the body was received. Bodies of errors are dropped."""
        if self._restoring:
            return
        self.response_bytes += len(data)
        if self.response_bytes > MAX_RESPONSE_BYTES:
            raise InvalidResponseError("response too long")
        if self.sink is not None:
            if not self.sink(data):
                self.pause_response()
        elif self._has_exchange() and self.parser.get_status_code() == 200:
            self.response_body += data
            if self.response_bytes > STREAM_THRESHOLD_BYTES:
                self._start_streaming()

    def _start_streaming(self) -> None:
        """Pass the body on from now on: it is too long to be buffered."""
        sink = self._open_sink()
        self.sink, body, self.response_body = sink, bytes(self.response_body), bytearray()
        if body and not sink(body):
            self.pause_response()

    def on_message_begin(self) -> None:
        """A response begins."""
        if self.phase is COMPLETE:
            raise InvalidResponseError("second response")

    def on_message_complete(self) -> None:
        """The response is complete, or the interim one before it."""
        if self.parser.get_status_code() < 200:
            self._reset_response()
        else:
            # Once the parser has returned it has forgotten the response, and always says no.
            self.phase, self.keep_alive = COMPLETE, self.parser.should_keep_alive()
