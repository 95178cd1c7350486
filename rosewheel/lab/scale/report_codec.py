"""Encodes the plan, the result and the CSV rows of a scale run; their keys are a stable interface."""

from __future__ import annotations

import csv
from collections.abc import Iterator, Mapping, Sequence
from dataclasses import asdict
from pathlib import Path

import msgspec

from rosewheel.lab.scale.call_statistics import CallLatency, CallStatistics
from rosewheel.lab.scale.options import Options
from rosewheel.lab.scale.plan import QUIET_PHASE, FaultStep, Plan
from rosewheel.lab.scale.propagation import Propagation, percentile_s
from rosewheel.lab.scale.role_statistics import RoleStatistics
from rosewheel.lab.scale.summary import Summary

JsonObject = dict[str, object]

# Columns of `rows.csv` that the JSON result contains for the quiet phase.
QUIET_PHASE_KEYS = (
    "processes",
    "of",
    "cpu",
    "cpu_each",
    "rss_mb",
    "files",
    "in_bytes_s",
    "out_bytes_s",
    "messages_s",
    "state",
)


def plan_lines(plan: Plan) -> Iterator[bytes]:
    """Yield the plan as JSON, one object per line."""
    encode = msgspec.json.Encoder(order="deterministic").encode
    yield encode({"options": _options_object(plan.options)})
    for machine in plan.machines:
        yield encode({"machine": asdict(machine)})
    for control_machine in plan.control_machines:
        yield encode({"control": asdict(control_machine)})
    for phase in plan.phases:
        yield encode({"phase": asdict(phase)})
    for step in plan.steps:
        yield encode({"step": _step_object(step)})
    for change in plan.changes:
        yield encode({"change": asdict(change)})


def _options_object(options: Options) -> JsonObject:
    row: JsonObject = asdict(options)
    row["troubles"] = row.pop("faults")
    return row


def _step_object(step: FaultStep) -> JsonObject:
    return {"at_s": step.at_s, "what": step.action, "nodes": step.nodes, "control": step.control_machines}


def summary_line(summary: Summary) -> bytes:
    """Return the result as one JSON object."""
    options = summary.options
    row: JsonObject = {
        "ok": summary.ok,
        "seed": options.seed,
        "nodes": options.nodes,
        "real": options.real,
        "services": options.services,
        "seconds": options.seconds,
        "load_1min": summary.load_1min,
        "targets": [asdict(check) for check in summary.checks],
        "rest": _quiet_phase_object(summary),
        "lists": _propagation_object(summary.propagation.lists),
        "config": _propagation_object(summary.propagation.config),
        "acked": _propagation_object(summary.propagation.acked),
        "puts": _publish_times_object(summary.publish_times_ms),
        "calls": {} if summary.calls is None else _calls_object(summary.calls),
    }
    return msgspec.json.encode(row)


def _quiet_phase_object(summary: Summary) -> JsonObject:
    roles: JsonObject = {}
    for record in summary.statistics:
        if record.phase == QUIET_PHASE:
            row = _statistics_row(summary.options, record)
            roles[record.role] = {key: row[key] for key in QUIET_PHASE_KEYS if row[key] is not None}
    return roles


def _propagation_object(by_phase: Mapping[str, Propagation]) -> JsonObject:
    return {
        phase: {
            "changes": len(propagation.durations_ms),
            "p50_s": percentile_s(propagation.durations_ms, 50.0),
            "p99_s": percentile_s(propagation.durations_ms, 99.0),
            "most_s": percentile_s(propagation.durations_ms, 100.0),
            "returned_most_s": percentile_s(propagation.after_return_ms, 100.0),
            "missing": propagation.missing,
        }
        for phase, propagation in by_phase.items()
    }


def _publish_times_object(times_ms: Sequence[float]) -> JsonObject:
    return {
        "changes": len(times_ms),
        "p50_s": percentile_s(times_ms, 50.0),
        "p99_s": percentile_s(times_ms, 99.0),
        "p100_s": percentile_s(times_ms, 100.0),
    }


def _calls_object(calls: CallStatistics) -> JsonObject:
    row: JsonObject = {
        "asked": calls.sent,
        "served": calls.succeeded,
        "node": _latency_object(calls.through_node),
        "direct": _latency_object(calls.direct),
    }
    if calls.added_p50_ms is not None:
        row["added_p50_ms"] = calls.added_p50_ms
        row["added_p99_ms"] = calls.added_p99_ms
    return row


def _latency_object(latency: CallLatency) -> JsonObject:
    return {"calls": latency.calls, "p50_ms": latency.p50_ms, "p99_ms": latency.p99_ms}


def _statistics_row(options: Options, record: RoleStatistics) -> JsonObject:
    usage, traffic = record.usage, record.traffic
    return {
        "nodes": options.nodes,
        "real": options.real,
        "services": options.services,
        "seed": options.seed,
        "phase": record.phase,
        "seconds": record.seconds,
        "role": record.role,
        "load_1min": record.load_1min,
        "processes": usage.processes,
        "of": usage.members,
        "cpu": usage.cpu,
        "cpu_each": usage.cpu_per_member,
        "rss_mb": usage.rss_mb,
        "rss_mb_each": usage.rss_mb_per_member,
        "rss_mb_most": usage.rss_mb_max,
        "files": usage.open_files,
        "out_bytes_s": traffic.out_bytes_s,
        "in_bytes_s": traffic.in_bytes_s,
        "messages_s": traffic.messages_s,
        "worst_bytes_s": traffic.max_bytes_s,
        "state": record.state,
    }


def write_rows(path: Path, summary: Summary) -> None:
    """Write a CSV file with one row for each phase and role."""
    rows = [_statistics_row(summary.options, record) for record in summary.statistics]
    with path.open("w", newline="") as file:
        writer = csv.DictWriter(file, list(rows[0]))
        writer.writeheader()
        writer.writerows(rows)
