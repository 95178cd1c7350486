"""What a node may do, may not do and did all the same: counted by act and reason, violations by rule.

A violation is a fault of this program. It never ends a process: it is counted, logged once for each rule, and shown by
the admin API.
"""

from __future__ import annotations

import logging
from collections.abc import Iterator
from dataclasses import dataclass
from enum import Enum, IntEnum, auto

log = logging.getLogger("rosewheel.rules")


class Act(IntEnum):
    """What is asked for right before it is done."""

    FIRST_ATTEMPT = 0  # start the first attempt of a request
    RETRY = auto()  # start another one, when no other is in flight
    HEDGE = auto()  # start another one beside one that is in flight
    SEND = auto()  # write the first byte of an attempt whose connection had to be opened
    RESPOND = auto()  # write the one final response of a request
    ACCEPT = auto()  # serve a client's connection
    CLOSE_IDLE = auto()  # close a client's connection that has no request
    ADOPT = auto()  # take over a connection to a server from another process


class Reason(IntEnum):
    """Why an act is allowed or not."""

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
    """A rule that a node must not break."""

    ONE_RESPONSE = "a second final response"
    NO_ATTEMPT_FOR_DISCONNECTED_CLIENT = "an attempt after its client's end"
    NO_SECOND_EXECUTION = "another attempt of a request that may have been executed"
    NO_SEND_TO_DRAINING_SERVER = "an attempt to a server that drains or was removed"
    DEADLINE_TOLD_IN_TIME = "a told deadline over what the client has left"


@dataclass(slots=True, frozen=True)
class RuleCounts:
    """The counts at one moment.

    Attributes:
        verdicts: By the names of act and reason; only those that occurred.
        violations: By the name of the rule; only those that occurred.
    """

    verdicts: dict[str, dict[str, int]]
    violations: dict[str, int]


class RuleMonitor:
    """Counts verdicts and violations of one node process."""

    __slots__ = ("_verdicts", "violations")

    def __init__(self) -> None:
        self._verdicts = [[0] * len(Reason) for _ in Act]
        self.violations: dict[Rule, int] = {}

    def is_allowed(self, act: Act, reason: Reason) -> bool:
        """Count a verdict, and return whether the act is allowed."""
        self._verdicts[act][reason] += 1
        return reason is Reason.ALLOWED

    def count(self, act: Act, reason: Reason) -> int:
        """How often this verdict was given."""
        return self._verdicts[act][reason]

    def violated(self, rule: Rule, request: str, span_ms: float = 0.0) -> None:
        """A rule was broken.

        Args:
            rule: The rule.
            request: Id of the request.
            span_ms: By how much, where the rule is about a time.
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

    def snapshot(self) -> RuleCounts:
        """The counts at this moment."""
        verdicts = {act.name.lower(): dict(self._reasons(act)) for act in Act}
        return RuleCounts(
            {act: reasons for act, reasons in verdicts.items() if reasons},
            {rule.name.lower(): count for rule, count in self.violations.items()},
        )

    def _reasons(self, act: Act) -> Iterator[tuple[str, int]]:
        for reason, count in zip(Reason, self._verdicts[act], strict=True):
            if count:
                yield reason.name.lower(), count
