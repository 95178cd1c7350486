"""The rules, read off a run's records: one final answer, nothing unsafe twice, drains kept, nothing cold tipped.

Records of clients and of equipos are joined by request id and by the identity of what a client wished. It reads
files and decides nothing while a run is on.
"""

from __future__ import annotations

from collections import defaultdict
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from rosewheel.lab.load import REFUSALS, SLACK_MS
from rosewheel.lab.records import read
from rosewheel.lab.scenario import Scenario

TOLD_SHARE = 2.0 / 3.0  # of the load that tipped a cold equipo, from those who knew: then the nodes did it
SHOWN = 20  # of each kind


@dataclass(slots=True)
class Broken:
    """Every breach by kind; an empty one means that all rules held."""

    unanswered: list[str] = field(default_factory=list)  # a request that a living node left without an answer
    double: int = 0  # answers that nobody had asked for
    foreign: list[str] = field(default_factory=list)  # served with what no equipo made for it
    twice: list[str] = field(default_factory=list)  # unsafe work that ran twice
    strayed: list[str] = field(default_factory=list)  # a keyed repeat outside the grupo of the first
    late: list[dict[str, Any]] = field(default_factory=list)  # new work to an equipo that drains
    tipped: list[str] = field(default_factory=list)  # a cold equipo pushed over by those who knew

    def count(self) -> int:
        lists = (self.unanswered, self.foreign, self.twice, self.strayed, self.late, self.tipped)
        return self.double + sum(len(item) for item in lists)

    def row(self) -> dict[str, Any]:
        return {
            "unanswered": self.unanswered[:SHOWN],
            "double": self.double,
            "foreign": self.foreign[:SHOWN],
            "twice": self.twice[:SHOWN],
            "strayed": self.strayed[:SHOWN],
            "late": self.late[:SHOWN],
            "tipped": self.tipped[:SHOWN],
        }


def audit(scenario: Scenario, folder: Path) -> Broken:
    """What the records of a run say of the rules."""
    broken = Broken()
    effects = {row.name: row.effect for row in scenario.classes}
    ops: dict[str, list[dict[str, Any]]] = {}
    # A node that was killed owes nothing; what it had taken is its clients' to repeat.
    killed: dict[str, list[float]] = defaultdict(list)
    for row in read(folder / "run.jsonl"):
        if row.get("e") == "killed":
            killed[row["node"]].append(row["t"])
    for row in read(folder / "load.jsonl"):
        if row["e"] == "op":
            ops[row["op"]] = row["tries"]
            for item in row["tries"]:
                _answers(item, killed, broken)
        elif row["e"] == "clients":
            broken.double += row["surplus"]
    ran: dict[str, list[dict[str, Any]]] = defaultdict(list)
    cells: dict[str, set[int]] = defaultdict(set)
    for row in read(folder / "equipos.jsonl"):
        match row["e"]:
            case "job" if row["ran"]:
                if effects[row["class"]] == "unsafe":
                    ran[row["op"]].append(row)
                elif effects[row["class"]] == "keyed":
                    cells[row["rid"]].add(row["cell"])
            case "late":
                broken.late.append(row)
            case "fell" if row["told_share"] >= TOLD_SHARE:
                broken.tipped.append(row["equipo"])
    for op, jobs in ran.items():
        if len(jobs) > 1 and not _by_the_client(ops.get(op, []), jobs):
            broken.twice.append(op)
    # What a client sent once more itself, because its node was killed with it, no node can have kept together.
    resent = {item["rid"] for tries in ops.values() for item in tries if item.get("resent")}
    astray = [rid for rid, where in cells.items() if len(where) > 1 and rid not in resent]
    broken.strayed = astray if _narrow(scenario) else []
    return broken


def _narrow(scenario: Scenario) -> bool:
    return any(row.effect == "keyed" and row.group == "cell" for row in scenario.classes)


def _answers(item: dict[str, Any], killed: dict[str, list[float]], broken: Broken) -> None:
    if item.get("foreign"):
        broken.foreign.append(item["rid"])
    if item["status"]:
        if item["ended"] - item["sent"] > item["patience"] + SLACK_MS:
            broken.unanswered.append(item["rid"])
        return
    if item.get("why") == "unreachable":
        return
    if not any(item["sent"] - 1.0 <= at <= item["ended"] + 1.0 for at in killed.get(item["node"], ())):
        broken.unanswered.append(item["rid"])


def _by_the_client(tries: list[dict[str, Any]], jobs: list[dict[str, Any]]) -> bool:
    """Whether the client itself repeated it where no refusal had said that this was harmless."""
    rids = {job["rid"] for job in jobs}
    if len(rids) < len(jobs):  # one try ran twice
        return any(item.get("resent") for item in tries if item["rid"] in rids)
    return not any(item["status"] in REFUSALS for item in tries if item["rid"] in rids)
