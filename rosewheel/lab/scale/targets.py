"""Checks the measurements of a run against the targets. No I/O."""

from __future__ import annotations

import math
from dataclasses import dataclass
from enum import StrEnum

MAX_PROPAGATION_S = 6.0
MAX_ADDED_P99_MS = 1.4
MAX_NODE_CPU = 0.034  # cores, for discovery and control
MAX_NODE_MEMORY_MB = 256.0
MAX_NODE_TRAFFIC_KB_S = 15.0  # for discovery and control
TARGET_CALLS_PER_S = 54_000.0
MAX_PROCESSES = 150
MAX_RUN_MEMORY_GB = 12.0


class Target(StrEnum):
    """A target; the value is its name in reports."""

    STALE_NODES = "stale nodes at the end"
    CONFIG_PROPAGATION = "configuration in force everywhere"
    LIST_PROPAGATION = "list heard everywhere"
    NODE_CPU = "control, CPU of a node"
    NODE_MEMORY = "memory of a node"
    NODE_TRAFFIC = "control, traffic of a node"
    ADDED_LATENCY = "added to 99 calls in 100"
    CALL_RATE = "calls"
    PROCESSES = "processes of the run"
    RUN_MEMORY = "memory of the run"


@dataclass(slots=True, frozen=True)
class TargetCheck:
    """Result of the check of one target.

    Attributes:
        target: The target.
        limit: Value that the target requires: an upper limit, except for `CALL_RATE`.
        unit: Unit of `limit` and `measured`.
        measured: The measured value; None if the run did not measure it.
        holds: Whether the target is met; None if the run can't tell.
        note: Remark for reports.
    """

    target: Target
    limit: float
    unit: str
    measured: float | None
    holds: bool | None
    note: str = ""


@dataclass(slots=True, frozen=True)
class TargetMeasurements:
    """Measurements that are checked against the targets; None for those that the run did not measure.

    Attributes:
        config_max_s: Longest time until all nodes without an outage had acknowledged a configuration.
        lists_max_s: Longest time until all nodes of a service without an outage had received an endpoint list.
        stale_nodes: Number of nodes without the last list or configuration at the end.
        cpu_max: Largest mean CPU usage of a simulated node in a phase, in cores.
        memory_max_mb: Largest memory of a real node.
        traffic_max_kb_s: Largest traffic, sent and received, of a simulated node in a phase.
        added_p99_ms: 99th percentile of latency through a node minus that of direct calls.
        direct_p99_ms: 99th percentile of latency of direct calls, without a node.
        calls_per_s: Calls sent per second.
        processes: Number of processes of the run.
        run_memory_gb: Memory of all processes.
    """

    config_max_s: float | None
    lists_max_s: float | None
    stale_nodes: int
    cpu_max: float | None
    memory_max_mb: float | None
    traffic_max_kb_s: float | None
    added_p99_ms: float | None
    direct_p99_ms: float | None
    calls_per_s: float | None
    processes: int
    run_memory_gb: float


def check_targets(measurements: TargetMeasurements) -> list[TargetCheck]:
    """Check all targets, in the order of reports."""
    stale = measurements.stale_nodes
    return [
        TargetCheck(Target.STALE_NODES, 0, "nodes", stale, stale == 0),
        _at_most(Target.CONFIG_PROPAGATION, MAX_PROPAGATION_S, "s", measurements.config_max_s),
        _at_most(Target.LIST_PROPAGATION, MAX_PROPAGATION_S, "s", measurements.lists_max_s),
        _at_most(Target.NODE_CPU, MAX_NODE_CPU, "core", measurements.cpu_max, "simulated nodes, worst phase"),
        _at_most(
            Target.NODE_MEMORY, MAX_NODE_MEMORY_MB, "MB", measurements.memory_max_mb, "real nodes, with calls"
        ),
        _at_most(
            Target.NODE_TRAFFIC,
            MAX_NODE_TRAFFIC_KB_S,
            "KB/s",
            measurements.traffic_max_kb_s,
            "in and out, worst node in the worst phase",
        ),
        _check_added_latency(measurements),
        TargetCheck(
            Target.CALL_RATE,
            TARGET_CALLS_PER_S,
            "1/s",
            measurements.calls_per_s,
            None,
            "not reachable on one machine: the rate of this run",
        ),
        _at_most(Target.PROCESSES, MAX_PROCESSES, "", float(measurements.processes)),
        _at_most(Target.RUN_MEMORY, MAX_RUN_MEMORY_GB, "GB", measurements.run_memory_gb),
    ]


def _at_most(target: Target, limit: float, unit: str, measured: float | None, note: str = "") -> TargetCheck:
    if measured is None or not math.isfinite(measured):
        return TargetCheck(target, limit, unit, None, None, note or "not measured")
    return TargetCheck(target, limit, unit, measured, measured <= limit, note)


def _check_added_latency(measurements: TargetMeasurements) -> TargetCheck:
    """Check the latency that a node adds.

    The result is void if direct calls alone exceed the limit, because the machine is then too busy to measure it.
    """
    measured, direct = measurements.added_p99_ms, measurements.direct_p99_ms
    if measured is not None and direct is not None and direct > MAX_ADDED_P99_MS:
        note = f"void: p99 of direct calls is {direct:.1f} ms, the machine is overloaded"
        return TargetCheck(Target.ADDED_LATENCY, MAX_ADDED_P99_MS, "ms", measured, None, note)
    return _at_most(
        Target.ADDED_LATENCY, MAX_ADDED_P99_MS, "ms", measured, "calls through a node minus direct calls"
    )
