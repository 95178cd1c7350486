"""Measures the cost of a snapshot of learned state in a running node, by the number of servers.

    python benchmarks/snapshot.py [--servers 10,100,1000] [--repeat 50]

The time to capture, encode and write a snapshot, against the time of a routing decision and its outcome in the same
run. The last line is JSON.
"""

from __future__ import annotations

import argparse
import json
import statistics
import tempfile
import time
from pathlib import Path

from rosewheel.policy.actions import ForwardRequest
from rosewheel.policy.balancer import Balancer
from rosewheel.policy.events import (
    AttemptFinished,
    AttemptResult,
    EndpointListForm,
    EndpointListUpdate,
    RequestReceived,
    Server,
)
from rosewheel.policy.settings import Idempotency, ServiceClass, Settings
from rosewheel.proxy.snapshot_codec import LearnedValues
from rosewheel.proxy.snapshots import MAX_TIME_SHARE, PERIOD_S, SnapshotWriter


def measure(servers: int, repeat: int) -> dict[str, float]:
    """Return median times of a snapshot and of a decision with its outcome, and the share of time of snapshots."""
    service = ServiceClass(
        "post", latency_objective_ms=2500, deadline_ms=6000, idempotency=Idempotency.NON_IDEMPOTENT
    )
    balancer = Balancer(Settings(classes=(service,), max_attempts=3), seed=1, now_ms=0.0)
    balancer.handle(
        0.0,
        EndpointListUpdate(
            EndpointListForm.SNAPSHOT, tuple(Server(f"equipo-{index}") for index in range(servers))
        ),
    )
    decision_s: list[float] = []
    now_ms = 0.0
    for number in range(max(repeat, 2 * min(servers, 200))):
        now_ms += 1.0
        started_s = time.perf_counter()
        actions = balancer.handle(now_ms, RequestReceived(f"r{number}", "post", now_ms + 6000.0))
        sent = next(action for action in actions if isinstance(action, ForwardRequest))
        balancer.handle(
            now_ms + 0.5,
            AttemptFinished(sent.id, 0, sent.server, AttemptResult.OK, 100.0, True, {"queue": 1.0}),
        )
        decision_s.append(time.perf_counter() - started_s)
    with tempfile.TemporaryDirectory() as folder:
        snapshots = SnapshotWriter(
            folder, "n0", lambda: LearnedValues(balancer.capture_learned_state(now_ms), 1.0)
        )
        snapshot_s = []
        for _ in range(repeat):
            snapshots.write()
            snapshot_s.append(snapshots.last_cost_s)
        size_bytes = (Path(folder) / "learned.snap").stat().st_size
    median_s = statistics.median(snapshot_s)
    return {
        "servers": servers,
        "snapshot_us": round(median_s * 1e6, 1),
        "decision_us": round(statistics.median(decision_s) * 1e6, 1),
        "ratio": round(median_s / statistics.median(decision_s), 1),
        "share_of_time": round(median_s / max(PERIOD_S, median_s / MAX_TIME_SHARE), 6),
        "bytes": size_bytes,
    }


def main() -> None:
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("--servers", default="10,100,1000")
    parser.add_argument("--repeat", type=int, default=50)
    options = parser.parse_args()
    rows = [measure(int(count), options.repeat) for count in options.servers.split(",")]
    for row in rows:
        print(row)
    print(json.dumps({"ok": True, "rows": rows}))


if __name__ == "__main__":
    main()
