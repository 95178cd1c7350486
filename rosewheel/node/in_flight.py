"""Requests in flight at a node, and their attempts. Times are milliseconds of the node's clock."""

from __future__ import annotations

import math
from dataclasses import dataclass, field
from typing import NamedTuple

from rosewheel.policy.events import AttemptResult
from rosewheel.policy.settings import Idempotency


@dataclass(slots=True)
class Attempt:
    """One attempt of a request at one server.

    Attributes:
        server: Address of the server.
        sent_ms: When it was started, or when the last byte of its request was received if that was later.
        timeout_ms: Time that it may take.
        response_started_ms: When its response began to be streamed to the client; None before that.
        result: How it ended; None while it is in flight.
    """

    server: str
    sent_ms: float
    timeout_ms: float = 0.0
    response_started_ms: float | None = None
    result: AttemptResult | None = None

    def latency_ms(self, now: float) -> float:
        """Return the time to the end of the attempt, or to the first bytes if its response is streamed.

        The rest of a streamed response takes as long as the client takes to read it, so it doesn't count.
        """
        return (now if self.response_started_ms is None else self.response_started_ms) - self.sent_ms


@dataclass(slots=True)
class InFlightRequest:
    """A request without a final response, or with attempts in flight.

    Attributes:
        class_name: Name of its service class.
        deadline_ms: When its client stops waiting.
        max_attempts: Limit of its attempts, by the settings when it was received.
        hedging_allowed: Whether several attempts may be in flight at once, by the limits when it was received.
        attempts: Its attempts, by number.
        finished: It has its final response, or its client has disconnected.
        complete: Its last byte has been received, from which its deadline counts.
        body_discarded: Part of its body is no longer buffered, so no further attempt can be sent.
        streaming_attempt: Number of the attempt whose response is being streamed to the client; None without one.
        idempotency: Whether it may be executed twice, by the settings when it was received.
        dedup_window_ms: How long servers remember its idempotency key.
        class_deadline_ms: Deadline of its class, by the settings when it was received.
        number: Distinguishes it from other requests with the same id; set by `RequestTable.add`.
    """

    class_name: str
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
    class_deadline_ms: float = math.inf
    number: int = 0

    def has_attempt_in_flight(self) -> bool:
        """Return True if an attempt has no result yet."""
        return any(attempt.result is None for attempt in self.attempts)

    def attempts_in_flight(self) -> list[int]:
        """Return the numbers of the attempts that have no result yet."""
        return [number for number, attempt in enumerate(self.attempts) if attempt.result is None]

    def response_in_progress(self) -> ResponseInProgress | None:
        """Return the response that is being streamed to the client; None if there is none."""
        if self.streaming_attempt is None:
            return None
        server = self.attempts[self.streaming_attempt].server
        return ResponseInProgress(self.class_name, server, self.streaming_attempt)

    def can_use_response(self, number: int) -> bool:
        """Return whether the response of this attempt can be used: it is in flight, and none is streamed."""
        if self.streaming_attempt is not None:
            return False
        return number < len(self.attempts) and self.attempts[number].result is None

    def may_have_been_executed(self, before: int | None = None) -> bool:
        """Return True if a server may have executed the request, or may still execute it.

        Args:
            before: Number of the first attempt to leave out; None to include all.
        """
        return self.first_execution_ms(before) is not None

    def first_execution_ms(self, before: int | None = None) -> float | None:
        """Return when the first attempt was sent that a server may have executed, or may still execute.

        Args:
            before: Number of the first attempt to leave out; None to include all.

        Returns:
            The time; None if there is no such attempt.
        """
        for attempt in self.attempts[:before]:
            if attempt.result is None or not attempt.result.not_executed:
                return attempt.sent_ms
        return None


class ResponseInProgress(NamedTuple):
    """A response that is being streamed to its client.

    Attributes:
        class_name: Name of the request's service class.
        server: Address of the server that sends it.
        attempt: Number of the attempt.
    """

    class_name: str
    server: str
    attempt: int
