"""Which node has which version in force: no I/O, no clock; times are seconds of the machine that keeps the table.

Nodes acknowledge to the machine that they follow, machines pass on what has changed in batches, and the writer has it
all. A node stamps what it says, so that of two machines that tell of it the later word counts, whichever comes first.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Iterable
from dataclasses import dataclass, replace
from typing import Any

from rosewheel.control.revisions import INITIAL_REVISION, Revision

NODE_EXPIRY_S = 24 * 3600.0  # a node that no machine has heard of for so long is no longer counted
WHY = 300  # characters of a reason
NAME = 200

Row = list[Any]


@dataclass(slots=True, frozen=True)
class NodeStatus:
    """What a node has said last."""

    node: str
    service: str
    machine: str  # the one that it follows
    stamp: int  # the node's own count
    applied: Revision  # in force
    rejected: Revision | None = None  # a newer one that it could not put in force
    reason: str = ""
    connected: bool = True

    def row(self) -> Row:
        return [
            self.node,
            self.service,
            self.machine,
            self.stamp,
            self.applied,
            self.rejected,
            self.reason,
            self.connected,
        ]


def decode_node_status(row: Any) -> NodeStatus:
    """ValueError or TypeError where it is none."""
    node, service, machine, stamp, held, refused, why, connected = row
    if not (isinstance(node, str) and isinstance(service, str) and isinstance(machine, str)):
        raise ValueError("names are text")
    if not isinstance(stamp, int) or not node or len(node) > NAME or len(service) > NAME:
        raise ValueError("no node's word")
    return NodeStatus(
        node,
        service,
        machine,
        stamp,
        _position(held),
        None if refused is None else _position(refused),
        str(why)[:WHY],
        bool(connected),
    )


def _position(value: Any) -> Revision:
    number, writer, version = value
    return Revision(int(number), str(writer), int(version))


@dataclass(slots=True)
class _Entry:
    status: NodeStatus
    updated_at_s: float
    unchanged_since_s: float  # since when what it holds is as it is


class NodeRegistry:
    def __init__(self, forget_s: float = NODE_EXPIRY_S) -> None:
        self.expiry_s = forget_s
        self.entries: dict[str, _Entry] = {}
        self._changed: dict[str, None] = {}

    def __len__(self) -> int:
        return len(self.entries)

    def record(self, told: NodeStatus, now_s: float) -> bool:
        """Whether it was news."""
        known = self.entries.get(told.node)
        if known is not None:
            old = known.status
            # The machine that a node has left may say so after the next one has said that it came.
            if told.stamp < old.stamp or (told.stamp == old.stamp and told.machine != old.machine):
                return False
            known.updated_at_s = now_s
            if told == old:
                return False
            if (told.applied, told.rejected) != (old.applied, old.rejected):
                known.unchanged_since_s = now_s
            known.status = told
        else:
            self.entries[told.node] = _Entry(told, now_s, now_s)
        self._changed[told.node] = None
        return True

    def connected(self, node: str, service: str, machine: str, stamp: int, now_s: float) -> None:
        """It follows this machine; what it has in force it says by itself."""
        known = self.entries.get(node)
        old = known.status if known is not None else NodeStatus(node, service, machine, 0, INITIAL_REVISION)
        self.record(replace(old, service=service, machine=machine, stamp=stamp, connected=True), now_s)

    def disconnected(self, node: str, machine: str, now_s: float) -> None:
        """It follows this machine no more."""
        known = self.entries.get(node)
        if known is not None and known.status.machine == machine and known.status.connected:
            known.status = replace(known.status, connected=False)
            known.updated_at_s = now_s
            self._changed[node] = None

    def take_changes(self) -> list[Row]:
        """What is to be passed on since this was asked last."""
        rows = [self.entries[node].status.row() for node in self._changed if node in self.entries]
        self._changed.clear()
        return rows

    def statuses_of_machine(self, machine: str) -> list[Row]:
        """All that this machine knows first-hand, for a writer that knows nothing yet."""
        return [entry.status.row() for entry in self.entries.values() if entry.status.machine == machine]

    def machine_lost(self, machine: str, now_s: float) -> None:
        """A machine is silent: its nodes are on their way to others."""
        for node, entry in self.entries.items():
            if entry.status.machine == machine:
                self.disconnected(node, machine, now_s)

    def expire(self, now_s: float) -> int:
        """Drop those that are gone for long; how many."""
        old = [
            node
            for node, entry in self.entries.items()
            if not entry.status.connected and now_s - entry.updated_at_s > self.expiry_s
        ]
        for node in old:
            del self.entries[node]
            self._changed.pop(node, None)
        return len(old)

    def report(
        self,
        shown: Revision,
        now_s: float,
        age_s: Callable[[int], float],
        whole: bool = False,
        most: int = 50,
    ) -> dict[str, Any]:
        """What `status` says. `age_s` tells how many seconds ago a version came to be."""
        versions: Counter[Revision] = Counter()
        behind, refused, away = [], [], []
        for entry in self.entries.values():
            told = entry.status
            versions[told.applied] += 1
            if told.rejected is not None:
                refused.append(entry)
            if not told.connected:
                away.append(entry)
            elif told.applied < shown:
                behind.append(entry)

        def late_s(entry: _Entry) -> float:
            held = entry.status.applied
            missing = (
                held.number + 1
                if held.epoch_number == shown.epoch_number
                else min(held.number + 1, shown.number)
            )
            return age_s(missing) if held != INITIAL_REVISION else now_s - entry.unchanged_since_s

        def rows(entries: Iterable[_Entry]) -> list[dict[str, Any]]:
            told = sorted(entries, key=lambda entry: (entry.status.applied, entry.status.node))
            return [
                self._shown(entry, now_s, late_s(entry) if entry.status.applied < shown else 0.0)
                for entry in told
            ]

        result: dict[str, Any] = {
            "nodes": len(self.entries),
            "in_force": sum(
                1
                for entry in self.entries.values()
                if entry.status.connected and entry.status.applied >= shown
            ),
            "behind": len(behind),
            "refused": len(refused),
            "away": len(away),
            "longest_behind_s": round(max(map(late_s, behind), default=0.0), 1),
            "versions": [
                {"version": held.number, "epoch": held.epoch_number, "writer": held.leader, "nodes": count}
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
        told = entry.status
        row: dict[str, Any] = {
            "node": told.node,
            "service": told.service,
            "machine": told.machine,
            "version": told.applied.number,
            "epoch": told.applied.epoch_number,
            "for_s": round(now_s - entry.unchanged_since_s, 1),
            "behind_s": round(late_s, 1),
            "connected": told.connected,
        }
        if told.rejected is not None:
            row |= {"refused": told.rejected.number, "why": told.reason}
        return row
