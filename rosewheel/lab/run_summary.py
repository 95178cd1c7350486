"""The summary of one run on sockets, from its records and the statistics of its clients."""

from __future__ import annotations

import statistics
from collections import Counter
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from rosewheel.lab.invariant_checker import check_records
from rosewheel.lab.load import LoadGenerator
from rosewheel.lab.plan import Plan
from rosewheel.lab.plan_codec import plan_digest
from rosewheel.lab.record_types import EmulatorRecord, NodeProcessRecord, NodeReadyRecord, RecordFile
from rosewheel.lab.records import load_records

# Late timers of the emulator delay responses. A run is void if the 99th percentile of their lag exceeds this share of
# the shortest latency objective, since the lag alone may then have changed the service by a percentage point.
VOID_LAG_SHARE = 0.01
CLIENT_LAG_FACTOR = 10.0  # the maximum lag of the clients may be this multiple of that limit
UNKNOWN_LAG_MS = 1e9  # lag of an emulator without a record
AFTER_RESTART_MS = 10_000.0  # window after the restart of a node in which the service is measured
QUARTERS = 4


@dataclass(slots=True, frozen=True)
class RunMeasurements:
    """Measurements of a run that are not in its records.

    Attributes:
        wall_s: duration of the run in real time.
        crashed: nodes whose process exited unexpectedly.
        nodes_cpu_s: CPU time of the nodes that clients reach.
        memory_mb: resident memory of the largest node process.
    """

    wall_s: float
    crashed: list[str]
    nodes_cpu_s: float
    memory_mb: float


def summarize_run(plan: Plan, folder: Path, load: LoadGenerator, measured: RunMeasurements) -> dict[str, Any]:
    """Return the summary of a run, which shares keys with the summary of a simulated run."""
    scenario = plan.scenario
    violations = check_records(scenario, folder)
    emulator = _emulator_record(folder)
    lag_p99_ms = UNKNOWN_LAG_MS if emulator is None else emulator.lag_p99_ms
    max_lag_ms = VOID_LAG_SHARE * min(row.latency_objective_ms for row in scenario.classes)
    return {
        "ok": violations.count() == 0 and not measured.crashed,
        "scenario": scenario.name,
        "seed": plan.seed,
        "plan": plan_digest(plan),
        "service": round(load.service(), 4),
        "after_restarts": _service_after_restarts(folder, load),
        "void": bool(lag_p99_ms > max_lag_ms or load.lag_max_ms > max_lag_ms * CLIENT_LAG_FACTOR),
        "classes": _classes(load),
        "rules": violations.as_record(),
        "crashed": measured.crashed,
        "emulator": {
            "cores": round((0.0 if emulator is None else emulator.cpu_s) / scenario.seconds, 3),
            "lag_p99_ms": lag_p99_ms,
            "lag_max_ms": None if emulator is None else emulator.lag_max_ms,
            "clients_lag_max_ms": round(load.lag_max_ms, 2),
        },
        "nodes": {
            "cores": round(measured.nodes_cpu_s / scenario.seconds, 3),
            "memory_mb": round(measured.memory_mb, 1),
            "quarters": _quarters(folder, scenario.seconds * 1000.0),
        },
        "wall_s": round(measured.wall_s, 1),
    }


def _emulator_record(folder: Path) -> EmulatorRecord | None:
    last = None
    for record in load_records(folder, RecordFile.SERVERS):
        if isinstance(record, EmulatorRecord):
            last = record
    return last


def _classes(load: LoadGenerator) -> dict[str, dict[str, Any]]:
    return {
        name: {
            **counts,
            "p50_ms": load.latency[name].get_value_at_percentile(50.0),
            "p99_ms": load.latency[name].get_value_at_percentile(99.0),
        }
        for name, counts in load.counts.items()
    }


def _quarters(folder: Path, length_ms: float) -> list[dict[str, float]]:
    """Return for each quarter of the run the medians over all samples, and the maximum number of processes."""
    records = [
        record for record in load_records(folder, RecordFile.RUN) if isinstance(record, NodeProcessRecord)
    ]
    quarter_ms = length_ms / QUARTERS
    quarters: list[dict[str, float]] = []
    for index in range(QUARTERS):
        begin, end = index * quarter_ms, (index + 1) * quarter_ms
        samples = [record for record in records if begin <= record.at_ms < end]
        if samples:
            processes = Counter(record.at_ms for record in samples)
            quarters.append(
                {
                    "memory_mb": statistics.median(record.memory_mb for record in samples),
                    "descriptors": statistics.median(record.descriptors for record in samples),
                    "processes": max(processes.values()),
                }
            )
    return quarters


def _service_after_restarts(folder: Path, load: LoadGenerator) -> float | None:
    """Return the mean service within `AFTER_RESTART_MS` after each restart of a node; None without a restart."""
    windows = [
        load.service(record.at_ms, record.at_ms + AFTER_RESTART_MS)
        for record in load_records(folder, RecordFile.RUN)
        if isinstance(record, NodeReadyRecord)
    ]
    return round(sum(windows) / len(windows), 4) if windows else None
