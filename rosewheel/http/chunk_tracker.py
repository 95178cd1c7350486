"""Where in its chunks a body stands, so that another parser can go on from there.

The parser in use tells of a body's bytes but not of how many are still to come in the chunk that it is in. This
follows the same bytes beside it and says with which ones a new parser gets to the same place. RFC 9112, section 7.1.
"""

from __future__ import annotations

from enum import Enum

MAX_LINE_BYTES = 4096  # Guards memory: a longer line of sizes or trailers is not followed


class ChunkedEncodingError(ValueError):
    """Bytes that can't be followed; the parser beside may still make sense of them."""


class _Position(Enum):
    HEAD = "head"
    SIZE_LINE = "size"
    DATA = "data"
    DATA_END = "behind"  # the line's end behind a chunk's data
    TRAILER = "trailer"
    COMPLETE = "over"


class ChunkTracker:
    """Fed with an answer from its first byte on, interim answers included, or with a request."""

    def __init__(self) -> None:
        self.position = _Position.HEAD
        self.chunk_bytes_left = 0  # bytes still to come of the chunk
        self._line = bytearray()  # what has come of a line that is not whole; of trailers all that has come
        self._status = b""

    def feed(self, data: bytes) -> None:
        """Go on by these bytes; FramingError where they are no chunks."""
        at = 0
        while at < len(data) and self.position is not _Position.COMPLETE:
            if self.position is _Position.DATA:
                taken = min(self.chunk_bytes_left, len(data) - at)
                at, self.chunk_bytes_left = at + taken, self.chunk_bytes_left - taken
                if not self.chunk_bytes_left:
                    self.position = _Position.DATA_END
                continue
            end = data.find(b"\n", at)
            piece = data[at:] if end < 0 else data[at : end + 1]
            at += len(piece)
            self._line += piece
            if len(self._line) > MAX_LINE_BYTES and self.position is not _Position.HEAD:
                raise ChunkedEncodingError("a line without end")
            if end >= 0:
                self._line_complete()

    def _line_complete(self) -> None:
        """A line has come whole."""
        line = bytes(self._line)
        if self.position is _Position.TRAILER:  # its lines are kept: a new parser is given them again
            if line.endswith(b"\r\n\r\n") or line == b"\r\n":
                self.position = _Position.COMPLETE
            return
        self._line.clear()
        text = line.rstrip(b"\r\n")
        if self.position is _Position.HEAD:
            if text and not self._status:
                status = text.split(b" ", 2)[1] if text.startswith(b"HTTP/") and b" " in text else b"?"
                self._status = status
            elif not text and self._status:
                interim, self._status = self._status[:1] == b"1", b""
                if not interim:
                    self.position = _Position.SIZE_LINE
        elif self.position is _Position.DATA_END:
            if text:
                raise ChunkedEncodingError("more behind a chunk than its line's end")
            self.position = _Position.SIZE_LINE
        else:
            try:
                self.chunk_bytes_left = int(text.partition(b";")[0].strip(), 16)
            except ValueError as error:
                raise ChunkedEncodingError("no size of a chunk") from error
            self.position = _Position.DATA if self.chunk_bytes_left else _Position.TRAILER

    @property
    def in_body(self) -> bool:
        return self.position not in (_Position.HEAD, _Position.COMPLETE)

    def resume_prefix(self) -> bytes:
        """What to give a new parser behind a head that promises chunks, so that it stands where this does. Of what
        it then takes for body, nothing is."""
        match self.position:
            case _Position.SIZE_LINE:
                return bytes(self._line)
            case _Position.DATA:
                return b"%x\r\n" % self.chunk_bytes_left
            case _Position.DATA_END:
                return b"1\r\n-" + bytes(self._line)
            case _Position.TRAILER:
                return b"0\r\n" + bytes(self._line)
        raise ChunkedEncodingError("not in the middle of a body")

    def reencode(self, body: bytes) -> bytes:
        """All that has come behind the head, in other chunks, for a new parser that is to find this body again."""
        if self.position is _Position.DATA_END:
            if not body:
                raise ChunkedEncodingError("a chunk without its data")
            return b"%x\r\n%b" % (len(body), body) + bytes(self._line)
        before = b"%x\r\n%b\r\n" % (len(body), body) if body else b""
        return before + self.resume_prefix()
