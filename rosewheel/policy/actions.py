"""Actions that the decision module returns. Times are milliseconds."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True)
class ForwardRequest:
    """Send an attempt of this request to this server; a timeout of 0 means until the request's deadline."""

    id: str
    server: str
    timeout_ms: float = 0.0


@dataclass(slots=True)
class RejectRequest:
    """Final response: the client may retry without harm."""

    id: str
    retry_after_ms: float = 0.0


@dataclass(slots=True)
class FailRequest:
    """Final response: the request may have been executed."""

    id: str


@dataclass(slots=True)
class CancelAttempt:
    """Cancel an attempt in flight."""

    id: str
    attempt: int


@dataclass(slots=True)
class CheckHealth:
    """Start a health check of this server."""

    server: str


@dataclass(slots=True)
class WatchEndpoints:
    """Watch the endpoint list: poll it once, or have its changes pushed."""


@dataclass(slots=True)
class StartTimer:
    """Set a timer; TimerFired of the same name follows after the delay."""

    delay_ms: float
    name: str


Action = (
    ForwardRequest | RejectRequest | FailRequest | CancelAttempt | CheckHealth | WatchEndpoints | StartTimer
)
