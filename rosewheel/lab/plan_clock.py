"""The clock of a plan on sockets: milliseconds since the moment at which the plan began."""

from __future__ import annotations

from rosewheel.lab.wire import now_ms


class PlanClock:
    """The plan's clock; before `start` it counts from its own making.

    Attributes:
        started_ms: the beginning of the plan by the clock of `wire.now_ms`.
    """

    def __init__(self) -> None:
        self.started_ms = now_ms()

    def start(self, at_ms: float) -> None:
        """The plan begins at this moment."""
        self.started_ms = at_ms

    def elapsed_ms(self) -> float:
        """Time since the beginning of the plan."""
        return now_ms() - self.started_ms

    def delay_s(self, plan_ms: float) -> float:
        """Time from now to a moment of the plan, in s; 0 where it has passed."""
        return max(0.0, (self.started_ms + plan_ms - now_ms()) / 1000.0)

    def plan_time(self, at_ms: float | None = None) -> float:
        """A moment, or now, as records have it: in ms of the plan, rounded to 0.1."""
        return round((now_ms() if at_ms is None else at_ms) - self.started_ms, 1)
