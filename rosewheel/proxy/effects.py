"""Executes the effects that the node decides on, and calls the node when one of its timers is due."""

from __future__ import annotations

import asyncio
import math
from collections.abc import Callable

from rosewheel.http.exchange import AttemptChecks
from rosewheel.http.input_clock import ARRIVAL_DELAY_S
from rosewheel.http.request import DownstreamRequest
from rosewheel.node.effects import (
    AbortAttempt,
    NodeEffect,
    OpenEndpointWatch,
    ResponseStatus,
    SendResponse,
    StartAttempt,
    StartHealthCheck,
)
from rosewheel.node.rule_monitor import CheckedOperation, Reason, Rule
from rosewheel.policy.events import AttemptResult
from rosewheel.proxy import clock
from rosewheel.proxy.context import ProxyContext

# Delay of an attempt while its client may have disconnected unseen; longer than all that it has written is on its way.
DEFERRAL_S = ARRIVAL_DELAY_S + 0.01

AttemptHandler = Callable[[str, int, AttemptResult, dict[str, float] | None, bytes], None]


def _is_present(request: DownstreamRequest) -> bool:
    """Return whether the client is known to wait for the response."""
    return request.connection.is_connected() and not request.connection.may_have_left()


class EffectRunner:
    """Executes the effects of one node.

    Args:
        context: The components of the proxy that effects act on.
        on_attempt_finished: Called for an attempt that ends before it is sent.
    """

    def __init__(self, context: ProxyContext, on_attempt_finished: AttemptHandler) -> None:
        self._context = context
        self._on_attempt_finished = on_attempt_finished
        self._timer: asyncio.TimerHandle | None = None
        self._timer_due_ms = 0.0

    def apply(self, effects: list[NodeEffect]) -> None:
        """Executes effects in order."""
        for effect in effects:
            try:
                self._execute(effect)
            except Exception:  # an error in one request must not affect the others
                self._context.node.rules.monitor.record_error(f"effect: {type(effect).__name__}")
        self._start_timer()

    def close(self) -> None:
        """Stops the timer."""
        if self._timer is not None:
            self._timer.cancel()

    def _execute(self, effect: NodeEffect) -> None:
        match effect:
            case StartAttempt():
                self._start_attempt(effect)
            case AbortAttempt():
                self._context.upstream.abort_attempt(effect.id, effect.attempt)
            case SendResponse():
                self._send_response(effect)
            case OpenEndpointWatch():
                self._context.discovery.start()
            case StartHealthCheck():
                self._context.upstream.check_health(effect.server)

    def _start_attempt(self, effect: StartAttempt, *, is_deferred: bool = False) -> None:
        request = self._context.client_requests.get(effect.id)
        # Checked before each attempt: a busy event loop may report the client's disconnect only after this effect.
        if request is None or request.connection.close_if_disconnected():
            self._end_unsent(effect, AttemptResult.CANCELLED)
            return
        if request.connection.may_have_left():
            if is_deferred:
                self._end_unsent(effect, AttemptResult.NOT_SENT)
            else:  # what the client has written, and its disconnect, arrive meanwhile
                self._context.loop.call_later(DEFERRAL_S, self._start_deferred, effect, request)
            return
        id, attempt, length = effect.id, effect.attempt, request.forwarded_length
        request.may_have_effect = request.has_effect
        rules = self._context.node.rules

        def encode_head() -> bytes:
            client_left_ms = self._client_time_left_ms(request)
            timeout_ms = rules.time_left_ms(clock.now_ms(), id, attempt)
            # The client's time may run while its body is incomplete, if the rest waits unread.
            if client_left_ms is not None and not request.body.complete:
                timeout_ms = min(timeout_ms, client_left_ms)
            is_client_waiting = self._context.client_requests.get(id) is request
            rules.record_send_violations(id, attempt, is_client_waiting, timeout_ms, client_left_ms)
            return request.upstream_head(timeout_ms, length)

        checks = AttemptChecks(
            is_wanted=lambda: rules.may_send(clock.now_ms(), id, attempt, _is_present(request)),
            time_left_ms=lambda: rules.time_left_ms(clock.now_ms(), id, attempt),
            may_repeat=lambda: rules.may_repeat(id) and request.body.replayable,
        )
        self._context.upstream.start_attempt(
            id, attempt, effect.server, encode_head, request.body, length is None, checks
        )

    def _start_deferred(self, effect: StartAttempt, request: DownstreamRequest) -> None:
        if self._context.client_requests.get(effect.id) not in (request, None):
            return  # the request has ended, and its id has come again
        if self._context.node.rules.time_left_ms(clock.now_ms(), effect.id, effect.attempt) > 0.0:
            self._start_attempt(effect, is_deferred=True)

    def _end_unsent(self, effect: StartAttempt, result: AttemptResult) -> None:
        self._context.loop.call_soon(self._on_attempt_finished, effect.id, effect.attempt, result, None, b"")

    def _client_time_left_ms(self, request: DownstreamRequest) -> float | None:
        """Returns the time left of the client's timeout in milliseconds; None if it is unknown."""
        if request.completed_s is None:
            return None
        return request.timeout_ms - (self._context.loop.time() - request.completed_s) * 1000.0

    def _send_response(self, effect: SendResponse) -> None:
        request, monitor = (
            self._context.client_requests.pop(effect.id, None),
            self._context.node.rules.monitor,
        )
        reason = Reason.CLIENT_DISCONNECTED if request is None else Reason.ALLOWED
        if not monitor.is_allowed(CheckedOperation.RESPOND, reason) or request is None:
            return
        if request.has_final_response:
            monitor.record_violation(Rule.ONE_RESPONSE, effect.id)
            return
        request.has_final_response = True
        connection = request.connection
        if not request.response_started:
            connection.respond(request, effect.status, effect.body, effect.retry_after_ms)
        elif effect.status == ResponseStatus.OK:
            connection.finish_response(request)
        else:
            connection.abort_response(request)

    def _start_timer(self) -> None:
        """Schedules one event-loop timer for the node's earliest timer."""
        due_ms = self._context.node.next_timer_ms()
        if due_ms is None or (self._timer is not None and self._timer_due_ms <= due_ms):
            return
        if self._timer is not None:
            self._timer.cancel()
        self._timer_due_ms = due_ms
        # Rounded up to the event loop's resolution of 1 ms, so that the timer does not fire early.
        delay_ms = max(0, math.ceil(due_ms - clock.now_ms()))
        self._timer = self._context.loop.call_later(delay_ms / 1000.0, self._timer_fired)

    def _timer_fired(self) -> None:
        self._timer = None
        try:
            self.apply(self._context.node.tick(clock.now_ms()))
        finally:
            self._start_timer()
