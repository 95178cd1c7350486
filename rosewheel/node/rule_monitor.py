"""Counts verdicts on operations, by operation and reason, and rule violations, by rule.

A violation is a bug in this program. It does not end the process: it is counted, logged once per rule, and shown by the
admin API.
"""

from __future__ import annotations

import logging
import sys
from collections.abc import Iterator
from dataclasses import dataclass
from enum import Enum, IntEnum, auto

from rosewheel.node.event_log import EventKind, EventLog

log = logging.getLogger("rosewheel.rules")


class CheckedOperation(IntEnum):
    """An operation that needs a verdict right before it is carried out. Names are those of the admin API."""

    FIRST_ATTEMPT = 0  # start the first attempt of a request
    RETRY = auto()  # start another attempt while none is in flight
    HEDGE = auto()  # start another attempt while one is in flight
    SEND = auto()  # write the first byte of an attempt whose connection had to be opened
    RESPOND = auto()  # write the final response of a request
    ACCEPT = auto()  # serve a client's connection
    CLOSE_IDLE = auto()  # close a client's connection that has no request
    ADOPT = auto()  # take over a connection to a server from another process


class Reason(IntEnum):
    """Why an operation is forbidden, or `ALLOWED`. Names are those of the admin API."""

    ALLOWED = 0
    REQUEST_UNKNOWN = auto()
    REQUEST_FINISHED = auto()
    CLIENT_DISCONNECTED = auto()
    TIME_OVER = auto()
    ATTEMPTS_EXHAUSTED = auto()
    BODY_DISCARDED = auto()
    RESPONSE_IN_PROGRESS = auto()
    ATTEMPT_IN_FLIGHT = auto()
    MAY_HAVE_BEEN_EXECUTED = auto()
    DEDUP_WINDOW_OVER = auto()
    SERVER_NOT_ACCEPTING = auto()
    SERVER_CHANGED = auto()
    CONNECTION_STALE = auto()
    DESCRIPTORS_EXHAUSTED = auto()
    CONNECTION_BUSY = auto()
    REQUEST_UNREAD = auto()


class Rule(Enum):
    """A rule that a node must not break; the value describes the violation in the log."""

    ONE_RESPONSE = "a second final response"
    NO_ATTEMPT_FOR_DISCONNECTED_CLIENT = "an attempt after its client disconnected"
    NO_SECOND_EXECUTION = "another attempt of a request that may have been executed"
    NO_SEND_TO_DRAINING_SERVER = "an attempt to a server that drains or was removed"
    DEADLINE_TOLD_IN_TIME = "a deadline in the request head later than the client's"
    NO_UNEXPECTED_ERROR = "an unexpected error in a step of one request, connection or timer"


@dataclass(slots=True, frozen=True)
class RuleCounts:
    """Counts at one time.

    Attributes:
        verdicts: Number of verdicts by operation and reason; only those that occurred.
        violations: Number of violations by rule; only those that occurred.
    """

    verdicts: dict[str, dict[str, int]]
    violations: dict[str, int]


class RuleMonitor:
    """Counts verdicts and violations of one node process.

    Attributes:
        violations: Number of violations by rule; only those that occurred.
        events: Log of what is decided and why.
    """

    __slots__ = ("_verdicts", "events", "violations")

    def __init__(self) -> None:
        self.events = EventLog()
        self._verdicts = [[0] * len(Reason) for _ in CheckedOperation]
        self.violations: dict[Rule, int] = {}

    def is_allowed(self, operation: CheckedOperation, reason: Reason) -> bool:
        """Count a verdict, and return True if it allows the operation."""
        self._verdicts[operation][reason] += 1
        return reason is Reason.ALLOWED

    def count(self, operation: CheckedOperation, reason: Reason) -> int:
        """Return the count of this verdict."""
        return self._verdicts[operation][reason]

    def record_violation(self, rule: Rule, request: str, span_ms: float = 0.0) -> None:
        """Count a violation, and log the first one of its rule.

        Args:
            rule: The rule that was broken.
            request: Id of the request.
            span_ms: Time by which a time limit was exceeded; 0 if the rule has none.
        """
        count = self.violations.get(rule, 0)
        self.violations[rule] = count + 1
        if not count:
            log.error(
                "rule violated: rule=%s, reason=%s, request=%s, span_ms=%.1f",
                rule.name,
                rule.value,
                request,
                span_ms,
            )

    def record_error(self, step: str, error: BaseException | None = None) -> None:
        """Count an unexpected error as a violation.

        The first of a step since the last flush of `events` is logged with its traceback.

        Args:
            step: What has failed, one of a closed set of names; the other requests and connections go on.
            error: The error; None for the exception that is being handled.
        """
        error = error or sys.exception()
        if self.events.record(EventKind.ERROR, step, type(error).__name__) == 1:
            log.error("unexpected error: step=%s", step, exc_info=error)
        self.record_violation(Rule.NO_UNEXPECTED_ERROR, step)

    def snapshot(self) -> RuleCounts:
        """Return a copy of the current counts."""
        verdicts = {operation.name.lower(): dict(self._reasons(operation)) for operation in CheckedOperation}
        return RuleCounts(
            {operation: reasons for operation, reasons in verdicts.items() if reasons},
            {rule.name.lower(): count for rule, count in self.violations.items()},
        )

    def _reasons(self, operation: CheckedOperation) -> Iterator[tuple[str, int]]:
        for reason, count in zip(Reason, self._verdicts[operation], strict=True):
            if count:
                yield reason.name.lower(), count
