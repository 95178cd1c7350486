"""Measures how far retries multiply in a graph of services while its last service fails, in virtual time.

    python benchmarks/graph.py [--shapes chain,diamonds] [--depths 1,5,10,20] [--troubles none,errors,slow,half]
                               [--seeds 1,2] [--rate 300] [--effect safe] [--jobs 2]

Shapes:

- `chain`: each service calls the next one.
- `diamonds`: two services on each level between the first and the last; each calls either one of the next level with a
  probability of one half. A request reaches the last service twice.
- `doubling`: the same, but each calls both, so that a request reaches the last service 2^(depth - 2) times.
- `fan`: the first service calls eight services, each of which calls the last.

Each call is 10 ms of work. A service has eight servers for each call that a request makes to it. The fault lasts from
10 s to 20 s of a run of 30 s. Columns, of the requests planned during the fault unless said otherwise:

- `bottom`: calls that reached servers of the last service, over the number expected without a fault.
- `widest`: the same of the service where it is highest.
- `tries`: attempts of a client per request.
- `service then`: share of the offered weight that was served in time. `worst 10 s` and `service`: the same in the worst
  10 s and in the whole run.

The table has a row of means over the seeds for each shape, depth and fault; the last line is JSON.
"""

from __future__ import annotations

import argparse
import itertools
import json
import statistics
import tempfile
from collections.abc import Iterator
from concurrent.futures import ProcessPoolExecutor
from multiprocessing import get_context
from pathlib import Path
from typing import Any

import msgspec

from rosewheel.lab import plan, records, service_graph
from rosewheel.lab.scenario import Scenario
from rosewheel.lab.simulation.simulate import Simulation

WORK_MS = 10.0  # of each call
SERVERS_PER_VISIT = 8  # of a service, for each call that a request makes to it
FAULT_START_S, FAULT_DURATION_S, RUN_S = 10.0, 10.0, 30.0
FAN_WIDTH = 8
FAULTS: dict[str, dict[str, Any]] = {
    "none": {},
    "errors": {"kind": "errors", "size": 0.9},
    "all-errors": {"kind": "errors", "size": 1.0},
    "slow": {"kind": "slow", "size": 6.0},
    "half": {"kind": "vanish", "part": 0.5},
}


def service_calls(shape: str, depth: int) -> dict[str, list[tuple[str, float]]]:
    """Return, by service, the services that it calls and how often; the order is from the first to the last service."""
    if depth == 1:
        return {"bottom": []}
    if shape == "chain" or depth == 2:
        names = [*(f"level-{level}" for level in range(1, depth)), "bottom"]
        return {name: [(below, 1.0)] for name, below in itertools.pairwise(names)} | {"bottom": []}
    if shape == "fan":
        middle = [f"side-{index}" for index in range(FAN_WIDTH)]
        return (
            {"top": [(name, 1.0) for name in middle]}
            | {name: [("bottom", 1.0)] for name in middle}
            | {"bottom": []}
        )
    calls: dict[str, list[tuple[str, float]]] = {"top": [("left-2", 1.0), ("right-2", 1.0)]}
    times = 0.5 if shape == "diamonds" else 1.0
    for level in range(2, depth):
        below = [(f"left-{level + 1}", times), (f"right-{level + 1}", times)]
        for side in ("left", "right"):
            calls[f"{side}-{level}"] = below if level + 1 < depth else [("bottom", 1.0)]
    return calls | {"bottom": []}


def make_scenario(shape: str, depth: int, fault: str, rate: float, effect: str) -> Scenario:
    calls = service_calls(shape, depth)
    names = list(calls)
    edges = tuple(tuple((names.index(to), times) for to, times in calls[name]) for name in names)
    visits = service_graph.mean_visits(edges)
    latency_objective_ms = 2500.0
    tables = {
        "name": f"{shape}-{depth}-{fault}",
        "seconds": RUN_S,
        "class": [
            {
                "name": "ver",
                "share": 1,
                "work_ms": WORK_MS * len(names),
                "effect": effect,
                "group": "cell" if effect == "keyed" else "all",
                "aim_ms": latency_objective_ms,
            }
        ],
        "clients": {"rate_per_s": rate},
        "nodes": {"count": 4},
        "service": [
            {
                "name": name,
                "work": 1.0 / len(names),
                "kind": [{"name": "a", "count": round(SERVERS_PER_VISIT * visits[index])}],
                "call": [{"to": to, "times": times} for to, times in calls[name]],
            }
            for index, name in enumerate(names)
        ],
        "trouble": [{**FAULTS[fault], "service": "bottom", "at_s": FAULT_START_S, "for_s": FAULT_DURATION_S}]
        if FAULTS[fault]
        else [],
    }
    return msgspec.convert(tables, Scenario)


def run(item: tuple[str, int, str, int, float, str]) -> dict[str, Any]:
    shape, depth, fault, seed, rate, effect = item
    run_plan = plan.make(make_scenario(shape, depth, fault, rate, effect), seed)
    begin_ms, end_ms = FAULT_START_S * 1000.0, (FAULT_START_S + FAULT_DURATION_S) * 1000.0
    with tempfile.TemporaryDirectory() as folder:
        simulation = Simulation(run_plan, Path(folder))
        summary = simulation.run()
        call_counts = [0] * len(run_plan.edges)
        for row in records.read_records(Path(folder) / "equipos.jsonl"):
            if row["e"] == "job" and begin_ms <= row["came"] < end_ms:
                call_counts[row["tier"]] += 1
        requests = [
            row
            for row in records.read_records(Path(folder) / "load.jsonl")
            if row["e"] == "op" and begin_ms <= row["at"] < end_ms
        ]
    expected_counts = [len(requests) * visits for visits in service_graph.mean_visits(run_plan.edges)]
    ratios = [count / expected for count, expected in zip(call_counts, expected_counts, strict=True)]
    return {
        "shape": shape,
        "depth": depth,
        "trouble": fault,
        "seed": seed,
        "ways": service_graph.mean_visits(run_plan.edges)[-1],
        "bottom": ratios[-1],
        "widest": max(ratios),
        "levels": [round(value, 3) for value in ratios],
        "tries": sum(len(row["tries"]) for row in requests) / len(requests),
        "service_then": simulation.statistics.service(begin_ms, end_ms),
        "worst_10_s": summary["worst_10_s"],
        "service": summary["service"],
        "ok": summary["ok"],
        "digest": summary["digest"],
        "wall_s": summary["wall_s"],
    }


def table_lines(rows: list[dict[str, Any]]) -> Iterator[str]:
    yield "| shape | depth | trouble | bottom | widest | tries | service then | worst 10 s | service | rules |"
    yield "| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |"
    for key in dict.fromkeys((row["shape"], row["depth"], row["trouble"]) for row in rows):
        own_rows = [row for row in rows if (row["shape"], row["depth"], row["trouble"]) == key]
        means = [
            f"{statistics.fmean(row[name] for row in own_rows):.2f}"
            for name in ("bottom", "widest", "tries", "service_then", "worst_10_s", "service")
        ]
        rules = "kept" if all(row["ok"] for row in own_rows) else "BROKEN"
        yield f"| {key[0]} | {key[1]} | {key[2]} | {' | '.join(means)} | {rules} |"


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__.split("\n", 1)[0])
    parser.add_argument("--shapes", default="chain,diamonds")
    parser.add_argument("--depths", default="1,5,10,20")
    parser.add_argument("--troubles", default="none,errors,slow,half")
    parser.add_argument("--seeds", default="1,2")
    parser.add_argument("--rate", type=float, default=300.0)
    parser.add_argument("--effect", choices=("safe", "keyed", "unsafe"), default="safe")
    parser.add_argument("--jobs", type=int, default=2)
    options = parser.parse_args()
    items = [
        (shape, int(depth), fault, int(seed), options.rate, options.effect)
        for shape in options.shapes.split(",")
        for depth in options.depths.split(",")
        for fault in options.troubles.split(",")
        for seed in options.seeds.split(",")
    ]
    with ProcessPoolExecutor(options.jobs, mp_context=get_context("spawn")) as pool:
        rows = list(pool.map(run, items))
    print("\n".join(table_lines(rows)))
    print(json.dumps({"runs": rows}))


if __name__ == "__main__":
    main()
