"""Names of revisions, and the records that lead from one revision of the configuration to the next."""

from __future__ import annotations

from dataclasses import dataclass
from typing import NamedTuple

from rosewheel.control.documents import Document


class Epoch(NamedTuple):
    """The term of one leader, used as a fencing token. Epochs are ordered.

    The leader's name orders two epochs of the same number, which can begin on either side of a network partition.

    Attributes:
        number: Counts promotions; 0 means that no leader is known.
        leader: Name of the control machine that leads in this epoch.
    """

    number: int
    leader: str


class Revision(NamedTuple):
    """One revision of the configuration on one branch of its history. Revisions are ordered.

    An epoch has one leader, so no two documents ever have the same revision.

    Attributes:
        epoch_number: Number of the epoch in which the revision was written.
        leader: The leader of that epoch.
        number: Counts revisions; operators see it as the version.
    """

    epoch_number: int
    leader: str
    number: int

    @property
    def epoch(self) -> Epoch:
        """The epoch in which the revision was written."""
        return Epoch(self.epoch_number, self.leader)

    def __str__(self) -> str:
        """The form in messages to operators."""
        if not self.epoch_number:
            return f"version {self.number}"
        return f"version {self.number} of epoch {self.epoch_number} ({self.leader})"


UNKNOWN_EPOCH = Epoch(0, "")
INITIAL_REVISION = Revision(0, "", 0)


@dataclass(slots=True, frozen=True)
class Change:
    """The step from one revision to the next.

    Attributes:
        revision: The revision that the change makes.
        patch: JSON merge patch (RFC 7396) against the previous revision's document.
        author: Who made the change.
        note: Why it was made.
        created_at_s: The leader's time of day, in seconds since 1970.
        unreplicated: The change was acknowledged without a copy on another machine.
    """

    revision: Revision
    patch: Document
    author: str = ""
    note: str = ""
    created_at_s: float = 0.0
    unreplicated: bool = False


@dataclass(slots=True, frozen=True)
class Snapshot:
    """The oldest retained revision with its complete document.

    Attributes:
        revision: The revision of the document.
        document: The document; None stands for an empty one.
        created_at_s: When the revision was written, in seconds since 1970.
    """

    revision: Revision = INITIAL_REVISION
    document: Document | None = None
    created_at_s: float = 0.0


@dataclass(slots=True, frozen=True)
class EpochObserved:
    """Record of the highest epoch that a machine has seen. It is on disk before the machine acts on the epoch."""

    epoch: Epoch


LogRecord = Change | Snapshot | EpochObserved


@dataclass(slots=True, frozen=True)
class LogSuffix:
    """What one machine sends to another that follows it.

    Attributes:
        changes: Changes after the receiver's last revision, or after the snapshot.
        snapshot: Replaces the receiver's history; None where the changes alone are enough.
    """

    changes: tuple[Change, ...]
    snapshot: Snapshot | None = None

    def __len__(self) -> int:
        """Count the changes, for the watch's log line."""
        return len(self.changes)

    @property
    def last(self) -> Revision:
        """The receiver's last revision once it has taken the suffix."""
        if self.changes:
            return self.changes[-1].revision
        return self.snapshot.revision if self.snapshot is not None else INITIAL_REVISION
