"""Report of an experiment: a table for the terminal, and an HTML page with plots."""

from __future__ import annotations

import base64
import io
from collections import defaultdict
from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import jinja2
import matplotlib as mpl
import numpy as np

from rosewheel.lab.experiment import VariantRow
from rosewheel.lab.plan_faults import FaultPhase
from rosewheel.lab.record_types import (
    NODE_RECORDS,
    FaultStepRecord,
    OperationRecord,
    Record,
    RecordFile,
    ServerSampleRecord,
    record_tag,
)
from rosewheel.lab.records import load_records

mpl.use("Agg")

import matplotlib.pyplot as plt
from matplotlib.axes import Axes
from matplotlib.figure import Figure

HTTP_OK = 200
WINDOW_S = 1.0  # length of the time bins of all plots
SPAN_COLOURS = ("#f4c7c3", "#c9daf8", "#d9ead3", "#fff2cc", "#ead1dc")
MIN_SPAN_S = 0.2  # smallest drawn length of a fault span
PERCENTILES = (50, 90, 99)


@dataclass(slots=True, frozen=True)
class FaultEvent:
    """Event of a fault in the timeline of a run.

    Attributes:
        kind: kind of the fault.
        phase: value of a `FaultPhase`; empty for an event of a node.
        at_ms: time of the event, in ms of the plan.
    """

    kind: str
    phase: str
    at_ms: float


@dataclass(slots=True, frozen=True)
class FaultSpan:
    """Time from the first event of a kind of fault to the last."""

    kind: str
    begin_s: float
    end_s: float


def text_table(rows: Sequence[VariantRow]) -> str:
    """Return the table as text, with one line for each variant."""
    width = max(8, *(len(row.variant) for row in rows))
    lines = [f"{'variant':{width}}  runs  void  service  +/- 95%  rules  p99 ms"]
    for row in rows:
        half_width = "      -" if row.half_width is None else f"{row.half_width:7.3f}"
        rules = "kept  " if not row.violated_runs else f"{row.violated_runs} bad "
        last = "  ".join(f"{name} {value:.0f}" for name, value in row.p99_ms.items())
        if row.after_restarts is not None:
            last += f"  after restarts {row.after_restarts:.3f}"
        if row.after_restarts_half_width is not None:
            last += f" +/- {row.after_restarts_half_width:.3f}"
        counts = f"{row.runs:4}  {row.void_runs:4}"
        lines.append(f"{row.variant:{width}}  {counts}  {row.service:7.3f}  {half_width}  {rules} {last}")
    return "\n".join(lines)


def write_report(folder: Path, summaries: Sequence[dict[str, Any]], rows: Sequence[VariantRow]) -> Path:
    """Write `report.html` to a folder, with the table and the plots of the first run of each variant."""
    first_runs: dict[str, dict[str, Any]] = {}
    for summary in summaries:
        first_runs.setdefault(summary["variant"], summary)
    pages = [
        {"summary": summary, "plots": [_encode_png(figure) for figure in _plots(folder / summary["folder"])]}
        for summary in first_runs.values()
    ]
    source = (Path(__file__).parent / "report.html").read_text(encoding="utf-8")
    template = jinja2.Environment(autoescape=True).from_string(source)
    path = folder / "report.html"
    path.write_text(template.render(rows=rows, pages=pages, runs=summaries), encoding="utf-8")
    return path


def _encode_png(figure: Figure) -> str:
    """Return a figure as a base64-encoded PNG image, and close it."""
    data = io.BytesIO()
    figure.savefig(data, format="png", dpi=85, bbox_inches="tight")
    plt.close(figure)
    return base64.b64encode(data.getvalue()).decode()


def _plots(folder: Path) -> list[Figure]:
    operations = [
        record for record in load_records(folder, RecordFile.LOAD) if isinstance(record, OperationRecord)
    ]
    samples: dict[str, list[ServerSampleRecord]] = defaultdict(list)
    events: list[FaultEvent] = []
    for record in load_records(folder, RecordFile.SERVERS):
        if isinstance(record, ServerSampleRecord):
            samples[record.server].append(record)
        elif isinstance(record, FaultStepRecord):
            events.append(FaultEvent(record.kind, record.phase, record.at_ms))
    events += _node_events(load_records(folder, RecordFile.RUN))
    end_s = max((operation.planned_ms for operation in operations), default=0.0) / 1000.0
    spans = fault_spans(events, end_s)
    plots = []
    if operations:
        plots += [_service_plot(operations, spans), _latency_plot(operations, spans)]
    if samples:
        plots += [_queue_plot(samples, spans), _speed_plot(samples, spans)]
    return plots


def _node_events(records: Iterable[Record]) -> list[FaultEvent]:
    """Return an event for each record of a node, with the tag of the record as its kind."""
    return [
        FaultEvent(record_tag(record), "", record.at_ms)
        for record in records
        if isinstance(record, NODE_RECORDS)
    ]


def fault_spans(events: Sequence[FaultEvent], end_s: float) -> list[FaultSpan]:
    """Return the span of each kind of fault; a fault that begins and does not end lasts until `end_s`."""
    first_s: dict[str, float] = {}
    last_s: dict[str, float] = {}
    active: dict[str, int] = defaultdict(int)
    for event in sorted(events, key=lambda event: event.at_ms):
        at_s = event.at_ms / 1000.0
        first_s.setdefault(event.kind, at_s)
        last_s[event.kind] = at_s
        active[event.kind] += {FaultPhase.BEGIN.value: 1, FaultPhase.END.value: -1}.get(event.phase, 0)
    spans = []
    for kind, begin_s in first_s.items():
        open_ended = active[kind] > 0 and last_s[kind] == begin_s
        spans.append(FaultSpan(kind, begin_s, end_s if open_ended else last_s[kind]))
    return spans


def _axes(spans: Sequence[FaultSpan], height: float) -> tuple[Figure, Axes]:
    figure, axes = plt.subplots(figsize=(11, height))
    for number, span in enumerate(spans):
        colour = SPAN_COLOURS[number % len(SPAN_COLOURS)]
        end_s = max(span.end_s, span.begin_s + MIN_SPAN_S)
        axes.axvspan(span.begin_s, end_s, color=colour, alpha=0.6, lw=0, label=span.kind)
    axes.set_xlabel("s")
    return figure, axes


def _legend(axes: Axes) -> None:
    axes.legend(loc="upper left", bbox_to_anchor=(1.01, 1.0), fontsize=8)


def _service_plot(operations: Sequence[OperationRecord], spans: Sequence[FaultSpan]) -> Figure:
    """Plot the work served in time divided by the offered work, by class."""
    figure, axes = _axes(spans, 3.0)
    for name in sorted({operation.class_name for operation in operations}):
        selected = [operation for operation in operations if operation.class_name == name]
        bins = np.array([int(operation.planned_ms / 1000.0 / WINDOW_S) for operation in selected])
        work = np.array([operation.work_ms for operation in selected])
        in_time = np.array([operation.in_time for operation in selected])
        offered, served = np.bincount(bins, work), np.bincount(bins, work * in_time)
        used = offered > 0
        axes.plot((np.nonzero(used)[0] + 0.5) * WINDOW_S, served[used] / offered[used], lw=1.3, label=name)
    axes.set_ylim(-0.02, 1.05)
    axes.set_title("service by class")
    _legend(axes)
    return figure


def _latency_plot(operations: Sequence[OperationRecord], spans: Sequence[FaultSpan]) -> Figure:
    """Plot percentiles of the latency of served operations, measured from their planned start."""
    figure, axes = _axes(spans, 3.0)
    latencies: dict[int, list[float]] = defaultdict(list)
    for operation in operations:
        if operation.attempts and operation.attempts[-1].status == HTTP_OK:
            latencies[int(operation.planned_ms / 1000.0 / WINDOW_S)].append(operation.duration_ms)
    bins = sorted(latencies)
    for percentile in PERCENTILES:
        values = [float(np.percentile(latencies[index], percentile)) for index in bins]
        axes.plot([(index + 0.5) * WINDOW_S for index in bins], values, lw=1.1, label=f"p{percentile}")
    axes.set_yscale("log")
    axes.set_title("latency, ms")
    _legend(axes)
    return figure


def _queue_plot(samples: dict[str, list[ServerSampleRecord]], spans: Sequence[FaultSpan]) -> Figure:
    values = {
        name: [(sample, float(sample.queue_length)) for sample in records]
        for name, records in samples.items()
    }
    return _server_plot(values, spans, "queue length of each server", "magma_r", None)


def _speed_plot(samples: dict[str, list[ServerSampleRecord]], spans: Sequence[FaultSpan]) -> Figure:
    values = {name: [(sample, sample.speed_share) for sample in records] for name, records in samples.items()}
    return _server_plot(values, spans, "speed of each server (share of its normal speed)", "RdYlGn", 1.0)


def _server_plot(
    samples: dict[str, list[tuple[ServerSampleRecord, float]]],
    spans: Sequence[FaultSpan],
    title: str,
    colour_map: str,
    maximum: float | None,
) -> Figure:
    """Plot a heat map of a value with one row for each server and time on the horizontal axis.

    Args:
        samples: for each server, its samples with the value of each.
        spans: fault spans, whose bounds are drawn as vertical lines.
        title: title of the plot.
        colour_map: name of a Matplotlib colour map.
        maximum: top of the colour scale; None for one that fits the values.
    """
    names = list(samples)
    end_s = max(records[-1][0].at_ms for records in samples.values()) / 1000.0
    grid = np.full((len(names), max(1, int(end_s / WINDOW_S) + 1)), np.nan)
    for row, name in enumerate(names):
        for sample, value in samples[name]:
            if sample.at_ms >= 0.0 and sample.state != "down":
                grid[row, int(sample.at_ms / 1000.0 / WINDOW_S)] = value
    figure, axes = plt.subplots(figsize=(11, 1.2 + 0.16 * len(names)))
    top = maximum if maximum is not None else max(4.0, float(np.nanpercentile(grid, 99)))
    image = axes.imshow(
        grid, aspect="auto", extent=(0, end_s, len(names), 0), cmap=colour_map, vmin=0, vmax=top
    )
    for span in spans:
        axes.axvline(span.begin_s, color="#444", lw=0.8, ls=":")
        axes.axvline(span.end_s, color="#444", lw=0.8, ls=":")
    axes.set_yticks(np.arange(len(names)) + 0.5, names, fontsize=6)
    axes.set_xlabel("s")
    axes.set_title(title)
    figure.colorbar(image, ax=axes, pad=0.01)
    return figure
