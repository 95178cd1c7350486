"""Checks the records of a run for violations of its rules on responses, repeated executions, drains and slow start.

Records of clients and servers are joined by request id and by operation. The checker takes the records one at a time,
in any order between clients and servers, keeps only what later records may need, and decides at the end of the run.
"""

from __future__ import annotations

from collections import defaultdict
from dataclasses import dataclass, field
from pathlib import Path

import msgspec

from rosewheel.lab.outcomes import AttemptFailure
from rosewheel.lab.record_types import (
    AfterDrainRecord,
    AttemptRecord,
    ClientsRecord,
    JobRecord,
    NodeKilledRecord,
    OperationRecord,
    Record,
    RecordFile,
    ServerCollapsedRecord,
    ServerStartRecord,
)
from rosewheel.lab.records import load_records
from rosewheel.lab.retry import REJECTION_STATUSES, RESPONSE_SLACK_MS
from rosewheel.lab.scenario import Scenario
from rosewheel.lab.slow_start import Overload, ServerArrival, ServerStart
from rosewheel.policy.settings import DedupScope, Idempotency

# Largest share of the load from nodes that had been notified of a server's start for which an overload is no violation.
INFORMED_SHARE_LIMIT = 2.0 / 3.0
SUM_ROUNDING = 1e-9  # tolerance for rounding errors of sums
MAX_LISTED = 20  # violations of each rule in a summary
KILL_SLACK_MS = 1.0  # tolerance between the recorded times of a kill and of an attempt


@dataclass(slots=True)
class Violations:
    """Violations of a run by rule.

    Attributes:
        unanswered: ids of requests without a timely response from a node that was not killed.
        surplus_responses: number of responses to no request.
        foreign: ids of requests with a response that was made for another request.
        executed_twice: ids of non-idempotent operations that a node executed twice.
        outside_dedup_scope: ids of requests with a key that were repeated outside the cell of the first execution.
        after_drain: requests that reached a draining or removed server too late.
        collapsed: names of warming servers that collapsed under load from informed nodes.
        overloaded: first overload of each start of a server by informed nodes; see `slow_start`.
    """

    unanswered: list[str] = field(default_factory=list)
    surplus_responses: int = 0
    foreign: list[str] = field(default_factory=list)
    executed_twice: list[str] = field(default_factory=list)
    outside_dedup_scope: list[str] = field(default_factory=list)
    after_drain: list[AfterDrainRecord] = field(default_factory=list)
    collapsed: list[str] = field(default_factory=list)
    overloaded: list[Overload] = field(default_factory=list)

    def count(self) -> int:
        """Return the number of all violations."""
        return self.surplus_responses + sum(
            len(violations)
            for violations in (
                self.unanswered,
                self.foreign,
                self.executed_twice,
                self.outside_dedup_scope,
                self.after_drain,
                self.collapsed,
                self.overloaded,
            )
        )

    def as_record(self) -> dict[str, object]:
        """Return the first violations of each rule by their keys in a summary."""
        return {
            "unanswered": self.unanswered[:MAX_LISTED],
            "double": self.surplus_responses,
            "foreign": self.foreign[:MAX_LISTED],
            "twice": self.executed_twice[:MAX_LISTED],
            "strayed": self.outside_dedup_scope[:MAX_LISTED],
            "late": [msgspec.to_builtins(record) for record in self.after_drain[:MAX_LISTED]],
            "tipped": self.collapsed[:MAX_LISTED],
            "overloaded": [overload.as_record() for overload in self.overloaded[:MAX_LISTED]],
        }


class InvariantChecker:
    """Checks the records of one run.

    Attributes:
        collapses: number of collapses of warming servers under load from any nodes.
        overloads: overloads of warming servers by any nodes.
        max_bound_share: largest load of a warming server in a window, as a share of its bound.
    """

    def __init__(self, scenario: Scenario) -> None:
        self.rules = scenario.rules
        self.collapses = 0
        self.overloads: list[Overload] = []
        self.max_bound_share = 0.0
        self._idempotency = {row.name: row.idempotency for row in scenario.classes}
        self._checks_cells = any(
            row.idempotency is Idempotency.IDEMPOTENT_WITH_KEY and row.dedup_scope is DedupScope.CELL
            for row in scenario.classes
        )
        self._violations = Violations()
        self._starts: dict[str, list[ServerStart]] = {}  # by server
        self._without_response: list[AttemptRecord] = []
        self._kills_ms: dict[str, list[float]] = defaultdict(list)  # by node
        self._resent: set[str] = set()  # request ids
        self._rejected: set[str] = set()  # request ids
        self._executions: dict[str, list[str]] = {}  # request ids by operation, for non-idempotent classes
        self._cells: dict[str, int] = {}  # cell of the first execution by request id, for classes with a key
        self._outside_first_cell: dict[str, None] = {}  # request ids

    def observe(self, record: Record) -> None:
        """Add a record."""
        match record:
            case JobRecord():
                self._observe_job(record)
            case OperationRecord():
                for attempt in record.attempts:
                    self._observe_attempt(attempt)
            case ServerStartRecord():
                capacity_per_ms = record.capacity / record.mean_request_ms
                start = ServerStart(record.server, record.at_ms, capacity_per_ms, record.mean_request_ms)
                self._starts.setdefault(record.server, []).append(start)
            case NodeKilledRecord():
                # A killed node need not respond; its clients may repeat the requests that it had accepted.
                self._kills_ms[record.node].append(record.at_ms)
            case ClientsRecord():
                self._violations.surplus_responses += record.surplus_responses
            case AfterDrainRecord():
                self._violations.after_drain.append(record)
            case ServerCollapsedRecord():
                self.collapses += 1
                if record.informed_share >= INFORMED_SHARE_LIMIT:
                    self._violations.collapsed.append(record.server)
            case _:
                pass  # not needed by any rule

    def finish(self) -> Violations:
        """Return all violations, after the last record."""
        violations = self._violations
        for attempt in self._without_response:
            if not self._node_was_killed(attempt):
                violations.unanswered.append(attempt.request_id)
        for operation_id, request_ids in self._executions.items():
            if len(request_ids) > 1 and not self._repeated_by_client(request_ids):
                violations.executed_twice.append(operation_id)
        if self._checks_cells:
            # If the client itself sent a request again after its node was killed, no node can keep it in one cell.
            violations.outside_dedup_scope = [
                request_id for request_id in self._outside_first_cell if request_id not in self._resent
            ]
        self._check_slow_start()
        self._starts.clear()
        self._without_response.clear()
        self._executions.clear()
        return violations

    def _observe_job(self, record: JobRecord) -> None:
        if record.started:
            self._observe_execution(record)
        starts = self._starts.get(record.server)
        if starts and record.received_ms >= starts[-1].started_ms:
            requests = record.work_ms / starts[-1].mean_request_ms
            starts[-1].arrivals.append(ServerArrival(record.received_ms, requests, record.sender_informed))

    def _observe_execution(self, record: JobRecord) -> None:
        idempotency = self._idempotency[record.class_name]
        if idempotency is Idempotency.NON_IDEMPOTENT:
            self._executions.setdefault(record.operation_id, []).append(record.request_id)
        elif idempotency is Idempotency.IDEMPOTENT_WITH_KEY and self._checks_cells:
            first_cell = self._cells.setdefault(record.request_id, record.cell)
            if first_cell != record.cell:
                self._outside_first_cell[record.request_id] = None

    def _observe_attempt(self, attempt: AttemptRecord) -> None:
        request_id = attempt.request_id
        if attempt.foreign_response:
            self._violations.foreign.append(request_id)
        if attempt.resent:
            self._resent.add(request_id)
        if attempt.status in REJECTION_STATUSES:
            self._rejected.add(request_id)
        if attempt.status:
            if attempt.ended_ms - attempt.sent_ms > attempt.timeout_ms + RESPONSE_SLACK_MS:
                self._violations.unanswered.append(request_id)
        elif attempt.failure != AttemptFailure.UNREACHABLE:
            self._without_response.append(attempt)

    def _node_was_killed(self, attempt: AttemptRecord) -> bool:
        first_ms, last_ms = attempt.sent_ms - KILL_SLACK_MS, attempt.ended_ms + KILL_SLACK_MS
        return any(first_ms <= at_ms <= last_ms for at_ms in self._kills_ms.get(attempt.node, ()))

    def _repeated_by_client(self, request_ids: list[str]) -> bool:
        """Return whether the client caused the repetition, without a rejection that had declared a retry safe."""
        if len(set(request_ids)) < len(request_ids):  # the same attempt was executed twice
            return any(request_id in self._resent for request_id in request_ids)
        return not any(request_id in self._rejected for request_id in request_ids)

    def _check_slow_start(self) -> None:
        for start in (start for starts in self._starts.values() for start in starts):
            overloads, max_bound_share = start.overloads(self.rules)
            self.overloads += overloads
            self.max_bound_share = max(self.max_bound_share, max_bound_share)
            if overloads and overloads[0].informed_share > INFORMED_SHARE_LIMIT + SUM_ROUNDING:
                self._violations.overloaded.append(overloads[0])


def check_records(scenario: Scenario, folder: Path) -> Violations:
    """Return all violations in the records of a folder."""
    checker = InvariantChecker(scenario)
    for name in (RecordFile.RUN, RecordFile.LOAD, RecordFile.SERVERS):
        for record in load_records(folder, name):
            checker.observe(record)
    return checker.finish()
