"""Compares load balance, wasted attempts and the share served in time at 10, 100 and 1,000 servers (simulated).

    python benchmarks/sizes.py [--seeds 2] [--jobs 3] [--plot sizes.png] [SCENARIO ...]

Simulates the scenarios `size-10`, `size-100` and `size-1000` under each seed: 2, 10 and 100 nodes at two thirds of the
servers' capacity, with slow and failed servers and a deploy. Prints a table of the means over the seeds; the last line
is JSON. The exit code is 1 if a rule was violated.
"""

from __future__ import annotations

import argparse
import json
import multiprocessing
import statistics
import sys
from concurrent.futures import ProcessPoolExecutor
from pathlib import Path
from typing import Any

from rosewheel.lab import plan as plans
from rosewheel.lab import scenario as scenarios
from rosewheel.lab.simulation.simulate import simulate

PLOTTED = (  # key and title
    ("service", "service"),
    ("worst_10_s", "service, worst 10 s"),
    ("wasted", "wasted attempts"),
    ("balance", "most used over mean"),
)


def run(name: str, seed: int) -> dict[str, Any]:
    summary = simulate(plans.make(scenarios.load(name), seed))
    tier = next(iter(summary["tiers"].values()))
    return {
        "scenario": name,
        "seed": seed,
        "ok": summary["ok"],
        "service": summary["service"],
        "worst_10_s": summary["worst_10_s"],
        "wasted": tier["wasted"],
        "balance": tier["balance"],
        "tipped": summary["fell"],
        "p50_ms": {key: row["p50_ms"] for key, row in summary["classes"].items()},
        "digest": summary["digest"],
    }


def plot(rows: dict[str, dict[str, float]], path: Path) -> None:
    import matplotlib as mpl

    mpl.use("Agg")
    import matplotlib.pyplot as plt

    figure, axes = plt.subplots(1, len(PLOTTED), figsize=(3.0 * len(PLOTTED), 2.6))
    for axis, (key, title) in zip(axes, PLOTTED, strict=True):
        bars = axis.bar(list(rows), [row[key] for row in rows.values()], color="#6d9eeb")
        axis.bar_label(bars, fmt="%.3f", fontsize=8)
        axis.set_title(title, fontsize=9)
        axis.tick_params(labelsize=8)
        axis.margins(y=0.15)
    figure.tight_layout()
    figure.savefig(path, dpi=85)


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__.split("\n", 1)[0])
    parser.add_argument("names", nargs="*", default=["size-10", "size-100", "size-1000"])
    parser.add_argument("--seeds", type=int, default=2)
    parser.add_argument("--jobs", type=int, default=3)
    parser.add_argument("--plot", type=Path)
    options = parser.parse_args()
    # The largest scenario first: starting it last would lengthen the whole benchmark.
    items = [(name, seed) for name in reversed(options.names) for seed in range(1, options.seeds + 1)]
    with ProcessPoolExecutor(options.jobs, mp_context=multiprocessing.get_context("spawn")) as pool:
        runs = list(pool.map(run, *zip(*items, strict=True)))
    rows: dict[str, dict[str, float]] = {}
    for name in options.names:
        own_runs = [run for run in runs if run["scenario"] == name]
        rows[name] = {
            key: round(statistics.fmean(run[key] for run in own_runs), 4)
            for key in ("service", "worst_10_s", "wasted", "balance", "tipped")
        }
    print(f"{'scenario':12}  service  worst 10 s  wasted  most over mean  tipped")
    for name, row in rows.items():
        print(
            f"{name:12}  {row['service']:7.3f}  {row['worst_10_s']:10.3f}  {row['wasted']:6.3f}  "
            f"{row['balance']:14.2f}  {row['tipped']:6.1f}"
        )
    if options.plot is not None:
        plot(rows, options.plot)
    ok = all(run["ok"] for run in runs)
    print(json.dumps({"ok": ok, "rows": rows, "plays": runs}))
    sys.exit(0 if ok else 1)


if __name__ == "__main__":
    main()
