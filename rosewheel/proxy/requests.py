"""Reports the events of client requests to the node: arrival, completion, disconnects and responses."""

from __future__ import annotations

import functools
from collections.abc import Callable

from rosewheel.http.errors import BadRequestError, RefusedRequestError
from rosewheel.http.request import WHOLE_NUMBER, DownstreamRequest
from rosewheel.http.request_ids import MAX_REQUEST_ID_LENGTH
from rosewheel.http.response_buffer import MAX_BUFFERING_MS, ResponseBuffer
from rosewheel.http.response_reader import ResponseSink
from rosewheel.http.response_timer import MAX_HOLD_S
from rosewheel.node.errors import DuplicateRequestError
from rosewheel.node.statistics import RequestOutcome
from rosewheel.policy.drain_admission import DrainAdmission
from rosewheel.policy.events import AttemptResult, RequestReceived
from rosewheel.proxy import clock
from rosewheel.proxy.context import ProxyContext
from rosewheel.proxy.headers import DECIMAL_NUMBER, parse_number

METHODS = (b"GET", b"POST")
DUPLICATE_ID_MESSAGE = "this Request-Id is being served already"
TOO_MANY_IDS_MESSAGE = "too many Request-Ids in a short time"
# Subtracted from a client's timeout: the network takes up to 1 ms each way, and at the 99th percentile the node takes
# 1.7 ms from a request's arrival to its first attempt and 1.4 ms from a response's arrival to its client.
DEADLINE_MARGIN_MS = 5.0


class RequestHandler:
    """Handles the events of the client requests of one node."""

    def __init__(self, context: ProxyContext) -> None:
        self._context = context
        self._drain_admission = DrainAdmission(lambda: context.config.settings.longest_deadline_ms)

    def received(self, request: DownstreamRequest) -> None:
        """Handles a request whose head has been read.

        Raises:
            BadRequestError: The request can't be accepted.
        """
        event = self._parse(request)
        request_ids = self._context.request_ids
        if not request_ids.reserve(request):
            raise RefusedRequestError(409, DUPLICATE_ID_MESSAGE)
        request.has_effect = self._context.node.settings.has_effect(event.class_name)
        if request.has_effect and request_ids.ended.is_full:
            self._context.node.statistics.count_request(event.class_name, RequestOutcome.SHED)
            raise RefusedRequestError(503, TOO_MANY_IDS_MESSAGE)
        try:
            effects = self._context.node.receive_request(clock.now_ms(), event)
        except DuplicateRequestError as error:
            raise RefusedRequestError(409, DUPLICATE_ID_MESSAGE) from error
        request.must_be_complete = self._must_be_complete()
        self._context.client_requests[event.id] = request
        self._context.apply(effects)

    def completed(self, request: DownstreamRequest) -> None:
        """Handles the end of a request whose body was still arriving at `received`."""
        context = self._context
        if context.client_requests.get(request.id) is request:
            now_ms = clock.now_ms()
            request.must_be_complete = self._must_be_complete()
            timeout_ms = request.timeout_ms - self._waited_ms(request)
            deadline_at_ms = now_ms + self._time_for_response_ms(timeout_ms)
            context.apply(context.node.request_completed(now_ms, request.id, deadline_at_ms))

    def overdue(self, request: DownstreamRequest) -> None:
        """Handles a request whose body is incomplete when its client's time may be over."""
        context = self._context
        if context.client_requests.get(request.id) is request:
            context.apply(context.node.request_overdue(clock.now_ms(), request.id))

    def blocking(self, request: DownstreamRequest) -> None:
        """Ends a request without a response, behind which another one has no time left."""
        context = self._context
        if context.client_requests.get(request.id) is request:
            context.apply(context.node.fail_request(clock.now_ms(), request.id))

    def drain_ends(self) -> None:
        """Ends the requests that have no response yet: the process is about to be killed.

        A response that is being streamed goes on; its client can tell that it is incomplete.
        """
        context = self._context
        for request in list(context.client_requests.values()):
            if not request.response_started:
                context.apply(context.node.fail_request(clock.now_ms(), request.id))

    def client_disconnected(self, request: DownstreamRequest) -> None:
        """Handles the disconnect of a request's client."""
        context = self._context
        if context.client_requests.get(request.id) is not request:
            return
        del context.client_requests[request.id]
        context.apply(context.node.client_disconnected(clock.now_ms(), request.id))
        for attempt in context.node.attempts_in_flight(request.id):
            # Done even if the settings forbid cancellation: an unsent attempt has no effect on its server.
            if context.upstream.cancel_unsent_attempt(request.id, attempt):
                result = AttemptResult.CONNECT_FAILED
                context.apply(context.node.attempt_finished(clock.now_ms(), request.id, attempt, result))

    def response_started(
        self, id: str, attempt: int, length: int | None, on_writable: Callable[[], None]
    ) -> ResponseSink | None:
        """Handles the start of a response that is too long to buffer and is streamed to the client.

        Args:
            id: The id of the request.
            attempt: The number of the attempt.
            length: The length of the response's body in bytes, if its head declares it.
            on_writable: Called when the client's connection accepts more data.

        Returns:
            The sink for the body's data, or None if the response is no longer expected.
        """
        context = self._context
        request = context.client_requests.get(id)
        if request is not None and request.must_be_complete:
            return self._buffer_response(request, attempt, length)
        effects = context.node.response_started(clock.now_ms(), id, attempt) if request is not None else None
        if request is None or effects is None:
            return None
        request.connection.start_response(request, length, on_writable)
        context.apply(effects)
        return functools.partial(request.connection.send_response_data, request)

    def _buffer_response(
        self, request: DownstreamRequest, attempt: int, length: int | None
    ) -> ResponseSink | None:
        """Buffers a long response that has to be complete before the drain ends; returns its sink, if it is used.

        If it is too long, the request fails at once: part of it could be cut off when the process is killed.
        """
        context = self._context
        buffered = request.response_buffer
        if buffered is not None and buffered.attempt in context.node.attempts_in_flight(request.id):
            return None
        request.drop_response_buffer()  # that of an attempt that has timed out
        # Without a length, the connection may have held the response back before.
        limit_ms = MAX_BUFFERING_MS if length is not None else MAX_BUFFERING_MS - MAX_HOLD_S * 1000.0
        if not context.node.response_buffered(clock.now_ms(), request.id, attempt, limit_ms):
            return None
        buffer = ResponseBuffer(context.budget, attempt)
        if not buffer.has_space(length or 0):
            context.apply(context.node.fail_request(clock.now_ms(), request.id))
            return None
        request.response_buffer = buffer
        return functools.partial(self._append_to_buffer, request.id, buffer)

    def _append_to_buffer(self, id: str, buffer: ResponseBuffer, data: bytes) -> bool:
        if buffer.has_space(len(data)):
            buffer.append(data)
        else:
            self._context.apply(self._context.node.fail_request(clock.now_ms(), id))
        return True

    def attempt_finished(
        self, id: str, attempt: int, result: AttemptResult, report: dict[str, float] | None, body: bytes
    ) -> None:
        """Handles the end of an attempt on its connection."""
        context = self._context
        request = context.client_requests.get(id)
        if request is not None and not request.body.replayable:
            context.node.request_body_discarded(id)
        if request is not None and request.response_buffer is not None:
            body = self._take_buffered_response(request, request.response_buffer, attempt, result) or body
        if request is not None and result is AttemptResult.OK:
            self._record_duration(request)
        context.apply(context.node.attempt_finished(clock.now_ms(), id, attempt, result, report, body))

    def _take_buffered_response(
        self, request: DownstreamRequest, buffer: ResponseBuffer, attempt: int, result: AttemptResult
    ) -> bytes:
        """Returns the buffered response of an attempt that has ended with it; empty for any other attempt or end."""
        if buffer.attempt != attempt:
            return b""
        body = buffer.take() if result is AttemptResult.OK else b""
        request.drop_response_buffer()
        return body

    def _record_duration(self, request: DownstreamRequest) -> None:
        if request.completed_s is not None:
            duration_ms = (self._context.loop.time() - request.completed_s) * 1000.0
            self._drain_admission.response_completed(request.header(b"request-class") or "", duration_ms)

    def health_check_finished(
        self, server: str, result: AttemptResult, latency_ms: float, report: dict[str, float] | None
    ) -> None:
        """Handles the end of a server's health check."""
        context = self._context
        context.apply(context.node.health_check_finished(clock.now_ms(), server, result, latency_ms, report))

    def _parse(self, request: DownstreamRequest) -> RequestReceived:
        if request.method not in METHODS:
            raise BadRequestError(405, "GET and POST only")
        id, class_name = request.header(b"request-id"), request.header(b"request-class")
        if not id or len(id) > MAX_REQUEST_ID_LENGTH:
            raise BadRequestError(400, "Request-Id is missing or too long")
        if class_name not in self._context.node.class_names:
            raise BadRequestError(400, "Request-Class is missing or unknown")
        timeout_ms = parse_number(request.header(b"request-timeout-ms"), "Request-Timeout-Ms", WHOLE_NUMBER)
        if timeout_ms is None or timeout_ms <= 0:
            raise BadRequestError(400, "Request-Timeout-Ms is missing or not positive")
        request.timeout_ms = timeout_ms
        timeout_ms -= self._waited_ms(request)
        self._check_time_left(class_name, timeout_ms)
        hint = parse_number(request.header(b"work-hint"), "Work-Hint", DECIMAL_NUMBER)
        return RequestReceived(
            id=id,
            class_name=class_name,
            deadline_at_ms=clock.now_ms() + self._time_for_response_ms(timeout_ms),
            tenant=request.header(b"tenant") or None,
            cost_hint_ms=None if hint is None else hint / 1000.0,
            is_retry=request.header(b"client-retry") == "1",
            complete=request.body.complete,
        )

    def _waited_ms(self, request: DownstreamRequest) -> float:
        """Returns how long a request has waited since its last byte was written, at the most, in milliseconds."""
        if request.completed_s is None:
            return 0.0
        return (self._context.loop.time() - request.completed_s) * 1000.0

    def _check_time_left(self, class_name: str, timeout_ms: float) -> None:
        """Rejects a request that arrives during a drain with too little time left for its response."""
        context, admission = self._context, self._drain_admission
        if not context.server.draining:
            return
        is_streaming = any(
            each.streaming for each in context.node.settings.classes if each.name == class_name
        )
        if not admission.admits(self._drain_elapsed_ms(), class_name, timeout_ms, is_streaming):
            context.node.statistics.count_request(class_name, RequestOutcome.SHED)
            raise RefusedRequestError(503, "this node stops before the answer could be there")

    def _time_for_response_ms(self, timeout_ms: float) -> float:
        """Returns the time for a response, in milliseconds from the last byte of the request."""
        if self._context.server.draining:
            timeout_ms = min(timeout_ms, self._drain_admission.time_left_ms(self._drain_elapsed_ms()))
        return max(1.0, timeout_ms - DEADLINE_MARGIN_MS)

    def _must_be_complete(self) -> bool:
        """Returns whether the response to a request that arrives now has to be complete before the drain ends.

        While connections migrate to another process, it can continue a streamed response.
        """
        server = self._context.server
        if not server.draining or server.migrating:
            return False
        return self._drain_admission.must_be_complete(self._drain_elapsed_ms())

    def _drain_elapsed_ms(self) -> float:
        return (self._context.loop.time() - self._context.server.drain_started_s) * 1000.0
