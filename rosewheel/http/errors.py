"""Errors of the HTTP connections."""

from __future__ import annotations


class HttpError(Exception):
    """A message of a peer that can't be processed."""


class BadRequestError(HttpError):
    """A request that is rejected without being dispatched.

    Attributes:
        status: Status code of the response.
    """

    def __init__(self, status: int, reason: str) -> None:
        super().__init__(reason)
        self.status = status


class RefusedRequestError(BadRequestError):
    """A valid request that this node can't take at this moment. What its client sent behind it may be taken."""


class InvalidResponseError(HttpError):
    """A response of a server that is malformed, too large or unexpected."""


class ChunkedEncodingError(HttpError, ValueError):
    """Chunked framing that the tracker can't follow. The parser itself may still accept the bytes."""
