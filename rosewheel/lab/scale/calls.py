"""Calls through the real nodes and, for comparison, straight to the equipos: a process of its own, and what it found.

What a node adds is the caller's time less the equipo's own, from the request's first byte there to its answer. A part
of it is the emulator's and the caller's, which the calls straight to equipos show by themselves.
"""

from __future__ import annotations

import asyncio
import contextlib
from pathlib import Path
from typing import Any

import msgspec
import numpy as np

from rosewheel.config.checked import convert, tables
from rosewheel.lab import plan as plans
from rosewheel.lab.load import Load
from rosewheel.lab.records import Writer, read
from rosewheel.lab.scale import children
from rosewheel.lab.scenario import Scenario

DIRECT = "direct"  # how the names of calls past the nodes begin
DIRECT_PART = 4  # one such way for so many real nodes
CLASS = "read"
# Equipos with room for all of it: what is measured is the way there and back.
SCENARIO = """
name = "scale"
seconds = 60

[[class]]
name = "read"
share = 1.0
work_ms = 5
cv = 0
aim_ms = 1000
give_up_ms = 3000
effect = "safe"

[clients]
rate_per_s = 10
retries = 0

[[tier]]
name = "equipos"
work = 1.0
connections_per_core = 1000
connection_tax = 0
handshake_ms = 0
probe_ms = 0

[[tier.kind]]
name = "equipo"
count = 1
cores = 16
slots = 64
queue = 8
pause_ms = 0
"""


def scenario(seconds: float, rate_per_s: float, equipos: int) -> Scenario:
    """The calls of a run: their rate over all real nodes and direct ways, and how many equipos are asked."""
    rows = tables(SCENARIO, "scale")
    rows["seconds"] = seconds
    rows["clients"]["rate_per_s"] = rate_per_s
    rows["tier"][0]["kind"][0]["count"] = equipos
    return convert(rows, Scenario, "scale")


def added(folder: Path, quiet_s: float) -> dict[str, Any]:
    """What the records of a run tell: calls asked and served, and the ms added to those that took one try before
    `quiet_s`, when troubles begin. A node that just started, or was stopped, tells of its start."""
    own = {
        row["rid"]: row["t"] - row["came"]
        for row in read(folder / "equipos.jsonl")
        if row["e"] == "job" and row["verdict"] == "served"
    }
    ways: dict[str, list[float]] = {"node": [], DIRECT: []}
    asked = served = 0
    for row in read(folder / "load.jsonl"):
        if row["e"] != "op":
            continue
        one = row["tries"][0]
        asked += 1
        served += one["status"] == 200
        if row["at"] >= quiet_s * 1000.0:
            continue
        if one["status"] == 200 and len(row["tries"]) == 1 and one["rid"] in own:
            way = DIRECT if one["node"].startswith(DIRECT) else "node"
            ways[way].append(one["ended"] - one["sent"] - own[one["rid"]])
    told: dict[str, Any] = {"asked": asked, "served": served}
    for way, times in ways.items():
        quantiles = np.round(np.percentile(times, (50, 99)), 2).tolist() if times else [None, None]
        told[way] = {"calls": len(times), "p50_ms": quantiles[0], "p99_ms": quantiles[1]}
    if ways["node"] and ways[DIRECT]:
        told["added_p50_ms"] = round(told["node"]["p50_ms"] - told[DIRECT]["p50_ms"], 2)
        told["added_p99_ms"] = round(told["node"]["p99_ms"] - told[DIRECT]["p99_ms"], 2)
    return told


# -------------------------------------------------------------------- process


async def main(given: dict[str, Any]) -> None:
    """The callers as a process. `given`: `scenario`, `seed`, `targets` (name -> address) and `folder`."""
    plan = plans.make(msgspec.convert(given["scenario"], Scenario), given["seed"])
    records = Writer(Path(given["folder"]) / "load.jsonl")
    targets = {name: (str(host), int(port)) for name, (host, port) in given["targets"].items()}
    load: Load | None = None
    running: asyncio.Task[None] | None = None

    async def begin() -> dict[str, Any]:
        return {"arrivals": len(plan.arrivals)}

    async def go(load: Load, t0: float) -> None:
        with contextlib.suppress(asyncio.CancelledError):
            await load.run(t0)

    def handle(row: dict[str, Any]) -> dict[str, Any] | None:
        nonlocal load, running
        if row["do"] == "go":
            load = Load(plan, targets, records)
            running = asyncio.get_running_loop().create_task(go(load, row["t0"]))
        elif load is not None:
            load.stop()
            records.flush()
            return {"open": len(load.open), "lag_max_ms": round(load.lag_max_ms, 1)}
        return None

    await children.serve(handle, begin)
    if running is not None:
        running.cancel()
        await running
    records.close()


if __name__ == "__main__":
    children.run(main)
