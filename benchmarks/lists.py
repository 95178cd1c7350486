"""Measures how long the update of a long endpoint list blocks a node's event loop.

    python benchmarks/lists.py [--servers 5000] [--lists 20] [--changed 0.02]

Applies snapshots of the list, in each of which a share of the servers has restarted. The node processes a snapshot in
several turns of the event loop. The last line is JSON: the longest turn and the median time of a snapshot in ms, and
the same for a node that processes each snapshot in one turn.
"""

from __future__ import annotations

import argparse
import asyncio
import gc
import json
import statistics
import time
from random import Random
from typing import Any

import orjson
import uvloop

from rosewheel.config.node_config import InitialEndpoints, NodeConfig
from rosewheel.discovery.endpoint_list import parse_endpoints
from rosewheel.discovery.start_times import ServerStartTimes
from rosewheel.node.limits import Limits
from rosewheel.policy.events import EndpointListForm
from rosewheel.policy.settings import Idempotency, ServiceClass, Settings
from rosewheel.proxy.proxy import Proxy


def make_proxy() -> Proxy:
    """Return a proxy that opens no watch."""
    classes = (
        ServiceClass(
            "post", latency_objective_ms=2500, deadline_ms=6000, idempotency=Idempotency.NON_IDEMPOTENT
        ),
    )
    proxy = Proxy(
        NodeConfig(
            name="n0",
            listen_address=("127.0.0.1", 0),
            discovery_address=("127.0.0.1", 1),
            seed=1,
            settings=Settings(classes=classes, warm_up_initial_share=0.2, warm_up_ms=10_000.0),
            limits=Limits(),
            initial_endpoints=InitialEndpoints(),
        )
    )
    proxy.discovery.start = lambda: None  # type: ignore[method-assign]
    return proxy


async def measure(servers: int, lists: int, changed: float) -> dict[str, Any]:
    rng = Random(1)
    rows = [
        {
            "host": f"e{index}",
            "dial": f"127.0.{index // 1000}.1:{9000 + index % 1000}",
            "site": "ab"[index % 2],
            "block": index % 7,
        }
        | {"health": "active", "born_ms": 1000.0}
        for index in range(servers)
    ]
    in_turns, at_once = make_proxy(), make_proxy()
    gc.collect()
    gc.freeze()
    gc.set_threshold(20000, 20, 50)  # as in a node that `run` starts
    turns_s: list[float] = []
    decoding_s: list[float] = []
    lists_s: list[float] = []
    at_once_s: list[float] = []
    for number in range(lists):
        for row in rng.sample(rows, int(servers * changed)):
            row["born_ms"] = 2000.0 + number
        text = orjson.dumps({"seq": number, "whole": True, "hosts": rows})
        started_s = last_s = time.perf_counter()
        entries = orjson.loads(text)["hosts"]
        decoding_s.append(time.perf_counter() - started_s)
        in_turns.discovery.endpoint_list.apply(True, entries)
        while True:
            now_s = time.perf_counter()
            turns_s.append(now_s - last_s)
            last_s = now_s
            if in_turns.discovery.endpoint_list._next_turn is None:
                break
            await asyncio.sleep(0)
        lists_s.append(time.perf_counter() - started_s)
        started_s = time.perf_counter()
        at_once.endpoints.list_updated(
            EndpointListForm.SNAPSHOT, parse_endpoints(orjson.loads(text)["hosts"], ServerStartTimes())
        )
        at_once_s.append(time.perf_counter() - started_s)
        await asyncio.sleep(0)
    assert set(in_turns.node.servers) == set(at_once.node.servers)
    return {
        "servers": servers,
        "lists": lists,
        "longest_turn_ms": round(max(turns_s) * 1e3, 2),
        "longest_text_ms": round(max(decoding_s) * 1e3, 2),
        "p95_turn_ms": round(statistics.quantiles(turns_s, n=20)[-1] * 1e3, 2),
        "median_list_ms": round(statistics.median(lists_s) * 1e3, 2),
        "at_once_longest_ms": round(max(at_once_s) * 1e3, 2),
        "at_once_median_ms": round(statistics.median(at_once_s) * 1e3, 2),
    }


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__.split("\n", 1)[0])
    parser.add_argument("--servers", type=int, default=5000)
    parser.add_argument("--lists", type=int, default=20)
    parser.add_argument("--changed", type=float, default=0.02)
    options = parser.parse_args()
    print(json.dumps(uvloop.run(measure(options.servers, options.lists, options.changed))))


if __name__ == "__main__":
    main()
