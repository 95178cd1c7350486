"""What a snapshot of learned state costs the running node, by the size of the pool.

    python benchmarks/snapshot.py [--servers 10,100,1000] [--repeat 50]

Taking, encoding and writing one, against a decision of the same module in the same run; the last line is JSON.
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
    """Medians in microseconds of a snapshot and of a decision with its outcome, and the snapshot's share of time."""
    service = ServiceClass(
        "post", latency_objective_ms=2500, deadline_ms=6000, idempotency=Idempotency.NON_IDEMPOTENT
    )
    balancer = Balancer(Settings(classes=(service,), max_attempts=3), seed=1, now_ms=0.0)
    balancer.handle(
        0.0,
        EndpointListUpdate(EndpointListForm.SNAPSHOT, tuple(Server(f"equipo-{at}") for at in range(servers))),
    )
    decisions: list[float] = []
    now = 0.0
    for number in range(max(repeat, 2 * min(servers, 200))):
        now += 1.0
        began = time.perf_counter()
        acts = balancer.handle(now, RequestReceived(f"r{number}", "post", now + 6000.0))
        sent = next(act for act in acts if isinstance(act, ForwardRequest))
        balancer.handle(
            now + 0.5, AttemptFinished(sent.id, 0, sent.server, AttemptResult.OK, 100.0, True, {"queue": 1.0})
        )
        decisions.append(time.perf_counter() - began)
    with tempfile.TemporaryDirectory() as folder:
        snapshots = SnapshotWriter(
            folder, "n0", lambda: LearnedValues(balancer.capture_learned_state(now), 1.0)
        )
        costs = []
        for _ in range(repeat):
            snapshots.write()
            costs.append(snapshots.last_cost_s)
        size = (Path(folder) / "learned.snap").stat().st_size
    cost = statistics.median(costs)
    return {
        "servers": servers,
        "snapshot_us": round(cost * 1e6, 1),
        "decision_us": round(statistics.median(decisions) * 1e6, 1),
        "ratio": round(cost / statistics.median(decisions), 1),
        "share_of_time": round(cost / max(PERIOD_S, cost / MAX_TIME_SHARE), 6),
        "bytes": size,
    }


def main() -> None:
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("--servers", default="10,100,1000")
    parser.add_argument("--repeat", type=int, default=50)
    told = parser.parse_args()
    rows = [measure(int(count), told.repeat) for count in told.servers.split(",")]
    for row in rows:
        print(row)
    print(json.dumps({"ok": True, "rows": rows}))


if __name__ == "__main__":
    main()
