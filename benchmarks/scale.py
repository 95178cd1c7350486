"""What control costs and how long a change takes, by the size of the fleet: a table, lines and a plot.

    python benchmarks/scale.py [--sizes 60,135,270,540,1080] [--repeat 2] [--out benchmarks/results] [--plot FILE]

Plays `rosewheel scale` of each size under each seed, one run at a time, without troubles and with the same number of
changes. Raw rows go to `scale-rows.csv` (one for each run, phase and role) and `scale-runs.csv` (one for each run). Of
each measure a line by least squares is told: slope and intercept with their standard errors, and R squared, which says
whether a line is the form at all. The last line is JSON; it ends with 1 where a run failed or left a node stale.
"""

from __future__ import annotations

import argparse
import csv
import json
import subprocess
import sys
import tempfile
from collections.abc import Callable
from pathlib import Path
from typing import Any

from scipy import stats

Row = dict[str, Any]

# What is fitted: its name, its unit, and where it stands.
ROWS: tuple[tuple[str, str, str, str, str, float], ...] = (
    ("a node's CPU", "core", "hollow", "changes", "cpu_each", 1.0),
    ("a node's traffic", "KB/s", "hollow", "changes", "worst_bytes_s", 1e-3),
    ("writer: CPU", "core", "control-writer", "changes", "cpu_each", 1.0),
    ("writer: bytes out", "KB/s", "control-writer", "changes", "out_bytes_s", 1e-3),
    ("writer: bytes in", "KB/s", "control-writer", "changes", "in_bytes_s", 1e-3),
    ("writer: memory", "MB", "control-writer", "changes", "rss_mb_each", 1.0),
    ("follower: CPU", "core", "control-follower", "changes", "cpu_each", 1.0),
    ("follower: bytes out", "KB/s", "control-follower", "changes", "out_bytes_s", 1e-3),
    ("writer: CPU at rest", "core", "control-writer", "rest", "cpu_each", 1.0),
    ("discovery: CPU", "core", "discovery", "changes", "cpu_each", 1.0),
)
RUNS = (
    ("in force everywhere, median", "s", "config_p50_s"),
    ("acknowledged by all, median", "s", "acked_p50_s"),
    ("acknowledged by all, most", "s", "acked_most_s"),
    ("list heard everywhere, median", "s", "lists_p50_s"),
    ("a change taken by the writer, median", "s", "put_p50_s"),
)
SHOWN = (
    "writer: CPU",
    "writer: bytes out",
    "writer: memory",
    "a node's CPU",
    "a node's traffic",
    "acknowledged by all, median",
)


def play(nodes: int, seed: int, given: argparse.Namespace) -> tuple[Row, list[Row]]:
    """One run: its summary and its rows; RuntimeError where it failed."""
    with tempfile.TemporaryDirectory(prefix="rosewheel-scale-") as folder:
        options = {
            "--nodes": nodes,
            "--real": given.real,
            "--services": min(25, nodes),
            "--seconds": given.seconds,
            "--seed": seed,
            "--changes": given.changes,
            "--calls": 5,
            "--troubles": "none",
            "--out": folder,
        }
        command = [sys.executable, "-m", "rosewheel.cli", "scale"]
        for key, value in options.items():
            command += [key, str(value)]
        done = subprocess.run(command, capture_output=True, text=True)
        lines = done.stdout.splitlines()
        if not lines:
            raise RuntimeError(done.stderr.strip() or f"ended with {done.returncode}")
        with (Path(folder) / "rows.csv").open(newline="") as file:
            rows: list[Row] = list(csv.DictReader(file))
        return json.loads(lines[-1]), rows


def run_row(told: Row) -> Row:
    row: Row = {key: told[key] for key in ("nodes", "real", "services", "seconds", "seed", "load_1min", "ok")}
    row["stale"] = next(one["measured"] for one in told["targets"] if one["target"].startswith("stale"))
    for kind in ("lists", "config", "acked"):
        for key, value in told[kind]["all"].items():
            row[f"{kind}_{key}"] = value
    for key, value in told["puts"].items():
        row[f"put_{key}"] = value
    return row


def line(points: list[tuple[float, float]]) -> Row:
    """The line through these by least squares; spreads are standard errors."""
    fit = stats.linregress([at for at, _ in points], [value for _, value in points])
    return {
        "slope": float(fit.slope),
        "slope_se": float(fit.stderr),
        "intercept": float(fit.intercept),
        "intercept_se": float(fit.intercept_stderr),
        "r2": float(fit.rvalue) ** 2,
        "points": len(points),
    }


def measures(runs: list[Row], rows: list[Row]) -> dict[str, tuple[str, list[tuple[float, float]]]]:
    """By name: the unit, and (nodes, value) of each run."""
    told: dict[str, tuple[str, list[tuple[float, float]]]] = {}
    for name, unit, role, phase, key, factor in ROWS:
        mine = [row for row in rows if (row["role"], row["phase"]) == (role, phase)]
        told[name] = (unit, [(float(row["nodes"]), float(row[key]) * factor) for row in mine])
    for name, unit, key in RUNS:
        told[name] = (unit, [(float(row["nodes"]), float(row[key])) for row in runs if row[key] is not None])
    return told


def plot(found: dict[str, tuple[str, list[tuple[float, float]]]], fits: dict[str, Row], path: Path) -> None:
    import matplotlib as mpl

    mpl.use("Agg")
    import matplotlib.pyplot as plt

    figure, axes = plt.subplots(2, 3, figsize=(10.5, 5.6))
    for axis, name in zip(axes.flat, SHOWN, strict=True):
        unit, points = found[name]
        sizes = [at for at, _ in points]
        axis.plot(sizes, [value for _, value in points], "o", ms=4, color="#3d6fb6")
        fit = fits[name]
        ends = [min(sizes), max(sizes)]
        axis.plot(ends, [fit["intercept"] + fit["slope"] * at for at in ends], "-", lw=1, color="#c2553a")
        axis.set_title(f"{name} (R² {fit['r2']:.2f})", fontsize=9)
        axis.set_xlabel("nodes", fontsize=8)
        axis.set_ylabel(unit, fontsize=8)
        axis.set_ylim(bottom=0)
        axis.tick_params(labelsize=8)
    figure.tight_layout()
    figure.savefig(path, dpi=90)


def write(path: Path, rows: list[Row]) -> None:
    with path.open("w", newline="") as file:
        writer = csv.DictWriter(file, list(rows[0]), lineterminator="\n")
        writer.writeheader()
        writer.writerows(rows)


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__.split("\n", 1)[0])
    numbers: Callable[[str], list[int]] = lambda text: [int(one) for one in text.split(",")]  # noqa: E731
    parser.add_argument("--sizes", type=numbers, default=[60, 135, 270, 540, 1080])
    parser.add_argument("--repeat", type=int, default=2, help="seeds of each size")
    parser.add_argument("--seconds", type=float, default=20.0)
    parser.add_argument("--real", type=int, default=2)
    parser.add_argument("--changes", type=int, default=60)
    parser.add_argument("--out", type=Path, default=Path(__file__).parent / "results")
    parser.add_argument("--plot", type=Path)
    given = parser.parse_args()
    given.out.mkdir(parents=True, exist_ok=True)
    runs: list[Row] = []
    rows: list[Row] = []
    # Sizes take turns, so that an hour in which the machine is busy does not fall on one of them alone.
    for seed in range(1, given.repeat + 1):
        for nodes in given.sizes:
            told, more = play(nodes, seed, given)
            runs.append(run_row(told))
            rows += more
            last = runs[-1]
            print(
                f"{nodes:5} nodes, seed {seed}: acknowledged by all in {last['acked_p50_s']} s (median), "
                f"{last['acked_most_s']} s (most), stale {last['stale']}, load {last['load_1min']}",
                flush=True,
            )
            write(given.out / "scale-runs.csv", runs)
            write(given.out / "scale-rows.csv", rows)
    found = measures(runs, rows)
    fits = {name: line(points) for name, (_, points) in found.items()}
    print(f"\n{'measure':38} {'unit':6} {'per 100 nodes':>24} {'at none':>24} {'R2':>6}")
    for name, fit in fits.items():
        slope = f"{fit['slope'] * 100:.4g} +- {fit['slope_se'] * 100:.2g}"
        begin = f"{fit['intercept']:.4g} +- {fit['intercept_se']:.2g}"
        print(f"{name:38} {found[name][0]:6} {slope:>24} {begin:>24} {fit['r2']:6.2f}")
    if given.plot is not None:
        plot(found, fits, given.plot)
    good = all(row["stale"] == 0 for row in runs)
    print(json.dumps({"ok": good, "fits": fits}))
    sys.exit(0 if good else 1)


if __name__ == "__main__":
    main()
