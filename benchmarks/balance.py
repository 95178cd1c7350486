"""Compares the load balance of sampled server selection with that of a comparison of all servers.

    python benchmarks/balance.py [--servers 100,1000] [--load 0.6,0.85] [--seconds 20] [--nodes 4] [--seed 1]

Simulates servers of different speeds that process one request at a time, and nodes that know only their own requests
and the servers' load reports, in virtual time without sockets. The output is one line of JSON: latencies, the
utilization of the busiest server over the mean, and the share of refused requests.
"""

from __future__ import annotations

import argparse
import heapq
import json
import sys
from collections import deque
from random import Random
from typing import Any

from rosewheel.policy import admission, pool
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

WORK_MS = 100.0  # mean work of a request at a server of speed 1


def run(servers: int, load: float, seconds: float, nodes: int, seed: int, whole: bool) -> dict[str, Any]:
    """Simulate one run; with `whole`, each request compares all servers, whatever the size of the pool."""
    original_size = pool.SMALL_POOL_SIZE
    pool.SMALL_POOL_SIZE = admission.SMALL_POOL_SIZE = 10**9 if whole else original_size  # type: ignore[attr-defined]
    try:
        return _simulate(servers, load, seconds, nodes, Random(seed), seed)
    finally:
        pool.SMALL_POOL_SIZE = admission.SMALL_POOL_SIZE = original_size  # type: ignore[attr-defined]


def _simulate(
    servers: int, load: float, seconds: float, nodes: int, rng: Random, seed: int
) -> dict[str, Any]:
    speeds = [rng.choice((0.6, 1.0, 1.0, 1.6)) for _ in range(servers)]
    rate_per_ms = load * sum(speeds) / WORK_MS
    settings = Settings(
        classes=(
            ServiceClass(
                "read", latency_objective_ms=2000, deadline_ms=8000, idempotency=Idempotency.IDEMPOTENT
            ),
        ),
        balancer_count=nodes,
        max_attempts=3,
    )
    balancers = [Balancer(settings, seed * 100 + index, 0.0) for index in range(nodes)]
    update = EndpointListUpdate(
        EndpointListForm.SNAPSHOT, tuple(Server(str(index)) for index in range(servers))
    )
    for balancer in balancers:
        balancer.handle(0.0, update)
    events: list[tuple[float, int, str, Any]] = [(0.0, 0, "request", None)]
    order = 0
    # By server: node, request, time received in ms and work in ms of each request; the first one is being processed.
    queues: list[deque[tuple[int, str, float, float]]] = [deque() for _ in range(servers)]
    busy_ms = [0.0] * servers
    latencies_ms: list[float] = []
    refused = 0

    def schedule(due_ms: float, kind: str, subject: Any) -> None:
        nonlocal order
        order += 1
        heapq.heappush(events, (due_ms, order, kind, subject))

    for number, balancer in enumerate(balancers):
        schedule(balancer.period_ms * (number + 1) / nodes, "period", number)
    end_ms = seconds * 1000.0
    number = 0
    while events:
        now, _, kind, subject = heapq.heappop(events)
        if kind == "period" and now < end_ms:
            balancers[subject].handle(now, TimerFired("period"))
            schedule(now + balancers[subject].period_ms, "period", subject)
        elif kind == "request" and now < end_ms:
            schedule(now + rng.expovariate(rate_per_ms), "request", None)
            number += 1
            node = rng.randrange(nodes)
            actions = balancers[node].handle(now, RequestReceived(f"r{number}", "read", now + 8000.0))
            attempts = [action for action in actions if isinstance(action, ForwardRequest)]
            refused += not attempts
            for attempt in attempts:
                server = int(attempt.server)
                queues[server].append(
                    (node, attempt.id, now, rng.expovariate(1.0 / WORK_MS) / speeds[server])
                )
                if len(queues[server]) == 1:
                    schedule(now + queues[server][0][3], "done", server)
        elif kind == "done":
            node, id, received_ms, work_ms = queues[subject].popleft()
            busy_ms[subject] += work_ms
            report = {"queue": float(sum(1 for queued in queues[subject] if queued[0] != node))}
            balancers[node].handle(
                now, AttemptFinished(id, 0, str(subject), AttemptResult.OK, now - received_ms, True, report)
            )
            latencies_ms.append(now - received_ms)
            if queues[subject]:
                schedule(now + queues[subject][0][3], "done", subject)
    latencies_ms.sort()
    return {
        "p50_ms": round(latencies_ms[len(latencies_ms) // 2], 1),
        "p99_ms": round(latencies_ms[int(len(latencies_ms) * 0.99)], 1),
        "most_used_over_mean": round(max(busy_ms) / (sum(busy_ms) / servers), 2),
        "refused": round(refused / max(1, number), 4),
    }


def main() -> int:
    parser = argparse.ArgumentParser(description=__doc__.split("\n", 1)[0])
    parser.add_argument("--servers", default="100,1000")
    parser.add_argument("--load", default="0.6,0.85")
    parser.add_argument("--seconds", type=float, default=20.0)
    parser.add_argument("--nodes", type=int, default=4)
    parser.add_argument("--seed", type=int, default=1)
    options = parser.parse_args()
    rows = {}
    for servers in map(int, options.servers.split(",")):
        for load in map(float, options.load.split(",")):
            for whole in (True, False):
                name = f"{servers} at {load:g}, {'whole' if whole else 'sampled'}"
                rows[name] = run(servers, load, options.seconds, options.nodes, options.seed, whole)
                print(name, rows[name], file=sys.stderr)
    print(json.dumps(rows))
    return 0


if __name__ == "__main__":
    sys.exit(main())
