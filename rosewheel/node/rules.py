"""The one place that decides whether something may be sent, repeated, accepted, adopted or closed at this moment.

Each path asks right before it acts. The policy chooses among what is allowed; what it chooses against these rules is
not done. No I/O; times are milliseconds of the node's clock.
"""

from __future__ import annotations

from rosewheel.node.endpoints import Endpoints
from rosewheel.node.in_flight import InFlightRequest
from rosewheel.node.request_table import RequestTable
from rosewheel.node.rule_monitor import Act, Reason, Rule, RuleMonitor
from rosewheel.policy.settings import Idempotency

TOLD_DEADLINE_SLACK_MS = 150.0  # what the operators allow for a process that is held up


class RequestRules:
    """The rules on requests and their attempts.

    Attributes:
        monitor: Counts verdicts and violations.
    """

    __slots__ = ("_endpoints", "_table", "monitor")

    def __init__(self, table: RequestTable, endpoints: Endpoints, monitor: RuleMonitor) -> None:
        self._table, self._endpoints, self.monitor = table, endpoints, monitor

    def may_start_attempt(self, request: InFlightRequest, server: str, remaining_ms: float) -> bool:
        """Whether another attempt of this request may be started at this server, whatever the policy decided.

        Args:
            request: The request.
            server: The server's address.
            remaining_ms: What is left of the request's time.
        """
        act = Act.FIRST_ATTEMPT
        if request.attempts:
            act = Act.HEDGE if request.has_attempt_in_flight() else Act.RETRY
        return self.monitor.is_allowed(act, self._start_reason(request, server, remaining_ms))

    def _start_reason(self, request: InFlightRequest, server: str, remaining_ms: float) -> Reason:
        if request.finished:
            return Reason.REQUEST_FINISHED
        if not remaining_ms > 0.0:
            return Reason.TIME_OVER
        if len(request.attempts) >= request.max_attempts:
            return Reason.ATTEMPTS_EXHAUSTED
        if request.body_discarded:
            return Reason.BODY_DISCARDED
        if request.streaming_attempt is not None:
            return Reason.RESPONSE_IN_PROGRESS
        if not self._endpoints.accepts_requests(server):
            return Reason.SERVER_NOT_ACCEPTING
        if not request.hedging_allowed and request.has_attempt_in_flight():
            return Reason.ATTEMPT_IN_FLIGHT
        if request.idempotency is Idempotency.NON_IDEMPOTENT and request.may_have_been_executed():
            return Reason.MAY_HAVE_BEEN_EXECUTED
        return Reason.ALLOWED

    def may_send(self, now: float, id: str, attempt: int, is_client_connected: bool) -> bool:
        """Whether the first byte of an attempt may be written now, if its connection had to be opened."""
        reason = self._send_reason(now, id, attempt, is_client_connected)
        return self.monitor.is_allowed(Act.SEND, reason)

    def _send_reason(self, now: float, id: str, attempt: int, is_client_connected: bool) -> Reason:
        request = self._table.requests.get(id)
        if request is None:
            return Reason.REQUEST_UNKNOWN
        if not is_client_connected:
            return Reason.CLIENT_DISCONNECTED
        if request.finished:
            return Reason.REQUEST_FINISHED
        if not self.time_left_ms(now, id, attempt) > 0.0:
            return Reason.TIME_OVER
        if not self._endpoints.accepts_requests(request.attempts[attempt].server):
            return Reason.SERVER_NOT_ACCEPTING
        if request.idempotency is Idempotency.IDEMPOTENT_WITH_KEY and request.complete:
            first_sent_ms = request.first_execution_ms(attempt)
            if first_sent_ms is not None and now - first_sent_ms >= request.dedup_window_ms:
                return Reason.DEDUP_WINDOW_OVER
        return Reason.ALLOWED

    def time_left_ms(self, now: float, id: str, attempt: int) -> float:
        """How long this attempt may still take; 0 or less where its time is over, or where it has a result.

        The time of a request whose last byte was not received yet has not begun.
        """
        request = self._table.requests.get(id)
        if request is None or request.attempts[attempt].result is not None:
            return 0.0
        timeout_ms = request.attempts[attempt].timeout_ms
        if not request.complete:
            return timeout_ms
        return min(request.attempts[attempt].sent_ms + timeout_ms, request.deadline_ms) - now

    def check_sent(
        self, id: str, attempt: int, is_client_known: bool, told_ms: float, client_left_ms: float | None
    ) -> None:
        """Check an attempt whose head is being written against the rules, by other values than the decision's.

        Args:
            id: The request's id.
            attempt: Number of the attempt.
            is_client_known: Whether its client still waits, by the connection's own state.
            told_ms: The deadline in the head.
            client_left_ms: What the client has left, by when its request was read; None where that is unknown.
        """
        request = self._table.requests.get(id)
        if request is None or not is_client_known:
            self.monitor.violated(Rule.NO_ATTEMPT_FOR_DISCONNECTED_CLIENT, id)
            return
        if client_left_ms is not None and told_ms > client_left_ms + TOLD_DEADLINE_SLACK_MS:
            self.monitor.violated(Rule.DEADLINE_TOLD_IN_TIME, id, told_ms - client_left_ms)
        if not self._endpoints.accepts_requests(request.attempts[attempt].server):
            self.monitor.violated(Rule.NO_SEND_TO_DRAINING_SERVER, id)
        is_repeat = attempt > 0 and request.may_have_been_executed(before=attempt)
        if is_repeat and request.idempotency is Idempotency.NON_IDEMPOTENT:
            self.monitor.violated(Rule.NO_SECOND_EXECUTION, id)


def idle_close_reason(is_idle: bool, idle_s: float, min_idle_s: float, has_unread: bool) -> Reason:
    """Whether a client's connection may be closed between two requests.

    Args:
        is_idle: No request is active, queued or incoming.
        idle_s: For how long.
        min_idle_s: For how long it has to be.
        has_unread: The system has received bytes that were not read yet.
    """
    if not is_idle or idle_s < min_idle_s:
        return Reason.CONNECTION_BUSY
    return Reason.REQUEST_UNREAD if has_unread else Reason.ALLOWED


def adoption_reason(
    server_accepts: bool, is_same_server: bool, idle_s: float, close_after_s: float
) -> Reason:
    """Whether an idle connection to a server may be taken over from another process.

    Args:
        server_accepts: Requests may be sent to the server.
        is_same_server: It has the same address and start as when the connection was opened.
        idle_s: How long the connection has been idle.
        close_after_s: How long one may be.
    """
    if not server_accepts:
        return Reason.SERVER_NOT_ACCEPTING
    if not is_same_server:
        return Reason.SERVER_CHANGED
    return Reason.ALLOWED if idle_s < close_after_s else Reason.CONNECTION_STALE
