"""State of a request in flight and of its attempts."""

from __future__ import annotations

from dataclasses import dataclass, field

from rosewheel.policy.events import AttemptResult, RequestReceived
from rosewheel.policy.server_stats import ServerStats
from rosewheel.policy.settings import ServiceClass, Settings


@dataclass(slots=True)
class Attempt:
    """One attempt of a request at one server."""

    server: ServerStats
    sent_ms: float
    result: AttemptResult | None = None  # None while in flight
    counts_as_load: bool = False


@dataclass(slots=True)
class RequestState:
    """A request, with the class and the settings that were in force when it was received."""

    request: RequestReceived
    service_class: ServiceClass
    settings: Settings
    started_ms: float  # time of receipt, or of the last byte of the body if later
    weight: float
    attempts: list[Attempt] = field(default_factory=list)
    ended: bool = False  # it has its final response, or needs none
    streaming: bool = False  # a response is being forwarded

    def in_flight(self) -> bool:
        """Return whether any attempt has not ended."""
        return any(attempt.result is None for attempt in self.attempts)

    def possibly_executed(self) -> list[Attempt]:
        """Return the attempts whose server may have executed the request, or may still do so."""
        return [each for each in self.attempts if each.result is None or not each.result.not_executed]
