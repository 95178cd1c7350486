"""Counters of a node, from the start of its process; each is incremented where its event happens.

They know nothing of a protocol. Whoever finishes a request or sends an attempt completely reports it here, once.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field, replace
from enum import Enum, auto

from rosewheel.node.rule_monitor import RuleCounts

# Guards memory where names of classes change all the time: counters of the last classes that were removed are kept.
MAX_REMOVED_CLASSES = 64


class RequestOutcome(Enum):
    """How a request ended."""

    OK = auto()
    SHED = auto()  # rejected: no server executed it
    ERRORS = auto()


@dataclass(slots=True)
class ClassCounters:
    """Finished requests of one service class, by outcome."""

    ok: int = 0
    shed: int = 0
    errors: int = 0


@dataclass(slots=True, frozen=True)
class StatisticsSnapshot:
    """The statistics of a process at one moment.

    Attributes:
        classes: Counters of finished requests, by service class.
        attempts: Attempts that were sent completely.
        active_requests: Requests without a final response.
        endpoints: Servers in the endpoint list.
        cordoned_endpoints: Servers in the endpoint list that are cordoned.
        rules: Verdicts and violations of the rules.
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
        classes: Counters by service class: those of the settings, then removed ones whose requests may still finish.
        attempts: Attempts that were sent completely.
    """

    def __init__(self, classes: Iterable[str]) -> None:
        self.classes: dict[str, ClassCounters] = {}
        self.attempts = 0
        self._configured: frozenset[str] = frozenset()
        self.configure(classes)

    def configure(self, classes: Iterable[str]) -> None:
        """The settings have these classes from now on. One that returns keeps its counters."""
        configured = {name: self.classes.get(name) or ClassCounters() for name in classes}
        removed = {name: counters for name, counters in self.classes.items() if name not in configured}
        self._configured = frozenset(configured)
        self.classes = {**configured, **removed}  # the one that was removed first is the last
        self._forget_oldest()

    def copy_classes(self) -> dict[str, ClassCounters]:
        """A copy of the counters by service class."""
        return {name: replace(counters) for name, counters in self.classes.items()}

    def track_class(self, service: str) -> None:
        """Count requests of this class, even if the settings lack it: a request of it was taken over."""
        if service not in self.classes:
            configured = {
                name: counters for name, counters in self.classes.items() if name in self._configured
            }
            self.classes = {**configured, service: ClassCounters()} | self.classes
            self._forget_oldest()

    def _forget_oldest(self) -> None:
        while len(self.classes) > len(self._configured) + MAX_REMOVED_CLASSES:
            self.classes.popitem()

    def count_request(self, service: str | None, outcome: RequestOutcome) -> None:
        """A request of this class has finished; ignored where there is no such class."""
        counters = self.classes.get(service or "")
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
        """An attempt was sent completely to a server."""
        self.attempts += 1
