"""Statistics of the rows of `added_time.py`: quantiles, causes of slow requests, and pauses of the nodes."""

from __future__ import annotations

from collections import Counter
from pathlib import Path
from typing import Any

TARGET_MS = 1.4  # time that a node may add, at the 99th percentile
UNDISTURBED_MS = 0.05  # longest wait for a core during an undisturbed request
# Connections of the client and to the server that rows are grouped by.
CONNECTIONS = (("all", "all"), ("kept", "kept"), ("kept", "new"), ("new", "kept"), ("new", "new"))


def quantile_of(values: list[float], quantile: float) -> float | None:
    """Return a quantile of the values; None if there are none."""
    if not values:
        return None
    ordered = sorted(values)
    return round(ordered[min(len(ordered) - 1, int(quantile * len(ordered)))], 3)


def summarize(rows: list[dict[str, Any]], paths: list[str]) -> list[dict[str, Any]]:
    """Return quantiles of each time by rate, path and kind of connections.

    The time that a node adds is the difference between its quantile and that of the direct path on kept connections at
    the same rate, as no request takes both paths. The rows `undisturbed` are of requests during which neither the node
    nor the server waited longer than UNDISTURBED_MS for a core.
    """
    result = []
    for rate in dict.fromkeys(row["rate"] for row in rows):
        at_rate = [row for row in rows if row["rate"] == rate]
        direct_times = [
            row["took_ms"] for row in at_rate if row["path"] == "direct" and row["client"] == "kept"
        ]
        for path in paths:
            on_path = [row for row in at_rate if row["path"] == path]
            undisturbed = [
                row for row in on_path if max(row["ready_ms"], row["far_ready_ms"]) < UNDISTURBED_MS
            ]
            for client, equipo in (*CONNECTIONS, ("kept", "kept, undisturbed")):
                selected = [
                    row
                    for row in (undisturbed if "undisturbed" in equipo else on_path)
                    if client in ("all", row["client"])
                    and (equipo == "all" or equipo.split(",")[0] == row["equipo"])
                ]
                if not selected:
                    continue
                group: dict[str, Any] = {"rate": rate, "path": path, "client": client, "equipo": equipo}
                group["calls"] = len(selected)
                for name in ("took", "there", "back", "late", "connect", "on", "ready", "far_ready"):
                    values = [row[f"{name}_ms"] for row in selected]
                    group |= {
                        f"{name}_p50": quantile_of(values, 0.5),
                        f"{name}_p99": quantile_of(values, 0.99),
                    }
                if path != "direct" and direct_times:
                    for label, quantile in (("p50", 0.5), ("p90", 0.9), ("p99", 0.99)):
                        took = quantile_of([row["took_ms"] for row in selected], quantile) or 0.0
                        group[f"added_{label}"] = round(
                            took - (quantile_of(direct_times, quantile) or 0.0), 3
                        )
                result.append(group)
    return result


Pause = tuple[str, float, float]  # kind, start in ms, length in ms


def read_pauses(path: Path) -> list[Pause]:
    """Read the pauses that a node has recorded."""
    rows = (line.split() for line in path.read_text().splitlines())
    return [(row[0], float(row[1]), float(row[2])) for row in rows]


def pause_statistics(pauses: list[Pause], spans: dict[str, tuple[float, float]]) -> dict[str, Any]:
    """Return the number and lengths in ms of the pauses of each kind, by rate."""
    statistics: dict[str, Any] = {}
    for rate, (begin, end) in spans.items():
        in_span = [(pause[0], pause[2]) for pause in pauses if begin <= pause[1] < end]
        statistics[rate] = {}
        for kind in sorted({kind for kind, _ in in_span}):
            lengths = [length for other, length in in_span if other == kind]
            figures = {
                "count": len(lengths),
                "median": quantile_of(lengths, 0.5),
                "longest": max(lengths),
                "sum": round(sum(lengths), 3),
            }
            statistics[rate][kind] = figures
    return statistics


def requests_during_writes(rows: list[dict[str, Any]], pauses: dict[str, list[Pause]]) -> dict[str, Any]:
    """Return, by node, quantiles of the requests in flight during a snapshot write of more than 1 ms."""
    result = {}
    for name, node_pauses in pauses.items():
        spans = [
            (start, start + took) for kind, start, took in node_pauses if kind == "snapshot" and took > 1.0
        ]
        times = []
        for row in rows:
            sent = row["at_ms"] + row["late_ms"] + row["connect_ms"]
            if row["path"] == name and any(
                sent < end and sent + row["took_ms"] > begin for begin, end in spans
            ):
                times.append(row["took_ms"])
        result[name] = {
            "calls": len(times),
            "p50": quantile_of(times, 0.5),
            "p90": quantile_of(times, 0.9),
            "most": max(times, default=None),
        }
    return result


def slow_requests(
    rows: list[dict[str, Any]], paths: list[str], pauses: dict[str, list[Pause]]
) -> list[dict[str, Any]]:
    """Return the slow requests and their causes, by rate and path.

    A request is slow if it took more than TARGET_MS longer than the median of the direct path. Its cause is the first
    one that accounts for at least half of its time.
    """
    result = []
    for rate in dict.fromkeys(row["rate"] for row in rows):
        at_rate = [row for row in rows if row["rate"] == rate]
        direct_ms = quantile_of([row["took_ms"] for row in at_rate if row["path"] == "direct"], 0.5) or 0.0
        for path in paths:
            on_path = [row for row in at_rate if row["path"] == path]
            slow = [row for row in on_path if row["took_ms"] > direct_ms + TARGET_MS]
            causes: Counter[str] = Counter()
            for row in slow:
                sent = row["at_ms"] + row["late_ms"] + row["connect_ms"]
                end, half = sent + row["took_ms"], row["took_ms"] / 2.0
                writing_ms = sum(
                    max(0.0, min(end, start + took) - max(sent, start))
                    for kind, start, took in pauses.get(path, [])
                    if kind == "snapshot"
                )
                times = {
                    "no core for the node": row["ready_ms"] if path != "direct" else 0.0,
                    "no core for the stand-in": row["far_ready_ms"],
                    "a write of what it learned": writing_ms,
                    "work of the node": row["on_ms"] if path != "direct" else 0.0,
                }
                causes[next((name for name, took in times.items() if took >= half), "not told apart")] += 1
            result.append(
                {
                    "rate": rate,
                    "path": path,
                    "calls": len(on_path),
                    "slow": len(slow),
                    "share": round(len(slow) / len(on_path), 4) if on_path else None,
                    "causes": dict(causes),
                }
            )
    return result


def format_table(result: dict[str, Any]) -> str:
    """Return Markdown tables of the quantiles and of the slow requests."""
    lines = [
        "| calls a second | path | to the node | to the equipo | calls | median ms | 99th ms | added, median | 99th |"
    ]
    lines.append("| --- " * 9 + "|")
    for group in result["paths"]:
        added = [f"{group[key]:.2f}" if key in group else "" for key in ("added_p50", "added_p99")]
        row = [
            group["rate"],
            group["path"],
            group["client"],
            group["equipo"],
            group["calls"],
            group["took_p50"],
            group["took_p99"],
        ]
        lines.append("| " + " | ".join(str(item) for item in [*row, *added]) + " |")
    lines += [
        "",
        "| calls a second | path | calls | slow | of them, by what filled most of it |",
        "| --- " * 5 + "|",
    ]
    for group in result["slow"]:
        causes = ", ".join(f"{name} {count}" for name, count in sorted(group["causes"].items()))
        lines.append(f"| {group['rate']} | {group['path']} | {group['calls']} | {group['slow']} | {causes} |")
    return "\n".join(lines)
