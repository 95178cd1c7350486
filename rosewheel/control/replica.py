"""The rules between the machines that hold the versions: who may write, what counts as held, who may be promoted.

No I/O and no clock. What a method hands back as records has to be on disk before anything is said of it to others;
`wrote` and `learned` tell the replica that it is.

- One machine writes. Every version carries the epoch of its writer; a machine that has seen an epoch takes nothing from
  a lower one, and a writer that hears of a higher one writes no more.
- A change counts as held once the writer and one more machine have it on disk. What is not held yet is shown to no
  node, so a change that is lost with its writer was in force nowhere.
- A promotion needs the word of so many machines that one of them has every change that was held.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from typing import Any

from rosewheel.control.log import Record
from rosewheel.control.versions import (
    KEPT,
    START,
    Base,
    Change,
    Document,
    Epoch,
    Position,
    Versions,
    named,
)

NOBODY = Epoch(0, "")
FIRST = 1  # the epoch of the writer that the first start names
COPIES = 2  # machines that have a change on disk before it is acknowledged, where there are as many


class NotWriterError(Exception):
    """Another machine writes, or none that this one knows of."""


class PendingError(Exception):
    """An earlier change is not held by another machine yet."""


class FencedError(Exception):
    """What was told is of a lower epoch than one that was seen, or from before what is held."""


class BehindError(Exception):
    """This machine may not be promoted: others have, or may have, what it lacks."""


@dataclass(slots=True, frozen=True)
class Tail:
    """What one machine tells another: changes after its position, or all that is kept, from a base on."""

    changes: tuple[Change, ...]
    base: Base | None = None

    @property
    def top(self) -> Position:
        if self.changes:
            return self.changes[-1].position
        return self.base.position if self.base is not None else START


class Replica:
    """One machine's part. `peers` are the names of the others, `first` writes until somebody is promoted."""

    def __init__(
        self, name: str, peers: Iterable[str], first: str = "", records: Iterable[Record] = ()
    ) -> None:
        self.name, self.peers = name, tuple(peers)
        self.versions = Versions()
        self.seen = NOBODY
        self.fresh = True  # nothing was on disk
        for record in records:
            self.fresh = False
            self._replay(record)
        if self.fresh and first:  # only then: what is on disk is newer than what a command line says
            self.seen = Epoch(FIRST, first)
        self.holds: dict[str, Position] = {}  # what peers have on disk, as last told
        self.pending = (
            self._doubtful() if self.peers else 0
        )  # the newest versions that may be held by no other

    def _doubtful(self) -> int:
        """How many of the last may have been written just before the end, by one who then told nobody. A writer waits
        for one to be held before it writes the next; only a promotion does not wait."""
        count, changes = 0, self.versions.changes
        for at in range(len(changes) - 1, -1, -1):
            if changes[at].position.writer != self.name or changes[at].alone:
                break
            count += 1
            if at and changes[at - 1].position.epoch == changes[at].position.epoch:
                break
        return count

    def _replay(self, record: Record) -> None:
        match record["kind"]:
            case "base":
                self.versions = Versions(base_from(record))
            case "change":
                self.versions.add(change_from(record))
            case "seen":
                self.seen = max(self.seen, Epoch(*record["epoch"]))
        self.seen = max(self.seen, self.top.epoch)

    # -------------------------------------------------------------------- what is

    @property
    def top(self) -> Position:
        return self.versions.top

    @property
    def writes(self) -> bool:
        """Whether this is its epoch, and its promotion came to an end: the first version of an epoch, which is written
        once enough machines take nothing older, is there."""
        if self.seen.writer != self.name:
            return False
        return self.top.epoch == self.seen or (self.seen.number == FIRST and not self.unheard)

    @property
    def unheard(self) -> list[str]:
        """Those that the writer of the first epoch has to hear of before it writes the first version. Otherwise one
        that has lost its disk would begin anew, beside what others hold of it."""
        return [peer for peer in self.peers if self.holds.get(peer) != START]

    @property
    def shown(self) -> Position:
        """The newest version that nodes are told of."""
        if not self.pending:
            return self.top
        return self.versions.position(self.top.version - self.pending)

    @property
    def document(self) -> Document:
        document = self.versions.at(self.shown)
        assert document is not None
        return document

    @property
    def records(self) -> list[Record]:
        """All that a new log has to begin with."""
        changes = [change_record(change) for change in self.versions.changes]
        return [base_record(self.versions.base), *changes, self.seen_record]

    @property
    def seen_record(self) -> Record:
        return {"kind": "seen", "epoch": self.seen}

    # -------------------------------------------------------------------- writing

    def draft(self, patch: Document, expected: int, **said: Any) -> Change:
        """A change to write; NotWriterError, PendingError, ConflictError."""
        if not self.writes:
            if self.seen == Epoch(FIRST, self.name) and self.top == START:
                raise PendingError(self._first())
            writer = self.seen.writer if self.seen.writer != self.name else ""
            raise NotWriterError(f"{writer or 'no machine'} writes, not {self.name}")
        change = self.versions.drafted(self.seen, patch, expected, **said)
        if self.pending and not change.alone:
            raise PendingError(f"version {self.top.version} is held by no other machine yet")
        return change

    def _first(self) -> str:
        more = [peer for peer in self.unheard if peer in self.holds]
        if more:
            return f"{', '.join(more)} hold versions, and {self.name} none: promote one of those that do"
        return f"before the first version all have to be heard of, and {', '.join(self.unheard)} is not yet"

    def wrote(self, change: Change) -> None:
        """It is on disk here."""
        self.versions.add(change)
        self.pending = 0 if change.alone or not self.peers else self.pending + 1
        self._count()

    def held(self, peer: str, position: Position) -> bool:
        """A peer has this on disk; whether nodes may be told of more by that."""
        if peer not in self.peers:
            return False
        self.holds[peer] = position
        return self._count()

    def _count(self) -> bool:
        before = self.pending
        for position in self.holds.values():
            if self.pending and self.versions.at(position) is not None:
                self.pending = min(self.pending, self.top.version - position.version)
        return self.pending != before

    # ------------------------------------------------------------------ following

    def tail(self, position: Position) -> Tail | None:
        """What another machine lacks that holds this; None where it lacks nothing that this one could tell."""
        # A writer that was replaced has nothing to tell of what only it has.
        shown = self.top if self.writes else self.shown
        if position >= shown:
            return None
        surplus = self.top.version - shown.version
        changes = self.versions.since(position)
        base = None
        if changes is None:
            changes, base = list(self.versions.changes), self.versions.base
        return Tail(tuple(changes[: len(changes) - surplus]), base)

    def check(self, tail: Tail) -> None:
        """FencedError or ValueError where it must not be taken."""
        if tail.top.epoch < self.seen:
            raise FencedError(
                f"{named(tail.top)} is from before epoch {self.seen.number} ({self.seen.writer})"
            )
        if tail.top <= self.top:
            raise FencedError(f"{named(tail.top)} is not after {named(self.top)}")
        grown = Versions(tail.base) if tail.base is not None else None
        last = grown.top if grown is not None else self.top
        for change in tail.changes:
            position = change.position
            if position.version != last.version + 1 or position.epoch < last.epoch:
                raise ValueError(f"{named(position)} does not follow {named(last)}")
            last = position

    def took(self, tail: Tail) -> None:
        """It was checked, and is on disk here."""
        if tail.base is not None:
            self.versions = Versions(tail.base)
        for change in tail.changes:
            self.versions.add(change)
        self.seen = max(self.seen, self.top.epoch)
        self.pending = 0  # whoever told it has it too

    def trim(self, kept: int = KEPT) -> None:
        self.versions.trim(kept)

    # ------------------------------------------------------------------ promotion

    @property
    def needed(self) -> int:
        """How many machines, this one included, have to answer so that one of them has every change that is held."""
        return max(1, len(self.peers) + 1 - COPIES + 1)

    def next_epoch(self, seen: Iterable[Epoch]) -> Epoch:
        return Epoch(max(epoch.number for epoch in (self.seen, *seen)) + 1, self.name)

    def may_lead(self, holds: Mapping[str, Position]) -> None:
        """BehindError where one of those that answered has more, or where too few did."""
        more = {peer: position for peer, position in holds.items() if position > self.top}
        if more:
            who = ", ".join(f"{peer} holds {named(position)}" for peer, position in sorted(more.items()))
            raise BehindError(f"{self.name} holds {named(self.top)}, but {who}")
        # One that holds nothing may be new in the place of one that was lost: its word is worth nothing.
        known = [at for at in (self.top, *holds.values()) if at != START]
        if len(known) < self.needed:
            silent = (
                ", ".join(sorted(peer for peer in self.peers if holds.get(peer, START) == START)) or "all"
            )
            raise BehindError(
                f"what {silent} held is not known: {len(known)} of {self.needed} machines could say"
            )

    def learned(self, epoch: Epoch) -> None:
        """This epoch was seen, and that is on disk."""
        self.seen = max(self.seen, epoch)

    def promotion(self, epoch: Epoch, at_s: float, by: str, alone: bool) -> Change:
        """The first version of this machine's own epoch: the same content, so that others can follow."""
        if self.seen != epoch:
            raise NotWriterError(f"{self.seen.writer} was promoted meanwhile")
        position = Position(*epoch, self.top.version + 1)
        return Change(position, {}, by, f"{self.name} writes from here on", at_s, alone)


# ---------------------------------------------------------------------- records


def change_record(change: Change) -> Record:
    row: Record = {"kind": "change", "at": change.position, "patch": change.patch, "at_s": change.at_s}
    for key in ("by", "note", "alone"):
        if value := getattr(change, key):
            row[key] = value
    return row


def change_from(record: Record) -> Change:
    return Change(
        position_from(record["at"]),
        _object(record["patch"]),
        str(record.get("by", "")),
        str(record.get("note", "")),
        float(record["at_s"]),
        bool(record.get("alone")),
    )


def base_record(base: Base) -> Record:
    return {"kind": "base", "at": base.position, "document": base.document or {}, "at_s": base.at_s}


def base_from(record: Record) -> Base:
    return Base(position_from(record["at"]), _object(record["document"]), float(record["at_s"]))


def tail_from(row: Record) -> Tail:
    """ValueError, KeyError or TypeError where it is none."""
    base = row.get("base")
    changes = tuple(change_from(change) for change in row["changes"])
    return Tail(changes, None if base is None else base_from(base))


def tail_row(tail: Tail) -> Record:
    row: Record = {"seq": tail.top.version, "whole": tail.base is not None}
    row["changes"] = [change_record(change) for change in tail.changes]
    if tail.base is not None:
        row["base"] = base_record(tail.base)
    return row


def position_from(value: Any) -> Position:
    number, writer, version = value
    if not isinstance(number, int) or not isinstance(version, int) or not isinstance(writer, str):
        raise ValueError(f"{value!r} is no position")
    return Position(number, writer, version)


def epoch_from(value: Any) -> Epoch:
    number, writer = value
    if not isinstance(number, int) or not isinstance(writer, str):
        raise ValueError(f"{value!r} is no epoch")
    return Epoch(number, writer)


def _object(value: Any) -> Document:
    if not isinstance(value, dict):
        raise ValueError(f"{value!r} is not an object")
    return value
