"""Errors of the HTTP connections."""

from __future__ import annotations


class HttpError(Exception):
    """A message that can't be processed."""


class BadRequestError(HttpError):
    """A request that is rejected with an error response and not forwarded.

    Attributes:
        status: Status code of the response.
    """

    def __init__(self, status: int, reason: str) -> None:
        super().__init__(reason)
        self.status = status


class RefusedRequestError(BadRequestError):
    """A valid request that the node refuses for now. Requests pipelined behind it may be served."""


class HeadMemoryError(BadRequestError):
    """The heads of all connections take too much memory, so that this one is refused."""

    def __init__(self) -> None:
        super().__init__(503, "too many long heads at once")


class MemoryExhaustedError(BadRequestError):
    """The process holds too much memory to receive the rest of this request."""

    def __init__(self) -> None:
        super().__init__(503, "too many long requests at once")


class InvalidResponseError(HttpError):
    """A server's response that is malformed, too large or unexpected."""


class ChunkedEncodingError(HttpError, ValueError):
    """Chunked framing that `ChunkTracker` can't follow; the HTTP parser may still accept it."""
