"""Checks of a run's measurements against the targets. No I/O."""

from __future__ import annotations

import math
from dataclasses import dataclass
from enum import StrEnum

MAX_PROPAGATION_S = 6.0
MAX_ADDED_P99_MS = 1.4
MAX_NODE_CPU = 0.034  # of a core, for control
MAX_NODE_MEMORY_MB = 256.0
MAX_NODE_TRAFFIC_KB_S = 15.0  # for control
TARGET_CALLS_PER_S = 54_000.0
MAX_PROCESSES = 150
MAX_RUN_MEMORY_GB = 12.0


class Target(StrEnum):
    """The targets, by their names in reports."""

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
    """One measurement against its limit; `holds` is None where the run does not cover the target."""

    target: Target
    limit: float
    unit: str
    measured: float | None
    holds: bool | None
    note: str = ""


@dataclass(slots=True, frozen=True)
class TargetMeasurements:
    """What the targets are checked against; None where the run did not measure it.

    Attributes:
        config_max_s: Longest time until a configuration was acknowledged by all nodes.
        lists_max_s: Longest time until an endpoint list was received by all nodes of its service.
        stale_nodes: Nodes without the last list or configuration at the end.
        cpu_max: CPU of a simulated node, of a core, in the worst phase.
        memory_max_mb: Memory of a real node.
        traffic_max_kb_s: Traffic in and out of the worst node in the worst phase.
        added_p99_ms: What a node adds to the 99th percentile of latency.
        direct_p99_ms: The same percentile of calls past the nodes: this machine and the emulator by themselves.
        calls_per_s: Calls sent.
        processes: Processes of the run.
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


def check_targets(found: TargetMeasurements) -> list[TargetCheck]:
    """All targets, in the order of reports."""
    stale = found.stale_nodes
    return [
        TargetCheck(Target.STALE_NODES, 0, "nodes", stale, stale == 0),
        _at_most(Target.CONFIG_PROPAGATION, MAX_PROPAGATION_S, "s", found.config_max_s),
        _at_most(Target.LIST_PROPAGATION, MAX_PROPAGATION_S, "s", found.lists_max_s),
        _at_most(Target.NODE_CPU, MAX_NODE_CPU, "core", found.cpu_max, "hollow nodes, worst phase"),
        _at_most(Target.NODE_MEMORY, MAX_NODE_MEMORY_MB, "MB", found.memory_max_mb, "real nodes, with calls"),
        _at_most(
            Target.NODE_TRAFFIC,
            MAX_NODE_TRAFFIC_KB_S,
            "KB/s",
            found.traffic_max_kb_s,
            "in and out, worst node in the worst phase",
        ),
        _check_added_latency(found),
        TargetCheck(
            Target.CALL_RATE,
            TARGET_CALLS_PER_S,
            "1/s",
            found.calls_per_s,
            None,
            "one machine can't: the rate at which the rest was measured",
        ),
        _at_most(Target.PROCESSES, MAX_PROCESSES, "", float(found.processes)),
        _at_most(Target.RUN_MEMORY, MAX_RUN_MEMORY_GB, "GB", found.run_memory_gb),
    ]


def _at_most(target: Target, limit: float, unit: str, measured: float | None, note: str = "") -> TargetCheck:
    if measured is None or not math.isfinite(measured):
        return TargetCheck(target, limit, unit, None, None, note or "not covered")
    return TargetCheck(target, limit, unit, measured, measured <= limit, note)


def _check_added_latency(found: TargetMeasurements) -> TargetCheck:
    """Void where direct calls alone exceed the limit: the difference then measures this machine, not the node."""
    measured, direct = found.added_p99_ms, found.direct_p99_ms
    if measured is not None and direct is not None and direct > MAX_ADDED_P99_MS:
        note = f"void: {direct:.1f} ms on the direct way alone, the machine is too busy"
        return TargetCheck(Target.ADDED_LATENCY, MAX_ADDED_P99_MS, "ms", measured, None, note)
    return _at_most(Target.ADDED_LATENCY, MAX_ADDED_P99_MS, "ms", measured, "one node, less the direct way")
