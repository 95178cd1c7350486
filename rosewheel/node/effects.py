"""Effects that a node returns to its host, such as starting an attempt or sending a response.

The host carries them out in order. Times are milliseconds.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import IntEnum


class ResponseStatus(IntEnum):
    """HTTP status code of a final response."""

    OK = 200
    INTERNAL_ERROR = 500  # the policy failed, or a streamed response was cut off
    FAILED = 502  # no attempt succeeded
    REJECTED = 503  # not executed by any server: the client may retry elsewhere
    TIMED_OUT = 504  # no attempt succeeded, and one of them timed out


@dataclass(slots=True)
class StartAttempt:
    """Send an attempt of a request to a server.

    Attributes:
        id: Id of the request.
        attempt: Number of the attempt within the request, from 0.
        server: Address of the server.
        timeout_ms: Time that the attempt may take; when it is over, the node returns `AbortAttempt`.
    """

    id: str
    attempt: int
    server: str
    timeout_ms: float


@dataclass(slots=True)
class AbortAttempt:
    """Stop an attempt whose result the node has already recorded."""

    id: str
    attempt: int


@dataclass(slots=True)
class SendResponse:
    """Send the final response of a request to its client; there is exactly one.

    Attributes:
        id: Id of the request.
        status: Status code.
        body: Body of the server's response; empty unless the status is OK.
        retry_after_ms: Time that the client should wait before it retries; 0 if the response states none.
    """

    id: str
    status: ResponseStatus
    body: bytes = b""
    retry_after_ms: float = 0.0


@dataclass(slots=True)
class OpenEndpointWatch:
    """Open a watch on discovery; it replaces one that is open."""


@dataclass(slots=True)
class StartHealthCheck:
    """Send a health check to a server. The host reports the result with `Node.health_check_finished`."""

    server: str


NodeEffect = StartAttempt | AbortAttempt | SendResponse | OpenEndpointWatch | StartHealthCheck
