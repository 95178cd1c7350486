"""Finds overloads of warming servers by all nodes together.

Load is counted in requests of mean work within sliding windows of `overload_window_ms`. The budget N of a window is
`overload_factor` times the work that the server can do in it at its configured share of capacity, which grows linearly
from `warm_up_initial_share` to 1 over `warm_up_s`. A window that ends during the warm-up is an overload if its load
exceeds N + 2 sqrt(N) + 2; the terms besides N allow for random variation.
"""

from __future__ import annotations

import math
from collections import deque
from dataclasses import dataclass, field
from typing import NamedTuple

from rosewheel.lab.plan import Plan
from rosewheel.lab.run_tables import RulesTable

CHANCE_DEVIATIONS = 2.0  # allowance for random variation, in square roots of the budget
CHANCE_REQUESTS = 2.0  # additional allowance, in requests of mean work


class ServerArrival(NamedTuple):
    """The arrival of a request at a server.

    Attributes:
        requests: work of the request, in requests of mean work.
        sender_informed: whether the sender had been notified of the start of the server.
    """

    at_ms: float
    requests: float
    sender_informed: bool


@dataclass(slots=True, frozen=True)
class Overload:
    """A window in which the load of a warming server exceeded its bound.

    Attributes:
        at_ms: arrival of the request that exceeded the bound.
        received: load of the window, in requests of mean work.
        allowed: budget N of the window, in the same unit.
        informed_share: share of `received` from informed senders.
    """

    server: str
    at_ms: float
    received: float
    allowed: float
    informed_share: float

    def as_record(self) -> dict[str, object]:
        """Return the overload by its keys in a summary."""
        return {
            "equipo": self.server,
            "t": round(self.at_ms, 3),
            "got": round(self.received, 3),
            "allowed": round(self.allowed, 3),
            "told_share": round(self.informed_share, 3),
        }


@dataclass(slots=True)
class ServerStart:
    """One start of a server, and the requests that it has received since.

    Attributes:
        capacity_per_ms: requests of mean work per ms after the warm-up.
        mean_request_ms: mean work of a request.
    """

    server: str
    started_ms: float
    capacity_per_ms: float
    mean_request_ms: float = 1.0
    arrivals: list[ServerArrival] = field(default_factory=list)

    def overloads(self, rules: RulesTable) -> tuple[list[Overload], float]:
        """Return all overloads in order, and the largest load of a window as a share of its bound.

        After an overload a new window begins, since the server would have collapsed.
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
    """Return the budget of a warming server between two ages, in ms of its full capacity."""
    from_age_ms, warm_up_ms = max(0.0, from_age_ms), rules.warm_up_s * 1000.0
    slope = (1.0 - rules.warm_up_initial_share) / warm_up_ms if warm_up_ms else 0.0
    mean_share = rules.warm_up_initial_share + slope * (from_age_ms + to_age_ms) / 2.0
    return rules.overload_factor * (to_age_ms - from_age_ms) * mean_share


def mean_work_ms(plan: Plan, tier: int) -> float:
    """Return the mean work of a request at a server of this tier, in ms of a reference core."""
    shares = sum(row.share for row in plan.classes)
    return sum(row.share * row.work_ms for row in plan.classes) / shares * plan.scenario.tiers[tier].work
