"""The parameters of one server."""

from __future__ import annotations

import math
from dataclasses import dataclass


@dataclass(slots=True, frozen=True)
class OverloadSlowdown:
    """The lasting slowdown of an overloaded server.

    Attributes:
        queue_per_core: it begins when more requests than this wait for each core
        trigger_ms: for this long.
        factor: how many times slower the server is.
        recovery_ms: it ends when the busy share has stayed below `recovery_busy_share` for this long,
        max_ms: or after this time.
    """

    queue_per_core: float
    trigger_ms: float
    factor: float
    recovery_ms: float
    recovery_busy_share: float
    max_ms: float


@dataclass(slots=True, frozen=True)
class ServerSpec:
    """The drawn parameters of one server.

    Attributes:
        tier: index of its tier.
        cell: the servers of a tier with the same cell share a deduplication table.
        speed: speed of each core, as a factor of the reference core.
        concurrency_limit: requests in progress at most, those that wait for the next tier included.
        queue_limit: requests that wait for a slot at most; further ones are rejected.
        contention_factor: share by which each request in progress above `contention_threshold` lengthens all work.
        warm_up_initial_share: share of its capacity that a started server has; it grows to 1 over `warm_up_ms`.
        overload_factor: a warming server fails when it is sent more than this multiple of its capacity
        overload_window_ms: in a window of this length,
        overload_slack_ms: plus this much work, for chance.
        pause_interval_ms: mean time between two pauses.
        pause_growth: share by which a pause is longer when all slots are taken.
        error_rate: share of the requests that end with an error.
        report_noise: coefficient of variation of the reported queue.
        connection_overhead: share of the capacity that a full table of connections takes.
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
        """Share of its capacity that a server of this age has, up to 1."""
        if age_ms >= self.warm_up_ms:
            return 1.0
        return self.warm_up_initial_share + (1.0 - self.warm_up_initial_share) * age_ms / self.warm_up_ms
