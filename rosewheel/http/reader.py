"""What comes on one caller's connection: requests and their bodies, and what was read of one that is not whole."""

from __future__ import annotations

import asyncio
import logging
from collections import deque
from typing import TYPE_CHECKING

import httptools

from rosewheel.http.body import Body
from rosewheel.http.call import SINGLE_HEADERS, BadRequestError, Call
from rosewheel.http.framing import Chunks, FramingError

if TYPE_CHECKING:
    from rosewheel.http.callers import Server

log = logging.getLogger("rosewheel.callers")

BODY_BYTES = 32 << 20
HEAD_BYTES = 16 * 1024
EXTRA_BYTES = 256 * 1024  # what a body may take on the wire beyond its size: sizes of chunks, trailers,
EXTRA_TIMES = 16  # and this many times its size, in tiny chunks
WAITING = 8  # requests that one connection may send ahead of the answers


class Reader(asyncio.Protocol):
    """Takes requests off what arrives; whoever extends it goes on with them."""

    def __init__(self, server: Server) -> None:
        self.server = server
        self.transport: asyncio.Transport | None = None
        self.parser = httptools.HttpRequestParser(self)
        self.waiting: deque[Call] = deque()
        self.current: Call | None = None
        self.incoming: Call | None = None  # whose body is on its way
        self.expecting = False  # it waits for a word before it sends its body
        self.partial = self.headed = self.bad = False
        self.asked = False  # it has sent a whole request
        self.raw = 0  # bytes of the head, or since the head, of the request that is coming
        self.ahead = 0  # bytes of the requests that wait
        self.offer = b""  # the framing of a request that offers another protocol
        self.old = False  # it speaks HTTP/1.0
        self.last = False  # the caller wants the connection closed after this answer
        self.begins = self.ends = 0  # of messages, within what came last
        # A head that is not whole, as it came; None: it can't be told.
        self.half: bytearray | None = bytearray()
        self.chunks: Chunks | None = None  # where a body in chunks stands that is not whole
        self.heard = server.loop.time()  # when something last came
        self.since = self.heard  # of the last change between idle, partial and busy
        self._fresh()

    def _fresh(self) -> None:
        self.target = b""
        self.headers: list[tuple[bytes, bytes]] = []
        self.headed = False

    # ------------------------------------------------------- what the owner does

    def _call(self, method: bytes, body: Body, length: int | None) -> Call:
        """The request whose head has come."""
        raise NotImplementedError

    def _took(self) -> None:
        """What has come is read; go on with it."""
        raise NotImplementedError

    def _woke(self) -> None:
        """A request begins where nothing was asked."""
        raise NotImplementedError

    def _throttle(self) -> None:
        """There is more, or less, that waits."""
        raise NotImplementedError

    def _reject(self, error: BadRequestError) -> None:
        """What came is no request."""
        raise NotImplementedError

    # ---------------------------------------------------------------- parsing

    def data_received(self, data: bytes) -> None:
        if self.bad:
            return
        self.raw += len(data)
        self.heard = self.server.loop.time()
        if self.incoming is not None and self.headed:
            self.since = self.server.loop.time()
        fresh, heads = not self.partial and self.incoming is None, not self.headed
        self.begins = self.ends = 0
        try:
            self._parse(data)
            self._follow_half(data, fresh, heads)
            if self.partial:
                size = self.incoming.body.size if self.incoming is not None else 0
                if self.raw > (EXTRA_BYTES + EXTRA_TIMES * size if self.headed else HEAD_BYTES):
                    raise BadRequestError(413 if self.headed else 431, "a request without end")
        except httptools.HttpParserCallbackError as error:
            cause = error.__context__
            if not isinstance(cause, BadRequestError):
                log.error("a request could not be read", exc_info=cause)
                cause = BadRequestError(400, "the request could not be read")
            self._reject(cause)
        except httptools.HttpParserError as error:
            self._reject(BadRequestError(400, f"not HTTP: {error}"))
        except BadRequestError as error:
            self._reject(error)
        else:
            self._took()

    def _follow_half(self, data: bytes, fresh: bool, heads: bool) -> None:
        """Keep what another process would need to go on with a request that is not whole. The parser does not say
        where in its bytes a message begins: where more than one is in what came, it can't be told."""
        if not self.partial:
            self.chunks = None
            return
        if fresh or self.ends:
            self.chunks = None
            self.half = bytearray(data) if fresh and self.begins == 1 and not self.ends else None
        elif heads and self.half is not None:
            self.half += data
        call = self.incoming
        if not self.headed or call is None:
            return
        if call.length is None and not call.asked:
            try:
                if self.chunks is not None:
                    self.chunks.feed(data)
                elif self.half:
                    self.chunks = Chunks()
                    self.chunks.feed(bytes(self.half))
            except FramingError:
                self.chunks = None
        self.half = None  # from here on its parts are kept

    def _parse(self, data: bytes) -> None:
        while data:
            try:
                self.parser.feed_data(data)
                return
            except httptools.HttpParserUpgrade as upgrade:
                # An offer to speak something else, which is not taken up. The parser stops behind the head of
                # such a request and takes its body for the other protocol. Guards against a request hidden
                # there: another parser is told of the body's framing, and reads on.
                self.parser = httptools.HttpRequestParser(self)
                self.parser.feed_data(self.offer)
                data = data[upgrade.args[0] :]

    def on_message_begin(self) -> None:
        if self.offer:
            return
        self.begins += 1
        self.partial = True
        if self.current is None and not self.waiting:
            self._woke()
            self.since = self.server.loop.time()
        self._fresh()

    def on_url(self, url: bytes) -> None:
        if not self.offer:
            self.target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        if self.headed:
            return  # a trailer, or the framing once more: what the head has said stands
        self.headers.append((name.lower(), value))

    def on_headers_complete(self) -> None:
        """Guards against a second request hidden in the first: where the parser or a server behind it could
        see another end of it, it is not taken. A body that is too long is refused before it comes."""
        if self.offer:
            self.offer = b""
            return
        self.headed, self.raw = True, 0
        size = len(self.target) + sum([len(name) + len(value) for name, value in self.headers])
        single = [name for name, _ in self.headers if name in SINGLE_HEADERS]
        if len(single) > 1 and len(set(single)) < len(single):
            raise BadRequestError(400, "a header stands twice")
        if size > HEAD_BYTES:
            raise BadRequestError(431, "headers too large")
        version = self.parser.get_http_version()
        self.old = version == "1.0"
        if version not in ("1.1", "1.0"):
            raise BadRequestError(400, "not HTTP/1.1")
        method = self.parser.get_method()
        if method == b"CONNECT":
            raise BadRequestError(405, "GET and POST only")
        length: int | None = 0
        for name, value in self.headers:
            if name == b"content-length":
                length = int(value)
                if length > BODY_BYTES:
                    raise BadRequestError(413, f"bodies hold at most {BODY_BYTES} bytes")
            elif name == b"transfer-encoding":
                length = None
                if value.strip().lower() != b"chunked" or version != "1.1":
                    raise BadRequestError(400, "Transfer-Encoding is not just chunked")
            elif name == b"expect":
                if value.strip().lower() != b"100-continue":
                    raise BadRequestError(417, "an expectation that is not known")
                self.expecting = True
        self.expecting = self.expecting and length != 0 and version == "1.1"
        body = Body(self.server.budget, self._throttle)
        self.incoming = self._call(method, body, length)
        if self.parser.should_upgrade():
            close = b"" if self.parser.should_keep_alive() else b"Connection: close\r\n"
            framing = b"Transfer-Encoding: chunked" if length is None else b"Content-Length: %d" % length
            self.offer = b"POST / HTTP/1.1\r\n%b%b\r\n\r\n" % (close, framing)

    def on_body(self, data: bytes) -> None:
        call = self.incoming
        if call is None:
            return
        self.expecting = False
        call.body.add(data)
        if call.body.size > BODY_BYTES:
            raise BadRequestError(413, f"bodies hold at most {BODY_BYTES} bytes")

    def on_message_complete(self) -> None:
        if self.offer:
            return  # so the parser says behind the head
        self.ends += 1
        self.partial, self.asked, self.raw, self.expecting = False, True, 0, False
        call, self.incoming = self.incoming, None
        if call is None:
            return
        if not self.parser.should_keep_alive():
            self.last = True
        call.body.end()
        if call.asked:  # while it was on its way
            if self.current is call:
                self.since = self.server.loop.time()
                self.server.arrived(call)
            return
        if len(self.waiting) >= WAITING:
            call.body.release()
            raise BadRequestError(400, "too many requests ahead of their answers")
        self.ahead += call.body.size
        self.waiting.append(call)

    # ----------------------------------------------------- of one that is not whole

    @property
    def half_movable(self) -> bool:
        """Whether what has come of a request that is not whole could be read again from its first byte."""
        call = self.incoming
        if call is None or not self.headed:
            return self.half is not None and self.current is None
        if call.asked or self.current is not None or call.body.first or call.body.unwanted:
            return False
        if call.header(b"upgrade") is not None:
            return False
        return call.length is not None or (self.chunks is not None and self.chunks.midway)

    def half_read(self) -> bytes:
        """What has come of a request that is not whole, in bytes that say the same."""
        call = self.incoming
        if call is None or not self.headed:
            return bytes(self.half or b"") if self.partial else b""
        version = b"1.0" if self.old else b"1.1"
        lines = [b"%b %b HTTP/%b\r\n" % (call.method, call.target, version)]
        lines += [b"%b: %b\r\n" % pair for pair in call.headers if pair[0] != b"expect"]
        body = b"".join(call.body.pieces)
        if call.length is None:
            assert self.chunks is not None
            body = self.chunks.again(body)
        return b"".join((*lines, b"\r\n", body))
