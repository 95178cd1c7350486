"""Finds violations of the operators' rules in the records of a soak, independently of the code of the nodes."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterator
from dataclasses import dataclass

from rosewheel.lab.soak.records import (
    ClientRecord,
    ExecutionOutcome,
    RequestKind,
    ServerRecord,
    SoakRecords,
)

LATE_RESPONSE_S = 0.5  # time past the request's timeout after which a response counts as lost
LIMIT_TOLERANCE_S = 0.05  # added to each limit for the delays of sockets
DRAIN_GRACE_S = 0.4  # time after the notification of a drain during which new attempts may arrive
DISCONNECT_GRACE_S = 0.1  # time after the disconnect of a client during which new attempts may arrive
TIMEOUT_SLACK_S = 0.15  # allowed excess of a forwarded timeout over the time that is left
DEDUP_WINDOW_S = 0.9
STALLED_CLIENT_LIMIT_S = 3.0  # time within which an incomplete request must be rejected or closed
READY_LIMIT_S = 10.0
ACCEPT_AFTER_TERM_S = 0.7  # time after SIGTERM during which a node must still answer new requests
LONG_RESPONSE_BYTES = 64 * 1024  # the first bytes of a longer response are timed, not its last
ATTEMPT_SHARE = 0.3  # of a timeout; an attempt may end at the objective, which is 0.4 of the deadline
REJECTION_STATUSES = (429, 503)


@dataclass(slots=True, frozen=True)
class Violation:
    """A violation of a rule.

    Attributes:
        rule: Name of the rule.
        subject: Id of the request, or name of the node; empty if there is neither.
        detail: Observation that violates the rule.
    """

    rule: str
    subject: str
    detail: str


class RuleChecker:
    """Checks the records of one run against the rules."""

    def __init__(self, records: SoakRecords) -> None:
        self._records = records
        self._attempts: defaultdict[str, list[ServerRecord]] = defaultdict(list)
        for attempt in records.attempts:
            self._attempts[attempt.id].append(attempt)
        self._tolerance_s = LIMIT_TOLERANCE_S + records.max_lag_s
        self._exits = {node_exit.node: node_exit for node_exit in records.node_exits}

    def violations(self) -> list[Violation]:
        """Return all violations."""
        found: list[Violation] = []
        for request in self._records.requests.values():
            found += self._check_responses(request)
            found += self._check_attempts(request)
        found += self._check_request_ids()
        found += self._check_nodes()
        return found

    def _check_responses(self, request: ClientRecord) -> Iterator[Violation]:
        if len(request.responses) > 1:
            yield Violation("one-answer", request.id, f"{len(request.responses)} responses")
        if not request.responses:
            if (
                request.sent_s is not None
                and request.disconnected_s is None
                and not self._may_be_unanswered(request)
            ):
                outcomes = [attempt.outcome.value for attempt in self._attempts[request.id]]
                yield Violation(
                    "lost",
                    request.id,
                    f"no response, attempts={outcomes}, {self._circumstances(request)}",
                )
            return
        at_s, status, body = request.responses[0]
        if len(body) > LONG_RESPONSE_BYTES and request.first_byte_s is not None:
            at_s = request.first_byte_s
        if request.sent_s is not None:
            late_s = at_s - request.sent_s - request.timeout_ms / 1000.0
            if late_s > LATE_RESPONSE_S + self._tolerance_s:
                yield Violation("lost", request.id, f"response {late_s:.3f} s after the timeout")
        executions = [a for a in self._attempts[request.id] if a.outcome is not ExecutionOutcome.NOT_STARTED]
        if status == 200 and body not in [a.body for a in executions]:
            yield Violation("foreign", request.id, f"body {body[:60]!r}")
        if status >= 500 and self._was_cut_off(request, executions):
            yield Violation("cut-off", request.id, f"status {status}, its server was still sending")
        if status in REJECTION_STATUSES and executions and request.kind is not RequestKind.READ:
            yield Violation("refused-ran", request.id, f"status {status}, executed at {executions[0].server}")

    def _was_cut_off(self, request: ClientRecord, executions: list[ServerRecord]) -> bool:
        """Return whether each attempt met a server that paused within a long response, well before the deadline."""
        node_exit = self._exits.get(request.node)
        if not executions or request.sent_s is None or request.disconnected_s is not None:
            return False
        if node_exit is not None:
            drained_s = node_exit.exited_s if node_exit.term_s is None else node_exit.term_s
            if request.responses[0][0] > drained_s:
                return False
        due_s = request.sent_s + request.timeout_ms / 1000.0 * ATTEMPT_SHARE - self._tolerance_s
        return all(attempt.pauses and attempt.last_byte_s < due_s for attempt in executions)

    def _circumstances(self, request: ClientRecord) -> str:
        """Return the events around a lost request as times relative to when it was sent."""
        sent_s, node_exit = request.sent_s or 0.0, self._exits.get(request.node)
        times_s = {"closed": request.closed_s}
        if node_exit is not None:
            times_s |= {"term": node_exit.term_s, "node exited": node_exit.exited_s}
        events = ", ".join(
            f"{name} {at_s - sent_s:+.3f} s" for name, at_s in times_s.items() if at_s is not None
        )
        return f"node={request.node}, reused={request.is_reused}, {events}"

    def _may_be_unanswered(self, request: ClientRecord) -> bool:
        node_exit = self._exits.get(request.node)
        if node_exit is not None and request.sent_s is not None:
            if node_exit.term_s is None or request.sent_s > node_exit.exited_s:
                return True  # killed, or exited before the request was sent
            if request.sent_s > node_exit.term_s + ACCEPT_AFTER_TERM_S:
                return not self._attempts[request.id]  # may have been closed before it was read
        # A node may close a reused connection while the next request is on its way, but must not have read it.
        return request.is_reused and request.closed_s is not None and not self._attempts[request.id]

    def _check_attempts(self, request: ClientRecord) -> Iterator[Violation]:
        attempts = self._attempts[request.id]
        yield from self._check_repetition(request, attempts)
        for attempt in attempts:
            has_returned = request.returned_s is not None and attempt.first_byte_s >= request.returned_s
            if request.disconnected_s is not None and not has_returned:
                late_s = attempt.first_byte_s - request.disconnected_s
                if late_s > DISCONNECT_GRACE_S + self._tolerance_s:
                    yield Violation("client-left", request.id, f"attempt {late_s:.3f} s after the disconnect")
            if request.sent_s is not None:
                left_s = request.timeout_ms / 1000.0 - (attempt.first_byte_s - request.sent_s)
                excess_s = attempt.timeout_ms / 1000.0 - left_s
                if excess_s > TIMEOUT_SLACK_S + self._tolerance_s:
                    yield Violation(
                        "told-deadline", request.id, f"timeout {excess_s:.3f} s longer than the time left"
                    )
            notified_s = self._records.notified_drains.get((attempt.node, attempt.server))
            if notified_s is not None:
                late_s = attempt.first_byte_s - notified_s
                if late_s > DRAIN_GRACE_S + self._tolerance_s:
                    yield Violation(
                        "drain", request.id, f"to {attempt.server} {late_s:.3f} s after notification"
                    )

    def _check_repetition(self, request: ClientRecord, attempts: list[ServerRecord]) -> Iterator[Violation]:
        executions = [attempt for attempt in attempts if attempt.outcome is not ExecutionOutcome.NOT_STARTED]
        if len(executions) < 2 or request.kind is RequestKind.READ:
            return
        span_s = executions[-1].first_byte_s - executions[0].last_byte_s
        if request.kind is RequestKind.POST:
            yield Violation("executed-twice", request.id, f"{len(executions)} times within {span_s:.3f} s")
        elif span_s > DEDUP_WINDOW_S + self._tolerance_s:
            yield Violation("window", request.id, f"repeated after {span_s:.3f} s")

    def _check_request_ids(self) -> Iterator[Violation]:
        for id, attempts in self._attempts.items():
            if id not in self._records.requests and id not in self._records.crowd_ids:
                yield Violation("unknown-id", id, f"at {attempts[0].server}")

    def _check_nodes(self) -> Iterator[Violation]:
        records = self._records
        for node_exit in records.node_exits:
            if node_exit.term_s is not None and node_exit.exit_code != 0:
                yield Violation("exit-code", node_exit.node, f"exited with {node_exit.exit_code}")
        for node, peak_mb in records.peak_memory_mb.items():
            if peak_mb > records.memory_limit_mb:
                yield Violation("memory", node, f"{peak_mb:.1f} MB resident of {records.memory_limit_mb:.0f}")
        for node, ready_s in records.ready_s.items():
            if ready_s > READY_LIMIT_S:
                yield Violation("ready", node, f"after {ready_s:.1f} s")
        for waited_s in records.stall_waits_s:
            if waited_s > STALLED_CLIENT_LIMIT_S + self._tolerance_s:
                yield Violation("bad-client", "", f"neither an error nor a close within {waited_s:.2f} s")
        for line in records.log_errors:
            yield Violation("log", "", line)
        for node, statistics in records.statistics.items():
            if statistics.get("violations"):
                yield Violation("violation-counter", node, str(statistics["violations"]))
            if statistics.get("active"):
                yield Violation("not-at-rest", node, f"{statistics['active']} requests in flight")
