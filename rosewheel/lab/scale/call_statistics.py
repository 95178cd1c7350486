"""Latency that a real node adds to calls, from the records of callers and servers.

The latency of a call is the caller's time minus the server's time from the first byte of the request to its response.
It includes the overhead of the emulator and the caller. Direct calls, which are sent to a server without a node,
measure this overhead alone.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass
from pathlib import Path

import msgspec
import numpy as np

from rosewheel.lab.records import read_records
from rosewheel.lab.scale.call_scenario import DIRECT_PREFIX

HTTP_OK = 200


class _Attempt(
    msgspec.Struct, rename={"request_id": "rid", "target": "node", "sent_ms": "sent", "ended_ms": "ended"}
):
    request_id: str
    target: str
    sent_ms: float
    ended_ms: float
    status: int


class _Operation(msgspec.Struct, rename={"planned_ms": "at", "attempts": "tries"}):
    planned_ms: float
    attempts: list[_Attempt]


class _ServerJob(
    msgspec.Struct, rename={"request_id": "rid", "ended_ms": "t", "started_ms": "came", "outcome": "verdict"}
):
    request_id: str
    ended_ms: float
    started_ms: float
    outcome: str


@dataclass(slots=True, frozen=True)
class CallLatency:
    """Latency of calls without the server's time, in ms; None if there were no calls."""

    calls: int
    p50_ms: float | None
    p99_ms: float | None


@dataclass(slots=True, frozen=True)
class CallStatistics:
    """Results of the calls of a run.

    Attributes:
        sent: Number of calls.
        succeeded: Number of calls whose first attempt succeeded.
        through_node: Latency of calls through a node, before the first fault.
        direct: Latency of direct calls, before the first fault.
        added_p50_ms: Median through a node minus the median of direct calls; None if one of them had no calls.
        added_p99_ms: The same difference for the 99th percentile.
    """

    sent: int
    succeeded: int
    through_node: CallLatency
    direct: CallLatency
    added_p50_ms: float | None
    added_p99_ms: float | None


def call_statistics(folder: Path, faults_begin_s: float) -> CallStatistics:
    """Compute the statistics from the records in this folder.

    Latencies include only calls that took one attempt and were planned before `faults_begin_s`, because the latency of
    a node that was restarted includes its start.
    """
    server_ms = _server_times(folder)
    through_node_ms: list[float] = []
    direct_ms: list[float] = []
    sent = succeeded = 0
    for operation in _operations(folder):
        first = operation.attempts[0]
        sent += 1
        succeeded += first.status == HTTP_OK
        if operation.planned_ms >= faults_begin_s * 1000.0:
            continue
        if first.status == HTTP_OK and len(operation.attempts) == 1 and first.request_id in server_ms:
            values = direct_ms if first.target.startswith(DIRECT_PREFIX) else through_node_ms
            values.append(first.ended_ms - first.sent_ms - server_ms[first.request_id])
    through_node, direct = _latency(through_node_ms), _latency(direct_ms)
    return CallStatistics(
        sent,
        succeeded,
        through_node,
        direct,
        _difference(through_node.p50_ms, direct.p50_ms),
        _difference(through_node.p99_ms, direct.p99_ms),
    )


def _server_times(folder: Path) -> dict[str, float]:
    """Return the server's time for each served request, in ms, by request id."""
    jobs = (
        msgspec.convert(row, _ServerJob)
        for row in read_records(folder / "equipos.jsonl")
        if row["e"] == "job"
    )
    return {job.request_id: job.ended_ms - job.started_ms for job in jobs if job.outcome == "served"}


def _operations(folder: Path) -> Iterator[_Operation]:
    for row in read_records(folder / "load.jsonl"):
        if row["e"] == "op":
            yield msgspec.convert(row, _Operation)


def _latency(values_ms: list[float]) -> CallLatency:
    if not values_ms:
        return CallLatency(0, None, None)
    p50_ms, p99_ms = np.round(np.percentile(values_ms, (50, 99)), 2).tolist()
    return CallLatency(len(values_ms), p50_ms, p99_ms)


def _difference(through_node_ms: float | None, direct_ms: float | None) -> float | None:
    if through_node_ms is None or direct_ms is None:
        return None
    return round(through_node_ms - direct_ms, 2)
