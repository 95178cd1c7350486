"""What comes on one caller's connection: requests and their bodies, and what was read of one that is not whole."""

from __future__ import annotations

import asyncio
import logging
from collections import deque
from typing import TYPE_CHECKING

import httptools

from rosewheel.http.body import RequestBody
from rosewheel.http.chunk_tracker import ChunkedEncodingError, ChunkTracker
from rosewheel.http.request import SINGLE_VALUE_HEADERS, BadRequestError, DownstreamRequest

if TYPE_CHECKING:
    from rosewheel.http.downstream_server import DownstreamServer

log = logging.getLogger("rosewheel.callers")

MAX_BODY_BYTES = 32 << 20
MAX_HEAD_BYTES = 16 * 1024
MAX_CHUNK_OVERHEAD_BYTES = (
    256 * 1024
)  # what a body may take on the wire beyond its size: sizes of chunks, trailers,
MAX_CHUNK_OVERHEAD_FACTOR = 16  # and this many times its size, in tiny chunks
MAX_PIPELINED_REQUESTS = 8  # requests that one connection may send ahead of the answers


class RequestReader(asyncio.Protocol):
    """Takes requests off what arrives; whoever extends it goes on with them."""

    def __init__(self, server: DownstreamServer) -> None:
        self.server = server
        self.transport: asyncio.Transport | None = None
        self.parser = httptools.HttpRequestParser(self)
        self.queued_requests: deque[DownstreamRequest] = deque()
        self.active_request: DownstreamRequest | None = None
        self.incoming_request: DownstreamRequest | None = None  # whose body is on its way
        self.expects_continue = False  # it waits for a word before it sends its body
        self.partial = self.headed = self.bad = False
        self.has_sent_request = False  # it has sent a whole request
        self.raw_bytes = 0  # bytes of the head, or since the head, of the request that is coming
        self.queued_bytes = 0  # bytes of the requests that wait
        self.upgrade_framing = b""  # the framing of a request that offers another protocol
        self.is_http_1_0 = False  # it speaks HTTP/1.0
        self.close_after_response = False  # the caller wants the connection closed after this answer
        self.messages_begun = self.messages_ended = 0  # of messages, within what came last
        # A head that is not whole, as it came; None: it can't be told.
        self.partial_head: bytearray | None = bytearray()
        self.chunk_tracker: ChunkTracker | None = None  # where a body in chunks stands that is not whole
        self.last_received_s = server.loop.time()  # when something last came
        self.last_activity_s = self.last_received_s  # of the last change between idle, partial and busy
        self._reset_head()

    def _reset_head(self) -> None:
        self.target = b""
        self.headers: list[tuple[bytes, bytes]] = []
        self.headed = False

    # ------------------------------------------------------- what the owner does

    def _create_request(self, method: bytes, body: RequestBody, length: int | None) -> DownstreamRequest:
        """The request whose head has come."""
        raise NotImplementedError

    def _on_data_parsed(self) -> None:
        """What has come is read; go on with it."""
        raise NotImplementedError

    def _on_request_started(self) -> None:
        """A request begins where nothing was asked."""
        raise NotImplementedError

    def _update_backpressure(self) -> None:
        """There is more, or less, that waits."""
        raise NotImplementedError

    def _reject(self, error: BadRequestError) -> None:
        """What came is no request."""
        raise NotImplementedError

    # ---------------------------------------------------------------- parsing

    def data_received(self, data: bytes) -> None:
        if self.bad:
            return
        self.raw_bytes += len(data)
        self.last_received_s = self.server.loop.time()
        if self.incoming_request is not None and self.headed:
            self.last_activity_s = self.server.loop.time()
        fresh, heads = not self.partial and self.incoming_request is None, not self.headed
        self.messages_begun = self.messages_ended = 0
        try:
            self._feed_parser(data)
            self._track_partial_request(data, fresh, heads)
            if self.partial:
                size = self.incoming_request.body.received_bytes if self.incoming_request is not None else 0
                if self.raw_bytes > (
                    MAX_CHUNK_OVERHEAD_BYTES + MAX_CHUNK_OVERHEAD_FACTOR * size
                    if self.headed
                    else MAX_HEAD_BYTES
                ):
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
            self._on_data_parsed()

    def _track_partial_request(self, data: bytes, fresh: bool, heads: bool) -> None:
        """Keep what another process would need to go on with a request that is not whole. The parser does not say
        where in its bytes a message begins: where more than one is in what came, it can't be told."""
        if not self.partial:
            self.chunk_tracker = None
            return
        if fresh or self.messages_ended:
            self.chunk_tracker = None
            self.partial_head = (
                bytearray(data) if fresh and self.messages_begun == 1 and not self.messages_ended else None
            )
        elif heads and self.partial_head is not None:
            self.partial_head += data
        call = self.incoming_request
        if not self.headed or call is None:
            return
        if call.content_length is None and not call.dispatched:
            try:
                if self.chunk_tracker is not None:
                    self.chunk_tracker.feed(data)
                elif self.partial_head:
                    self.chunk_tracker = ChunkTracker()
                    self.chunk_tracker.feed(bytes(self.partial_head))
            except ChunkedEncodingError:
                self.chunk_tracker = None
        self.partial_head = None  # from here on its parts are kept

    def _feed_parser(self, data: bytes) -> None:
        while data:
            try:
                self.parser.feed_data(data)
                return
            except httptools.HttpParserUpgrade as upgrade:
                # An offer to speak something else, which is not taken up. The parser stops behind the head of
                # such a request and takes its body for the other protocol. Guards against a request hidden
                # there: another parser is told of the body's framing, and reads on.
                self.parser = httptools.HttpRequestParser(self)
                self.parser.feed_data(self.upgrade_framing)
                data = data[upgrade.args[0] :]

    def on_message_begin(self) -> None:
        if self.upgrade_framing:
            return
        self.messages_begun += 1
        self.partial = True
        if self.active_request is None and not self.queued_requests:
            self._on_request_started()
            self.last_activity_s = self.server.loop.time()
        self._reset_head()

    def on_url(self, url: bytes) -> None:
        if not self.upgrade_framing:
            self.target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        if self.headed:
            return  # a trailer, or the framing once more: what the head has said stands
        self.headers.append((name.lower(), value))

    def on_headers_complete(self) -> None:
        """Guards against a second request hidden in the first: where the parser or a server behind it could
        see another end of it, it is not taken. A body that is too long is refused before it comes."""
        if self.upgrade_framing:
            self.upgrade_framing = b""
            return
        self.headed, self.raw_bytes = True, 0
        size = len(self.target) + sum([len(name) + len(value) for name, value in self.headers])
        single = [name for name, _ in self.headers if name in SINGLE_VALUE_HEADERS]
        if len(single) > 1 and len(set(single)) < len(single):
            raise BadRequestError(400, "a header stands twice")
        if size > MAX_HEAD_BYTES:
            raise BadRequestError(431, "headers too large")
        version = self.parser.get_http_version()
        self.is_http_1_0 = version == "1.0"
        if version not in ("1.1", "1.0"):
            raise BadRequestError(400, "not HTTP/1.1")
        method = self.parser.get_method()
        if method == b"CONNECT":
            raise BadRequestError(405, "GET and POST only")
        length: int | None = 0
        for name, value in self.headers:
            if name == b"content-length":
                length = int(value)
                if length > MAX_BODY_BYTES:
                    raise BadRequestError(413, f"bodies hold at most {MAX_BODY_BYTES} bytes")
            elif name == b"transfer-encoding":
                length = None
                if value.strip().lower() != b"chunked" or version != "1.1":
                    raise BadRequestError(400, "Transfer-Encoding is not just chunked")
            elif name == b"expect":
                if value.strip().lower() != b"100-continue":
                    raise BadRequestError(417, "an expectation that is not known")
                self.expects_continue = True
        self.expects_continue = self.expects_continue and length != 0 and version == "1.1"
        body = RequestBody(self.server.buffer_budget, self._update_backpressure)
        self.incoming_request = self._create_request(method, body, length)
        if self.parser.should_upgrade():
            close = b"" if self.parser.should_keep_alive() else b"Connection: close\r\n"
            framing = b"Transfer-Encoding: chunked" if length is None else b"Content-Length: %d" % length
            self.upgrade_framing = b"POST / HTTP/1.1\r\n%b%b\r\n\r\n" % (close, framing)

    def on_body(self, data: bytes) -> None:
        call = self.incoming_request
        if call is None:
            return
        self.expects_continue = False
        call.body.append(data)
        if call.body.received_bytes > MAX_BODY_BYTES:
            raise BadRequestError(413, f"bodies hold at most {MAX_BODY_BYTES} bytes")

    def on_message_complete(self) -> None:
        if self.upgrade_framing:
            return  # so the parser says behind the head
        self.messages_ended += 1
        self.partial, self.has_sent_request, self.raw_bytes, self.expects_continue = False, True, 0, False
        call, self.incoming_request = self.incoming_request, None
        if call is None:
            return
        if not self.parser.should_keep_alive():
            self.close_after_response = True
        call.body.finish()
        if call.dispatched:  # while it was on its way
            if self.active_request is call:
                self.last_activity_s = self.server.loop.time()
                self.server.on_request_complete(call)
            return
        if len(self.queued_requests) >= MAX_PIPELINED_REQUESTS:
            call.body.release()
            raise BadRequestError(400, "too many requests ahead of their answers")
        self.queued_bytes += call.body.received_bytes
        self.queued_requests.append(call)

    # ----------------------------------------------------- of one that is not whole

    @property
    def partial_request_detachable(self) -> bool:
        """Whether what has come of a request that is not whole could be read again from its first byte."""
        call = self.incoming_request
        if call is None or not self.headed:
            return self.partial_head is not None and self.active_request is None
        if call.dispatched or self.active_request is not None or call.body.first_index or call.body.released:
            return False
        if call.header(b"upgrade") is not None:
            return False
        return call.content_length is not None or (
            self.chunk_tracker is not None and self.chunk_tracker.in_body
        )

    def partial_request_bytes(self) -> bytes:
        """What has come of a request that is not whole, in bytes that say the same."""
        call = self.incoming_request
        if call is None or not self.headed:
            return bytes(self.partial_head or b"") if self.partial else b""
        version = b"1.0" if self.is_http_1_0 else b"1.1"
        lines = [b"%b %b HTTP/%b\r\n" % (call.method, call.target, version)]
        lines += [b"%b: %b\r\n" % pair for pair in call.headers if pair[0] != b"expect"]
        body = b"".join(call.body.segments)
        if call.content_length is None:
            assert self.chunk_tracker is not None
            body = self.chunk_tracker.reencode(body)
        return b"".join((*lines, b"\r\n", body))
