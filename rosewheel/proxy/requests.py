"""Passes what happens to requests on the sockets to the node."""

from __future__ import annotations

import functools
from collections.abc import Callable

from rosewheel.http.errors import BadRequestError, RefusedRequestError
from rosewheel.http.request import DownstreamRequest
from rosewheel.http.response_reader import ResponseSink
from rosewheel.node.errors import DuplicateRequestError
from rosewheel.node.statistics import RequestOutcome
from rosewheel.policy.events import AttemptResult, RequestReceived
from rosewheel.proxy import clock
from rosewheel.proxy.headers import DECIMAL_NUMBER, WHOLE_NUMBER, parse_number
from rosewheel.proxy.parts import ProxyParts

METHODS = (b"GET", b"POST")
MAX_REQUEST_ID_LENGTH = 256
# A shutdown takes as long as the longest deadline of a request, at most this, and DRAIN_MARGIN_MS. A request that
# arrives during it has until then, and is rejected where that is less than its own deadline and less than
# MIN_DRAIN_DEADLINE_MS: an attempt would hardly end in time.
MAX_DRAIN_DEADLINE_MS = 3000.0
DRAIN_MARGIN_MS = 500.0
MIN_DRAIN_DEADLINE_MS = 1000.0
# What a deadline loses between client and node. Measured: up to 1 ms each way, and at the 99th percentile 1.7 ms
# from a request's arrival to its first attempt and 1.4 ms from a response's arrival to its client.
DEADLINE_MARGIN_MS = 5.0


class RequestHandler:
    """The requests of the clients of one node."""

    def __init__(self, parts: ProxyParts) -> None:
        self._parts = parts
        self._longest_deadline_ms = 0.0  # of the requests so far

    def received(self, call: DownstreamRequest) -> None:
        """The head of a request has been read.

        Raises:
            BadRequestError: The request can't be accepted.
        """
        request = self._parse(call)
        call.id = request.id
        try:
            effects = self._parts.node.receive_request(clock.now_ms(), request)
        except DuplicateRequestError as error:
            raise RefusedRequestError(409, "this Request-Id is being served already") from error
        self._parts.calls[request.id] = call
        self._parts.apply(effects)

    def completed(self, call: DownstreamRequest) -> None:
        """The last byte of a request, whose head came before, has been read."""
        parts = self._parts
        if parts.calls.get(call.id) is call:
            now_ms = clock.now_ms()
            deadline_at_ms = now_ms + self._time_for_response_ms(call.timeout_ms)
            parts.apply(parts.node.request_completed(now_ms, call.id, deadline_at_ms))

    def client_disconnected(self, call: DownstreamRequest) -> None:
        """The client of a request has closed its connection."""
        parts = self._parts
        if parts.calls.get(call.id) is not call:
            return
        del parts.calls[call.id]
        parts.apply(parts.node.client_disconnected(clock.now_ms(), call.id))
        for attempt in parts.node.attempts_in_flight(call.id):
            # Spares servers work, also where the settings allow no cancellation: an unsent attempt has no effect.
            if parts.upstream.cancel_unsent_attempt(call.id, attempt):
                result = AttemptResult.CONNECT_FAILED
                parts.apply(parts.node.attempt_finished(clock.now_ms(), call.id, attempt, result))

    def response_started(
        self, id: str, attempt: int, length: int | None, on_writable: Callable[[], None]
    ) -> ResponseSink | None:
        """An attempt's response is too long to be held, and is passed on as it arrives.

        Args:
            id: The id of the request.
            attempt: The number of the attempt.
            length: The length of the response's body, where its head tells.
            on_writable: Called when the client can take more.

        Returns:
            What takes the pieces of the body; None where nobody waits for them.
        """
        parts = self._parts
        call = parts.calls.get(id)
        effects = parts.node.response_started(clock.now_ms(), id, attempt) if call is not None else None
        if call is None or effects is None:
            return None
        call.connection.start_response(call, length, on_writable)
        parts.apply(effects)
        return functools.partial(call.connection.send_response_data, call)

    def attempt_finished(
        self, id: str, attempt: int, result: AttemptResult, report: dict[str, float] | None, body: bytes
    ) -> None:
        """An attempt has ended on its connection."""
        parts = self._parts
        call = parts.calls.get(id)
        if call is not None and not call.body.replayable:
            parts.node.request_body_discarded(id)
        parts.apply(parts.node.attempt_finished(clock.now_ms(), id, attempt, result, report, body))

    def health_check_finished(
        self, server: str, result: AttemptResult, latency_ms: float, report: dict[str, float] | None
    ) -> None:
        """A health check of a server has ended."""
        parts = self._parts
        parts.apply(parts.node.health_check_finished(clock.now_ms(), server, result, latency_ms, report))

    def _parse(self, call: DownstreamRequest) -> RequestReceived:
        if call.method not in METHODS:
            raise BadRequestError(405, "GET and POST only")
        id, service = call.header(b"request-id"), call.header(b"request-class")
        if not id or len(id) > MAX_REQUEST_ID_LENGTH:
            raise BadRequestError(400, "Request-Id is missing or too long")
        if service not in self._parts.node.service_names:
            raise BadRequestError(400, "Request-Class is missing or unknown")
        timeout_ms = parse_number(call.header(b"request-timeout-ms"), "Request-Timeout-Ms", WHOLE_NUMBER)
        if timeout_ms is None or timeout_ms <= 0:
            raise BadRequestError(400, "Request-Timeout-Ms is missing or not positive")
        call.timeout_ms = timeout_ms
        timeout_ms -= self._waited_ms(call)
        self._check_time_left(service, timeout_ms)
        hint = parse_number(call.header(b"work-hint"), "Work-Hint", DECIMAL_NUMBER)
        return RequestReceived(
            id=id,
            service=service,
            deadline_at_ms=clock.now_ms() + self._time_for_response_ms(timeout_ms),
            tenant=call.header(b"tenant") or None,
            cost_hint_ms=None if hint is None else hint / 1000.0,
            is_retry=call.header(b"client-retry") == "1",
            complete=call.body.complete,
        )

    def _waited_ms(self, call: DownstreamRequest) -> float:
        """How long a complete request has waited for the responses before its own."""
        if call.completed_s is None:
            return 0.0
        return (self._parts.loop.time() - call.completed_s) * 1000.0

    def _check_time_left(self, service: str, timeout_ms: float) -> None:
        """Rejects a request during a shutdown that leaves too little time for its response."""
        self._longest_deadline_ms = max(self._longest_deadline_ms, min(timeout_ms, MAX_DRAIN_DEADLINE_MS))
        parts = self._parts
        if parts.server.draining and self._time_left_ms() < min(timeout_ms, MIN_DRAIN_DEADLINE_MS):
            parts.node.statistics.count_request(service, RequestOutcome.SHED)
            raise RefusedRequestError(503, "this node stops before the answer could be there")

    def _time_for_response_ms(self, timeout_ms: float) -> float:
        """How long a client with this timeout waits from its request's last byte on, as seen from here."""
        if self._parts.server.draining:
            timeout_ms = min(timeout_ms, self._time_left_ms())
        return max(1.0, timeout_ms - DEADLINE_MARGIN_MS)

    def _time_left_ms(self) -> float:
        """How long this process still has for responses, once it shuts down."""
        draining_s = self._parts.server.drain_started_s - self._parts.loop.time()
        return draining_s * 1000.0 + self._longest_deadline_ms + DRAIN_MARGIN_MS
