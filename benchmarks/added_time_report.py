"""What the rows of `added_time.py` say: quantiles, what slow calls waited for, how long a node stood still."""

from __future__ import annotations

from collections import Counter
from pathlib import Path
from typing import Any

TARGET_MS = 1.4  # that a node may add, to 99 in 100 calls
UNDISTURBED_MS = 0.05  # ready to run without a core, at most, while a call was out
CONNECTIONS = (("all", "all"), ("kept", "kept"), ("kept", "new"), ("new", "kept"), ("new", "new"))


def part(values: list[float], quantile: float) -> float | None:
    if not values:
        return None
    ordered = sorted(values)
    return round(ordered[min(len(ordered) - 1, int(quantile * len(ordered)))], 3)


def summary(rows: list[dict[str, Any]], ways: list[str]) -> list[dict[str, Any]]:
    """By rate, path and kind of connections: quantiles, and what they are above those of the direct path on a kept
    connection at the same rate. A difference of quantiles, not a quantile of differences: no call takes two paths.
    `undisturbed`: neither the node nor the stand-in was ready to run without a core while the call was out."""
    found = []
    for rate in dict.fromkeys(row["rate"] for row in rows):
        mine = [row for row in rows if row["rate"] == rate]
        base = [row["took_ms"] for row in mine if row["path"] == "direct" and row["client"] == "kept"]
        for way in ways:
            of_way = [row for row in mine if row["path"] == way]
            calm = [row for row in of_way if max(row["ready_ms"], row["far_ready_ms"]) < UNDISTURBED_MS]
            for client, equipo in (*CONNECTIONS, ("kept", "kept, undisturbed")):
                some = [
                    row
                    for row in (calm if "undisturbed" in equipo else of_way)
                    if client in ("all", row["client"])
                    and (equipo == "all" or equipo.split(",")[0] == row["equipo"])
                ]
                if not some:
                    continue
                one: dict[str, Any] = {"rate": rate, "path": way, "client": client, "equipo": equipo}
                one["calls"] = len(some)
                for name in ("took", "there", "back", "late", "connect", "on", "ready", "far_ready"):
                    values = [row[f"{name}_ms"] for row in some]
                    one |= {f"{name}_p50": part(values, 0.5), f"{name}_p99": part(values, 0.99)}
                if way != "direct" and base:
                    for label, quantile in (("p50", 0.5), ("p90", 0.9), ("p99", 0.99)):
                        took = part([row["took_ms"] for row in some], quantile) or 0.0
                        one[f"added_{label}"] = round(took - (part(base, quantile) or 0.0), 3)
                found.append(one)
    return found


Stop = tuple[str, float, float]  # what, when it began, how long it took in ms


def stops_in(path: Path) -> list[Stop]:
    rows = (line.split() for line in path.read_text().splitlines())
    return [(row[0], float(row[1]), float(row[2])) for row in rows]


def stops(rows: list[Stop], spans: dict[str, tuple[float, float]]) -> dict[str, Any]:
    """By rate: how many collections of each generation and writes there were, and how long they took, in ms."""
    found: dict[str, Any] = {}
    for rate, (begin, end) in spans.items():
        mine = [(row[0], row[2]) for row in rows if begin <= row[1] < end]
        found[rate] = {}
        for kind in sorted({kind for kind, _ in mine}):
            some = [length for one, length in mine if one == kind]
            figures = {
                "count": len(some),
                "median": part(some, 0.5),
                "longest": max(some),
                "sum": round(sum(some), 3),
            }
            found[rate][kind] = figures
    return found


def during(rows: list[dict[str, Any]], noted: dict[str, list[Stop]]) -> dict[str, Any]:
    """By node: the calls that were out while a write of what it has learned took over 1 ms."""
    found = {}
    for name, stops_of in noted.items():
        spans = [(began, began + took) for kind, began, took in stops_of if kind == "snapshot" and took > 1.0]
        some = []
        for row in rows:
            sent = row["at_ms"] + row["late_ms"] + row["connect_ms"]
            if row["path"] == name and any(
                sent < end and sent + row["took_ms"] > begin for begin, end in spans
            ):
                some.append(row["took_ms"])
        found[name] = {
            "calls": len(some),
            "p50": part(some, 0.5),
            "p90": part(some, 0.9),
            "most": max(some, default=None),
        }
    return found


def slow(rows: list[dict[str, Any]], ways: list[str], noted: dict[str, list[Stop]]) -> list[dict[str, Any]]:
    """Calls that took over `TARGET_MS` longer than the direct path's median, and what filled most of each: the first
    of the causes that took half of its time or more."""
    found = []
    for rate in dict.fromkeys(row["rate"] for row in rows):
        mine = [row for row in rows if row["rate"] == rate]
        usual = part([row["took_ms"] for row in mine if row["path"] == "direct"], 0.5) or 0.0
        for way in ways:
            some = [row for row in mine if row["path"] == way]
            over = [row for row in some if row["took_ms"] > usual + TARGET_MS]
            causes: Counter[str] = Counter()
            for row in over:
                sent = row["at_ms"] + row["late_ms"] + row["connect_ms"]
                end, half = sent + row["took_ms"], row["took_ms"] / 2.0
                written = sum(
                    max(0.0, min(end, began + took) - max(sent, began))
                    for kind, began, took in noted.get(way, [])
                    if kind == "snapshot"
                )
                parts = {
                    "no core for the node": row["ready_ms"] if way != "direct" else 0.0,
                    "no core for the stand-in": row["far_ready_ms"],
                    "a write of what it learned": written,
                    "work of the node": row["on_ms"] if way != "direct" else 0.0,
                }
                causes[next((name for name, took in parts.items() if took >= half), "not told apart")] += 1
            found.append(
                {
                    "rate": rate,
                    "path": way,
                    "calls": len(some),
                    "slow": len(over),
                    "share": round(len(over) / len(some), 4) if some else None,
                    "causes": dict(causes),
                }
            )
    return found


def table(found: dict[str, Any]) -> str:
    lines = [
        "| calls a second | path | to the node | to the equipo | calls | median ms | 99th ms | added, median | 99th |"
    ]
    lines.append("| --- " * 9 + "|")
    for one in found["paths"]:
        added = [f"{one[key]:.2f}" if key in one else "" for key in ("added_p50", "added_p99")]
        row = [
            one["rate"],
            one["path"],
            one["client"],
            one["equipo"],
            one["calls"],
            one["took_p50"],
            one["took_p99"],
        ]
        lines.append("| " + " | ".join(str(item) for item in [*row, *added]) + " |")
    lines += [
        "",
        "| calls a second | path | calls | slow | of them, by what filled most of it |",
        "| --- " * 5 + "|",
    ]
    for one in found["slow"]:
        causes = ", ".join(f"{name} {count}" for name, count in sorted(one["causes"].items()))
        lines.append(f"| {one['rate']} | {one['path']} | {one['calls']} | {one['slow']} | {causes} |")
    return "\n".join(lines)
