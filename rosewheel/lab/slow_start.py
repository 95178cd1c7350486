"""Slow start over the whole fleet: whether all nodes together sent a cold equipo more than the settings allow it.

Counted in requests of mean work, by windows as long as `tip_ms`. N is the budget of a window: `tip_multiple` times what
the stated share (`stated_cold_from`, even over `stated_cold_s`) of the equipo's capacity does in it; nothing before its
start. More than N + 2 sqrt(N) + 2 in a window that ends while it is cold is an overload: two square roots and two
requests are all there is for chance.
"""

from __future__ import annotations

import math
from collections import deque
from dataclasses import dataclass, field

from rosewheel.lab.plan import Plan
from rosewheel.lab.scenario import RulesTable


@dataclass(slots=True, frozen=True)
class Overload:
    """A window in which a cold equipo got too much, as of the request that was too many."""

    server: str
    at_ms: float  # ms of the plan's clock
    received: float  # requests of mean work
    allowed: float  # N
    informed_share: float  # the part of `got` from nodes that had been told of the start

    def as_record(self) -> dict[str, object]:
        return {
            "equipo": self.server,
            "t": round(self.at_ms, 3),
            "got": round(self.received, 3),
            "allowed": round(self.allowed, 3),
            "told_share": round(self.informed_share, 3),
        }


@dataclass(slots=True)
class ServerStart:
    """One start of an equipo, and what it was sent since."""

    server: str
    started_ms: float
    capacity_per_ms: float  # requests of mean work a ms, when warm
    arrivals: list[tuple[float, float, bool]] = field(
        default_factory=list
    )  # when, requests of mean work, told

    def overloads(self, rules: RulesTable) -> tuple[list[Overload], float]:
        """In order; each begins a new window, as the equipo would have fallen. And the largest part of the bound that
        any window came to."""
        found, most = [], 0.0
        window: deque[tuple[float, float, bool]] = deque()
        for one in sorted(self.arrivals):
            age = one[0] - self.started_ms
            if not 0.0 <= age < rules.warm_up_s * 1000.0:
                continue
            window.append(one)
            while window[0][0] <= one[0] - rules.overload_window_ms:
                window.popleft()
            got = sum(item[1] for item in window)
            allowed = self.capacity_per_ms * allowed_work_ms(rules, age - rules.overload_window_ms, age)
            bound = allowed + 2.0 * math.sqrt(allowed) + 2.0
            most = max(most, got / bound)
            if got > bound:
                told = sum(item[1] for item in window if item[2])
                found.append(Overload(self.server, one[0], got, allowed, told / got))
                window.clear()
        return found, most


def allowed_work_ms(rules: RulesTable, since_ms: float, until_ms: float) -> float:
    """Milliseconds of a warm equipo's capacity that a cold one may be sent between two of its ages."""
    since_ms, cold_ms = max(0.0, since_ms), rules.warm_up_s * 1000.0
    slope = (1.0 - rules.warm_up_initial_share) / cold_ms if cold_ms else 0.0
    return (
        rules.overload_factor
        * (until_ms - since_ms)
        * (rules.warm_up_initial_share + slope * (since_ms + until_ms) / 2.0)
    )


def mean_work_ms(plan: Plan, tier: int) -> float:
    """The own work of a mean request at an equipo of this tier, in ms of a yardstick core."""
    shares = sum(row.share for row in plan.classes)
    return sum(row.share * row.work_ms for row in plan.classes) / shares * plan.scenario.tiers[tier].work
