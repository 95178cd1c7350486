"""Rules on when an attempt may be started or sent, and when a connection may be closed or adopted.

Each operation is checked right before it is carried out. The policy can't override these rules: an attempt that it
chooses and a rule forbids is not sent. No I/O. Times are milliseconds of the node's clock.
"""

from __future__ import annotations

from rosewheel.node.endpoints import Endpoints
from rosewheel.node.in_flight import InFlightRequest
from rosewheel.node.request_table import RequestTable
from rosewheel.node.rule_monitor import CheckedOperation, Reason, Rule, RuleMonitor
from rosewheel.policy.settings import Idempotency

SENT_DEADLINE_TOLERANCE_MS = 150.0  # allowance that operators make for a stalled process


class RequestRules:
    """Rules on requests and their attempts.

    Attributes:
        monitor: Counts verdicts and violations.
    """

    __slots__ = ("_endpoints", "_table", "monitor")

    def __init__(self, table: RequestTable, endpoints: Endpoints, monitor: RuleMonitor) -> None:
        self._table, self._endpoints, self.monitor = table, endpoints, monitor

    def may_start_attempt(self, request: InFlightRequest, server: str, remaining_ms: float) -> bool:
        """Return True if an attempt of the request may be started at the server, and count the verdict.

        Args:
            request: The request.
            server: Address of the server.
            remaining_ms: Time left to the request.
        """
        operation = CheckedOperation.FIRST_ATTEMPT
        if request.attempts:
            operation = CheckedOperation.HEDGE if request.has_attempt_in_flight() else CheckedOperation.RETRY
        return self.monitor.is_allowed(operation, self._start_reason(request, server, remaining_ms))

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
        """Return True if an attempt may be sent on a connection that had to be opened, and count the verdict."""
        reason = self._send_reason(now, id, attempt, is_client_connected)
        return self.monitor.is_allowed(CheckedOperation.SEND, reason)

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

    def may_repeat(self, id: str) -> bool:
        """Return True if another attempt of the request may follow one that a server may have executed."""
        request = self._table.unfinished(id)
        if request is None or request.body_discarded or len(request.attempts) >= request.max_attempts:
            return False
        return request.idempotency is not Idempotency.NON_IDEMPOTENT

    def time_left_ms(self, now: float, id: str, attempt: int) -> float:
        """Return the time left to an attempt; 0 or less if it has timed out, already has a result or is unknown.

        The full timeout is left while the request is incomplete.
        """
        request = self._table.requests.get(id)
        if request is None or attempt >= len(request.attempts):
            return 0.0
        if request.attempts[attempt].result is not None:
            return 0.0
        timeout_ms = request.attempts[attempt].timeout_ms
        if not request.complete:
            return timeout_ms
        return min(request.attempts[attempt].sent_ms + timeout_ms, request.deadline_ms) - now

    def record_send_violations(
        self, id: str, attempt: int, is_client_waiting: bool, timeout_ms: float, client_left_ms: float | None
    ) -> None:
        """Record each rule that is broken by an attempt whose request head is being written.

        It uses other values than the verdict on the same attempt, so that a fault in that verdict is found.

        Args:
            id: Id of the request.
            attempt: Number of the attempt.
            is_client_waiting: True if the client's connection still waits for a response.
            timeout_ms: Timeout in the request head.
            client_left_ms: Time until the client's deadline, counted from when its request was read; None if unknown.
        """
        request = self._table.requests.get(id)
        if request is None or not is_client_waiting:
            self.monitor.record_violation(Rule.NO_ATTEMPT_FOR_DISCONNECTED_CLIENT, id)
            return
        if client_left_ms is not None and timeout_ms > client_left_ms + SENT_DEADLINE_TOLERANCE_MS:
            self.monitor.record_violation(Rule.DEADLINE_TOLD_IN_TIME, id, timeout_ms - client_left_ms)
        if not self._endpoints.accepts_requests(request.attempts[attempt].server):
            self.monitor.record_violation(Rule.NO_SEND_TO_DRAINING_SERVER, id)
        is_repeat = attempt > 0 and request.may_have_been_executed(before=attempt)
        if is_repeat and request.idempotency is Idempotency.NON_IDEMPOTENT:
            self.monitor.record_violation(Rule.NO_SECOND_EXECUTION, id)


def idle_close_reason(is_idle: bool, idle_s: float, min_idle_s: float, has_unread: bool) -> Reason:
    """Return the verdict on closing a client's connection between two requests.

    Args:
        is_idle: True if no request is active, queued or being received.
        idle_s: Time that the connection has been idle.
        min_idle_s: Time that it has to be idle to be closed.
        has_unread: True if the operating system has received data that has not been read yet.
    """
    if not is_idle or idle_s < min_idle_s:
        return Reason.CONNECTION_BUSY
    return Reason.REQUEST_UNREAD if has_unread else Reason.ALLOWED


def adoption_reason(
    server_accepts: bool, is_same_server: bool, idle_s: float, close_after_s: float
) -> Reason:
    """Return the verdict on taking over an idle connection to a server from another process.

    Args:
        server_accepts: True if requests may be sent to the server.
        is_same_server: True if its address and start time have not changed since the connection was opened.
        idle_s: Time that the connection has been idle.
        close_after_s: Idle time after which a connection is closed.
    """
    if not server_accepts:
        return Reason.SERVER_NOT_ACCEPTING
    if not is_same_server:
        return Reason.SERVER_CHANGED
    return Reason.ALLOWED if idle_s < close_after_s else Reason.CONNECTION_STALE
