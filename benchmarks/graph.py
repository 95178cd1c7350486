"""Whether retries multiply in a graph of services: trouble at the bottom, by shape and depth, in virtual time.

    python benchmarks/graph.py [--shapes chain,diamonds] [--depths 1,5,10,20] [--troubles none,errors,slow,half]
                               [--seeds 1,2] [--rate 300] [--effect safe] [--jobs 2]

Shapes: `chain`, each service calls the next; `diamonds`, two services at each level between the first and the last,
each calling either of the two below it half the time, the last reached on all ways, twice a request; `doubling`, the
same with every call made, so that the last is reached 2^(depth - 2) times; `fan`, the first calls eight services which
all call the last. Every visit is 10 ms of work at a service of eight equipos for each visit a request; ten seconds of
trouble begin at 10 s of 30. Columns, of what was planned in those ten seconds unless said: `bottom`, calls that came
to equipos of the last service over those that would have come without any trouble; `widest`, the same of the service
with the most; `tries`, of a client for each wish; `service` in the ten seconds, `worst 10 s`, and of the whole run.
One line of a table for each run's means over the seeds; the last line is JSON.
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

WORK_MS = 10.0
EQUIPOS = 8  # for each visit of a request
AT_S, FOR_S, SECONDS = 10.0, 10.0, 30.0
FAN = 8
TROUBLES: dict[str, dict[str, Any]] = {
    "none": {},
    "errors": {"kind": "errors", "size": 0.9},
    "all-errors": {"kind": "errors", "size": 1.0},
    "slow": {"kind": "slow", "size": 6.0},
    "half": {"kind": "vanish", "part": 0.5},
}


def calls_of(shape: str, depth: int) -> dict[str, list[tuple[str, float]]]:
    """By service: whom it calls and how often; the first first, the last last."""
    if depth == 1:
        return {"bottom": []}
    if shape == "chain" or depth == 2:
        names = [*(f"level-{at}" for at in range(1, depth)), "bottom"]
        return {name: [(below, 1.0)] for name, below in itertools.pairwise(names)} | {"bottom": []}
    if shape == "fan":
        middle = [f"side-{at}" for at in range(FAN)]
        return (
            {"top": [(name, 1.0) for name in middle]}
            | {name: [("bottom", 1.0)] for name in middle}
            | {"bottom": []}
        )
    rows: dict[str, list[tuple[str, float]]] = {"top": [("left-2", 1.0), ("right-2", 1.0)]}
    part = 0.5 if shape == "diamonds" else 1.0
    for level in range(2, depth):
        below = [(f"left-{level + 1}", part), (f"right-{level + 1}", part)]
        for side in ("left", "right"):
            rows[f"{side}-{level}"] = below if level + 1 < depth else [("bottom", 1.0)]
    return rows | {"bottom": []}


def made(shape: str, depth: int, trouble: str, rate: float, effect: str) -> Scenario:
    calls = calls_of(shape, depth)
    names = list(calls)
    edges = tuple(tuple((names.index(to), times) for to, times in calls[name]) for name in names)
    visits = service_graph.mean_visits(edges)
    aim = 2500.0
    rows = {
        "name": f"{shape}-{depth}-{trouble}",
        "seconds": SECONDS,
        "class": [
            {
                "name": "ver",
                "share": 1,
                "work_ms": WORK_MS * len(names),
                "effect": effect,
                "group": "cell" if effect == "keyed" else "all",
                "aim_ms": aim,
            }
        ],
        "clients": {"rate_per_s": rate},
        "nodes": {"count": 4},
        "service": [
            {
                "name": name,
                "work": 1.0 / len(names),
                "kind": [{"name": "a", "count": round(EQUIPOS * visits[at])}],
                "call": [{"to": to, "times": times} for to, times in calls[name]],
            }
            for at, name in enumerate(names)
        ],
        "trouble": [{**TROUBLES[trouble], "service": "bottom", "at_s": AT_S, "for_s": FOR_S}]
        if TROUBLES[trouble]
        else [],
    }
    return msgspec.convert(rows, Scenario)


def run(item: tuple[str, int, str, int, float, str]) -> dict[str, Any]:
    shape, depth, trouble, seed, rate, effect = item
    one = plan.make(made(shape, depth, trouble, rate, effect), seed)
    begin, end = AT_S * 1000.0, (AT_S + FOR_S) * 1000.0
    with tempfile.TemporaryDirectory() as folder:
        played = Simulation(one, Path(folder))
        summary = played.run()
        came = [0] * len(one.edges)
        for row in records.read_records(Path(folder) / "equipos.jsonl"):
            if row["e"] == "job" and begin <= row["came"] < end:
                came[row["tier"]] += 1
        wishes = [
            row
            for row in records.read_records(Path(folder) / "load.jsonl")
            if row["e"] == "op" and begin <= row["at"] < end
        ]
    asked = [len(wishes) * visits for visits in service_graph.mean_visits(one.edges)]
    found = [got / wanted for got, wanted in zip(came, asked, strict=True)]
    return {
        "shape": shape,
        "depth": depth,
        "trouble": trouble,
        "seed": seed,
        "ways": service_graph.mean_visits(one.edges)[-1],
        "bottom": found[-1],
        "widest": max(found),
        "levels": [round(value, 3) for value in found],
        "tries": sum(len(row["tries"]) for row in wishes) / len(wishes),
        "service_then": played.statistics.service(begin, end),
        "worst_10_s": summary["worst_10_s"],
        "service": summary["service"],
        "ok": summary["ok"],
        "digest": summary["digest"],
        "wall_s": summary["wall_s"],
    }


def lines(rows: list[dict[str, Any]]) -> Iterator[str]:
    yield "| shape | depth | trouble | bottom | widest | tries | service then | worst 10 s | service | rules |"
    yield "| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |"
    for key in dict.fromkeys((row["shape"], row["depth"], row["trouble"]) for row in rows):
        mine = [row for row in rows if (row["shape"], row["depth"], row["trouble"]) == key]
        means = [
            f"{statistics.fmean(row[name] for row in mine):.2f}"
            for name in ("bottom", "widest", "tries", "service_then", "worst_10_s", "service")
        ]
        rules = "kept" if all(row["ok"] for row in mine) else "BROKEN"
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
    given = parser.parse_args()
    items = [
        (shape, int(depth), trouble, int(seed), given.rate, given.effect)
        for shape in given.shapes.split(",")
        for depth in given.depths.split(",")
        for trouble in given.troubles.split(",")
        for seed in given.seeds.split(",")
    ]
    with ProcessPoolExecutor(given.jobs, mp_context=get_context("spawn")) as pool:
        rows = list(pool.map(run, items))
    print("\n".join(lines(rows)))
    print(json.dumps({"runs": rows}))


if __name__ == "__main__":
    main()
