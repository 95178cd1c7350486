"""Epochs, revisions and the log records of the configuration's history."""

from __future__ import annotations

from dataclasses import dataclass
from typing import NamedTuple

from rosewheel.control.documents import Document


class Epoch(NamedTuple):
    """The term of one leader, used as a fencing token. Epochs are totally ordered.

    Two sides of a network partition can begin epochs of the same number; the leader's name breaks the tie.

    Attributes:
        number: Promotion counter; 0 if no leader is known.
        leader: Name of the control machine that leads in this epoch.
    """

    number: int
    leader: str


class Revision(NamedTuple):
    """Identifies one revision of the configuration. Revisions are totally ordered.

    Only the leader of an epoch writes its revisions, so two different documents never have the same revision.

    Attributes:
        epoch_number: Number of the epoch in which the revision was written.
        leader: Leader of that epoch.
        number: Revision counter, which operators see as the version.
    """

    epoch_number: int
    leader: str
    number: int

    @property
    def epoch(self) -> Epoch:
        """The epoch in which the revision was written."""
        return Epoch(self.epoch_number, self.leader)

    def __str__(self) -> str:
        """Return the form used in messages to operators."""
        if not self.epoch_number:
            return f"version {self.number}"
        return f"version {self.number} of epoch {self.epoch_number} ({self.leader})"


UNKNOWN_EPOCH = Epoch(0, "")
INITIAL_REVISION = Revision(0, "", 0)


@dataclass(slots=True, frozen=True)
class Change:
    """Log record of one change to the document.

    Attributes:
        revision: The revision that the change creates.
        patch: JSON merge patch (RFC 7396) against the previous revision's document.
        author: Author of the change.
        note: Reason for the change.
        created_at_s: Unix time of the leader, in seconds.
        unreplicated: Whether the change was acknowledged without a copy on another machine.
    """

    revision: Revision
    patch: Document
    author: str = ""
    note: str = ""
    created_at_s: float = 0.0
    unreplicated: bool = False


@dataclass(slots=True, frozen=True)
class Snapshot:
    """Log record of the oldest retained revision with its complete document.

    Attributes:
        revision: The revision of the document.
        document: The document; None for an empty one.
        created_at_s: Unix time at which the revision was written, in seconds.
    """

    revision: Revision = INITIAL_REVISION
    document: Document | None = None
    created_at_s: float = 0.0


@dataclass(slots=True, frozen=True)
class EpochObserved:
    """Log record of the highest epoch that a machine has seen, written before the machine acts on the epoch."""

    epoch: Epoch


LogRecord = Change | Snapshot | EpochObserved


@dataclass(slots=True, frozen=True)
class LogSuffix:
    """The part of the log that one machine sends to a follower.

    Attributes:
        changes: Changes after the receiver's last revision, or after the snapshot if there is one.
        snapshot: Replaces the receiver's history; None if the changes continue it.
    """

    changes: tuple[Change, ...]
    snapshot: Snapshot | None = None

    def __len__(self) -> int:
        """Return the number of changes, for the watch's log line."""
        return len(self.changes)

    @property
    def last(self) -> Revision:
        """The receiver's last revision after it appends the suffix."""
        if self.changes:
            return self.changes[-1].revision
        return self.snapshot.revision if self.snapshot is not None else INITIAL_REVISION
