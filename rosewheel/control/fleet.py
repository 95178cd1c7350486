"""Which node has which version in force: no I/O, no clock; times are seconds of the machine that keeps the table.

Nodes acknowledge to the machine that they follow, machines pass on what has changed in batches, and the writer has it
all. A node stamps what it says, so that of two machines that tell of it the later word counts, whichever comes first.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Iterable
from dataclasses import dataclass, replace
from typing import Any

from rosewheel.control.versions import START, Position

FORGET_S = 24 * 3600.0  # a node that no machine has heard of for so long is no longer counted
WHY = 300  # characters of a reason
NAME = 200

Row = list[Any]


@dataclass(slots=True, frozen=True)
class Told:
    """What a node has said last."""

    node: str
    service: str
    machine: str  # the one that it follows
    stamp: int  # the node's own count
    held: Position  # in force
    refused: Position | None = None  # a newer one that it could not put in force
    why: str = ""
    connected: bool = True

    def row(self) -> Row:
        return [
            self.node,
            self.service,
            self.machine,
            self.stamp,
            self.held,
            self.refused,
            self.why,
            self.connected,
        ]


def told_from(row: Any) -> Told:
    """ValueError or TypeError where it is none."""
    node, service, machine, stamp, held, refused, why, connected = row
    if not (isinstance(node, str) and isinstance(service, str) and isinstance(machine, str)):
        raise ValueError("names are text")
    if not isinstance(stamp, int) or not node or len(node) > NAME or len(service) > NAME:
        raise ValueError("no node's word")
    return Told(
        node,
        service,
        machine,
        stamp,
        _position(held),
        None if refused is None else _position(refused),
        str(why)[:WHY],
        bool(connected),
    )


def _position(value: Any) -> Position:
    number, writer, version = value
    return Position(int(number), str(writer), int(version))


@dataclass(slots=True)
class _Entry:
    told: Told
    heard_s: float
    since_s: float  # since when what it holds is as it is


class Fleet:
    def __init__(self, forget_s: float = FORGET_S) -> None:
        self.forget_s = forget_s
        self.entries: dict[str, _Entry] = {}
        self._changed: dict[str, None] = {}

    def __len__(self) -> int:
        return len(self.entries)

    def hear(self, told: Told, now_s: float) -> bool:
        """Whether it was news."""
        known = self.entries.get(told.node)
        if known is not None:
            old = known.told
            # The machine that a node has left may say so after the next one has said that it came.
            if told.stamp < old.stamp or (told.stamp == old.stamp and told.machine != old.machine):
                return False
            known.heard_s = now_s
            if told == old:
                return False
            if (told.held, told.refused) != (old.held, old.refused):
                known.since_s = now_s
            known.told = told
        else:
            self.entries[told.node] = _Entry(told, now_s, now_s)
        self._changed[told.node] = None
        return True

    def came(self, node: str, service: str, machine: str, stamp: int, now_s: float) -> None:
        """It follows this machine; what it has in force it says by itself."""
        known = self.entries.get(node)
        old = known.told if known is not None else Told(node, service, machine, 0, START)
        self.hear(replace(old, service=service, machine=machine, stamp=stamp, connected=True), now_s)

    def gone(self, node: str, machine: str, now_s: float) -> None:
        """It follows this machine no more."""
        known = self.entries.get(node)
        if known is not None and known.told.machine == machine and known.told.connected:
            known.told = replace(known.told, connected=False)
            known.heard_s = now_s
            self._changed[node] = None

    def changed(self) -> list[Row]:
        """What is to be passed on since this was asked last."""
        rows = [self.entries[node].told.row() for node in self._changed if node in self.entries]
        self._changed.clear()
        return rows

    def own(self, machine: str) -> list[Row]:
        """All that this machine knows first-hand, for a writer that knows nothing yet."""
        return [entry.told.row() for entry in self.entries.values() if entry.told.machine == machine]

    def lost(self, machine: str, now_s: float) -> None:
        """A machine is silent: its nodes are on their way to others."""
        for node, entry in self.entries.items():
            if entry.told.machine == machine:
                self.gone(node, machine, now_s)

    def forget(self, now_s: float) -> int:
        """Drop those that are gone for long; how many."""
        old = [
            node
            for node, entry in self.entries.items()
            if not entry.told.connected and now_s - entry.heard_s > self.forget_s
        ]
        for node in old:
            del self.entries[node]
            self._changed.pop(node, None)
        return len(old)

    def report(
        self,
        shown: Position,
        now_s: float,
        age_s: Callable[[int], float],
        whole: bool = False,
        most: int = 50,
    ) -> dict[str, Any]:
        """What `status` says. `age_s` tells how many seconds ago a version came to be."""
        versions: Counter[Position] = Counter()
        behind, refused, away = [], [], []
        for entry in self.entries.values():
            told = entry.told
            versions[told.held] += 1
            if told.refused is not None:
                refused.append(entry)
            if not told.connected:
                away.append(entry)
            elif told.held < shown:
                behind.append(entry)

        def late_s(entry: _Entry) -> float:
            held = entry.told.held
            missing = (
                held.version + 1 if held.number == shown.number else min(held.version + 1, shown.version)
            )
            return age_s(missing) if held != START else now_s - entry.since_s

        def rows(entries: Iterable[_Entry]) -> list[dict[str, Any]]:
            told = sorted(entries, key=lambda entry: (entry.told.held, entry.told.node))
            return [
                self._shown(entry, now_s, late_s(entry) if entry.told.held < shown else 0.0) for entry in told
            ]

        result: dict[str, Any] = {
            "nodes": len(self.entries),
            "in_force": sum(
                1 for entry in self.entries.values() if entry.told.connected and entry.told.held >= shown
            ),
            "behind": len(behind),
            "refused": len(refused),
            "away": len(away),
            "longest_behind_s": round(max(map(late_s, behind), default=0.0), 1),
            "versions": [
                {"version": held.version, "epoch": held.number, "writer": held.writer, "nodes": count}
                for held, count in sorted(versions.items(), reverse=True)
            ][:most],
            "behind_nodes": rows(behind)[:most],
            "refused_nodes": rows(refused)[:most],
            "away_nodes": rows(away)[:most],
        }
        if whole:
            result["all"] = rows(self.entries.values())
        return result

    def _shown(self, entry: _Entry, now_s: float, late_s: float) -> dict[str, Any]:
        told = entry.told
        row: dict[str, Any] = {
            "node": told.node,
            "service": told.service,
            "machine": told.machine,
            "version": told.held.version,
            "epoch": told.held.number,
            "for_s": round(now_s - entry.since_s, 1),
            "behind_s": round(late_s, 1),
            "connected": told.connected,
        }
        if told.refused is not None:
            row |= {"refused": told.refused.version, "why": told.why}
        return row
