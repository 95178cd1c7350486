"""Parses the responses of a server, one at a time: short bodies are buffered, long ones are streamed."""

from __future__ import annotations

import logging
from collections.abc import Callable
from enum import Enum, auto

import httptools

from rosewheel.http.chunk_tracker import ChunkTracker
from rosewheel.http.errors import ChunkedEncodingError, InvalidResponseError
from rosewheel.http.load_report import LoadReport, parse_load_report
from rosewheel.http.reading import BoundedReads

log = logging.getLogger("rosewheel.upstream")

MAX_RESPONSE_BYTES = 32 << 20  # limit for the body
STREAM_THRESHOLD_BYTES = 64 * 1024  # a longer body is streamed
MAX_PARSED_BYTES = 16 * 1024  # bytes of a chunked response passed to the parser at once
MAX_RESPONSE_HEAD_BYTES = 16 * 1024  # limit for the head and the interim responses before it

# Consumes a part of a streamed body; returns False to pause the response.
ResponseSink = Callable[[bytes], bool]


class ResponsePhase(Enum):
    """Parsing state of a response."""

    HEAD = auto()  # within the head or an interim response
    BODY = auto()  # within the body
    COMPLETE = auto()  # the response is complete


# Module-level aliases: in Python 3.11 each access to a member through its Enum class is a function call, and these are
# read for every header.
HEAD, BODY, COMPLETE = ResponsePhase


class ResponseReader(BoundedReads):
    """Parses the responses received on a connection. Subclasses send the requests.

    Attributes:
        phase: The parsing state.
        head_bytes: Bytes received until the head was complete; 0 if none were received.
        response_body: The buffered body; empty once it is streamed.
        response_bytes: Bytes of the body received so far.
        content_length: Declared size of the body in bytes, if any.
        sink: Consumer of the streamed body; None if the body is buffered.
        load_report: The server's load report, if any.
        not_started: The server states that it has not executed the request.
        has_framing: The head declares where the body ends; otherwise the body ends with the connection.
        keep_alive: The connection may be reused; valid once the response is complete.
        chunk_tracker: Position in a chunked body; None if the position is unknown, or the body is not chunked.
    """

    __slots__ = (
        "_body_parts",
        "_head_buffer",
        "_restoring",
        "chunk_tracker",
        "content_length",
        "has_framing",
        "head_bytes",
        "keep_alive",
        "load_report",
        "not_started",
        "on_body",
        "parser",
        "phase",
        "response_body",
        "response_bytes",
        "sink",
    )

    def __init__(self) -> None:
        self._body_parts: list[bytes] = []
        # The parser calls it for each part of a body. A method in Python would take most of the time for tiny chunks.
        self.on_body = self._body_parts.append
        self.parser = httptools.HttpResponseParser(self)
        self.response_body = bytearray()
        self._restoring = False  # the input of the parser is generated, and body bytes in it are ignored
        self._reset()

    def _reset(self) -> None:
        """Prepare for the response to the next request."""
        self.head_bytes = 0
        self._head_buffer = bytearray()  # received bytes until the head is complete
        self.chunk_tracker: ChunkTracker | None = None
        self._reset_response()

    def _reset_response(self) -> None:
        """Prepare for the response after an interim response."""
        self._body_parts.clear()
        self.phase: ResponsePhase = HEAD
        self._drop_response_body()
        self.response_bytes = 0
        self.content_length: int | None = None
        self.sink: ResponseSink | None = None
        self.load_report: LoadReport | None = None
        self.not_started = self.has_framing = self.keep_alive = False

    # Hooks for subclasses.

    def _has_exchange(self) -> bool:
        """Return whether a response is expected."""
        raise NotImplementedError

    def _open_sink(self) -> ResponseSink:
        """Return the sink for a response that has to be streamed.

        Raises:
            InvalidResponseError: No streamed response is expected, or the request is not completely sent.
        """
        raise NotImplementedError

    def _on_buffered(self, size: int) -> None:
        """Count bytes of the buffered response; a negative number was dropped."""

    def _drop_response_body(self) -> None:
        """Free the buffered response."""
        self._on_buffered(-len(self.response_body))
        self.response_body = bytearray()

    def pause_response(self) -> None:
        """Stop reading, since the client reads more slowly than the server sends."""
        raise NotImplementedError

    def _feed_parser(self, data: bytes) -> bool:
        """Parse received bytes; return whether surplus bytes follow the complete response.

        Raises:
            HttpParserError: The bytes are not a valid HTTP response.
            HttpParserUpgrade: The server switches protocols.
            InvalidResponseError: The response is too long, or is not supported.
        """
        if self.phase is HEAD:
            self.head_bytes += len(data)
        try:
            self._feed_in_parts(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            if self.phase is not COMPLETE:
                raise
            self._append_body_parts()
            return True
        if self.phase is HEAD and self.head_bytes > MAX_RESPONSE_HEAD_BYTES:
            raise InvalidResponseError(f"response head exceeds {MAX_RESPONSE_HEAD_BYTES} bytes")
        return False

    def _feed_in_parts(self, data: bytes) -> None:
        """Pass received bytes to the parser; those of a chunked body in parts, so that few pieces exist at once."""
        if len(data) <= MAX_PARSED_BYTES or self.content_length is not None:
            self.parser.feed_data(data)
            self._append_body_parts()
            return
        for offset in range(0, len(data), MAX_PARSED_BYTES):
            self.parser.feed_data(data[offset : offset + MAX_PARSED_BYTES])
            self._append_body_parts()

    def _track_chunks(self, data: bytes, phase_before: ResponsePhase) -> None:
        """Track the position in a chunked body, so that the connection can be detached (hot restart)."""
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
        """True if the parser of another process can continue within the body."""
        if self.content_length is not None or not self.has_framing:
            return True
        return self.chunk_tracker is not None and self.chunk_tracker.in_body

    def _restore_position(self, head: bytes, received_bytes: int) -> None:
        """Prepare the parser for the rest of a body whose beginning was received by another process.

        Args:
            head: A response head for the remaining bytes, followed by the framing that leads to the position within a
                chunked body; see `UpstreamState.resume_head`.
            received_bytes: Bytes of the body that the other process received.
        """
        self._restoring = True
        self.parser.feed_data(head)
        self._append_body_parts()
        self._restoring = False
        self._track_chunks(head, HEAD)
        # Any number above 0: the head was received by the other process.
        self.head_bytes, self.response_bytes = 1, received_bytes
        if self.content_length is not None:  # the generated head declares only the remaining bytes
            self.content_length += received_bytes

    # Callbacks of the parser.

    def on_header(self, name: bytes, value: bytes) -> None:
        """Evaluate a header; trailers are ignored.

        Raises:
            InvalidResponseError: The declared length or the transfer encoding is not supported.
        """
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
                raise InvalidResponseError(f"response body exceeds {MAX_RESPONSE_BYTES} bytes")
        elif name == b"transfer-encoding":
            self.has_framing = True
            if value.strip().lower() != b"chunked":
                raise InvalidResponseError("unsupported transfer encoding")

    def on_headers_complete(self) -> None:
        """Start streaming if the declared length requires it. Interim responses are treated as a part of the head."""
        status = self.parser.get_status_code()
        if status >= 200:
            self.phase = BODY
        if status != 200 or self._restoring:
            return
        if self.content_length is not None and self.content_length > STREAM_THRESHOLD_BYTES:
            self._start_streaming()

    def _append_body_parts(self) -> None:
        """Buffer or stream the parts of the body that the parser has found. Bodies of error responses are dropped.

        Raises:
            InvalidResponseError: The body is too long, or can't be streamed.
        """
        parts = self._body_parts
        if not parts:
            return
        data = parts[0] if len(parts) == 1 else b"".join(parts)
        parts.clear()
        if self._restoring:
            return
        self.response_bytes += len(data)
        if self.response_bytes > MAX_RESPONSE_BYTES:
            raise InvalidResponseError(f"response body exceeds {MAX_RESPONSE_BYTES} bytes")
        if self.sink is not None:
            if not self.sink(data):
                self.pause_response()
        elif self._has_exchange() and self.parser.get_status_code() == 200:
            self.response_body += data
            self._on_buffered(len(data))
            if self.response_bytes > STREAM_THRESHOLD_BYTES:
                self._start_streaming()

    def _start_streaming(self) -> None:
        """Pass the buffered part of the body to the sink, which receives the rest as it arrives."""
        sink = self._open_sink()
        self.sink, body = sink, bytes(self.response_body)
        self._drop_response_body()
        if body and not sink(body):
            self.pause_response()

    def on_message_begin(self) -> None:
        """Accept only one response to a request.

        Raises:
            InvalidResponseError: The response to the current request is complete.
        """
        if self.phase is COMPLETE:
            raise InvalidResponseError("second response to one request")

    def on_message_complete(self) -> None:
        """Complete the response; after an interim response, wait for the final one."""
        if self.parser.get_status_code() < 200:
            self._reset_response()
        else:
            # Read here, since `should_keep_alive` always returns False after `feed_data` has returned.
            self.phase, self.keep_alive = COMPLETE, self.parser.should_keep_alive()
