"""A request in flight and its attempts."""

from __future__ import annotations

from dataclasses import dataclass, field

from rosewheel.policy.events import AttemptResult, RequestReceived
from rosewheel.policy.server_stats import ServerStats
from rosewheel.policy.settings import ServiceClass, Settings


@dataclass(slots=True)
class Attempt:
    """One sending of a request to one server."""

    server: ServerStats
    sent_ms: float
    result: AttemptResult | None = None  # None: in flight
    counts_as_load: bool = False


@dataclass(slots=True)
class RequestState:
    """One request, by the class and the settings under which it was received."""

    request: RequestReceived
    service_class: ServiceClass
    settings: Settings
    started_ms: float  # when it was received, or its last byte where that came later
    weight: float
    attempts: list[Attempt] = field(default_factory=list)
    ended: bool = False  # it has its response, or needs none
    streaming: bool = False  # a response is in progress

    def in_flight(self) -> bool:
        """Whether any attempt has not ended."""
        return any(attempt.result is None for attempt in self.attempts)

    def possibly_executed(self) -> list[Attempt]:
        """Attempts whose server may have executed the request, or may still do so."""
        return [each for each in self.attempts if each.result is None or not each.result.not_executed]
