"""Passes events to the policy and applies those of its actions that the rules and limits of the node allow.

Times are milliseconds of the node's clock.
"""

from __future__ import annotations

import logging
from collections.abc import Iterable

from rosewheel.node.effects import (
    NodeEffect,
    OpenEndpointWatch,
    ResponseStatus,
    SendResponse,
    StartAttempt,
    StartHealthCheck,
)
from rosewheel.node.endpoints import Endpoints
from rosewheel.node.event_log import EventKind
from rosewheel.node.in_flight import Attempt
from rosewheel.node.limits import Limits
from rosewheel.node.request_table import RequestTable
from rosewheel.node.rules import RequestRules
from rosewheel.node.timers import Timer, TimerKind, TimerQueue
from rosewheel.policy.actions import (
    Action,
    CancelAttempt,
    CheckHealth,
    FailRequest,
    ForwardRequest,
    RejectRequest,
    StartTimer,
    WatchEndpoints,
)
from rosewheel.policy.balancer import Balancer
from rosewheel.policy.events import (
    AttemptFinished,
    AttemptResult,
    Event,
    RequestReceived,
    TimerFired,
)

log = logging.getLogger("rosewheel.node")

POLICY_TIMER_RETRY_MS = 1000.0  # delay after a failure of a timer whose last delay is not recorded


class PolicyDriver:
    """Passes events to the policy, and applies its actions to requests, timers and the host.

    Attributes:
        limits: Limits that the node enforces independently of the policy.
        timers: Pending timers.
    """

    __slots__ = ("_balancer", "_endpoints", "_policy_delays_ms", "_rules", "_table", "limits", "timers")

    def __init__(
        self,
        balancer: Balancer,
        table: RequestTable,
        endpoints: Endpoints,
        limits: Limits,
        rules: RequestRules,
    ) -> None:
        self._balancer, self._table, self._endpoints = balancer, table, endpoints
        self._rules = rules
        self.limits = limits
        self.timers = TimerQueue(self.is_timer_needed)
        self._policy_delays_ms: dict[str, float] = {}  # last delay by timer name

    def handle(self, now: float, event: Event | None = None) -> list[NodeEffect]:
        """Have the policy handle the event and all events that its actions cause; return their effects."""
        events = self._table.events
        if event is not None:
            events.append(event)
        while events:
            event = events.popleft()
            try:
                for action in self._balancer.handle(now, event):
                    self._apply_action(now, action)
            except Exception:
                self._rules.monitor.record_error(f"policy: {type(event).__name__}")
                self._recover_from_failure(now, event)
        return self._table.take_effects()

    def apply(self, now: float, actions: Iterable[Action]) -> None:
        """Apply actions of the policy. The next call of `handle` returns their effects."""
        for action in actions:
            self._apply_action(now, action)

    def _recover_from_failure(self, now: float, event: Event) -> None:
        """Restart the timer, or answer the request, of an event that the policy failed to handle."""
        match event:
            case TimerFired(name=name):
                # The policy restarts a periodic timer while it handles this event, so a failure would stop it.
                delay_ms = self._policy_delays_ms.get(name, POLICY_TIMER_RETRY_MS)
                self.timers.start(now + delay_ms, TimerKind.POLICY, name)
            case RequestReceived() | AttemptFinished():
                request = self._table.unfinished(event.id)
                if request is not None:
                    self._table.respond_without_policy(now, event.id, request)
            case _:
                pass

    def _apply_action(self, now: float, action: Action) -> None:
        match action:
            case ForwardRequest():
                self._forward(now, action)
            case RejectRequest(id=id, retry_after_ms=retry_after_ms):
                self._table.respond(SendResponse(id, ResponseStatus.REJECTED, b"", retry_after_ms))
            case FailRequest(id=id):
                self._table.respond(SendResponse(id, self._failure_status(id)))
            case CancelAttempt(id=id, attempt=attempt):
                self._table.abort_attempt(now, id, attempt, AttemptResult.CANCELLED)
            case StartTimer(name=name, delay_ms=delay_ms):
                self._policy_delays_ms[name] = delay_ms
                self.timers.start(now + delay_ms, TimerKind.POLICY, name)
            case WatchEndpoints():
                self._table.effects.append(OpenEndpointWatch())
            case CheckHealth(server=server):
                if self.limits.health_checks_allowed and server in self._endpoints.servers:
                    self._table.effects.append(StartHealthCheck(server))

    def _failure_status(self, id: str) -> ResponseStatus:
        request = self._table.requests.get(id)
        attempts = request.attempts if request is not None else ()
        timed_out = any(attempt.result is AttemptResult.TIMEOUT for attempt in attempts)
        return ResponseStatus.TIMED_OUT if timed_out else ResponseStatus.FAILED

    def _forward(self, now: float, action: ForwardRequest) -> None:
        """Start an attempt, or record it as NOT_SENT if the rules forbid it."""
        request = self._table.requests.get(action.id)
        if request is None:
            log.error("forwarding ignored: reason=request not in flight, request=%s", action.id)
            return
        remaining_ms = request.deadline_ms - now
        if not request.complete and action.timeout_ms:
            remaining_ms = action.timeout_ms
        timeout_ms = min(remaining_ms, action.timeout_ms) if action.timeout_ms else remaining_ms
        allowed = self._rules.may_start_attempt(request, action.server, remaining_ms)
        number = len(request.attempts)
        if number:
            last_result = request.attempts[-1].result
            reason = "hedge" if last_result is None else last_result.name.lower()
            events = self._rules.monitor.events
            events.record(EventKind.RETRY, reason, f"{action.id} attempt {number} at {action.server}")
        request.attempts.append(Attempt(action.server, now, timeout_ms))
        if not allowed:
            self._table.record_result(now, action.id, number, AttemptResult.NOT_SENT)
            return
        if request.complete:
            due_ms = now + timeout_ms
            self.timers.start(due_ms, TimerKind.ATTEMPT_TIMEOUT, action.id, number, request.number)
        self._table.effects.append(StartAttempt(action.id, number, action.server, timeout_ms))

    def is_timer_needed(self, timer: Timer) -> bool:
        """Return True if the timer would still have an effect when it fires."""
        if timer.kind is TimerKind.POLICY:
            return True
        request = self._table.owner(timer)
        if request is None or request.streaming_attempt is not None:
            return False
        if timer.kind is TimerKind.RESPONSE_BACKSTOP:
            return not request.finished
        return request.attempts[timer.attempt].result is None
