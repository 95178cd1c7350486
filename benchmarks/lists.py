"""For how long a long list of equipos holds up a node's event loop.

    python benchmarks/lists.py [--servers 5000] [--lists 20] [--changed 0.02]

A whole list again and again, with a share of its entries restarted each time; between its parts the loop turns. The
last line is JSON: the longest turn and the median list in ms, against one turn that takes a whole list at once.
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


def relay() -> Proxy:
    classes = (
        ServiceClass(
            "post", latency_objective_ms=2500, deadline_ms=6000, idempotency=Idempotency.NON_IDEMPOTENT
        ),
    )
    made = Proxy(
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
    made.discovery.start = lambda: None  # type: ignore[method-assign]
    return made


async def measure(servers: int, lists: int, changed: float) -> dict[str, Any]:
    rng = Random(1)
    rows = [
        {"host": f"e{at}", "dial": f"127.0.0.1:{9000 + at % 1000}", "site": "ab"[at % 2], "block": at % 7}
        | {"health": "active", "born_ms": 1000.0}
        for at in range(servers)
    ]
    node, whole = relay(), relay()
    gc.collect()
    gc.freeze()
    gc.set_threshold(20000, 20, 50)  # as `run` has it
    turns: list[float] = []
    texts: list[float] = []
    each: list[float] = []
    at_once: list[float] = []
    for number in range(lists):
        for row in rng.sample(rows, int(servers * changed)):
            row["born_ms"] = 2000.0 + number
        text = orjson.dumps({"seq": number, "whole": True, "hosts": rows})
        began = last = time.perf_counter()
        listed = orjson.loads(text)["hosts"]
        texts.append(time.perf_counter() - began)
        node.discovery.endpoint_list.apply(True, listed)
        while True:
            now = time.perf_counter()
            turns.append(now - last)
            last = now
            if node.discovery.endpoint_list._next_turn is None:
                break
            await asyncio.sleep(0)
        each.append(time.perf_counter() - began)
        began = time.perf_counter()
        whole.endpoints.list_updated(
            EndpointListForm.SNAPSHOT, parse_endpoints(orjson.loads(text)["hosts"], ServerStartTimes())
        )
        at_once.append(time.perf_counter() - began)
        await asyncio.sleep(0)
    assert set(node.node.servers) == set(whole.node.servers)
    return {
        "servers": servers,
        "lists": lists,
        "longest_turn_ms": round(max(turns) * 1e3, 2),
        "longest_text_ms": round(max(texts) * 1e3, 2),
        "p95_turn_ms": round(statistics.quantiles(turns, n=20)[-1] * 1e3, 2),
        "median_list_ms": round(statistics.median(each) * 1e3, 2),
        "at_once_longest_ms": round(max(at_once) * 1e3, 2),
        "at_once_median_ms": round(statistics.median(at_once) * 1e3, 2),
    }


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__.split("\n", 1)[0])
    parser.add_argument("--servers", type=int, default=5000)
    parser.add_argument("--lists", type=int, default=20)
    parser.add_argument("--changed", type=float, default=0.02)
    given = parser.parse_args()
    print(json.dumps(uvloop.run(measure(given.servers, given.lists, given.changed))))


if __name__ == "__main__":
    main()
