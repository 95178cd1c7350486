"""What a node asks its host to do: start and abort attempts, send responses, watch discovery, check a server's health.

The host carries effects out in the order of the list that holds them. Times are milliseconds.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import IntEnum


class ResponseStatus(IntEnum):
    """Status of a final response, by the HTTP codes that clients see."""

    OK = 200
    INTERNAL_ERROR = 500  # the decision module failed, or a response broke off while it was being forwarded
    FAILED = 502  # no attempt succeeded
    REJECTED = 503  # not executed by any server: the client may retry elsewhere
    TIMED_OUT = 504  # no attempt succeeded, and one of them timed out


@dataclass(slots=True)
class StartAttempt:
    """Send a request to a server.

    Attributes:
        id: The request's id.
        attempt: Number of this attempt of the request, from 0.
        server: The server's address.
        timeout_ms: How long the attempt may take; the node itself ends it with `AbortAttempt`.
    """

    id: str
    attempt: int
    server: str
    timeout_ms: float


@dataclass(slots=True)
class AbortAttempt:
    """Abandon an attempt whose result is settled already; nothing more is expected of it."""

    id: str
    attempt: int


@dataclass(slots=True)
class SendResponse:
    """Send the one final response of a request to its client.

    Attributes:
        id: The request's id.
        status: The outcome.
        body: The server's response body; empty unless the status is OK.
        retry_after_ms: How long the client should wait before it retries; 0 where nothing is advised.
    """

    id: str
    status: ResponseStatus
    body: bytes = b""
    retry_after_ms: float = 0.0


@dataclass(slots=True)
class OpenEndpointWatch:
    """Open a watch on discovery, in place of any that is open."""


@dataclass(slots=True)
class StartHealthCheck:
    """Send a health check to a server; its result is reported by `Node.health_check_finished`."""

    server: str


NodeEffect = StartAttempt | AbortAttempt | SendResponse | OpenEndpointWatch | StartHealthCheck
