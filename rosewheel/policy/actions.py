"""Actions of the decision module. Times are milliseconds."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True)
class ForwardRequest:
    """Send an attempt of a request to a server. A timeout of 0 lasts until the request's deadline."""

    id: str
    server: str
    timeout_ms: float = 0.0


@dataclass(slots=True)
class RejectRequest:
    """Send the final response: rejected, and safe to retry."""

    id: str
    retry_after_ms: float = 0.0


@dataclass(slots=True)
class FailRequest:
    """Send the final response: failed, and possibly executed."""

    id: str


@dataclass(slots=True)
class CancelAttempt:
    """Cancel an attempt in flight."""

    id: str
    attempt: int


@dataclass(slots=True)
class CheckHealth:
    """Start a health check of a server."""

    server: str


@dataclass(slots=True)
class WatchEndpoints:
    """Watch the endpoint list: poll it once, or subscribe to its changes."""


@dataclass(slots=True)
class StartTimer:
    """Start a timer; TimerFired with the same name follows after the delay."""

    delay_ms: float
    name: str


Action = (
    ForwardRequest | RejectRequest | FailRequest | CancelAttempt | CheckHealth | WatchEndpoints | StartTimer
)
