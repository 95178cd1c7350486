"""The head of a request: its limits, what makes it ambiguous, and the framing of the body that follows it."""

from __future__ import annotations

from typing import NamedTuple

from rosewheel.http.errors import BadRequestError
from rosewheel.http.request import SINGLE_VALUE_HEADERS

MAX_BODY_BYTES = 32 << 20
MAX_HEAD_BYTES = 16 * 1024


class RequestFraming(NamedTuple):
    """How the body of a request is delimited.

    Attributes:
        content_length: Declared size of the body in bytes; None if it is chunked.
        expects_continue: The client asks for `100 Continue` before it sends the body.
    """

    content_length: int | None
    expects_continue: bool


class RequestHead(NamedTuple):
    """A complete request head.

    Attributes:
        version: The HTTP version, such as `1.1`.
        method: The method as received.
        target: The request target as received.
        headers: Lower-case names and values, in the order received.
    """

    version: str
    method: bytes
    target: bytes
    headers: list[tuple[bytes, bytes]]

    def check(self) -> int:
        """Check the size of the head, and reject what parsers interpret differently (request smuggling).

        Returns:
            Length of the target and of all names and values, in bytes.

        Raises:
            BadRequestError: The head is too large, ambiguous or not supported.
        """
        single = [name for name, _ in self.headers if name in SINGLE_VALUE_HEADERS]
        if len(single) > 1 and len(set(single)) < len(single):
            raise BadRequestError(400, "a header stands twice")
        size = len(self.target) + sum([len(name) + len(value) for name, value in self.headers])
        if size > MAX_HEAD_BYTES:
            raise BadRequestError(431, "headers too large")
        if self.version not in ("1.1", "1.0"):
            raise BadRequestError(400, "not HTTP/1.1")
        if self.method == b"CONNECT":
            raise BadRequestError(405, "GET and POST only")
        return size

    def framing(self) -> RequestFraming:
        """Return the framing of the body.

        Raises:
            BadRequestError: The body is too large, or its framing or the expectation is not supported.
        """
        content_length: int | None = 0
        expects_continue = False
        for name, value in self.headers:
            if name == b"content-length":
                content_length = int(value)
                if content_length > MAX_BODY_BYTES:
                    raise BadRequestError(413, f"bodies hold at most {MAX_BODY_BYTES} bytes")
            elif name == b"transfer-encoding":
                content_length = None
                if value.strip().lower() != b"chunked" or self.version != "1.1":
                    raise BadRequestError(400, "Transfer-Encoding is not just chunked")
            elif name == b"expect":
                if value.strip().lower() != b"100-continue":
                    raise BadRequestError(417, "an expectation that is not known")
                expects_continue = True
        return RequestFraming(content_length, expects_continue)
