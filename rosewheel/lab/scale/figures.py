"""What a scale run measured: samples of its processes by phase, changes, and when nodes had them."""

from __future__ import annotations

import math
from collections.abc import Iterator
from dataclasses import asdict, dataclass
from pathlib import Path
from typing import Any

import numpy as np

from rosewheel.lab.scale.calls import DIRECT
from rosewheel.lab.scale.hollow import NOTED
from rosewheel.lab.scale.network import FIGURES
from rosewheel.lab.scale.plan import REST, Plan
from rosewheel.lab.scale.verdicts import Found, InForce, Made, in_force, ordered, quantile, verdicts

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
    version: int = 0  # of the configuration


class Figures:
    """Takes what the run tells it, and makes rows and a summary of it."""

    def __init__(self, plan: Plan) -> None:
        self.plan = plan
        self.t0 = 0.0
        self.samples: list[Sample] = []
        self.lists: list[dict[str, Any]] = []  # changes of lists: service, version, moment
        self.config: list[
            dict[str, Any]
        ] = []  # changes of configuration: version, moment, ms to be acknowledged
        self.away: dict[int, list[tuple[float, float]]] = {}
        self.cut: dict[int, list[tuple[float, float]]] = {}  # from the writer, as regions lose each other
        self._since: dict[int, float] = {}
        self._split = 0.0
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

    def split(self, on: bool, at: float) -> None:
        if on:
            self._split = at
            return
        for one in self.plan.machines:
            if one.region != self.plan.control[0].region:
                self.cut.setdefault(one.number, []).append((self._split, at))

    # ----------------------------------------------------------------- rows

    def phase_of(self, at: float) -> str:
        """The phase in which this moment (ms) lies; what the run's time was too short for comes `after` it."""
        at_s = (at - self.t0) / 1000.0
        return next((phase.name for phase in self.plan.phases if at_s < phase.end_s), "after")

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
        """Bytes a second in and out, and pieces either way, of each of the role's nodes or machines."""
        writer, *others = [one.name for one in self.plan.control]
        asking, asked = ("discovery", "control"), ("control", "peer")
        views: list[np.ndarray]  # of each: connections, bytes out, bytes in, pieces out, pieces in
        if role == "hollow":
            views = [_change(before, after, asking, f"n{number}") for number in self.hollow]
        elif role == "real":
            real = [one.name for one in self.plan.machines if one.real]
            views = [_change(before, after, asking, name) for name in real]
        elif role == "control-writer":
            views = [_machine(before, after, asked, writer)]
        elif role == "control-follower":
            views = [_machine(before, after, asked, name) for name in others]
        elif role == "discovery":
            views = [sum(_machine(before, after, ("discovery",), name) for name in (writer, *others))]  # type: ignore[list-item]
        else:
            views = []
        state: float | None = None
        if role == "hollow" and self.hollow:
            state = round(sum(row["entries"] for row in after.hollow) / len(self.hollow), 2)
        elif role == "discovery":
            state = sum(after.membership["versions"])
        elif role == "control-writer":
            state = after.version
        if not views:
            return {
                **dict.fromkeys(("out_bytes_s", "in_bytes_s", "messages_s", "worst_bytes_s")),
                "state": state,
            }
        rates = np.array(views) / seconds
        return {
            "out_bytes_s": round(float(rates[:, 1].mean()), 2),
            "in_bytes_s": round(float(rates[:, 2].mean()), 2),
            "messages_s": round(float(rates[:, 3:].sum(axis=1).mean()), 3),
            "worst_bytes_s": round(float(rates[:, 1:3].sum(axis=1).max()), 2),
            "state": state,
        }

    # -------------------------------------------------------------- summary

    def in_force(self, folder: Path, kind: str) -> dict[str, InForce]:
        """Of the changes in each phase and of all of them, how long until the nodes had them: `lists` heard by the
        service's nodes, `config` in force at all nodes, `acked` acknowledged by all."""
        files = [np.load(path) for path in sorted(folder.glob(f"hollow-*-{kind}.npz"))]
        if not files:
            return {}
        heard = ordered(
            *(np.concatenate([file[key] for file in files]) for key in ("nodes", "versions", "at"))
        )
        away = {one: [*self.away.get(one, ())] for one in self.hollow}
        changes: dict[str, list[Made]] = {}
        if kind == "lists":
            # Versions are those of a service, so each is judged by itself.
            members: dict[int, set[int]] = {}
            for one in self.plan.machines:
                if not one.real:
                    members.setdefault(one.service, set()).add(one.number)
            rows = [(row, frozenset(members.get(row["service"], ()))) for row in self.lists]
        else:
            everybody = frozenset(self.hollow)
            rows = [(row, everybody) for row in self.config]
            for number in self.hollow:
                away[number] += self.cut.get(number, ())
        for row, nodes in rows:
            if nodes:
                made = Made(row["version"], row["at"], nodes)
                changes.setdefault(self.phase_of(row["at"]), []).append(made)
        told = {name: in_force(made, heard, away) for name, made in changes.items()}
        return {**told, "all": in_force([one for made in changes.values() for one in made], heard, away)}

    def _puts(self) -> dict[str, Any]:
        """How long changes took to be acknowledged to whoever made them."""
        took = [row["took"] for row in self.config]
        return {"changes": len(took), **{f"p{at:g}_s": quantile(took, at) for at in (50.0, 99.0, 100.0)}}

    def summary(self, folder: Path, stale: int, added: dict[str, Any]) -> dict[str, Any]:
        rows = list(self.rows())
        took = {
            kind: {name: one.row() for name, one in self.in_force(folder, kind).items()} for kind in NOTED
        }
        last = self.samples[-1]
        processes = sum(len(one) for one in last.used.values())
        memory = sum(now["rss_mb"] for one in last.used.values() for now in one.values()) / 1024.0
        seconds = self.plan.options.seconds
        found = Found(
            config_most_s=took["acked"].get("all", {}).get("most_s"),
            lists_most_s=took["lists"].get("all", {}).get("most_s"),
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
            **took,
            "puts": self._puts(),
            "calls": added,
        }


def _change(
    before: Sample, after: Sample, kinds: tuple[str, ...], name: str, view: str = "callers"
) -> np.ndarray:
    """What `FIGURES` names, between two samples, of all connections from (or to) this one."""
    total: np.ndarray = np.zeros(len(FIGURES), dtype=np.int64)
    for kind in kinds:
        now = after.network[view].get(kind, {}).get(name)
        if now is not None:
            was = before.network[view].get(kind, {}).get(name, [0] * len(FIGURES))
            total += np.array(now) - np.array(was)
    return total


def _machine(before: Sample, after: Sample, kinds: tuple[str, ...], name: str) -> np.ndarray:
    """The same of a control machine: what it was asked, turned round, and what it asked of others itself."""
    asked = _change(before, after, kinds, name, "targets")[[0, 2, 1, 4, 3]]
    both: np.ndarray = asked + _change(before, after, kinds, name)
    return both


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
