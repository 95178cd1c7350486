"""What a request and its outcome cost the decision module, by the size of the pool.

    python benchmarks/decisions.py [--servers 10,100,1000,5000] [--requests 3000] [--cold 0.0] [--against FOLDER]

Each size is measured in turns with the smallest, so that what else the machine does falls on both; the last line is
JSON with medians in microseconds and their ratio to the smallest. Exits 1 where 1,000 cost more than 1.5 times 10.
"""

from __future__ import annotations

import argparse
import json
import os
import statistics
import subprocess
import sys
import time
from collections import deque
from pathlib import Path
from random import Random

from rosewheel.policy.actions import ForwardRequest
from rosewheel.policy.balancer import Balancer
from rosewheel.policy.events import (
    AttemptFinished,
    AttemptResult,
    EndpointListForm,
    EndpointListUpdate,
    RequestReceived,
    Server,
    TimerFired,
)
from rosewheel.policy.settings import Idempotency, ServiceClass, Settings

LIMIT = 1.5
IN_FLIGHT_EACH = 1.5  # calls in flight for each server, up to `IN_FLIGHT_MOST`
IN_FLIGHT_MOST = 200


class Load:
    """A balancer with requests coming and going, so many in flight."""

    def __init__(self, servers: int, cold: float) -> None:
        classes = (
            ServiceClass(
                "post",
                latency_objective_ms=2500,
                deadline_ms=6000,
                priority_weight=8,
                idempotency=Idempotency.NON_IDEMPOTENT,
            ),
            ServiceClass(
                "note",
                latency_objective_ms=2500,
                deadline_ms=6000,
                priority_weight=3,
                idempotency=Idempotency.IDEMPOTENT_WITH_KEY,
            ),
        )
        settings = Settings(
            classes=classes,
            zone="a",
            balancer_count=2,
            max_attempts=3,
            warm_up_initial_share=0.12,
            warm_up_ms=24000.0,
        )
        self.rng, self.now, self.number = Random(1), 100_000.0, 0
        self.balancer = Balancer(settings, 1, self.now)
        born = [self.now - 1.0 if self.rng.random() < cold else None for _ in range(servers)]
        rows = (Server(f"equipo-{at}", "ab"[at % 2], at % 7, launched_ms=born[at]) for at in range(servers))
        self.balancer.handle(self.now, EndpointListUpdate(EndpointListForm.SNAPSHOT, tuple(rows)))
        self.out: deque[ForwardRequest] = deque()
        self.most = int(min(IN_FLIGHT_MOST, servers * IN_FLIGHT_EACH))
        self.period = self.now
        self.refused = 0

    def one(self) -> float:
        """A request, and the outcome of the oldest; seconds."""
        self.now += 1.0
        self.number += 1
        name = f"r{self.number}"
        began = time.perf_counter()
        acts = self.balancer.handle(
            self.now, RequestReceived(name, "post" if self.number % 2 else "note", self.now + 6000.0)
        )
        if len(self.out) >= self.most:
            done = self.out.popleft()
            self.balancer.handle(
                self.now,
                AttemptFinished(done.id, 0, done.server, AttemptResult.OK, 100.0, True, {"queue": 1.0}),
            )
        took = time.perf_counter() - began
        sends = [act for act in acts if isinstance(act, ForwardRequest)]
        self.out.extend(sends)
        self.refused += not sends
        if self.now - self.period >= self.balancer.period_ms:
            self.period = self.now
            self.balancer.handle(self.now, TimerFired("period"))
        return took


def against(given: argparse.Namespace, rounds: int = 3) -> dict[str, dict[str, float]]:
    """Median microseconds by size, of another version (`before`) and of this one (`now`), in processes that take
    turns."""
    found: dict[str, dict[str, list[float]]] = {"before": {}, "now": {}}
    here = str(Path(__file__).resolve().parent.parent)
    for _ in range(rounds):
        for name, folder in (("before", given.against), ("now", here)):
            command = [sys.executable, __file__, "--servers", given.servers, "--cold", str(given.cold)]
            done = subprocess.run(
                [*command, "--requests", str(given.requests)],
                env={**os.environ, "PYTHONPATH": folder},
                capture_output=True,
                text=True,
                check=False,  # 1 says that a large pool costs more than it should, as it may before
            )
            if not done.stdout.strip():
                raise SystemExit(done.stderr.strip().rpartition("\n")[2] or f"{folder}: nothing measured")
            for size, row in json.loads(done.stdout.strip().rpartition("\n")[2]).items():
                found[name].setdefault(size, []).append(row["median_us"])
    return {
        name: {size: statistics.median(row) for size, row in rows.items()} for name, rows in found.items()
    }


def main() -> int:
    parser = argparse.ArgumentParser(description=__doc__.split("\n", 1)[0])
    parser.add_argument("--servers", default="10,100,1000,5000")
    parser.add_argument("--requests", type=int, default=3000)
    parser.add_argument("--cold", type=float, default=0.0, help="share of the servers that start just now")
    parser.add_argument("--against", help="folder of another version, measured in turns with this one")
    given = parser.parse_args()
    if given.against:
        print(json.dumps(against(given)))
        return 0
    sizes = [int(size) for size in given.servers.split(",")]
    loads = {size: Load(size, given.cold) for size in sizes}
    costs: dict[int, list[float]] = {size: [] for size in sizes}
    for _ in range(given.requests):
        for size, load in loads.items():
            costs[size].append(load.one())
    medians = {size: statistics.median(costs[size]) * 1e6 for size in sizes}
    row = {
        str(size): {
            "median_us": round(medians[size], 1),
            "p99_us": round(sorted(costs[size])[int(len(costs[size]) * 0.99)] * 1e6, 1),
            "ratio": round(medians[size] / medians[sizes[0]], 2),
            "refused": loads[size].refused,
        }
        for size in sizes
    }
    print(json.dumps(row))
    return 1 if 1000 in medians and medians[1000] > LIMIT * medians[sizes[0]] else 0


if __name__ == "__main__":
    sys.exit(main())
