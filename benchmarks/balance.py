"""How well a sampled pick shares load out, against a look at every server.

    python benchmarks/balance.py [--servers 100,1000] [--load 0.6,0.85] [--seconds 20] [--nodes 4] [--seed 1]

Servers of unlike speed, one call at a time each; nodes that see only their own calls and each server's report. An
event queue, no sockets. One JSON line: latency, and the largest share of a server's time in use over the mean.
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

WORK_MS = 100.0


def play(servers: int, load: float, seconds: float, nodes: int, seed: int, whole: bool) -> dict[str, Any]:
    """One run; `whole`: every server is looked at for each request, whatever the size of the pool."""
    kept = pool.SMALL_POOL_SIZE
    pool.SMALL_POOL_SIZE = admission.SMALL_POOL_SIZE = 10**9 if whole else kept  # type: ignore[attr-defined]
    try:
        return _play(servers, load, seconds, nodes, Random(seed), seed)
    finally:
        pool.SMALL_POOL_SIZE = admission.SMALL_POOL_SIZE = kept  # type: ignore[attr-defined]


def _play(servers: int, load: float, seconds: float, nodes: int, rng: Random, seed: int) -> dict[str, Any]:
    speeds = [rng.choice((0.6, 1.0, 1.0, 1.6)) for _ in range(servers)]
    per_ms = load * sum(speeds) / WORK_MS
    settings = Settings(
        classes=(
            ServiceClass(
                "read", latency_objective_ms=2000, deadline_ms=8000, idempotency=Idempotency.IDEMPOTENT
            ),
        ),
        balancer_count=nodes,
        max_attempts=3,
    )
    fronts = [Balancer(settings, seed * 100 + at, 0.0) for at in range(nodes)]
    listed = EndpointListUpdate(EndpointListForm.SNAPSHOT, tuple(Server(str(at)) for at in range(servers)))
    for front in fronts:
        front.handle(0.0, listed)
    events: list[tuple[float, int, str, Any]] = [(0.0, 0, "ask", None)]
    order = 0
    queues: list[deque[tuple[int, str, float, float]]] = [deque() for _ in range(servers)]
    busy = [0.0] * servers
    latencies: list[float] = []
    refused = 0

    def push(at: float, kind: str, what: Any) -> None:
        nonlocal order
        order += 1
        heapq.heappush(events, (at, order, kind, what))

    for number, front in enumerate(fronts):
        push(front.period_ms * (number + 1) / nodes, "period", number)
    end = seconds * 1000.0
    number = 0
    while events:
        now, _, kind, what = heapq.heappop(events)
        if kind == "period" and now < end:
            fronts[what].handle(now, TimerFired("period"))
            push(now + fronts[what].period_ms, "period", what)
        elif kind == "ask" and now < end:
            push(now + rng.expovariate(per_ms), "ask", None)
            number += 1
            node = rng.randrange(nodes)
            acts = fronts[node].handle(now, RequestReceived(f"r{number}", "read", now + 8000.0))
            sends = [act for act in acts if isinstance(act, ForwardRequest)]
            refused += not sends
            for act in sends:
                at = int(act.server)
                queues[at].append((node, act.id, now, rng.expovariate(1.0 / WORK_MS) / speeds[at]))
                if len(queues[at]) == 1:
                    push(now + queues[at][0][3], "done", at)
        elif kind == "done":
            node, id, asked, work = queues[what].popleft()
            busy[what] += work
            report = {"queue": float(sum(1 for row in queues[what] if row[0] != node))}
            fronts[node].handle(
                now, AttemptFinished(id, 0, str(what), AttemptResult.OK, now - asked, True, report)
            )
            latencies.append(now - asked)
            if queues[what]:
                push(now + queues[what][0][3], "done", what)
    latencies.sort()
    return {
        "p50_ms": round(latencies[len(latencies) // 2], 1),
        "p99_ms": round(latencies[int(len(latencies) * 0.99)], 1),
        "most_used_over_mean": round(max(busy) / (sum(busy) / servers), 2),
        "refused": round(refused / max(1, number), 4),
    }


def main() -> int:
    parser = argparse.ArgumentParser(description=__doc__.split("\n", 1)[0])
    parser.add_argument("--servers", default="100,1000")
    parser.add_argument("--load", default="0.6,0.85")
    parser.add_argument("--seconds", type=float, default=20.0)
    parser.add_argument("--nodes", type=int, default=4)
    parser.add_argument("--seed", type=int, default=1)
    given = parser.parse_args()
    rows = {}
    for servers in map(int, given.servers.split(",")):
        for load in map(float, given.load.split(",")):
            for whole in (True, False):
                name = f"{servers} at {load:g}, {'whole' if whole else 'sampled'}"
                rows[name] = play(servers, load, given.seconds, given.nodes, given.seed, whole)
                print(name, rows[name], file=sys.stderr)
    print(json.dumps(rows))
    return 0


if __name__ == "__main__":
    sys.exit(main())
