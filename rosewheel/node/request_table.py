"""The requests in flight at a node: records results of attempts, and sends each client one final response."""

from __future__ import annotations

from collections import deque

from rosewheel.node.effects import AbortAttempt, NodeEffect, ResponseStatus, SendResponse
from rosewheel.node.in_flight import InFlightRequest
from rosewheel.node.statistics import RequestOutcome, Statistics
from rosewheel.policy.events import AttemptFinished, AttemptResult, Event

LoadReport = dict[str, float]

_OUTCOMES = {
    ResponseStatus.OK: RequestOutcome.OK,
    ResponseStatus.REJECTED: RequestOutcome.SHED,
}


class RequestTable:
    """Requests in flight, events for the policy that follow from them, and effects for the host.

    Attributes:
        requests: The requests by id. One stays here until it is finished and none of its attempts is in flight.
        active: Requests that are not finished.
        events: Events that the policy has not handled yet, in order.
        effects: Effects for the host that were not taken yet, in order.
    """

    __slots__ = ("_statistics", "active", "effects", "events", "requests")

    def __init__(self, statistics: Statistics) -> None:
        self.requests: dict[str, InFlightRequest] = {}
        self.active = 0
        self.events: deque[Event] = deque()
        self.effects: list[NodeEffect] = []
        self._statistics = statistics

    def add(self, id: str, request: InFlightRequest) -> None:
        """Take a request that is not in flight yet."""
        self.requests[id] = request
        self.active += 1

    def unfinished(self, id: str) -> InFlightRequest | None:
        """The request with this id; None where there is none, or where it is finished."""
        request = self.requests.get(id)
        return None if request is None or request.finished else request

    def take_effects(self) -> list[NodeEffect]:
        """The effects since the last call, in order."""
        effects, self.effects = self.effects, []
        return effects

    def record_result(
        self,
        now: float,
        id: str,
        number: int,
        result: AttemptResult,
        report: LoadReport | None = None,
        body: bytes = b"",
    ) -> bool:
        """Record how an attempt ended, and queue that for the policy.

        Returns:
            False where the attempt is unknown or has a result already; nothing is changed then.
        """
        request = self.requests.get(id)
        if request is None or number >= len(request.attempts):
            return False
        attempt = request.attempts[number]
        if attempt.result is not None:
            return False
        attempt.result = result
        if result is AttemptResult.OK and not request.finished:
            self.respond(SendResponse(id, ResponseStatus.OK, body))
        elif request.streaming_attempt == number:
            # The client has a part of this response, so no other attempt can replace it.
            self.respond(SendResponse(id, ResponseStatus.INTERNAL_ERROR))
        latency_ms = attempt.latency_ms(now)
        ended = request.finished
        self.events.append(AttemptFinished(id, number, attempt.server, result, latency_ms, ended, report))
        if ended and not request.has_attempt_in_flight():
            self.requests.pop(id, None)
        return True

    def abort_attempt(self, now: float, id: str, number: int, result: AttemptResult) -> None:
        """Record this result of an attempt and abort it, where it is still in flight."""
        if self.record_result(now, id, number, result):
            self.effects.append(AbortAttempt(id, number))

    def respond(self, response: SendResponse) -> None:
        """Send a final response. Guards the client against a second one: a finished request gets no other."""
        request = self.requests.get(response.id)
        if request is None or request.finished:
            return
        self.effects.append(response)
        outcome = _OUTCOMES.get(response.status, RequestOutcome.ERRORS)
        self._statistics.count_request(request.service, outcome)
        self.finish(response.id, request)

    def finish(self, id: str, request: InFlightRequest) -> None:
        """Mark a request as finished; it stays here while an attempt of it is in flight."""
        request.finished = True
        self.active -= 1
        if not request.has_attempt_in_flight():
            del self.requests[id]

    def respond_without_policy(self, now: float, id: str, request: InFlightRequest) -> None:
        """Finish a request whose response the policy failed to give, and abort its attempts.

        It is rejected only if nothing of it can have been executed, because the client may retry then.
        """
        executed = any(
            attempt.result is None or not attempt.result.not_executed for attempt in request.attempts
        )
        status = ResponseStatus.INTERNAL_ERROR if executed else ResponseStatus.REJECTED
        self.respond(SendResponse(id, status))
        for number, attempt in enumerate(request.attempts):
            if attempt.result is None:
                self.abort_attempt(now, id, number, AttemptResult.CANCELLED)
