"""Where in its chunks a body stands, so that another parser can go on from there.

The parser in use tells of a body's bytes but not of how many are still to come in the chunk that it is in. This
follows the same bytes beside it and says with which ones a new parser gets to the same place. RFC 9112, section 7.1.
"""

from __future__ import annotations

from enum import Enum

LINE_BYTES = 4096  # Guards memory: a longer line of sizes or trailers is not followed


class FramingError(ValueError):
    """Bytes that can't be followed; the parser beside may still make sense of them."""


class _Part(Enum):
    HEAD = "head"
    SIZE = "size"
    DATA = "data"
    BEHIND = "behind"  # the line's end behind a chunk's data
    TRAILER = "trailer"
    OVER = "over"


class Chunks:
    """Fed with an answer from its first byte on, interim answers included, or with a request."""

    def __init__(self) -> None:
        self.part = _Part.HEAD
        self.left = 0  # bytes still to come of the chunk
        self.line = bytearray()  # what has come of a line that is not whole; of trailers all that has come
        self._status = b""

    def feed(self, data: bytes) -> None:
        """Go on by these bytes; FramingError where they are no chunks."""
        at = 0
        while at < len(data) and self.part is not _Part.OVER:
            if self.part is _Part.DATA:
                taken = min(self.left, len(data) - at)
                at, self.left = at + taken, self.left - taken
                if not self.left:
                    self.part = _Part.BEHIND
                continue
            end = data.find(b"\n", at)
            piece = data[at:] if end < 0 else data[at : end + 1]
            at += len(piece)
            self.line += piece
            if len(self.line) > LINE_BYTES and self.part is not _Part.HEAD:
                raise FramingError("a line without end")
            if end >= 0:
                self._ended()

    def _ended(self) -> None:
        """A line has come whole."""
        line = bytes(self.line)
        if self.part is _Part.TRAILER:  # its lines are kept: a new parser is given them again
            if line.endswith(b"\r\n\r\n") or line == b"\r\n":
                self.part = _Part.OVER
            return
        self.line.clear()
        text = line.rstrip(b"\r\n")
        if self.part is _Part.HEAD:
            if text and not self._status:
                status = text.split(b" ", 2)[1] if text.startswith(b"HTTP/") and b" " in text else b"?"
                self._status = status
            elif not text and self._status:
                interim, self._status = self._status[:1] == b"1", b""
                if not interim:
                    self.part = _Part.SIZE
        elif self.part is _Part.BEHIND:
            if text:
                raise FramingError("more behind a chunk than its line's end")
            self.part = _Part.SIZE
        else:
            try:
                self.left = int(text.partition(b";")[0].strip(), 16)
            except ValueError as error:
                raise FramingError("no size of a chunk") from error
            self.part = _Part.DATA if self.left else _Part.TRAILER

    @property
    def midway(self) -> bool:
        return self.part not in (_Part.HEAD, _Part.OVER)

    def resume(self) -> bytes:
        """What to give a new parser behind a head that promises chunks, so that it stands where this does. Of what
        it then takes for body, nothing is."""
        match self.part:
            case _Part.SIZE:
                return bytes(self.line)
            case _Part.DATA:
                return b"%x\r\n" % self.left
            case _Part.BEHIND:
                return b"1\r\n-" + bytes(self.line)
            case _Part.TRAILER:
                return b"0\r\n" + bytes(self.line)
        raise FramingError("not in the middle of a body")

    def again(self, body: bytes) -> bytes:
        """All that has come behind the head, in other chunks, for a new parser that is to find this body again."""
        if self.part is _Part.BEHIND:
            if not body:
                raise FramingError("a chunk without its data")
            return b"%x\r\n%b" % (len(body), body) + bytes(self.line)
        before = b"%x\r\n%b\r\n" % (len(body), body) if body else b""
        return before + self.resume()
