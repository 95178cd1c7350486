"""What a balancer knows of one server."""

from __future__ import annotations

import math
from dataclasses import dataclass, field

from rosewheel.policy.events import Server


@dataclass(slots=True, eq=False)
class ServerStats:
    """Statistics of one server. Moments are ms on the balancer's clock; -inf means never."""

    endpoint: Server
    relative_latency: float | None = None  # smoothed latency over its class's mean
    error_rate: float = 0.0  # smoothed share of failed attempts
    error_or_timeout_rate: float = (
        0.0  # smoothed share of attempts that failed or timed out, but were not reset
    )
    last_outcome_ms: float = -math.inf
    load: float = 0.0  # weight in flight from this process
    sibling_load: float = 0.0  # weight in flight from other processes of this node
    reported_queue: float = 0.0  # requests of all balancers, by its last load report
    last_report_ms: float = -math.inf
    utilisation: float | None = None  # by its last load report
    in_flight: dict[tuple[str, int], float] = field(default_factory=dict)  # when sent, oldest attempt first
    credit: float = 0.0  # weight that it may be sent while it warms up
    credit_updated_ms: float = -math.inf
    uncordoned_ms: float = -math.inf  # end of its cordon, where no start after it is listed
    consecutive_refusals: int = 0  # attempts in a row that it did not execute
    backoff_until_ms: float = -math.inf  # until then its rank is worse for these refusals
    ready: bool = False  # it is listed as up and is not cordoned
    credit_check_scheduled: bool = False  # it is in the pool's heap of credit checks

    def warm_at_ms(self, warm_up_ms: float) -> float:
        """When it has its full capacity, if a start takes it `warm_up_ms`."""
        launched_ms = self.endpoint.launched_ms
        return max(-math.inf if launched_ms is None else launched_ms, self.uncordoned_ms) + warm_up_ms

    def clear_backoff(self) -> None:
        """Forget its refusals."""
        self.consecutive_refusals, self.backoff_until_ms = 0, -math.inf
