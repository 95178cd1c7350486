"""Table of the requests in flight: records results of attempts, and sends each client exactly one final response."""

from __future__ import annotations

from collections import deque

from rosewheel.node.effects import AbortAttempt, NodeEffect, ResponseStatus, SendResponse
from rosewheel.node.event_log import EventKind, EventLog
from rosewheel.node.in_flight import InFlightRequest
from rosewheel.node.statistics import RequestOutcome, Statistics
from rosewheel.node.timers import Timer
from rosewheel.policy.events import AttemptFinished, AttemptResult, Event

LoadReport = dict[str, float]

_OUTCOME_BY_STATUS = {
    ResponseStatus.OK: RequestOutcome.OK,
    ResponseStatus.REJECTED: RequestOutcome.SHED,
}


class RequestTable:
    """Requests in flight, with the queues of events for the policy and of effects for the host.

    Attributes:
        requests: Requests by id. A request is removed once it is finished and none of its attempts is in flight.
        active: Number of requests that are not finished.
        events: Events that the policy has not handled yet, in order.
        effects: Effects that `take_effects` has not returned yet, in order.
    """

    __slots__ = ("_added", "_log", "_statistics", "active", "effects", "events", "requests")

    def __init__(self, statistics: Statistics, event_log: EventLog) -> None:
        self._log = event_log
        self.requests: dict[str, InFlightRequest] = {}
        self.active = 0
        self._added = 0
        self.events: deque[Event] = deque()
        self.effects: list[NodeEffect] = []
        self._statistics = statistics

    def add(self, id: str, request: InFlightRequest) -> None:
        """Add a new request, and number it; its id must not be in use."""
        self._added += 1
        request.number = self._added
        self.requests[id] = request
        self.active += 1

    def unfinished(self, id: str) -> InFlightRequest | None:
        """Return the request with this id; None if it is not in flight or is finished."""
        request = self.requests.get(id)
        return None if request is None or request.finished else request

    def owner(self, timer: Timer) -> InFlightRequest | None:
        """Return the request that a timer belongs to; None if it has ended, even if its id is in flight again."""
        request = self.requests.get(timer.subject)
        return None if request is None or request.number != timer.request_number else request

    def take_effects(self) -> list[NodeEffect]:
        """Return the effects since the last call, in order, and clear them."""
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
        """Record how an attempt ended, and queue the event for the policy.

        Sends the final response if this result ends the request.

        Returns:
            False if the attempt is unknown or already has a result; nothing changes then.
        """
        request = self.requests.get(id)
        if request is None or number >= len(request.attempts):
            return False
        attempt = request.attempts[number]
        if attempt.result is not None:
            return False
        attempt.result = result
        if result is not AttemptResult.OK:
            subject = f"{id} attempt {number} at {attempt.server}"
            self._log.record(EventKind.ATTEMPT_NOT_OK, result.name.lower(), subject)
        if result is AttemptResult.OK and not request.finished:
            self.respond(SendResponse(id, ResponseStatus.OK, body))
        elif request.streaming_attempt == number:
            # The client has received part of this response, so another attempt can't replace it.
            self.respond(SendResponse(id, ResponseStatus.INTERNAL_ERROR))
        latency_ms = attempt.latency_ms(now)
        finished = request.finished
        self.events.append(AttemptFinished(id, number, attempt.server, result, latency_ms, finished, report))
        if finished and not request.has_attempt_in_flight():
            self.requests.pop(id, None)
        return True

    def abort_attempt(self, now: float, id: str, number: int, result: AttemptResult) -> None:
        """Abort an attempt and record this result; does nothing if it is no longer in flight."""
        if self.record_result(now, id, number, result):
            self.effects.append(AbortAttempt(id, number))

    def respond(self, response: SendResponse) -> None:
        """Send a final response. Ignored if the request is finished, so that no client receives two."""
        request = self.requests.get(response.id)
        if request is None or request.finished:
            return
        self.effects.append(response)
        if response.status is not ResponseStatus.OK:
            subject = f"{response.id} after {len(request.attempts)} attempts"
            self._log.record(EventKind.REQUEST_NOT_SERVED, response.status.name.lower(), subject)
        outcome = _OUTCOME_BY_STATUS.get(response.status, RequestOutcome.ERRORS)
        self._statistics.count_request(request.class_name, outcome)
        self.finish(response.id, request)

    def finish(self, id: str, request: InFlightRequest) -> None:
        """Mark a request as finished, and remove it unless one of its attempts is in flight."""
        request.finished = True
        self.active -= 1
        if not request.has_attempt_in_flight():
            del self.requests[id]

    def finish_migrated(self, now: float, id: str) -> bool:
        """Finish a request whose streamed response another process continues, and queue the event for the policy.

        Returns:
            False if no response is streamed; nothing changes then.
        """
        request = self.unfinished(id)
        if request is None or request.streaming_attempt is None:
            return False
        number = request.streaming_attempt
        attempt = request.attempts[number]
        attempt.result = AttemptResult.OK
        latency_ms = attempt.latency_ms(now)
        self.events.append(AttemptFinished(id, number, attempt.server, AttemptResult.OK, latency_ms, True))
        self.finish(id, request)
        return True

    def time_out_incomplete(self, now: float, id: str) -> bool:
        """Send the final response of a request whose body is incomplete, and abort its attempts.

        Their servers do not read the body, so they count as timed out. None can have executed the request.

        Returns:
            False if the request is finished or complete; nothing changes then.
        """
        request = self.unfinished(id)
        if request is None or request.complete:
            return False
        self.respond(SendResponse(id, ResponseStatus.TIMED_OUT))
        for number in request.attempts_in_flight():
            self.abort_attempt(now, id, number, AttemptResult.TIMEOUT)
        return True

    def longest_remaining_ms(self, now: float) -> float:
        """Return the longest time left to a complete request without a final response, up to its class's deadline.

        Returns:
            The time in milliseconds; 0 if there is no such request.
        """
        waiting = (each for each in self.requests.values() if not each.finished and each.complete)
        left_ms = (min(request.deadline_ms - now, request.class_deadline_ms) for request in waiting)
        return max(left_ms, default=0.0)

    def respond_without_policy(self, now: float, id: str, request: InFlightRequest) -> None:
        """Send the final response of a request that the policy failed to answer, and abort its attempts.

        The response is a rejection only if no server can have executed the request, because a client may retry then.
        """
        possibly_executed = any(
            attempt.result is None or not attempt.result.not_executed for attempt in request.attempts
        )
        status = ResponseStatus.INTERNAL_ERROR if possibly_executed else ResponseStatus.REJECTED
        self.respond(SendResponse(id, status))
        for number, attempt in enumerate(request.attempts):
            if attempt.result is None:
                self.abort_attempt(now, id, number, AttemptResult.CANCELLED)
