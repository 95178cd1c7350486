"""Counters of requests and attempts since the start of a node's process, independent of the protocol.

The code that finishes a request, or sends the last byte of an attempt, counts it here exactly once.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field, replace
from enum import Enum, auto

from rosewheel.node.rule_monitor import RuleCounts

# Limit of removed classes that keep their counters, so that memory stays bounded when class names change often.
MAX_REMOVED_CLASSES = 64


class RequestOutcome(Enum):
    """How a request ended."""

    OK = auto()
    SHED = auto()  # rejected without being executed by any server
    ERRORS = auto()


@dataclass(slots=True)
class ClassCounters:
    """Number of finished requests of one service class, by outcome."""

    ok: int = 0
    shed: int = 0
    errors: int = 0


@dataclass(slots=True, frozen=True)
class StatisticsSnapshot:
    """Statistics of a process at one time.

    Attributes:
        classes: Counters of finished requests, by service class.
        attempts: Number of attempts that were sent completely.
        active_requests: Number of requests without a final response.
        endpoints: Number of servers in the endpoint list.
        cordoned_endpoints: Number of servers in the endpoint list that are cordoned.
        rules: Counts of verdicts and rule violations.
    """

    classes: dict[str, ClassCounters]
    attempts: int
    active_requests: int
    endpoints: int
    cordoned_endpoints: int
    rules: RuleCounts = field(default_factory=lambda: RuleCounts({}, {}))


class Statistics:
    """Counters of requests and attempts.

    Attributes:
        classes: Counters by service class. Those of the settings come first, followed by classes that the settings
            lack, whose requests may still finish.
        attempts: Number of attempts that were sent completely.
    """

    def __init__(self, classes: Iterable[str]) -> None:
        self.classes: dict[str, ClassCounters] = {}
        self.attempts = 0
        self._configured: frozenset[str] = frozenset()
        self.configure(classes)

    def configure(self, classes: Iterable[str]) -> None:
        """Set the classes of the settings. A class that was removed and returns keeps its counters."""
        configured = {name: self.classes.get(name) or ClassCounters() for name in classes}
        removed = {name: counters for name, counters in self.classes.items() if name not in configured}
        self._configured = frozenset(configured)
        self.classes = {**configured, **removed}  # the class that was removed first comes last
        self._drop_oldest_removed()

    def copy_classes(self) -> dict[str, ClassCounters]:
        """Return a copy of the counters by service class."""
        return {name: replace(counters) for name, counters in self.classes.items()}

    def track_class(self, class_name: str) -> None:
        """Count requests of this class even if the settings lack it, for a request from another process."""
        if class_name not in self.classes:
            configured = {
                name: counters for name, counters in self.classes.items() if name in self._configured
            }
            self.classes = {**configured, class_name: ClassCounters()} | self.classes
            self._drop_oldest_removed()

    def _drop_oldest_removed(self) -> None:
        while len(self.classes) > len(self._configured) + MAX_REMOVED_CLASSES:
            self.classes.popitem()

    def count_request(self, class_name: str | None, outcome: RequestOutcome) -> None:
        """Count a finished request; ignored if its class is unknown."""
        counters = self.classes.get(class_name or "")
        if counters is None:
            return
        match outcome:
            case RequestOutcome.OK:
                counters.ok += 1
            case RequestOutcome.SHED:
                counters.shed += 1
            case RequestOutcome.ERRORS:
                counters.errors += 1

    def count_attempt(self) -> None:
        """Count an attempt that was sent completely to a server."""
        self.attempts += 1
