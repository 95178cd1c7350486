"""The received bytes of an incomplete request, buffered so that another process can parse them from the start."""

from __future__ import annotations

from rosewheel.http.chunk_tracker import ChunkTracker
from rosewheel.http.errors import ChunkedEncodingError
from rosewheel.http.request import DownstreamRequest


class PartialRequest:
    """The received bytes of the current request.

    The parser does not report where in its input a message begins. If a read contained more than one message, the
    head of the last one is unknown, and the connection can't be detached until this request is complete.

    Attributes:
        head: The received bytes of an incomplete head; None if they are unknown, or the head is complete.
        chunk_tracker: The position in an incomplete chunked body; None if the position is unknown, or there is no such
            body.
    """

    __slots__ = ("chunk_tracker", "head")

    def __init__(self) -> None:
        self.head: bytearray | None = bytearray()
        self.chunk_tracker: ChunkTracker | None = None

    def clear(self) -> None:
        """Discard the received bytes, once the request is complete or was rejected."""
        self.head, self.chunk_tracker = None, None

    def start(self, data: bytes | None) -> None:
        """Start a request with its first bytes; None if they could not be separated from those of other requests."""
        self.chunk_tracker = None
        self.head = bytearray(data) if data is not None else None

    def extend_head(self, data: bytes) -> None:
        """Append received bytes of the head."""
        if self.head is not None:
            self.head += data

    def extend_body(self, data: bytes, request: DownstreamRequest) -> None:
        """Track bytes of the body; `data` may begin within the head."""
        if request.content_length is None and not request.dispatched:
            try:
                if self.chunk_tracker is not None:
                    self.chunk_tracker.feed(data)
                elif self.head:
                    self.chunk_tracker = ChunkTracker()
                    self.chunk_tracker.feed(bytes(self.head))
            except ChunkedEncodingError:
                self.chunk_tracker = None
        self.head = None  # no longer needed: `request` contains the parsed head

    def replayable(self, request: DownstreamRequest | None, *, response_pending: bool) -> bool:
        """Return whether another parser can read the received bytes from the first one.

        Args:
            request: The incomplete request; None if its head is incomplete.
            response_pending: An earlier request of the connection has no response yet, or this one was dispatched.
        """
        if request is None:
            return self.head is not None and not response_pending
        if request.dispatched or response_pending or request.body.first_index or request.body.released:
            return False
        if request.header(b"upgrade") is not None:
            return False
        if request.content_length is not None:
            return True
        return self.chunk_tracker is not None and self.chunk_tracker.in_body

    def encode(self, request: DownstreamRequest | None, *, is_http_1_0: bool) -> bytes:
        """Return bytes that another parser reads as the same incomplete request.

        Args:
            request: The incomplete request; None if its head is incomplete.
            is_http_1_0: The request is HTTP/1.0.

        Raises:
            ChunkedEncodingError: The position in a chunked body is unknown.
        """
        if request is None:
            return bytes(self.head or b"")
        version = b"1.0" if is_http_1_0 else b"1.1"
        lines = [b"%b %b HTTP/%b\r\n" % (request.method, request.target, version)]
        lines += [b"%b: %b\r\n" % pair for pair in request.headers if pair[0] != b"expect"]
        body = b"".join(request.body.segments)
        if request.content_length is None:
            if self.chunk_tracker is None:
                raise ChunkedEncodingError("position in the chunked body is unknown")
            body = self.chunk_tracker.reencode(body)
        return b"".join((*lines, b"\r\n", body))
