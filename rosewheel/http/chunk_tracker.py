"""Tracks the position in a chunked body, so that another parser can continue from there (RFC 9112, section 7.1).

The HTTP parser reports the bytes of a body, but not how many of the current chunk are still to come. The tracker
follows the same input, and generates the bytes that bring a new parser to the same position.
"""

from __future__ import annotations

from enum import Enum

from rosewheel.http.errors import ChunkedEncodingError

MAX_LINE_BYTES = 4096  # limit for a size line and for all trailers, which the tracker buffers
# Smallest mean size of the chunks that are followed, beyond the first ones: each chunk costs a step of the tracker.
MIN_MEAN_CHUNK_BYTES = 2048
MAX_SMALL_CHUNKS = 256


class _Position(Enum):
    HEAD = "head"
    SIZE_LINE = "size line"
    DATA = "data"
    DATA_END = "line end after the data of a chunk"
    TRAILER = "trailer"
    COMPLETE = "complete"


class ChunkTracker:
    """Tracks a chunked request, or a response including the interim responses before it, from its first byte.

    Attributes:
        position: The part of the message that is expected next.
        chunk_bytes_left: Bytes of the current chunk that are still to come.
    """

    def __init__(self) -> None:
        self.position = _Position.HEAD
        self.chunk_bytes_left = 0
        self._chunk_count = self._chunk_bytes = 0  # of all chunks so far
        self._line = bytearray()  # the incomplete line; within trailers, all lines of the trailers
        self._status = b""  # status code of the current head, `?` for a request; empty before its first line

    def feed(self, data: bytes) -> None:
        """Advance the position by received bytes.

        Raises:
            ChunkedEncodingError: The bytes are not a valid chunked message, a line is too long, or the chunks are
                too small.
        """
        offset = 0
        while offset < len(data) and self.position is not _Position.COMPLETE:
            if self.position is _Position.DATA:
                consumed = min(self.chunk_bytes_left, len(data) - offset)
                offset, self.chunk_bytes_left = offset + consumed, self.chunk_bytes_left - consumed
                if not self.chunk_bytes_left:
                    self.position = _Position.DATA_END
                continue
            end = data.find(b"\n", offset)
            piece = data[offset:] if end < 0 else data[offset : end + 1]
            offset += len(piece)
            self._line += piece
            if len(self._line) > MAX_LINE_BYTES and self.position is not _Position.HEAD:
                raise ChunkedEncodingError(f"size line or trailers exceed {MAX_LINE_BYTES} bytes")
            if end >= 0:
                self._line_complete()

    def _line_complete(self) -> None:
        line = bytes(self._line)
        if self.position is _Position.TRAILER:  # trailer lines stay buffered for `resume_prefix`
            if line.endswith(b"\r\n\r\n") or line == b"\r\n":
                self.position = _Position.COMPLETE
            return
        self._line.clear()
        text = line.rstrip(b"\r\n")
        if self.position is _Position.HEAD:
            self._head_line(text)
        elif self.position is _Position.DATA_END:
            if text:
                raise ChunkedEncodingError("chunk data longer than its size")
            self.position = _Position.SIZE_LINE
        else:
            self._size_line(text)

    def _head_line(self, text: bytes) -> None:
        if text and not self._status:
            status = text.split(b" ", 2)[1] if text.startswith(b"HTTP/") and b" " in text else b"?"
            self._status = status
        elif not text and self._status:
            is_interim, self._status = self._status[:1] == b"1", b""
            if not is_interim:
                self.position = _Position.SIZE_LINE

    def _size_line(self, text: bytes) -> None:
        try:
            self.chunk_bytes_left = int(text.partition(b";")[0].strip(), 16)
        except ValueError as error:
            raise ChunkedEncodingError("invalid chunk size") from error
        self._chunk_count += 1
        self._chunk_bytes += self.chunk_bytes_left
        if self._chunk_count > MAX_SMALL_CHUNKS + self._chunk_bytes // MIN_MEAN_CHUNK_BYTES:
            raise ChunkedEncodingError("too many small chunks")
        self.position = _Position.DATA if self.chunk_bytes_left else _Position.TRAILER

    @property
    def in_body(self) -> bool:
        """True if the head is complete and the body is not."""
        return self.position not in (_Position.HEAD, _Position.COMPLETE)

    def resume_prefix(self) -> bytes:
        """Return the bytes that bring a new parser to this position, after a head with chunked encoding.

        Body bytes that the new parser reports for them are not a part of the message.

        Raises:
            ChunkedEncodingError: The position is not within a body.
        """
        match self.position:
            case _Position.SIZE_LINE:
                return bytes(self._line)
            case _Position.DATA:
                return b"%x\r\n" % self.chunk_bytes_left
            case _Position.DATA_END:
                return b"1\r\n-" + bytes(self._line)  # a chunk with one dummy byte
            case _Position.TRAILER:
                return b"0\r\n" + bytes(self._line)
        raise ChunkedEncodingError("not within a body")

    def reencode(self, body: bytes) -> bytes:
        """Return the received part of the body in new chunks, so that a new parser reports it from its first byte.

        Args:
            body: The decoded body, as far as it was received.

        Raises:
            ChunkedEncodingError: The position is not within a body.
        """
        if self.position is _Position.DATA_END:
            if not body:
                raise ChunkedEncodingError("position after chunk data, but no body was received")
            return b"%x\r\n%b" % (len(body), body) + bytes(self._line)
        received = b"%x\r\n%b\r\n" % (len(body), body) if body else b""
        return received + self.resume_prefix()
