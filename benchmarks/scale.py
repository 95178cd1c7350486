"""Measures the cost of the control plane and the time of a change by fleet size, with fitted lines and a plot.

    python benchmarks/scale.py [--sizes 60,135,270,540,1080] [--repeat 2] [--out benchmarks/results] [--plot FILE]

Runs `rosewheel scale` for each size and seed, one run at a time, without faults and with the same number of changes.
Raw rows go to `scale-rows.csv` (one for each run, phase and role) and `scale-runs.csv` (one for each run). A line is
fitted to each measure by least squares; the table shows slope and intercept with their standard errors, and R squared.
The last line is JSON; the exit code is 1 if a run failed or left a node stale.
"""

from __future__ import annotations

import argparse
import csv
import json
import subprocess
import sys
import tempfile
from collections.abc import Callable
from dataclasses import asdict, dataclass
from pathlib import Path
from typing import Any

from scipy import stats

Row = dict[str, Any]  # a row of a CSV file, or the JSON result of a run

MAX_SERVICES = 25
CALLS_PER_S = 5  # through each real node
NODES_PER_SLOPE_UNIT = 100
PLOT_DPI = 90
PLOT_ROWS, PLOT_COLUMNS = 2, 3


@dataclass(frozen=True)
class RowMeasure:
    """A measure of one role in one phase: a column of `rows.csv`, times a factor that converts it to the unit."""

    name: str
    unit: str
    role: str
    phase: str
    column: str
    factor: float = 1.0


@dataclass(frozen=True)
class RunMeasure:
    """A measure of a run: a column of `scale-runs.csv`."""

    name: str
    unit: str
    column: str


ROW_MEASURES = (
    RowMeasure("a node's CPU", "core", "hollow", "changes", "cpu_each"),
    RowMeasure("a node's traffic", "KB/s", "hollow", "changes", "worst_bytes_s", 1e-3),
    RowMeasure("writer: CPU", "core", "control-writer", "changes", "cpu_each"),
    RowMeasure("writer: bytes out", "KB/s", "control-writer", "changes", "out_bytes_s", 1e-3),
    RowMeasure("writer: bytes in", "KB/s", "control-writer", "changes", "in_bytes_s", 1e-3),
    RowMeasure("writer: memory", "MB", "control-writer", "changes", "rss_mb_each"),
    RowMeasure("follower: CPU", "core", "control-follower", "changes", "cpu_each"),
    RowMeasure("follower: bytes out", "KB/s", "control-follower", "changes", "out_bytes_s", 1e-3),
    RowMeasure("writer: CPU at rest", "core", "control-writer", "rest", "cpu_each"),
    RowMeasure("discovery: CPU", "core", "discovery", "changes", "cpu_each"),
)
RUN_MEASURES = (
    RunMeasure("in force everywhere, median", "s", "config_p50_s"),
    RunMeasure("acknowledged by all, median", "s", "acked_p50_s"),
    RunMeasure("acknowledged by all, most", "s", "acked_most_s"),
    RunMeasure("list heard everywhere, median", "s", "lists_p50_s"),
    RunMeasure("a change taken by the writer, median", "s", "put_p50_s"),
)
PLOTTED = (
    "writer: CPU",
    "writer: bytes out",
    "writer: memory",
    "a node's CPU",
    "a node's traffic",
    "acknowledged by all, median",
)


@dataclass(frozen=True)
class Point:
    """A measured value at a size of the fleet."""

    nodes: float
    value: float


@dataclass(frozen=True)
class Fit:
    """A line fitted by least squares. Fields that end in `_se` are standard errors."""

    slope: float
    slope_se: float
    intercept: float
    intercept_se: float
    r2: float
    points: int


@dataclass(frozen=True)
class Series:
    """The values of one measure, and the line fitted to them."""

    unit: str
    points: list[Point]
    fit: Fit


def run_scale(nodes: int, seed: int, arguments: argparse.Namespace) -> tuple[Row, list[Row]]:
    """Run `rosewheel scale` once; return its result and its rows. Raise RuntimeError if it prints no result."""
    with tempfile.TemporaryDirectory(prefix="rosewheel-scale-") as folder:
        options = {
            "--nodes": nodes,
            "--real": arguments.real,
            "--services": min(MAX_SERVICES, nodes),
            "--seconds": arguments.seconds,
            "--seed": seed,
            "--changes": arguments.changes,
            "--calls": CALLS_PER_S,
            "--troubles": "none",
            "--out": folder,
        }
        command = [sys.executable, "-m", "rosewheel.cli", "scale"]
        for key, value in options.items():
            command += [key, str(value)]
        done = subprocess.run(command, capture_output=True, text=True)
        lines = done.stdout.splitlines()
        if not lines:
            raise RuntimeError(done.stderr.strip() or f"rosewheel scale exited with {done.returncode}")
        with (Path(folder) / "rows.csv").open(newline="") as file:
            rows: list[Row] = list(csv.DictReader(file))
        return json.loads(lines[-1]), rows


def run_row(result: Row) -> Row:
    """Return the row of `scale-runs.csv` for this result."""
    keys = ("nodes", "real", "services", "seconds", "seed", "load_1min", "ok")
    row: Row = {key: result[key] for key in keys}
    row["stale"] = next(
        check["measured"] for check in result["targets"] if check["target"].startswith("stale")
    )
    for kind in ("lists", "config", "acked"):
        for key, value in result[kind]["all"].items():
            row[f"{kind}_{key}"] = value
    for key, value in result["puts"].items():
        row[f"put_{key}"] = value
    return row


def run_all(arguments: argparse.Namespace) -> tuple[list[Row], list[Row]]:
    """Run all seeds and sizes; return the rows of `scale-runs.csv` and `scale-rows.csv`, written after each run."""
    runs: list[Row] = []
    rows: list[Row] = []
    # Sizes alternate, so that other load on the machine does not affect the runs of one size alone.
    for seed in range(1, arguments.repeat + 1):
        for nodes in arguments.sizes:
            result, result_rows = run_scale(nodes, seed, arguments)
            run = run_row(result)
            runs.append(run)
            rows += result_rows
            print(
                f"{nodes:5} nodes, seed {seed}: acknowledged by all in {run['acked_p50_s']} s (median), "
                f"{run['acked_most_s']} s (most), stale {run['stale']}, load {run['load_1min']}",
                flush=True,
            )
            write_csv(arguments.out / "scale-runs.csv", runs)
            write_csv(arguments.out / "scale-rows.csv", rows)
    return runs, rows


def fit_line(points: list[Point]) -> Fit:
    """Fit a line to the points."""
    fit = stats.linregress([point.nodes for point in points], [point.value for point in points])
    return Fit(
        slope=float(fit.slope),
        slope_se=float(fit.stderr),
        intercept=float(fit.intercept),
        intercept_se=float(fit.intercept_stderr),
        r2=float(fit.rvalue) ** 2,
        points=len(points),
    )


def fit_measures(runs: list[Row], rows: list[Row]) -> dict[str, Series]:
    """Return the values of each measure and their line, by name."""
    series: dict[str, Series] = {}
    for measure in ROW_MEASURES:
        points = [
            Point(float(row["nodes"]), float(row[measure.column]) * measure.factor)
            for row in rows
            if (row["role"], row["phase"]) == (measure.role, measure.phase)
        ]
        series[measure.name] = Series(measure.unit, points, fit_line(points))
    for run_measure in RUN_MEASURES:
        column = run_measure.column
        points = [Point(float(run["nodes"]), float(run[column])) for run in runs if run[column] is not None]
        series[run_measure.name] = Series(run_measure.unit, points, fit_line(points))
    return series


def print_table(series: dict[str, Series]) -> None:
    """Print slope, intercept and R squared of each measure."""
    print(f"\n{'measure':38} {'unit':6} {'per 100 nodes':>24} {'at none':>24} {'R2':>6}")
    for name, measured in series.items():
        fit = measured.fit
        slope = f"{fit.slope * NODES_PER_SLOPE_UNIT:.4g} +- {fit.slope_se * NODES_PER_SLOPE_UNIT:.2g}"
        intercept = f"{fit.intercept:.4g} +- {fit.intercept_se:.2g}"
        print(f"{name:38} {measured.unit:6} {slope:>24} {intercept:>24} {fit.r2:6.2f}")


def plot(series: dict[str, Series], path: Path) -> None:
    """Plot the measures in PLOTTED to an image file."""
    import matplotlib as mpl

    mpl.use("Agg")
    import matplotlib.pyplot as plt

    figure, axes = plt.subplots(PLOT_ROWS, PLOT_COLUMNS, figsize=(10.5, 5.6))
    for axis, name in zip(axes.flat, PLOTTED, strict=True):
        points, fit = series[name].points, series[name].fit
        sizes = [point.nodes for point in points]
        axis.plot(sizes, [point.value for point in points], "o", ms=4, color="#3d6fb6")
        ends = [min(sizes), max(sizes)]
        axis.plot(ends, [fit.intercept + fit.slope * nodes for nodes in ends], "-", lw=1, color="#c2553a")
        axis.set_title(f"{name} (R² {fit.r2:.2f})", fontsize=9)
        axis.set_xlabel("nodes", fontsize=8)
        axis.set_ylabel(series[name].unit, fontsize=8)
        axis.set_ylim(bottom=0)
        axis.tick_params(labelsize=8)
    figure.tight_layout()
    figure.savefig(path, dpi=PLOT_DPI)


def write_csv(path: Path, rows: list[Row]) -> None:
    """Write rows as CSV; the columns are the keys of the first row."""
    with path.open("w", newline="") as file:
        writer = csv.DictWriter(file, list(rows[0]), lineterminator="\n")
        writer.writeheader()
        writer.writerows(rows)


def parse_arguments() -> argparse.Namespace:
    """Parse the command line."""
    parser = argparse.ArgumentParser(description=__doc__.split("\n", 1)[0])
    parse_sizes: Callable[[str], list[int]] = lambda text: [int(part) for part in text.split(",")]  # noqa: E731
    parser.add_argument("--sizes", type=parse_sizes, default=[60, 135, 270, 540, 1080])
    parser.add_argument("--repeat", type=int, default=2, help="runs of each size, with seeds from 1")
    parser.add_argument("--seconds", type=float, default=20.0)
    parser.add_argument("--real", type=int, default=2)
    parser.add_argument("--changes", type=int, default=60)
    parser.add_argument("--out", type=Path, default=Path(__file__).parent / "results")
    parser.add_argument("--plot", type=Path)
    return parser.parse_args()


def main() -> None:
    """Run all sizes and seeds, then fit, print and plot."""
    arguments = parse_arguments()
    arguments.out.mkdir(parents=True, exist_ok=True)
    runs, rows = run_all(arguments)
    series = fit_measures(runs, rows)
    print_table(series)
    if arguments.plot is not None:
        plot(series, arguments.plot)
    ok = all(run["stale"] == 0 for run in runs)
    print(json.dumps({"ok": ok, "fits": {name: asdict(measured.fit) for name, measured in series.items()}}))
    sys.exit(0 if ok else 1)


if __name__ == "__main__":
    main()
