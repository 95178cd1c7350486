"""Attempts of requests, retries, and the final response of each request."""

import math

from rosewheel.policy.actions import Action, CancelAttempt, FailRequest, ForwardRequest, RejectRequest
from rosewheel.policy.events import AttemptFinished, RequestCompleted, RequestReceived, ResponseStarted
from rosewheel.policy.pool_load import CLASS_GAIN, PoolLoad
from rosewheel.policy.ranking import Ranking
from rosewheel.policy.request_state import Attempt, RequestState
from rosewheel.policy.settings import Idempotency
from rosewheel.policy.shared_state import SharedState

# Share of the objective after which an attempt times out, for classes whose late responses are worth nothing.
OBJECTIVE_TIMEOUT_SHARE = 0.98
MIN_TIMEOUT_MS = 1.0  # an attempt is sent only with more time left than this
MIN_WEIGHT, MAX_WEIGHT = 0.25, 4.0  # limits of a request's weight, which is 1 for the mean cost hint


class Attempts:
    """Forwards and retries requests, tracks the weight in flight and ends requests."""

    def __init__(self, shared: SharedState, ranking: Ranking, pool_load: PoolLoad) -> None:
        self.shared, self.ranking, self.pool_load = shared, ranking, pool_load
        self.mean_cost_hint_ms = 0.0

    def receive(self, now: float, request: RequestReceived) -> RequestState:
        """Register a request and weigh it by its cost hint."""
        weight, hint_ms, settings = 1.0, request.cost_hint_ms, self.shared.settings
        if settings.weight_by_work and hint_ms:
            gain = CLASS_GAIN if self.mean_cost_hint_ms else 1.0
            self.mean_cost_hint_ms += (hint_ms - self.mean_cost_hint_ms) * gain
            weight = min(MAX_WEIGHT, max(MIN_WEIGHT, hint_ms / self.mean_cost_hint_ms))
        self.pool_load.throughput.requested_weight += weight
        state = RequestState(request, self.shared.classes[request.class_name], settings, now, weight)
        self.shared.requests[request.id] = state
        return state

    def forward(self, now: float, state: RequestState) -> list[Action]:
        """Send the next attempt; return no action if no attempt, time or server is left."""
        # The deadline counts from the last byte of the request: until that arrives, the full time is left.
        request, service_class = state.request, state.service_class
        start_ms = now if request.complete else state.started_ms
        left_ms = request.deadline_at_ms - start_ms
        if service_class.late_weight <= 0.0 and not service_class.streaming:
            # A late response is worth nothing, and its work would take capacity from other requests.
            stop_ms = state.started_ms + service_class.latency_objective_ms * OBJECTIVE_TIMEOUT_SHARE
            left_ms = min(left_ms, stop_ms - start_ms)
        exhausted = len(state.attempts) >= state.settings.max_attempts
        if state.ended or exhausted or not left_ms > MIN_TIMEOUT_MS:
            return []
        server = self.ranking.choose(now, state)
        if server is None:
            return []
        state.attempts.append(Attempt(server, now))
        if request.complete:
            self._add_load(now, state, len(state.attempts) - 1)
        server.credit -= state.weight
        if self.shared.pool.is_large:
            self.shared.pool.recheck_credit(server, now)
        return [ForwardRequest(request.id, server.endpoint.address, left_ms)]

    def _add_load(self, now: float, state: RequestState, number: int) -> None:
        attempt = state.attempts[number]
        attempt.sent_ms, attempt.counts_as_load = now, True
        attempt.server.in_flight[(state.request.id, number)] = now
        self.shared.pool.add_load(attempt.server, state.weight)

    def _remove_load(self, state: RequestState, number: int) -> None:
        attempt = state.attempts[number]
        if attempt.counts_as_load:
            attempt.counts_as_load = False
            self.shared.pool.add_load(attempt.server, -state.weight)
            attempt.server.in_flight.pop((state.request.id, number), None)

    def on_request_completed(self, now: float, state: RequestState, event: RequestCompleted) -> None:
        """Count attempts in flight as load from now on: a server begins a request at its last byte."""
        request = state.request
        request.complete, request.deadline_at_ms, state.started_ms = True, event.deadline_at_ms, now
        for number, attempt in enumerate(state.attempts):
            if attempt.result is None:
                self._add_load(now, state, number)

    def on_response_started(self, state: RequestState, event: ResponseStarted) -> list[Action]:
        """Keep the attempt that responds, and cancel the others."""
        # A long response is forwarded at its client's pace, after the server's work is done. Counted as load
        # meanwhile, the responses of slow clients would cause other requests to be rejected.
        state.streaming = True
        if not state.service_class.streaming:
            self._remove_load(state, event.attempt)
        return self._cancel(state, except_for=event.attempt)

    def on_attempt_finished(self, now: float, event: AttemptFinished) -> list[Action]:
        """Record the outcome of an attempt, then end its request or retry it."""
        self.record_load_report(now, event.server, event.report)
        state = self.shared.requests.get(event.id)
        if state is None or event.attempt >= len(state.attempts) or state.attempts[event.attempt].result:
            return []
        state.attempts[event.attempt].result = event.result
        self._remove_load(state, event.attempt)
        self.pool_load.record_outcome(now, state, event)
        if event.request_ended:
            state.streaming = False
        if event.request_ended or state.ended:
            return self.end(state)
        if state.in_flight():
            return []
        return self.forward(now, state) or self.respond(state)

    def record_load_report(self, now: float, address: str, report: dict[str, float] | None) -> None:
        """Record the load report of a listed server; does nothing without a report."""
        server = self.shared.pool.servers.get(address)
        if server is not None and report:
            queue, utilisation = report.get("queue", 0.0), report.get("util", server.utilisation)
            # A negative or infinite value would make its server always or never the best.
            server.reported_queue = queue if 0.0 <= queue < math.inf else 0.0
            valid = utilisation is not None and 0.0 <= utilisation < math.inf
            server.utilisation = utilisation if valid else None
            server.last_report_ms = now

    def respond(self, state: RequestState) -> list[Action]:
        """Return the final response: a rejection if the client may safely retry, else a failure."""
        response: Action = FailRequest(state.request.id)
        if state.service_class.idempotency is Idempotency.IDEMPOTENT or not state.possibly_executed():
            retry_after_ms = 0.0
            if state.settings.retry_after and state.settings.tier == 0:
                wait_ms = self.pool_load.throughput.period_ms * self.pool_load.table.cursor
                retry_after_ms = min(state.settings.max_retry_after_ms, wait_ms)
            response = RejectRequest(state.request.id, retry_after_ms)
        return [response, *self.end(state)]

    def end(self, state: RequestState) -> list[Action]:
        """End a request; its state is dropped once none of its attempts is in flight."""
        actions = [] if state.ended or state.streaming else self._cancel(state)
        state.ended = True
        if not state.in_flight():
            self.shared.requests.pop(state.request.id, None)
        return actions

    def _cancel(self, state: RequestState, except_for: int | None = None) -> list[Action]:
        if not state.settings.may_cancel:
            return []
        in_flight = (number for number, attempt in enumerate(state.attempts) if attempt.result is None)
        return [CancelAttempt(state.request.id, number) for number in in_flight if number != except_for]
