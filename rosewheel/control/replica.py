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

from rosewheel.control.durable_log import LogRecord
from rosewheel.control.revisions import (
    INITIAL_REVISION,
    RETAINED_REVISIONS,
    Change,
    Document,
    Epoch,
    Revision,
    RevisionHistory,
    Snapshot,
    describe,
)

NOBODY = Epoch(0, "")
FIRST = 1  # the epoch of the writer that the first start names
COPIES = 2  # machines that have a change on disk before it is acknowledged, where there are as many


class NotLeaderError(Exception):
    """Another machine writes, or none that this one knows of."""


class UncommittedChangeError(Exception):
    """An earlier change is not held by another machine yet."""


class FencedError(Exception):
    """What was told is of a lower epoch than one that was seen, or from before what is held."""


class NotPromotableError(Exception):
    """This machine may not be promoted: others have, or may have, what it lacks."""


@dataclass(slots=True, frozen=True)
class LogSuffix:
    """What one machine tells another: changes after its position, or all that is kept, from a base on."""

    changes: tuple[Change, ...]
    snapshot: Snapshot | None = None

    @property
    def last(self) -> Revision:
        if self.changes:
            return self.changes[-1].revision
        return self.snapshot.revision if self.snapshot is not None else INITIAL_REVISION


class Replica:
    """One machine's part. `peers` are the names of the others, `first` writes until somebody is promoted."""

    def __init__(
        self, name: str, peers: Iterable[str], first: str = "", records: Iterable[LogRecord] = ()
    ) -> None:
        self.name, self.peers = name, tuple(peers)
        self.history = RevisionHistory()
        self.highest_epoch_seen = NOBODY
        self.started_empty = True  # nothing was on disk
        for record in records:
            self.started_empty = False
            self._replay(record)
        if self.started_empty and first:  # only then: what is on disk is newer than what a command line says
            self.highest_epoch_seen = Epoch(FIRST, first)
        self.peer_revisions: dict[str, Revision] = {}  # what peers have on disk, as last told
        self.uncommitted_count = (
            self._doubtful() if self.peers else 0
        )  # the newest versions that may be held by no other

    def _doubtful(self) -> int:
        """How many of the last may have been written just before the end, by one who then told nobody. A writer waits
        for one to be held before it writes the next; only a promotion does not wait."""
        count, changes = 0, self.history.changes
        for at in range(len(changes) - 1, -1, -1):
            if changes[at].revision.leader != self.name or changes[at].unreplicated:
                break
            count += 1
            if at and changes[at - 1].revision.epoch == changes[at].revision.epoch:
                break
        return count

    def _replay(self, record: LogRecord) -> None:
        match record["kind"]:
            case "base":
                self.history = RevisionHistory(decode_snapshot(record))
            case "change":
                self.history.append(decode_change(record))
            case "seen":
                self.highest_epoch_seen = max(self.highest_epoch_seen, Epoch(*record["epoch"]))
        self.highest_epoch_seen = max(self.highest_epoch_seen, self.last.epoch)

    # -------------------------------------------------------------------- what is

    @property
    def last(self) -> Revision:
        return self.history.last

    @property
    def is_leader(self) -> bool:
        """Whether this is its epoch, and its promotion came to an end: the first version of an epoch, which is written
        once enough machines take nothing older, is there."""
        if self.highest_epoch_seen.leader != self.name:
            return False
        return self.last.epoch == self.highest_epoch_seen or (
            self.highest_epoch_seen.number == FIRST and not self.uncontacted_peers
        )

    @property
    def uncontacted_peers(self) -> list[str]:
        """Those that the writer of the first epoch has to hear of before it writes the first version. Otherwise one
        that has lost its disk would begin anew, beside what others hold of it."""
        return [peer for peer in self.peers if self.peer_revisions.get(peer) != INITIAL_REVISION]

    @property
    def committed(self) -> Revision:
        """The newest version that nodes are told of."""
        if not self.uncommitted_count:
            return self.last
        return self.history.revision_numbered(self.last.number - self.uncommitted_count)

    @property
    def committed_document(self) -> Document:
        document = self.history.document_at(self.committed)
        assert document is not None
        return document

    @property
    def log_records(self) -> list[LogRecord]:
        """All that a new log has to begin with."""
        changes = [encode_change(change) for change in self.history.changes]
        return [encode_snapshot(self.history.snapshot), *changes, self.epoch_record]

    @property
    def epoch_record(self) -> LogRecord:
        return {"kind": "seen", "epoch": self.highest_epoch_seen}

    # -------------------------------------------------------------------- writing

    def draft(self, patch: Document, expected: int, **said: Any) -> Change:
        """A change to write; NotWriterError, PendingError, ConflictError."""
        if not self.is_leader:
            if self.highest_epoch_seen == Epoch(FIRST, self.name) and self.last == INITIAL_REVISION:
                raise UncommittedChangeError(self._first())
            writer = self.highest_epoch_seen.leader if self.highest_epoch_seen.leader != self.name else ""
            raise NotLeaderError(f"{writer or 'no machine'} writes, not {self.name}")
        change = self.history.draft(self.highest_epoch_seen, patch, expected, **said)
        if self.uncommitted_count and not change.unreplicated:
            raise UncommittedChangeError(f"version {self.last.number} is held by no other machine yet")
        return change

    def _first(self) -> str:
        more = [peer for peer in self.uncontacted_peers if peer in self.peer_revisions]
        if more:
            return f"{', '.join(more)} hold versions, and {self.name} none: promote one of those that do"
        return f"before the first version all have to be heard of, and {', '.join(self.uncontacted_peers)} is not yet"

    def appended(self, change: Change) -> None:
        """It is on disk here."""
        self.history.append(change)
        self.uncommitted_count = 0 if change.unreplicated or not self.peers else self.uncommitted_count + 1
        self._count()

    def replica_ack(self, peer: str, position: Revision) -> bool:
        """A peer has this on disk; whether nodes may be told of more by that."""
        if peer not in self.peers:
            return False
        self.peer_revisions[peer] = position
        return self._count()

    def _count(self) -> bool:
        before = self.uncommitted_count
        for position in self.peer_revisions.values():
            if self.uncommitted_count and self.history.document_at(position) is not None:
                self.uncommitted_count = min(self.uncommitted_count, self.last.number - position.number)
        return self.uncommitted_count != before

    # ------------------------------------------------------------------ following

    def log_suffix(self, position: Revision) -> LogSuffix | None:
        """What another machine lacks that holds this; None where it lacks nothing that this one could tell."""
        # A writer that was replaced has nothing to tell of what only it has.
        shown = self.last if self.is_leader else self.committed
        if position >= shown:
            return None
        surplus = self.last.number - shown.number
        changes = self.history.changes_after(position)
        base = None
        if changes is None:
            changes, base = list(self.history.changes), self.history.snapshot
        return LogSuffix(tuple(changes[: len(changes) - surplus]), base)

    def validate_suffix(self, tail: LogSuffix) -> None:
        """FencedError or ValueError where it must not be taken."""
        if tail.last.epoch < self.highest_epoch_seen:
            seen = self.highest_epoch_seen
            raise FencedError(f"{describe(tail.last)} is from before epoch {seen.number} ({seen.leader})")
        if tail.last <= self.last:
            raise FencedError(f"{describe(tail.last)} is not after {describe(self.last)}")
        grown = RevisionHistory(tail.snapshot) if tail.snapshot is not None else None
        last = grown.last if grown is not None else self.last
        for change in tail.changes:
            position = change.revision
            if position.number != last.number + 1 or position.epoch < last.epoch:
                raise ValueError(f"{describe(position)} does not follow {describe(last)}")
            last = position

    def suffix_appended(self, tail: LogSuffix) -> None:
        """It was checked, and is on disk here."""
        if tail.snapshot is not None:
            self.history = RevisionHistory(tail.snapshot)
        for change in tail.changes:
            self.history.append(change)
        self.highest_epoch_seen = max(self.highest_epoch_seen, self.last.epoch)
        self.uncommitted_count = 0  # whoever told it has it too

    def trim(self, kept: int = RETAINED_REVISIONS) -> None:
        self.history.trim(kept)

    # ------------------------------------------------------------------ promotion

    @property
    def promotion_quorum(self) -> int:
        """How many machines, this one included, have to answer so that one of them has every change that is held."""
        return max(1, len(self.peers) + 1 - COPIES + 1)

    def next_epoch(self, seen: Iterable[Epoch]) -> Epoch:
        return Epoch(max(epoch.number for epoch in (self.highest_epoch_seen, *seen)) + 1, self.name)

    def check_promotable(self, holds: Mapping[str, Revision]) -> None:
        """BehindError where one of those that answered has more, or where too few did."""
        more = {peer: position for peer, position in holds.items() if position > self.last}
        if more:
            who = ", ".join(f"{peer} holds {describe(position)}" for peer, position in sorted(more.items()))
            raise NotPromotableError(f"{self.name} holds {describe(self.last)}, but {who}")
        # One that holds nothing may be new in the place of one that was lost: its word is worth nothing.
        known = [at for at in (self.last, *holds.values()) if at != INITIAL_REVISION]
        if len(known) < self.promotion_quorum:
            silent = (
                ", ".join(
                    sorted(
                        peer for peer in self.peers if holds.get(peer, INITIAL_REVISION) == INITIAL_REVISION
                    )
                )
                or "all"
            )
            raise NotPromotableError(
                f"what {silent} held is not known: {len(known)} of {self.promotion_quorum} machines could say"
            )

    def epoch_observed(self, epoch: Epoch) -> None:
        """This epoch was seen, and that is on disk."""
        self.highest_epoch_seen = max(self.highest_epoch_seen, epoch)

    def draft_promotion(self, epoch: Epoch, at_s: float, by: str, alone: bool) -> Change:
        """The first version of this machine's own epoch: the same content, so that others can follow."""
        if self.highest_epoch_seen != epoch:
            raise NotLeaderError(f"{self.highest_epoch_seen.leader} was promoted meanwhile")
        position = Revision(*epoch, self.last.number + 1)
        return Change(position, {}, by, f"{self.name} writes from here on", at_s, alone)


# ---------------------------------------------------------------------- records


def encode_change(change: Change) -> LogRecord:
    row: LogRecord = {
        "kind": "change",
        "at": change.revision,
        "patch": change.patch,
        "at_s": change.created_at_s,
    }
    for key, value in (("by", change.author), ("note", change.note), ("alone", change.unreplicated)):
        if value:
            row[key] = value
    return row


def decode_change(record: LogRecord) -> Change:
    return Change(
        decode_revision(record["at"]),
        _object(record["patch"]),
        str(record.get("by", "")),
        str(record.get("note", "")),
        float(record["at_s"]),
        bool(record.get("alone")),
    )


def encode_snapshot(base: Snapshot) -> LogRecord:
    return {"kind": "base", "at": base.revision, "document": base.document or {}, "at_s": base.created_at_s}


def decode_snapshot(record: LogRecord) -> Snapshot:
    return Snapshot(decode_revision(record["at"]), _object(record["document"]), float(record["at_s"]))


def decode_log_suffix(row: LogRecord) -> LogSuffix:
    """ValueError, KeyError or TypeError where it is none."""
    base = row.get("base")
    changes = tuple(decode_change(change) for change in row["changes"])
    return LogSuffix(changes, None if base is None else decode_snapshot(base))


def encode_log_suffix(tail: LogSuffix) -> LogRecord:
    row: LogRecord = {"seq": tail.last.number, "whole": tail.snapshot is not None}
    row["changes"] = [encode_change(change) for change in tail.changes]
    if tail.snapshot is not None:
        row["base"] = encode_snapshot(tail.snapshot)
    return row


def decode_revision(value: Any) -> Revision:
    number, writer, version = value
    if not isinstance(number, int) or not isinstance(version, int) or not isinstance(writer, str):
        raise ValueError(f"{value!r} is no position")
    return Revision(number, writer, version)


def decode_epoch(value: Any) -> Epoch:
    number, writer = value
    if not isinstance(number, int) or not isinstance(writer, str):
        raise ValueError(f"{value!r} is no epoch")
    return Epoch(number, writer)


def _object(value: Any) -> Document:
    if not isinstance(value, dict):
        raise ValueError(f"{value!r} is not an object")
    return value
