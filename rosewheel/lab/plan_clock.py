"""The clock of a run on sockets, in milliseconds from the start of the plan."""

from __future__ import annotations

from rosewheel.lab.wire import now_ms


class PlanClock:
    """Converts between times of the plan and of `wire.now_ms`; until `start` the plan begins at construction.

    Attributes:
        started_ms: start of the plan, as a time of `wire.now_ms`.
    """

    def __init__(self) -> None:
        self.started_ms = now_ms()

    def start(self, at_ms: float) -> None:
        """Set the start of the plan, as a time of `wire.now_ms`."""
        self.started_ms = at_ms

    def elapsed_ms(self) -> float:
        """Return the time since the start of the plan."""
        return now_ms() - self.started_ms

    def delay_s(self, plan_ms: float) -> float:
        """Return the seconds from now until a time of the plan; 0 if it has passed."""
        return max(0.0, (self.started_ms + plan_ms - now_ms()) / 1000.0)

    def plan_time(self, at_ms: float | None = None) -> float:
        """Return a time of `wire.now_ms`, or now, in ms from the start of the plan, rounded to 0.1 as in records."""
        return round((now_ms() if at_ms is None else at_ms) - self.started_ms, 1)
