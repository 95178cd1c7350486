"""A request in flight at a node, and its attempts. Times are milliseconds of the node's clock."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import NamedTuple

from rosewheel.policy.events import AttemptResult
from rosewheel.policy.settings import Idempotency


@dataclass(slots=True)
class Attempt:
    """One sending of a request to one server.

    Attributes:
        server: The server's address.
        sent_ms: When it was started, or when its request was complete where that was later.
        timeout_ms: How long it may take.
        response_started_ms: When its response began to be forwarded; None before that.
        result: How it ended; None while it is in flight.
    """

    server: str
    sent_ms: float
    timeout_ms: float = 0.0
    response_started_ms: float | None = None
    result: AttemptResult | None = None

    def latency_ms(self, now: float) -> float:
        """Time to the end of the attempt, or to the first bytes of a response that is forwarded while it arrives.

        What follows those bytes depends on the pace of the client, not of the server.
        """
        return (now if self.response_started_ms is None else self.response_started_ms) - self.sent_ms


@dataclass(slots=True)
class InFlightRequest:
    """A request that has no final response, or that has attempts in flight.

    Attributes:
        service: Name of its service class.
        deadline_ms: When its client stops waiting.
        max_attempts: How many attempts it may have, by the settings at its start.
        hedging_allowed: Whether several attempts may be in flight at once, by the limits at its start.
        attempts: Its attempts, by number.
        finished: It has its final response, or its client has disconnected.
        complete: Its last byte has been received, and its deadline is known.
        body_discarded: A part of its body is no longer held, so no further attempt can be sent.
        streaming_attempt: The attempt whose response is being forwarded while it arrives.
        idempotency: Whether it may be executed twice, by the settings at its start.
        dedup_window_ms: How long a server remembers its key.
    """

    service: str
    deadline_ms: float
    max_attempts: int = 0
    hedging_allowed: bool = False
    attempts: list[Attempt] = field(default_factory=list)
    finished: bool = False
    complete: bool = True
    body_discarded: bool = False
    streaming_attempt: int | None = None
    idempotency: Idempotency = Idempotency.NON_IDEMPOTENT
    dedup_window_ms: float = 0.0

    def has_attempt_in_flight(self) -> bool:
        """Whether an attempt has no result yet."""
        return any(attempt.result is None for attempt in self.attempts)

    def may_have_been_executed(self, before: int | None = None) -> bool:
        """Whether a server may have executed it, or may yet.

        Args:
            before: Only attempts before this one count.
        """
        return self.first_execution_ms(before) is not None

    def first_execution_ms(self, before: int | None = None) -> float | None:
        """When the first attempt was sent that a server may have executed, or may yet; None without one.

        Args:
            before: Only attempts before this one count.
        """
        for attempt in self.attempts[:before]:
            if attempt.result is None or not attempt.result.not_executed:
                return attempt.sent_ms
        return None


class ResponseInProgress(NamedTuple):
    """A response that is being forwarded while it arrives: its request's class, its server, its attempt."""

    service: str
    server: str
    attempt: int
