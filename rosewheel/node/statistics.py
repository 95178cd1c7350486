"""The figures that a node reports: counters that only grow, each moved where its event happens.

They know nothing of a protocol. Whoever ends a request or writes an attempt whole says so here, once.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from enum import Enum
from typing import Any


class RequestOutcome(Enum):
    """How a request ended."""

    OK = "ok"
    SHED = "shed"
    ERRORS = "errors"


@dataclass(slots=True)
class _Counts:
    ok: int = 0
    shed: int = 0
    errors: int = 0


MAX_REMOVED_CLASSES = (
    64  # classes that are no more, whose counts are kept; Guards memory where names change all the time
)


class Statistics:
    """Counts from the start of the process. Classes are those of the settings, and the last that were, since what was
    taken under one is still to end; so there are only so many."""

    def __init__(self, classes: Iterable[str]) -> None:
        self.classes: dict[str, _Counts] = {}
        self.attempts = 0
        self._known: frozenset[str] = frozenset()
        self.configure(classes)

    def configure(self, classes: Iterable[str]) -> None:
        """There are these from now on. One that comes back goes on counting where it was."""
        here = {name: self.classes.get(name) or _Counts() for name in classes}
        gone = {name: counts for name, counts in self.classes.items() if name not in here}
        self._known = frozenset(here)
        self.classes = {**here, **gone}  # the longest gone last
        self._forget()

    def track_class(self, service: str) -> None:
        """One request of this class is here, whether or not there is such a class."""
        if service not in self.classes:
            known = {name: counts for name, counts in self.classes.items() if name in self._known}
            self.classes = {**known, service: _Counts()} | self.classes
            self._forget()

    def _forget(self) -> None:
        while len(self.classes) > len(self._known) + MAX_REMOVED_CLASSES:
            self.classes.popitem()

    def count_request(self, service: str | None, how: RequestOutcome) -> None:
        counts = self.classes.get(service or "")
        if counts is None:  # no class of the settings: such a request was never one
            return
        match how:
            case RequestOutcome.OK:
                counts.ok += 1
            case RequestOutcome.SHED:
                counts.shed += 1
            case RequestOutcome.ERRORS:
                counts.errors += 1

    def count_attempt(self) -> None:
        """An attempt has been written whole to a server."""
        self.attempts += 1

    def report(self, active: int, pool_size: int, pool_ejected: int) -> dict[str, Any]:
        """All figures by the names that operators know; what is not a count is told by the caller."""
        return {
            "responses": {
                name: {"ok": counts.ok, "shed": counts.shed, "errors": counts.errors}
                for name, counts in self.classes.items()
            },
            "tries": self.attempts,
            "active": active,
            "pool_size": pool_size,
            "pool_ejected": pool_ejected,
        }
