"""The node without sockets: turns events into effects.

It drives the policy, numbers the attempts, decides which result ends a request, enforces deadlines and limits, and
manages the timers. An attempt that the rules forbid is reported to the policy as NOT_SENT. Times are milliseconds of
one monotonic clock.
"""

from __future__ import annotations

import logging
from collections.abc import KeysView

from rosewheel.node.effects import NodeEffect, ResponseStatus, SendResponse
from rosewheel.node.endpoints import Endpoints
from rosewheel.node.errors import DuplicateRequestError, SettingsFailedError
from rosewheel.node.in_flight import Attempt, InFlightRequest, ResponseInProgress
from rosewheel.node.limits import Limits
from rosewheel.node.policy_driver import PolicyDriver
from rosewheel.node.request_table import LoadReport, RequestTable
from rosewheel.node.rule_monitor import RuleMonitor
from rosewheel.node.rules import RequestRules
from rosewheel.node.statistics import RequestOutcome, Statistics, StatisticsSnapshot
from rosewheel.node.timers import Timer, TimerKind, TimerQueue
from rosewheel.policy.balancer import Balancer
from rosewheel.policy.events import (
    AttemptResult,
    ClientDisconnected,
    CordonChanged,
    DiscoveryAddressChanged,
    EndpointListForm,
    EndpointListUpdate,
    HealthCheckFinished,
    ProcessCountChanged,
    RequestCompleted,
    RequestReceived,
    ResponseStarted,
    Server,
    ServerState,
    SettingsChanged,
    SiblingProcessLoad,
    TimerFired,
)
from rosewheel.policy.learned_state import LearnedState
from rosewheel.policy.settings import Settings

log = logging.getLogger("rosewheel.node")

TIMER_RESOLUTION_MS = 1.0
RESPONSE_BACKSTOP_MS = 15.0  # time past its deadline after which a request is answered without the policy


class Node:
    """A node of the load balancer, without its sockets.

    Methods that take an event return its effects. The host has to carry them out in order.

    Attributes:
        settings: Settings of the policy.
        limits: Limits that the node enforces independently of the policy.
        balancer: The policy.
        endpoints: Servers in the endpoint list, and cordoned servers.
        statistics: Counters of requests and attempts.
        rules: Decides whether an attempt may be started or sent; counts verdicts and violations.
        driver: Passes events to the policy and applies its actions.
        requests: Requests in flight, by id.
    """

    def __init__(self, settings: Settings, limits: Limits, seed: int, now: float) -> None:
        self.settings, self.limits = settings, limits
        self.balancer = Balancer(settings, seed, now)
        self.endpoints = Endpoints()
        self._classes = {item.name: item for item in settings.classes}
        self.statistics = Statistics(item.name for item in settings.classes)
        monitor = RuleMonitor()
        self._table = RequestTable(self.statistics, monitor.events)
        self.requests = self._table.requests
        self.rules = RequestRules(self._table, self.endpoints, monitor)
        self.driver = PolicyDriver(self.balancer, self._table, self.endpoints, limits, self.rules)
        self._handle = self.driver.handle

    @property
    def class_names(self) -> KeysView[str]:
        """Names of the service classes in the settings."""
        return self._classes.keys()

    @property
    def timers(self) -> TimerQueue:
        """Pending timers."""
        return self.driver.timers

    @property
    def servers(self) -> dict[str, ServerState]:
        """State of each server in the endpoint list, by address."""
        return self.endpoints.servers

    @property
    def can_serve(self) -> bool:
        """True if at least one server is up and not cordoned."""
        return self.endpoints.any_accepts_requests

    @property
    def active_requests(self) -> int:
        """Number of requests without a final response."""
        return self._table.active

    @property
    def server_loads(self) -> dict[str, float]:
        """Weight in flight from this process, by server; servers that have none are left out."""
        return self.balancer.loads_by_server()

    def is_listed_or_cordoned(self, server: str) -> bool:
        """Return True if the server is in the endpoint list or cordoned."""
        return self.endpoints.is_listed_or_cordoned(server)

    def attempts_in_flight(self, id: str) -> list[int]:
        """Return the numbers of the request's attempts that have no result yet."""
        request = self.requests.get(id)
        return request.attempts_in_flight() if request is not None else []

    def response_in_progress(self, id: str) -> ResponseInProgress | None:
        """Return the response that is being streamed to the request's client; None if there is none."""
        request = self._table.unfinished(id)
        return request.response_in_progress() if request is not None else None

    def statistics_snapshot(self) -> StatisticsSnapshot:
        """Return a copy of the current statistics of this process."""
        return StatisticsSnapshot(
            self.statistics.copy_classes(),
            self.statistics.attempts,
            self.active_requests,
            len(self.servers),
            self.endpoints.cordoned_count,
            self.rules.monitor.snapshot(),
        )

    def longest_remaining_deadline_ms(self, now: float) -> float:
        """Return the longest time that any client may still wait for a response, by the deadlines of the classes.

        A request in flight may have the longer deadline of earlier settings, but not one that only its client claims.
        """
        return max(self.settings.longest_deadline_ms, self._table.longest_remaining_ms(now))

    # Requests

    def receive_request(self, now: float, request: RequestReceived) -> list[NodeEffect]:
        """Accept a request from a client. Its body may be incomplete.

        Raises:
            DuplicateRequestError: A request with this id is already in flight.
        """
        if request.id in self.requests:
            raise DuplicateRequestError(request.id)
        if self._table.active >= self.limits.max_open_requests:
            # The policy never receives this request, so no attempt can exist and a rejection is safe to retry.
            self.statistics.count_request(request.class_name, RequestOutcome.SHED)
            return [SendResponse(request.id, ResponseStatus.REJECTED)]
        service_class = self._classes[request.class_name]
        entry = InFlightRequest(
            request.class_name,
            request.deadline_at_ms,
            self.settings.max_attempts,
            self.limits.hedging_allowed,
            complete=request.complete,
            idempotency=service_class.idempotency,
            dedup_window_ms=service_class.dedup_window_ms,
            class_deadline_ms=service_class.deadline_ms,
        )
        self._table.add(request.id, entry)
        if request.complete:
            self._start_backstop(request.id, entry)
        return self._handle(now, request)

    def request_completed(self, now: float, id: str, deadline_at_ms: float) -> list[NodeEffect]:
        """Handle the last byte of a request's body, from which its timeouts and its deadline count."""
        request = self._table.unfinished(id)
        if request is None or request.complete:
            return []
        request.complete, request.deadline_ms = True, deadline_at_ms
        self._start_backstop(id, request)
        for number, attempt in enumerate(request.attempts):
            if attempt.result is None:
                attempt.sent_ms = now
                due_ms = now + min(attempt.timeout_ms, deadline_at_ms - now)
                self.timers.start(due_ms, TimerKind.ATTEMPT_TIMEOUT, id, number, request.number)
        return self._handle(now, RequestCompleted(id, deadline_at_ms))

    def request_overdue(self, now: float, id: str) -> list[NodeEffect]:
        """End a request whose client's time may be over although its body is incomplete."""
        timed_out = self._table.time_out_incomplete(now, id)
        return self._handle(now, ClientDisconnected(id)) if timed_out else []

    def request_body_discarded(self, id: str) -> None:
        """Record that part of the request's body is no longer buffered, so that no further attempt is started."""
        request = self.requests.get(id)
        if request is not None:
            request.body_discarded = True

    def client_disconnected(self, now: float, id: str) -> list[NodeEffect]:
        """Handle a client that closed its connection before it received the whole response."""
        request = self._table.unfinished(id)
        if request is None:
            return []
        self._table.finish(id, request)
        if request.streaming_attempt is not None:  # the policy does not cancel a streaming attempt
            self._table.abort_attempt(now, id, request.streaming_attempt, AttemptResult.CANCELLED)
        return self._handle(now, ClientDisconnected(id))

    # Attempts

    def response_started(self, now: float, id: str, attempt: int) -> list[NodeEffect] | None:
        """Start to stream the response of an attempt: it is too long to be buffered.

        From now on no deadline ends the request.

        Returns:
            The effects; None if the response can't be used, because the attempt or the request has already ended or
            another response is being streamed.
        """
        request = self._table.unfinished(id)
        if request is None or not request.can_use_response(attempt):
            return None
        request.streaming_attempt = attempt
        request.attempts[attempt].response_started_ms = now
        return self._handle(now, ResponseStarted(id, attempt))

    def response_buffered(self, now: float, id: str, attempt: int, limit_ms: float) -> bool:
        """Give an attempt this time, up to the deadline: its long response is buffered, not streamed.

        Returns:
            False if the response can't be used; see `response_started`.
        """
        request = self._table.unfinished(id)
        if request is None or not request.can_use_response(attempt):
            return False
        due_ms = min(request.deadline_ms, now + limit_ms)
        request.attempts[attempt].timeout_ms = due_ms - request.attempts[attempt].sent_ms
        self.timers.start(due_ms, TimerKind.ATTEMPT_TIMEOUT, id, attempt, request.number)
        return True

    def fail_request(self, now: float, id: str) -> list[NodeEffect]:
        """Respond to a request without the policy, and abort its attempts; ignored if it has ended."""
        request = self._table.unfinished(id)
        if request is None:
            return []
        self._table.respond_without_policy(now, id, request)
        return self._handle(now, ClientDisconnected(id))

    def attempt_finished(
        self,
        now: float,
        id: str,
        attempt: int,
        result: AttemptResult,
        report: LoadReport | None = None,
        body: bytes = b"",
    ) -> list[NodeEffect]:
        """Handle the end of an attempt on its connection. Ignored if the attempt already has a result."""
        self._table.record_result(now, id, attempt, result, report, body)
        return self._handle(now)

    def response_migrated(self, now: float, id: str) -> list[NodeEffect]:
        """Hand a streamed response over to another process of this node, which also counts the request.

        The policy of this process records the attempt as successful, because the server has done its work.
        """
        return self._handle(now) if self._table.finish_migrated(now, id) else []

    def adopt_response(self, now: float, id: str, class_name: str, server: str) -> bool:
        """Take over a streamed response from another process, as attempt 0 of a request unknown to the policy.

        The settings of this process need not contain its service class.

        Returns:
            False if a request with this id is already in flight.
        """
        if id in self.requests:
            return False
        self.statistics.track_class(class_name)
        attempt = Attempt(server, now, response_started_ms=now)
        self._table.add(id, InFlightRequest(class_name, now, attempts=[attempt], streaming_attempt=0))
        return True

    # Servers and other processes of the node

    def update_endpoints(
        self, now: float, form: EndpointListForm, servers: tuple[Server, ...] = ()
    ) -> list[NodeEffect]:
        """Apply an endpoint list or changes to it, or pass on to the policy that a watch of it has failed."""
        self.endpoints.update(form, servers)
        return self._handle(now, EndpointListUpdate(form, servers))

    def discovery_address_changed(self, now: float) -> list[NodeEffect]:
        """Tell the policy that discovery has a new address."""
        return self._handle(now, DiscoveryAddressChanged())

    def set_cordon(self, now: float, server: str, cordoned: bool) -> list[NodeEffect]:
        """Cordon a server, or lift its cordon. Does nothing if it already is in that state."""
        if not self.endpoints.set_cordon(server, cordoned):
            return []
        return self._handle(now, CordonChanged(server, cordoned))

    def health_check_finished(
        self, now: float, server: str, result: AttemptResult, latency_ms: float, report: LoadReport | None
    ) -> list[NodeEffect]:
        """Handle the result of a health check that was requested with `StartHealthCheck`."""
        return self._handle(now, HealthCheckFinished(server, result, latency_ms, report))

    def process_count_changed(self, now: float, processes: int) -> list[NodeEffect]:
        """Set how many processes of this node make decisions during a hot restart, this one included."""
        return self._handle(now, ProcessCountChanged(processes))

    def sibling_process_load(self, now: float, loads: dict[str, float]) -> list[NodeEffect]:
        """Pass the `server_loads` of another process of this node to the policy."""
        return self._handle(now, SiblingProcessLoad(loads))

    # Settings and learned state

    def configure(self, now: float, settings: Settings, limits: Limits) -> list[NodeEffect]:
        """Apply new settings and limits; equal ones change nothing.

        Requests in flight keep the values with which they started: service class, idempotency, deadline, limit of
        attempts, and whether these may be hedged or cancelled.

        Raises:
            ValueError: The settings can't be applied to a running node. The message names the key, and the old
                settings stay in effect.
        """
        try:
            actions = self.balancer.handle(now, SettingsChanged(settings))
        except ValueError:
            raise
        except Exception as error:
            log.exception("settings rejected: reason=policy failed")
            raise SettingsFailedError(error) from error
        self.settings, self.limits = settings, limits
        self.driver.limits = limits
        self._classes = {item.name: item for item in settings.classes}
        self.statistics.configure(item.name for item in settings.classes)
        self.driver.apply(now, actions)
        return self._handle(now)

    def learned_state(self, now: float) -> LearnedState:
        """Return what the policy has learned about its servers, for a later process of this node."""
        return self.balancer.capture_learned_state(now)

    def restore_learned_state(self, now: float, state: LearnedState, age_ms: float) -> int:
        """Restore what an earlier process of this node learned about its servers.

        Returns:
            Number of current servers for which the state has data.
        """
        return self.balancer.restore_learned_state(now, state, age_ms)

    # Timers

    def next_timer_ms(self) -> float | None:
        """Return when `tick` has to be called next; None without timers."""
        return self.driver.timers.next_due_ms

    def tick(self, now: float) -> list[NodeEffect]:
        """Fire all timers that are due, and return their effects; an error in one does not affect the others."""
        effects: list[NodeEffect] = []
        while (timer := self.timers.pop_due(now)) is not None:
            try:
                effects += self._fire(now, timer)
            except Exception:
                self.rules.monitor.record_error(f"timer: {timer.kind.value}")
                effects += self._table.take_effects()
        return effects

    def _fire(self, now: float, timer: Timer) -> list[NodeEffect]:
        match timer.kind:
            case TimerKind.POLICY:
                return self._handle(now, TimerFired(timer.subject))
            case TimerKind.ATTEMPT_TIMEOUT:
                return self._attempt_timed_out(now, timer)
            case TimerKind.RESPONSE_BACKSTOP:
                return self._respond_after_deadline(now, timer)

    def _attempt_timed_out(self, now: float, timer: Timer) -> list[NodeEffect]:
        request, id, attempt = self._table.owner(timer), timer.subject, timer.attempt
        if request is None or request.streaming_attempt == attempt:
            return []  # a streamed response has no deadline
        if self.rules.time_left_ms(now, id, attempt) > TIMER_RESOLUTION_MS:
            return []  # a buffered response was given more time
        self._table.abort_attempt(now, id, attempt, AttemptResult.TIMEOUT)
        return self._handle(now)

    def _respond_after_deadline(self, now: float, timer: Timer) -> list[NodeEffect]:
        """Respond to a request that the policy left without a response past its deadline."""
        request, id = self._table.owner(timer), timer.subject
        if request is None or request.finished or request.streaming_attempt is not None:
            return []
        log.error("request failed: reason=no response from the policy by the deadline, request=%s", id)
        return self.fail_request(now, id)

    def _start_backstop(self, id: str, request: InFlightRequest) -> None:
        due_ms = request.deadline_ms + RESPONSE_BACKSTOP_MS
        kind, number = TimerKind.RESPONSE_BACKSTOP, request.number
        self.driver.timers.start(due_ms, kind, id, request_number=number)
