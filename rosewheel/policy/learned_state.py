"""Learned state of a balancer, which a later process can restore.

It holds ages instead of times, as clocks differ between processes.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field

from rosewheel.policy.parts import Parts
from rosewheel.policy.server_stats import ServerStats


@dataclass(slots=True, frozen=True)
class LearnedServer:
    """Statistics of one server, as in `ServerStats`. Ages are ms at the capture; None means never."""

    started_ago_ms: float | None  # None: started long ago
    relative_latency: float | None = None
    error_rate: float = 0.0
    last_outcome_ago_ms: float | None = None
    reported_queue: float = 0.0
    last_report_ago_ms: float | None = None
    utilisation: float | None = None
    credit: float = 0.0
    uncordoned_ago_ms: float | None = None


@dataclass(slots=True, frozen=True)
class LearnedState:
    """Learned state, as in `PoolLoad` and `Throughput`. Rates are those of the whole pool."""

    servers: dict[str, LearnedServer] = field(default_factory=dict)
    class_latency_ms: dict[str, float] = field(default_factory=dict)
    # By class; empty if they equal those of the process that restores the state.
    objectives_ms: dict[str, float] = field(default_factory=dict)
    baseline_ratio: float | None = None
    smoothed_ratio: float = 0.0
    baseline_outcomes: int = 0
    cursor: int = 0
    completion_rate: float = 0.0
    peak_completion_rate: float = 0.0
    request_rate: float = 0.0
    smoothed_error_share: float = 0.0
    baseline_error_share: float = 0.0


def ago_ms(now: float, time_ms: float | None) -> float | None:
    """Return the age of a time in ms, or None for None or -inf."""
    return None if time_ms is None or time_ms == -math.inf else max(0.0, now - time_ms)


def capture(parts: Parts, now: float) -> LearnedState:
    """Return the learned state of a balancer."""
    shared, load, throughput = parts.shared, parts.pool_load, parts.throughput
    return LearnedState(
        servers={address: _capture_server(server, now) for address, server in shared.pool.servers.items()},
        class_latency_ms=dict(shared.class_latency_ms),
        objectives_ms=shared.objectives_ms(),
        baseline_ratio=load.baseline_ratio,
        smoothed_ratio=load.smoothed_ratio,
        baseline_outcomes=load.baseline_outcomes,
        cursor=parts.table.cursor,
        completion_rate=throughput.completion_rate * throughput.pool_capacity,
        peak_completion_rate=throughput.peak_completion_rate * throughput.pool_capacity,
        request_rate=throughput.request_rate,
        smoothed_error_share=load.smoothed_error_share,
        baseline_error_share=load.baseline_error_share,
    )


def _capture_server(server: ServerStats, now: float) -> LearnedServer:
    return LearnedServer(
        started_ago_ms=ago_ms(now, server.endpoint.launched_ms),
        relative_latency=server.relative_latency,
        error_rate=server.error_rate,
        last_outcome_ago_ms=ago_ms(now, server.last_outcome_ms),
        reported_queue=server.reported_queue,
        last_report_ago_ms=ago_ms(now, server.last_report_ms),
        utilisation=server.utilisation,
        credit=max(0.0, server.credit),
        uncordoned_ago_ms=ago_ms(now, server.uncordoned_ms),
    )
