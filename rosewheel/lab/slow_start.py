"""Slow start over the whole fleet: whether all nodes together sent a warming server more than the settings allow.

Load is counted in requests of mean work, by windows of `overload_window_ms`. N is the budget of a window:
`overload_factor` times what the configured share of the server's capacity (`warm_up_initial_share`, growing evenly
over `warm_up_s`) does in it; nothing before its start. More than N + 2 sqrt(N) + 2 in a window that ends while the
server warms up is an overload: two square roots and two requests are the allowance for chance.
"""

from __future__ import annotations

import math
from collections import deque
from dataclasses import dataclass, field
from typing import NamedTuple

from rosewheel.lab.plan import Plan
from rosewheel.lab.run_tables import RulesTable

CHANCE_DEVIATIONS = 2.0
CHANCE_REQUESTS = 2.0


class ServerArrival(NamedTuple):
    """A request at a server.

    Attributes:
        requests: its work, in requests of mean work.
        sender_informed: whether its sender had been notified of the server's start.
    """

    at_ms: float
    requests: float
    sender_informed: bool


@dataclass(slots=True, frozen=True)
class Overload:
    """A window in which a warming server got too much, as of the request that was one too many.

    Attributes:
        received: requests of mean work in the window.
        allowed: the budget N.
        informed_share: share of `received` from informed senders.
    """

    server: str
    at_ms: float
    received: float
    allowed: float
    informed_share: float

    def as_record(self) -> dict[str, object]:
        """The overload by the keys of a summary."""
        return {
            "equipo": self.server,
            "t": round(self.at_ms, 3),
            "got": round(self.received, 3),
            "allowed": round(self.allowed, 3),
            "told_share": round(self.informed_share, 3),
        }


@dataclass(slots=True)
class ServerStart:
    """One start of a server, and the requests that it was sent since.

    Attributes:
        capacity_per_ms: requests of mean work per ms when it is warm.
        mean_request_ms: work of a mean request.
    """

    server: str
    started_ms: float
    capacity_per_ms: float
    mean_request_ms: float = 1.0
    arrivals: list[ServerArrival] = field(default_factory=list)

    def overloads(self, rules: RulesTable) -> tuple[list[Overload], float]:
        """All overloads in order, and the largest part of its bound that any window reached.

        Each overload begins a new window, as the server would have failed.
        """
        overloads: list[Overload] = []
        max_bound_share = 0.0
        window: deque[ServerArrival] = deque()
        for arrival in sorted(self.arrivals):
            age_ms = arrival.at_ms - self.started_ms
            if not 0.0 <= age_ms < rules.warm_up_s * 1000.0:
                continue
            window.append(arrival)
            while window[0].at_ms <= arrival.at_ms - rules.overload_window_ms:
                window.popleft()
            received = sum(item.requests for item in window)
            allowed = self.capacity_per_ms * allowed_work_ms(rules, age_ms - rules.overload_window_ms, age_ms)
            bound = allowed + CHANCE_DEVIATIONS * math.sqrt(allowed) + CHANCE_REQUESTS
            max_bound_share = max(max_bound_share, received / bound)
            if received > bound:
                informed = sum(item.requests for item in window if item.sender_informed)
                overloads.append(Overload(self.server, arrival.at_ms, received, allowed, informed / received))
                window.clear()
        return overloads, max_bound_share


def allowed_work_ms(rules: RulesTable, from_age_ms: float, to_age_ms: float) -> float:
    """The budget of a warming server between two of its ages, in ms of the capacity of a warm one."""
    from_age_ms, warm_up_ms = max(0.0, from_age_ms), rules.warm_up_s * 1000.0
    slope = (1.0 - rules.warm_up_initial_share) / warm_up_ms if warm_up_ms else 0.0
    mean_share = rules.warm_up_initial_share + slope * (from_age_ms + to_age_ms) / 2.0
    return rules.overload_factor * (to_age_ms - from_age_ms) * mean_share


def mean_work_ms(plan: Plan, tier: int) -> float:
    """The own work of a mean request at a server of this tier, in ms of a reference core."""
    shares = sum(row.share for row in plan.classes)
    return sum(row.share * row.work_ms for row in plan.classes) / shares * plan.scenario.tiers[tier].work
