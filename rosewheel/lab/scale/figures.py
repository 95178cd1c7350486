"""What a scale run measured: samples of its processes by phase, changes, and when nodes had them."""

from __future__ import annotations

import math
from collections.abc import Iterator
from dataclasses import asdict, dataclass
from pathlib import Path
from typing import Any

import numpy as np

from rosewheel.lab.scale.calls import DIRECT
from rosewheel.lab.scale.plan import REST, Plan
from rosewheel.lab.scale.verdicts import Found, InForce, Made, in_force, ordered, verdicts

Used = dict[str, dict[int, dict[str, float]]]  # by role and process


@dataclass(slots=True, frozen=True)
class Sample:
    """All processes at the end of a phase; `at` in ms of the machine's monotonic clock."""

    phase: str
    at: float
    used: Used
    network: dict[str, Any]
    membership: dict[str, Any]
    hollow: list[dict[str, Any]]
    load_1min: float


class Figures:
    """Takes what the run tells it, and makes rows and a summary of it."""

    def __init__(self, plan: Plan) -> None:
        self.plan = plan
        self.t0 = 0.0
        self.samples: list[Sample] = []
        self.lists: list[dict[str, Any]] = []  # changes of lists: service, version, moment
        self.away: dict[int, list[tuple[float, float]]] = {}
        self._since: dict[int, float] = {}
        self.hollow = [one.number for one in plan.machines if not one.real]

    def began(self, t0: float) -> None:
        self.t0 = t0

    def add(self, sample: Sample) -> None:
        self.samples.append(sample)

    def listed(self, made: list[dict[str, Any]]) -> None:
        self.lists += made

    def left(self, nodes: tuple[int, ...], at: float) -> None:
        for node in nodes:
            self._since[node] = at

    def back(self, nodes: tuple[int, ...], at: float) -> None:
        for node in nodes:
            self.away.setdefault(node, []).append((self._since.pop(node, at), at))

    # ----------------------------------------------------------------- rows

    def phase_of(self, at: float) -> str:
        """The phase in which this moment (ms) lies."""
        at_s = (at - self.t0) / 1000.0
        return next(
            (phase.name for phase in self.plan.phases if at_s < phase.end_s), self.plan.phases[-1].name
        )

    def rows(self) -> Iterator[dict[str, Any]]:
        """One for each phase and role: what its processes used, and what each of its nodes sent and was sent."""
        options = self.plan.options
        for before, after in zip(self.samples, self.samples[1:], strict=False):
            seconds = (after.at - before.at) / 1000.0
            for role, processes in after.used.items():
                if not processes:
                    continue
                row: dict[str, Any] = {
                    "nodes": options.nodes,
                    "real": options.real,
                    "services": options.services,
                    "seed": options.seed,
                    "phase": after.phase,
                    "seconds": round(seconds, 3),
                    "role": role,
                    "load_1min": round(after.load_1min, 2),
                    **self._used(role, before.used.get(role, {}), processes, seconds),
                    **self._traffic(role, before, after, seconds),
                }
                yield row

    def _used(
        self,
        role: str,
        before: dict[int, dict[str, float]],
        after: dict[int, dict[str, float]],
        seconds: float,
    ) -> dict[str, Any]:
        cpu = (
            sum(now["cpu_s"] - before.get(pid, {}).get("cpu_s", 0.0) for pid, now in after.items()) / seconds
        )
        memory = [now["rss_mb"] for now in after.values()]
        each = len(self.hollow) if role == "hollow" else len(after)
        return {
            "processes": len(after),
            "of": each,
            "cpu": round(cpu, 5),
            "cpu_each": round(cpu / each, 6),
            "rss_mb": round(sum(memory), 1),
            "rss_mb_each": round(sum(memory) / each, 3),
            "rss_mb_most": round(max(memory), 1),
            "files": int(sum(now["files"] for now in after.values())),
        }

    def _traffic(self, role: str, before: Sample, after: Sample, seconds: float) -> dict[str, Any]:
        numbers = (
            set(self.hollow) if role == "hollow" else {one.number for one in self.plan.machines if one.real}
        )
        names = {f"n{number}" for number in numbers}
        out, into, messages, whole = [], [], [], []
        if role in ("hollow", "real"):
            for name in names:
                change = np.zeros(5, dtype=np.int64)
                for kind, tallies in after.network["figures"].items():
                    now = np.array(tallies.get(name, [0] * 5))
                    change += now - np.array(before.network["figures"].get(kind, {}).get(name, [0] * 5))
                out.append(float(change[1]))
                into.append(float(change[2]))
                messages.append(float(change[3] + change[4]))
                whole.append(float(change[1] + change[2]))
        else:
            change = np.zeros(5, dtype=np.int64)
            for kind, tallies in after.network["figures"].items():
                if role not in ("network", kind):
                    continue
                for name, now in tallies.items():
                    was = before.network["figures"].get(kind, {}).get(name, [0] * 5)
                    change += np.array(now) - np.array(was)
            if role in ("network", *after.network["figures"]):
                # Seen from a node `up` is out; seen from what it asks it is in.
                out, into = [float(change[2])], [float(change[1])]
                messages, whole = [float(change[3] + change[4])], [float(change[1] + change[2])]

        def rate(values: list[float], most: bool = False) -> float | None:
            if not values:
                return None
            return round((max(values) if most else sum(values) / len(values)) / seconds, 2)

        state: float | None = None
        if role == "hollow" and self.hollow:
            state = round(sum(row["entries"] for row in after.hollow) / len(self.hollow), 2)
        elif role == "discovery":
            state = sum(after.membership["versions"])
        return {
            "out_bytes_s": rate(out),
            "in_bytes_s": rate(into),
            "messages_s": rate(messages),
            "worst_bytes_s": rate(whole, most=True),
            "state": state,
        }

    # -------------------------------------------------------------- summary

    def lists_in_force(self, folder: Path) -> dict[str, InForce]:
        """Of the changes of lists in each phase, and of all of them, how long until the service's nodes heard."""
        files = [np.load(path) for path in sorted(folder.glob("hollow-*.npz"))]
        if not files:
            return {}
        heard = ordered(
            *(np.concatenate([file[key] for file in files]) for key in ("nodes", "versions", "at"))
        )
        members: dict[int, set[int]] = {}
        for one in self.plan.machines:
            if not one.real:
                members.setdefault(one.service, set()).add(one.number)
        changes: dict[str, list[Made]] = {}
        for row in self.lists:
            made = Made(row["version"], row["at"], frozenset(members.get(row["service"], ())))
            if made.nodes:
                changes.setdefault(self.phase_of(row["at"]), []).append(made)
        told = {name: in_force(made, heard, self.away) for name, made in changes.items()}
        return {**told, "all": in_force([one for made in changes.values() for one in made], heard, self.away)}

    def summary(self, folder: Path, stale: int, added: dict[str, Any]) -> dict[str, Any]:
        rows = list(self.rows())
        lists = {name: one.row() for name, one in self.lists_in_force(folder).items()}
        last = self.samples[-1]
        processes = sum(len(one) for one in last.used.values())
        memory = sum(now["rss_mb"] for one in last.used.values() for now in one.values()) / 1024.0
        seconds = self.plan.options.seconds
        found = Found(
            config_most_s=None,
            lists_most_s=lists.get("all", {}).get("most_s"),
            stale=stale,
            cpu_most=_most(rows, "hollow", "cpu_each"),
            memory_most_mb=_most(rows, "real", "rss_mb_most"),
            traffic_most_kb_s=_most(rows, "hollow", "worst_bytes_s", 1000.0),
            added_p99_ms=added.get("added_p99_ms"),
            direct_p99_ms=added[DIRECT]["p99_ms"] if added else None,
            calls_a_s=round(added["asked"] / seconds, 1) if added else None,
            processes=processes,
            memory_all_gb=round(memory, 2),
        )
        told = verdicts(found)
        return {
            "ok": all(one.holds is not False for one in told),
            "seed": self.plan.options.seed,
            "nodes": self.plan.options.nodes,
            "real": self.plan.options.real,
            "services": self.plan.options.services,
            "seconds": seconds,
            "load_1min": round(last.load_1min, 2),
            "targets": [asdict(one) for one in told],
            "rest": {row["role"]: _plain(row) for row in rows if row["phase"] == REST},
            "lists": lists,
            "calls": added,
        }


def _plain(row: dict[str, Any]) -> dict[str, Any]:
    keys = (
        "processes",
        "of",
        "cpu",
        "cpu_each",
        "rss_mb",
        "files",
        "in_bytes_s",
        "out_bytes_s",
        "messages_s",
        "state",
    )
    return {key: row[key] for key in keys if row[key] is not None}


def _most(rows: list[dict[str, Any]], role: str, key: str, over: float = 1.0) -> float | None:
    values = [row[key] for row in rows if row["role"] == role and row[key] is not None]
    return round(max(values) / over, 5) if values and math.isfinite(max(values)) else None
