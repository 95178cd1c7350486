"""Parameters of one server."""

from __future__ import annotations

import math
from dataclasses import dataclass


@dataclass(slots=True, frozen=True)
class OverloadSlowdown:
    """Slowdown of an overloaded server, which lasts beyond the overload.

    Attributes:
        queue_per_core: number of waiting requests per core above which a server is overloaded.
        trigger_ms: duration of the overload after which the slowdown begins.
        factor: factor by which the server is slowed.
        recovery_ms: time below `recovery_busy_share` after which the slowdown ends.
        recovery_busy_share: share of the cores in use below which a slowed server recovers.
        max_ms: longest duration of a slowdown.
    """

    queue_per_core: float
    trigger_ms: float
    factor: float
    recovery_ms: float
    recovery_busy_share: float
    max_ms: float


@dataclass(slots=True, frozen=True)
class ServerSpec:
    """Parameters of one server.

    Attributes:
        tier: index of the tier.
        cell: index of the cell; servers of one cell share a deduplication table.
        speed: speed of each core, as a multiple of the reference core.
        concurrency_limit: maximum number of requests in progress, including those that wait for the next tier.
        queue_limit: maximum number of requests that wait for a slot; further ones are rejected.
        contention_factor: share by which each request in progress above `contention_threshold` lengthens all work.
        warm_up_initial_share: share of its capacity that a server has at its start.
        warm_up_ms: time over which the capacity grows to its full value.
        slowdown: slowdown after overload; None if the server has none.
        overload_factor: multiple of its capacity in `overload_window_ms` above which a warming server collapses.
        overload_slack_ms: work by which a warming server may exceed that limit.
        pause_interval_ms: mean time between two pauses.
        pause_ms: length of a pause with no request in progress.
        pause_growth: share by which a pause is longer when all slots are taken.
        error_rate: share of the requests that end with an error.
        report_period_ms: time between two load reports.
        report_delay_ms: time until a load report becomes visible.
        report_noise: coefficient of variation of the reported queue length.
        connection_overhead: share of the capacity that `max_connections` open connections take.
        handshake_work_ms: work for each new connection.
        health_check_work_ms: work for each health check.
    """

    name: str
    tier: int
    kind: str = ""
    zone: str = ""
    cell: int = 0
    cores: int = 2
    speed: float = 1.0
    concurrency_limit: int = 40
    queue_limit: int = 6
    contention_factor: float = 0.0
    contention_threshold: float = math.inf
    warm_up_initial_share: float = 1.0
    warm_up_ms: float = 0.0
    slowdown: OverloadSlowdown | None = None
    overload_factor: float = 4.0
    overload_window_ms: float = 1500.0
    overload_slack_ms: float = 500.0
    pause_interval_ms: float = math.inf
    pause_ms: float = 0.0
    pause_growth: float = 0.0
    error_rate: float = 0.0
    report_period_ms: float = 200.0
    report_delay_ms: float = 50.0
    report_noise: float = 0.0
    max_connections: int = 1200
    connection_overhead: float = 0.0
    handshake_work_ms: float = 0.0
    health_check_work_ms: float = 0.0

    def warm_up_share(self, age_ms: float) -> float:
        """Return the share of its capacity that a server has at this age, from `warm_up_initial_share` to 1."""
        if age_ms >= self.warm_up_ms:
            return 1.0
        return self.warm_up_initial_share + (1.0 - self.warm_up_initial_share) * age_ms / self.warm_up_ms
