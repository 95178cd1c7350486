"""The rules, read off a run's records: one final answer, nothing unsafe twice, drains kept, nothing cold tipped or
sent more than the settings allow.

Records of clients and of equipos are joined by request id and by the identity of what a client wished. A ledger takes
one record at a time, in whatever order the two sides come, and keeps of each only what a later one may need; it decides
nothing while a run is on.
"""

from __future__ import annotations

from collections import defaultdict
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from rosewheel.lab.records import read_records
from rosewheel.lab.retry import REJECTION_STATUSES, RESPONSE_SLACK_MS
from rosewheel.lab.scenario import Scenario
from rosewheel.lab.slow_start import Overload, ServerStart
from rosewheel.policy.settings import DedupScope, Idempotency

INFORMED_SHARE_LIMIT = (
    2.0 / 3.0
)  # of the load that tipped a cold equipo, from those who knew: then the nodes did it
MAX_LISTED = 20  # of each kind


@dataclass(slots=True)
class Violations:
    """Every breach by kind; an empty one means that all rules held."""

    unanswered: list[str] = field(default_factory=list)  # a request that a living node left without an answer
    surplus_answers: int = 0  # answers that nobody had asked for
    foreign: list[str] = field(default_factory=list)  # served with what no equipo made for it
    executed_twice: list[str] = field(default_factory=list)  # unsafe work that ran twice
    outside_dedup_scope: list[str] = field(
        default_factory=list
    )  # a keyed repeat outside the grupo of the first
    after_drain: list[dict[str, Any]] = field(default_factory=list)  # new work to an equipo that drains
    collapsed: list[str] = field(default_factory=list)  # a cold equipo pushed over by those who knew
    # the first overload of a cold equipo by those who knew, by `slow_start.py`
    overloaded: list[dict[str, Any]] = field(default_factory=list)

    def count(self) -> int:
        lists = (
            self.unanswered,
            self.foreign,
            self.executed_twice,
            self.outside_dedup_scope,
            self.after_drain,
            self.collapsed,
        )
        return self.surplus_answers + sum(len(item) for item in (*lists, self.overloaded))

    def as_record(self) -> dict[str, Any]:
        return {
            "unanswered": self.unanswered[:MAX_LISTED],
            "double": self.surplus_answers,
            "foreign": self.foreign[:MAX_LISTED],
            "twice": self.executed_twice[:MAX_LISTED],
            "strayed": self.outside_dedup_scope[:MAX_LISTED],
            "late": self.after_drain[:MAX_LISTED],
            "tipped": self.collapsed[:MAX_LISTED],
            "overloaded": self.overloaded[:MAX_LISTED],
        }


@dataclass(slots=True)
class _UnansweredAttempt:
    """A try that ended without an answer: excused if its node was killed just then."""

    rid: str
    node: str
    sent: float
    ended: float


class InvariantChecker:
    def __init__(self, scenario: Scenario) -> None:
        self.rules = scenario.rules
        self.effects = {row.name: row.idempotency for row in scenario.classes}
        self.narrow = any(
            row.idempotency is Idempotency.IDEMPOTENT_WITH_KEY and row.dedup_scope is DedupScope.CELL
            for row in scenario.classes
        )
        self.collapses = 0  # cold equipos pushed over, by whomever
        self.overloads: list[Overload] = []  # of cold equipos, by whomever
        self.max_bound_share = 0.0  # the largest part of its bound that any cold equipo was sent
        self._starts: dict[str, list[ServerStart]] = {}
        self._means: dict[str, float] = {}  # ms of work of a mean request, where a start was recorded
        self._broken = Violations()
        self._silent: list[_UnansweredAttempt] = []
        self._killed: dict[str, list[float]] = defaultdict(list)
        self._resent: set[str] = set()  # rids that a client itself sent once more
        self._refused: set[str] = set()  # rids of clients that were refused
        self._ran: dict[str, list[str]] = {}  # unsafe: by wish, the rids under which its work began
        self._cells: dict[str, int] = {}  # keyed: by rid, the grupo where its work began
        self._astray: dict[str, None] = {}

    def observe(self, row: dict[str, Any]) -> None:
        match row.get("e"):
            case "op":
                for item in row["tries"]:
                    self._answers(item)
            case "started":
                start = ServerStart(row["equipo"], row["t"], row["work_per_ms"] / row["mean_ms"])
                self._starts.setdefault(row["equipo"], []).append(start)
                self._means[row["equipo"]] = row["mean_ms"]
            case "job":
                if row["ran"]:
                    self._job(row)
                starts = self._starts.get(row.get("equipo", ""))
                if starts and row["came"] >= starts[-1].started_ms:
                    size = row["work"] / self._means[row["equipo"]]
                    starts[-1].arrivals.append((row["came"], size, row["told"]))
            case "killed":
                # A node that was killed owes nothing; what it had taken is its clients' to repeat.
                self._killed[row["node"]].append(row["t"])
            case "clients":
                self._broken.surplus_answers += row["surplus"]
            case "late":
                self._broken.after_drain.append(row)
            case "fell":
                self.collapses += 1
                if row["told_share"] >= INFORMED_SHARE_LIMIT:
                    self._broken.collapsed.append(row["equipo"])

    def finish(self) -> Violations:
        """What all that was taken says of the rules."""
        for one in self._silent:
            if not any(one.sent - 1.0 <= at <= one.ended + 1.0 for at in self._killed.get(one.node, ())):
                self._broken.unanswered.append(one.rid)
        for op, rids in self._ran.items():
            if len(rids) > 1 and not self._by_the_client(rids):
                self._broken.executed_twice.append(op)
        # What a client sent once more itself, because its node was killed with it, no node can have kept together.
        if self.narrow:
            self._broken.outside_dedup_scope = [rid for rid in self._astray if rid not in self._resent]
        for start in (start for starts in self._starts.values() for start in starts):
            found, most = start.overloads(self.rules)
            self.overloads += found
            self.max_bound_share = max(self.max_bound_share, most)
            if found and found[0].informed_share > INFORMED_SHARE_LIMIT + 1e-9:  # of sums of floats
                self._broken.overloaded.append(found[0].as_record())
        self._starts.clear()
        self._silent.clear()
        self._ran.clear()
        return self._broken

    def _job(self, row: dict[str, Any]) -> None:
        effect, rid = self.effects[row["class"]], row["rid"]
        if effect is Idempotency.NON_IDEMPOTENT:
            self._ran.setdefault(row["op"], []).append(rid)
        elif (
            effect is Idempotency.IDEMPOTENT_WITH_KEY
            and self.narrow
            and self._cells.setdefault(rid, row["cell"]) != row["cell"]
        ):
            self._astray[rid] = None

    def _answers(self, item: dict[str, Any]) -> None:
        if item.get("foreign"):
            self._broken.foreign.append(item["rid"])
        if item.get("resent"):
            self._resent.add(item["rid"])
        if item["status"] in REJECTION_STATUSES:
            self._refused.add(item["rid"])
        if item["status"]:
            if item["ended"] - item["sent"] > item["patience"] + RESPONSE_SLACK_MS:
                self._broken.unanswered.append(item["rid"])
        elif item.get("why") != "unreachable":
            self._silent.append(_UnansweredAttempt(item["rid"], item["node"], item["sent"], item["ended"]))

    def _by_the_client(self, rids: list[str]) -> bool:
        """Whether the client itself repeated it where no refusal had said that this was harmless."""
        if len(set(rids)) < len(rids):  # one try ran twice
            return any(rid in self._resent for rid in rids)
        return not any(rid in self._refused for rid in rids)


def check_records(scenario: Scenario, folder: Path) -> Violations:
    """What the records of a run say of the rules."""
    ledger = InvariantChecker(scenario)
    for name in ("run", "load", "equipos"):
        for row in read_records(folder / f"{name}.jsonl"):
            ledger.observe(row)
    return ledger.finish()
