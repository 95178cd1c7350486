"""What a real node adds to the latency of calls, from the records of callers and servers.

The latency that counts is the caller's time less the server's own, which runs from the request's first byte to its
answer. A part of it is the emulator's and the caller's; direct calls, past the nodes, show that part by itself.
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
    """Time of calls less the server's own, in ms; None without calls."""

    calls: int
    p50_ms: float | None
    p99_ms: float | None


@dataclass(slots=True, frozen=True)
class CallStatistics:
    """Calls of a run.

    Attributes:
        sent: Number of calls.
        succeeded: Calls whose first attempt succeeded.
        through_node: Latency of calls through a node, before faults begin.
        direct: Latency of calls past the nodes in the same time.
        added_p50_ms: Difference of the two at the median; None where either has no calls.
        added_p99_ms: The same at the 99th percentile.
    """

    sent: int
    succeeded: int
    through_node: CallLatency
    direct: CallLatency
    added_p50_ms: float | None
    added_p99_ms: float | None


def call_statistics(folder: Path, faults_begin_s: float) -> CallStatistics:
    """Statistics from the records in this folder.

    Latencies are of calls that took one attempt and were planned before `faults_begin_s`: those of a node that was
    stopped or has just started would measure its start.
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
    """The server's own time of each request that it served, in ms."""
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
