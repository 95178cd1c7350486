"""What runs say together: a table for the terminal, and a page with plots."""

from __future__ import annotations

import base64
import io
from collections import defaultdict
from collections.abc import Sequence
from pathlib import Path
from typing import Any

import jinja2
import matplotlib as mpl
import numpy as np

from rosewheel.lab.experiment import VariantRow
from rosewheel.lab.records import read_records

mpl.use("Agg")

import matplotlib.pyplot as plt
from matplotlib.axes import Axes
from matplotlib.figure import Figure

WINDOW_S = 1.0  # of the curves over time
SPAN_COLOURS = ("#f4c7c3", "#c9daf8", "#d9ead3", "#fff2cc", "#ead1dc")


def text_table(rows: Sequence[VariantRow]) -> str:
    """The table, one line a variant."""
    width = max(8, *(len(row.variant) for row in rows))
    lines = [f"{'variant':{width}}  runs  void  service  +/- 95%  rules  p99 ms"]
    for row in rows:
        half = "      -" if row.half_width is None else f"{row.half_width:7.3f}"
        rules = "kept  " if not row.violated_runs else f"{row.violated_runs} bad "
        p99 = "  ".join(f"{name} {value:.0f}" for name, value in row.p99_ms.items())
        if row.after_restarts is not None:
            p99 += f"  after restarts {row.after_restarts:.3f}"
            p99 += (
                "" if row.after_restarts_half_width is None else f" +/- {row.after_restarts_half_width:.3f}"
            )
        lines.append(
            f"{row.variant:{width}}  {row.runs:4}  {row.void_runs:4}  {row.service:7.3f}  {half}  {rules} {p99}"
        )
    return "\n".join(lines)


def write_report(folder: Path, summaries: Sequence[dict[str, Any]], rows: Sequence[VariantRow]) -> Path:
    """`report.html` in this folder: the table, and the plots of each variant's first run."""
    shown: dict[str, dict[str, Any]] = {}
    for one in summaries:
        shown.setdefault(one["variant"], one)
    pages = [
        {"summary": one, "plots": [_encoded(figure) for figure in _plots(folder / one["folder"])]}
        for one in shown.values()
    ]
    source = (Path(__file__).parent / "report.html").read_text(encoding="utf-8")
    template = jinja2.Environment(autoescape=True).from_string(source)
    path = folder / "report.html"
    path.write_text(template.render(rows=rows, pages=pages, runs=summaries), encoding="utf-8")
    return path


def _encoded(figure: Figure) -> str:
    data = io.BytesIO()
    figure.savefig(data, format="png", dpi=85, bbox_inches="tight")
    plt.close(figure)
    return base64.b64encode(data.getvalue()).decode()


# ---------------------------------------------------------------------- plots


def _plots(folder: Path) -> list[Figure]:
    ops = [row for row in read_records(folder / "load.jsonl") if row["e"] == "op"]
    samples: dict[str, list[dict[str, Any]]] = defaultdict(list)
    steps: list[dict[str, Any]] = []
    for row in read_records(folder / "equipos.jsonl"):
        if row["e"] == "sample":
            samples[row["equipo"]].append(row)
        elif row["e"] == "step":
            steps.append(row)
    steps += [row | {"kind": row["e"], "what": "moment"} for row in read_records(folder / "run.jsonl")]
    end = max((op["at"] for op in ops), default=0.0) / 1000.0
    spans = fault_spans(steps, end)
    figures = []
    if ops:
        figures += [_service(ops, spans), _latency(ops, spans)]
    if samples:
        figures += [_equipos(samples, spans, "queue", "waiting"), _equipos(samples, spans, "speed", "speed")]
    return figures


def fault_spans(steps: Sequence[dict[str, Any]], end_s: float) -> list[tuple[str, float, float]]:
    """The troubles as (kind, from s, to s), each from its first moment to its last."""
    first: dict[str, float] = {}
    last: dict[str, float] = {}
    running: dict[str, int] = defaultdict(int)
    for step in sorted(steps, key=lambda row: float(row["t"])):
        kind, at = step["kind"], step["t"] / 1000.0
        first.setdefault(kind, at)
        last[kind] = at
        running[kind] += {"begin": 1, "end": -1}.get(step["what"], 0)
    return [
        (kind, first[kind], end_s if running[kind] > 0 and last[kind] == first[kind] else last[kind])
        for kind in first
    ]


def _axes(spans: Sequence[tuple[str, float, float]], height: float) -> tuple[Figure, Axes]:
    figure, axes = plt.subplots(figsize=(11, height))
    for number, (kind, begin, end) in enumerate(spans):
        colour = SPAN_COLOURS[number % len(SPAN_COLOURS)]
        axes.axvspan(begin, max(end, begin + 0.2), color=colour, alpha=0.6, lw=0, label=kind)
    axes.set_xlabel("s")
    return figure, axes


def _legend(axes: Axes) -> None:
    axes.legend(loc="upper left", bbox_to_anchor=(1.01, 1.0), fontsize=8)


def _service(ops: Sequence[dict[str, Any]], spans: Sequence[tuple[str, float, float]]) -> Figure:
    """Work answered in time over work asked for, by class and second."""
    figure, axes = _axes(spans, 3.0)
    for name in sorted({op["class"] for op in ops}):
        mine = [op for op in ops if op["class"] == name]
        slots = np.array([int(op["at"] / 1000.0 / WINDOW_S) for op in mine])
        work = np.array([op["work"] for op in mine])
        good = work * np.array([op["in_time"] for op in mine])
        asked, served = np.bincount(slots, work), np.bincount(slots, good)
        there = asked > 0
        axes.plot((np.nonzero(there)[0] + 0.5) * WINDOW_S, served[there] / asked[there], lw=1.3, label=name)
    axes.set_ylim(-0.02, 1.05)
    axes.set_title("service by class")
    _legend(axes)
    return figure


def _latency(ops: Sequence[dict[str, Any]], spans: Sequence[tuple[str, float, float]]) -> Figure:
    """Percentiles of the time to the answer, from the moment at which it was wanted."""
    figure, axes = _axes(spans, 3.0)
    by: dict[int, list[float]] = defaultdict(list)
    for op in ops:
        if op["tries"] and op["tries"][-1]["status"] == 200:
            by[int(op["at"] / 1000.0 / WINDOW_S)].append(op["took"])
    times = sorted(by)
    for quantile in (50, 90, 99):
        values = [float(np.percentile(by[time], quantile)) for time in times]
        axes.plot([(time + 0.5) * WINDOW_S for time in times], values, lw=1.1, label=f"p{quantile}")
    axes.set_yscale("log")
    axes.set_title("time to the answer, ms")
    _legend(axes)
    return figure


def _equipos(
    samples: dict[str, list[dict[str, Any]]], spans: Sequence[tuple[str, float, float]], key: str, title: str
) -> Figure:
    """One line of the picture an equipo, time to the right: what waits there, or how fast it works."""
    names = list(samples)
    step = 1.0
    end = max(rows[-1]["t"] for rows in samples.values()) / 1000.0
    picture = np.full((len(names), max(1, int(end / step) + 1)), np.nan)
    for at, name in enumerate(names):
        for row in samples[name]:
            if row["t"] >= 0.0 and row["state"] != "down":
                picture[at, int(row["t"] / 1000.0 / step)] = row[key]
    figure, axes = plt.subplots(figsize=(11, 1.2 + 0.16 * len(names)))
    top = 1.0 if key == "speed" else max(4.0, float(np.nanpercentile(picture, 99)))
    colours = "RdYlGn" if key == "speed" else "magma_r"
    image = axes.imshow(
        picture, aspect="auto", extent=(0, end, len(names), 0), cmap=colours, vmin=0, vmax=top
    )
    for _, begin, finish in spans:
        axes.axvline(begin, color="#444", lw=0.8, ls=":")
        axes.axvline(finish, color="#444", lw=0.8, ls=":")
    axes.set_yticks(np.arange(len(names)) + 0.5, names, fontsize=6)
    axes.set_xlabel("s")
    axes.set_title(f"{title} at each equipo" + (" (share of its own)" if key == "speed" else ""))
    figure.colorbar(image, ax=axes, pad=0.01)
    return figure
