"""Statistics of one server."""

from __future__ import annotations

import math
from dataclasses import dataclass, field

from rosewheel.policy.events import Server


@dataclass(slots=True, eq=False)
class ServerStats:
    """Statistics of one server. Times are ms on the balancer's clock; -inf means never."""

    endpoint: Server
    relative_latency: float | None = None  # smoothed ratio of latency to the mean of its class
    error_rate: float = 0.0  # smoothed share of failed attempts; rejections are not counted
    error_or_timeout_rate: float = 0.0  # smoothed share of attempts that ended with an error or timeout
    last_outcome_ms: float = -math.inf
    load: float = 0.0  # weight in flight from this process
    sibling_load: float = 0.0  # weight in flight from other processes of this node
    reported_queue: float = 0.0  # queue length in its last load report, over all balancers
    last_report_ms: float = -math.inf
    utilisation: float | None = None  # from its last load report
    # Send times of attempts in flight by request id and attempt number, the oldest first.
    in_flight: dict[tuple[str, int], float] = field(default_factory=dict)
    credit: float = 0.0  # weight that it may be sent while warming up
    credit_updated_ms: float = -math.inf
    uncordoned_ms: float = -math.inf  # end of its cordon, if no later start is listed
    consecutive_refusals: int = 0  # consecutive attempts that it did not execute
    backoff_until_ms: float = -math.inf  # end of the backoff after these refusals
    ready: bool = False  # whether it is listed as up and is not cordoned
    credit_check_scheduled: bool = False  # whether it is in the pool's heap of credit checks

    def warm_at_ms(self, warm_up_ms: float) -> float:
        """Return the time at which it has its full capacity, `warm_up_ms` after its start."""
        launched_ms = self.endpoint.launched_ms
        return max(-math.inf if launched_ms is None else launched_ms, self.uncordoned_ms) + warm_up_ms

    def clear_backoff(self) -> None:
        """Forget its refusals and end its backoff."""
        self.consecutive_refusals, self.backoff_until_ms = 0, -math.inf
