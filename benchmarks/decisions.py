"""Measures the time that routing decisions take per request, by the number of servers.

    python benchmarks/decisions.py [--servers 10,100,1000,5000] [--requests 3000] [--cold 0.0] [--against FOLDER]

The sizes are measured in turns, so that other load on the machine affects all of them. The last line is JSON with
medians in microseconds and their ratios to the first size. The exit code is 1 if the median with 1,000 servers is more
than 1.5 times that of the first size. With `--against`, this version is compared with that in another folder instead.
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

MAX_RATIO = 1.5  # of the median with 1,000 servers to that of the first size
IN_FLIGHT_PER_SERVER = 1.5  # up to MAX_IN_FLIGHT in total
MAX_IN_FLIGHT = 200


class Load:
    """A balancer with a constant number of requests in flight; `cold` is the share of servers that just started."""

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
        self.rng, self.now_ms, self.request_count = Random(1), 100_000.0, 0
        self.balancer = Balancer(settings, 1, self.now_ms)
        start_times_ms = [self.now_ms - 1.0 if self.rng.random() < cold else None for _ in range(servers)]
        endpoints = (
            Server(f"equipo-{index}", "ab"[index % 2], index % 7, launched_ms=start_times_ms[index])
            for index in range(servers)
        )
        self.balancer.handle(self.now_ms, EndpointListUpdate(EndpointListForm.SNAPSHOT, tuple(endpoints)))
        self.in_flight: deque[ForwardRequest] = deque()
        self.max_in_flight = int(min(MAX_IN_FLIGHT, servers * IN_FLIGHT_PER_SERVER))
        self.period_started_ms = self.now_ms
        self.refused = 0

    def measure_one(self) -> float:
        """Return the time in seconds to route a request and to handle the outcome of the oldest one."""
        self.now_ms += 1.0
        self.request_count += 1
        name = f"r{self.request_count}"
        started_s = time.perf_counter()
        actions = self.balancer.handle(
            self.now_ms,
            RequestReceived(name, "post" if self.request_count % 2 else "note", self.now_ms + 6000.0),
        )
        if len(self.in_flight) >= self.max_in_flight:
            oldest = self.in_flight.popleft()
            self.balancer.handle(
                self.now_ms,
                AttemptFinished(oldest.id, 0, oldest.server, AttemptResult.OK, 100.0, True, {"queue": 1.0}),
            )
        elapsed_s = time.perf_counter() - started_s
        attempts = [action for action in actions if isinstance(action, ForwardRequest)]
        self.in_flight.extend(attempts)
        self.refused += not attempts
        if self.now_ms - self.period_started_ms >= self.balancer.period_ms:
            self.period_started_ms = self.now_ms
            self.balancer.handle(self.now_ms, TimerFired("period"))
        return elapsed_s


def compare_versions(options: argparse.Namespace, rounds: int = 3) -> dict[str, dict[str, float]]:
    """Return median microseconds by size, of the version in another folder (`before`) and of this one (`now`).

    Processes of the two versions run in turns.
    """
    medians_us: dict[str, dict[str, list[float]]] = {"before": {}, "now": {}}
    root = str(Path(__file__).resolve().parent.parent)
    for _ in range(rounds):
        for name, folder in (("before", options.against), ("now", root)):
            command = [sys.executable, __file__, "--servers", options.servers, "--cold", str(options.cold)]
            completed = subprocess.run(
                [*command, "--requests", str(options.requests)],
                env={**os.environ, "PYTHONPATH": folder},
                capture_output=True,
                text=True,
                check=False,  # the exit code is 1 if MAX_RATIO is exceeded, which is no error here
            )
            if not completed.stdout.strip():
                raise SystemExit(
                    completed.stderr.strip().rpartition("\n")[2]
                    or f"{folder}: the benchmark printed no result"
                )
            for size, row in json.loads(completed.stdout.strip().rpartition("\n")[2]).items():
                medians_us[name].setdefault(size, []).append(row["median_us"])
    return {
        name: {size: statistics.median(row) for size, row in rows.items()}
        for name, rows in medians_us.items()
    }


def main() -> int:
    parser = argparse.ArgumentParser(description=__doc__.split("\n", 1)[0])
    parser.add_argument("--servers", default="10,100,1000,5000")
    parser.add_argument("--requests", type=int, default=3000)
    parser.add_argument("--cold", type=float, default=0.0, help="share of the servers that have just started")
    parser.add_argument("--against", help="folder of another version to compare this one with")
    options = parser.parse_args()
    if options.against:
        print(json.dumps(compare_versions(options)))
        return 0
    sizes = [int(size) for size in options.servers.split(",")]
    loads = {size: Load(size, options.cold) for size in sizes}
    times_s: dict[int, list[float]] = {size: [] for size in sizes}
    for _ in range(options.requests):
        for size, load in loads.items():
            times_s[size].append(load.measure_one())
    size_medians_us = {size: statistics.median(times_s[size]) * 1e6 for size in sizes}
    row = {
        str(size): {
            "median_us": round(size_medians_us[size], 1),
            "p99_us": round(sorted(times_s[size])[int(len(times_s[size]) * 0.99)] * 1e6, 1),
            "ratio": round(size_medians_us[size] / size_medians_us[sizes[0]], 2),
            "refused": loads[size].refused,
        }
        for size in sizes
    }
    print(json.dumps(row))
    return (
        1 if 1000 in size_medians_us and size_medians_us[1000] > MAX_RATIO * size_medians_us[sizes[0]] else 0
    )


if __name__ == "__main__":
    sys.exit(main())
