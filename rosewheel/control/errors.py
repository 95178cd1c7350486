"""Errors of the fleet's configuration. Each has the facts as fields; its text is one plain line."""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from pathlib import Path

from rosewheel.config.address import Address
from rosewheel.control.revisions import Epoch, Revision


class ControlError(Exception):
    """Base of all errors of this package."""


# ------------------------------------------------------------------ messages and documents


class MalformedMessageError(ControlError, ValueError):
    """A message or record lacks a field, or has one of the wrong type."""


class InvalidDocumentError(ControlError, ValueError):
    """A document or patch that nodes could not apply; the text begins with the key."""


class CachedDocumentError(ControlError, ValueError):
    """The node's cached document can't be used."""


class StaleUpdateError(ControlError, ValueError):
    """A node was sent an earlier revision than it has received.

    Attributes:
        revision: The revision that was sent.
        received: The last revision that the node has received.
    """

    def __init__(self, revision: Revision, received: Revision) -> None:
        super().__init__(f"{revision} is from before {received}")
        self.revision, self.received = revision, received


# ------------------------------------------------------------------------------- history


class OutOfSequenceError(ControlError, ValueError):
    """A change does not follow the last revision.

    Attributes:
        revision: The change's revision.
        last: The revision that it was to follow.
    """

    def __init__(self, revision: Revision, last: Revision) -> None:
        super().__init__(f"{revision} does not follow {last}")
        self.revision, self.last = revision, last


class RevisionConflictError(ControlError):
    """A change was made for another revision than the current one.

    Attributes:
        current: Number of the current revision.
        expected: Number that the caller expected.
    """

    def __init__(self, current: int, expected: int) -> None:
        super().__init__(f"version is {current}, not {expected}")
        self.current, self.expected = current, expected


class UnknownRevisionError(ControlError):
    """A revision was never written, or is no longer retained.

    Attributes:
        number: The number that was asked for.
        oldest: Number of the oldest retained revision.
        newest: Number of the newest one.
    """

    def __init__(self, number: int, oldest: int, newest: int) -> None:
        super().__init__(f"version {number} is not kept; {oldest} to {newest} are")
        self.number, self.oldest, self.newest = number, oldest, newest


# -------------------------------------------------------------------------------- leader


class NotLeaderError(ControlError):
    """Another machine leads, or none that this machine knows of.

    Attributes:
        machine: This machine.
        leader: The leader, empty where none is known.
    """

    def __init__(self, machine: str, leader: str, text: str = "") -> None:
        super().__init__(text or f"{leader or 'no machine'} writes, not {machine}")
        self.machine, self.leader = machine, leader


class PromotionSupersededError(NotLeaderError):
    """Another machine was promoted during the promotion of this one."""

    def __init__(self, machine: str, leader: str) -> None:
        super().__init__(machine, leader, f"{leader} was promoted meanwhile")


class WriteUnavailableError(ControlError):
    """The leader can't accept a change yet."""


class PreviousChangeUncommittedError(WriteUnavailableError):
    """The previous change has no copy on another machine yet.

    Attributes:
        number: Number of the previous revision.
    """

    def __init__(self, number: int) -> None:
        super().__init__(f"version {number} is held by no other machine yet")
        self.number = number


class PeersNotContactedError(WriteUnavailableError):
    """The first leader has not had contact with all peers before its first change.

    Attributes:
        peers: The peers that it has not had contact with.
    """

    def __init__(self, peers: Sequence[str]) -> None:
        super().__init__(
            f"before the first version all have to be heard of, and {', '.join(peers)} is not yet"
        )
        self.peers = tuple(peers)


class LeaderLogLostError(WriteUnavailableError):
    """The first leader has an empty log while peers have revisions: its disk was lost.

    Attributes:
        machine: The leader.
        peers: The peers that have revisions.
    """

    def __init__(self, machine: str, peers: Sequence[str]) -> None:
        super().__init__(
            f"{', '.join(peers)} hold versions, and {machine} none: promote one of those that do"
        )
        self.machine, self.peers = machine, tuple(peers)


# --------------------------------------------------------------------------- replication


class NotReplicatedError(ControlError):
    """A change is in the leader's log, but is not known to have a copy on another machine.

    Attributes:
        revision: The change's revision.
    """

    def __init__(self, revision: Revision, text: str) -> None:
        super().__init__(text)
        self.revision = revision


class ReplicationTimeoutError(NotReplicatedError):
    """No other machine has acknowledged a change in time. It is committed once one does."""

    def __init__(self, revision: Revision) -> None:
        super().__init__(
            revision,
            f"{revision} is written here, but no other machine has it yet: it is in force nowhere, "
            "and will be once one has",
        )


class ReplicationSupersededError(NotReplicatedError):
    """Another machine was promoted before a change had a second copy.

    Attributes:
        leader: The new leader.
    """

    def __init__(self, revision: Revision, leader: str) -> None:
        super().__init__(
            revision,
            f"{leader} was promoted before another machine had {revision}: whether it holds is not known",
        )
        self.leader = leader


class SuffixRejectedError(ControlError):
    """A log suffix must not be appended."""


class FencedError(SuffixRejectedError):
    """A log suffix is of a lower epoch than one that this machine has seen.

    Attributes:
        revision: The suffix's last revision.
        epoch: The highest epoch that this machine has seen.
    """

    def __init__(self, revision: Revision, epoch: Epoch) -> None:
        super().__init__(f"{revision} is from before epoch {epoch.number} ({epoch.leader})")
        self.revision, self.epoch = revision, epoch


class StaleSuffixError(SuffixRejectedError):
    """A log suffix leads to nothing newer than this machine has.

    Attributes:
        revision: The suffix's last revision.
        last: This machine's last revision.
    """

    def __init__(self, revision: Revision, last: Revision) -> None:
        super().__init__(f"{revision} is not after {last}")
        self.revision, self.last = revision, last


# ----------------------------------------------------------------------------- promotion


class NotPromotableError(ControlError):
    """A machine may not be promoted: others have, or may have, changes that it lacks."""


class PeersAheadError(NotPromotableError):
    """Peers have changes that this machine lacks.

    Attributes:
        machine: This machine.
        last: Its last revision.
        ahead: The peers' last revisions.
    """

    def __init__(self, machine: str, last: Revision, ahead: Mapping[str, Revision]) -> None:
        peers = ", ".join(f"{peer} holds {revision}" for peer, revision in sorted(ahead.items()))
        super().__init__(f"{machine} holds {last}, but {peers}")
        self.machine, self.last, self.ahead = machine, last, dict(ahead)


class PromotionQuorumError(NotPromotableError):
    """Too few machines with revisions answered, so a committed change may be unknown here.

    Attributes:
        silent: Machines that did not answer, or have an empty log.
        known: How many machines have revisions, this one included.
        required: How many must.
    """

    def __init__(self, silent: Sequence[str], known: int, required: int) -> None:
        names = ", ".join(silent) or "all"
        super().__init__(f"what {names} held is not known: {known} of {required} machines could say")
        self.silent, self.known, self.required = tuple(silent), known, required


class HigherEpochSeenError(NotPromotableError):
    """A peer has seen an epoch above the one that the promotion was to begin.

    Attributes:
        peer: The peer.
        epoch: The epoch that it has seen.
    """

    def __init__(self, peer: str, epoch: Epoch) -> None:
        super().__init__(f"{peer} has seen epoch {epoch.number} ({epoch.leader}): try again")
        self.peer, self.epoch = peer, epoch


# ----------------------------------------------------------------------------- durable log


class LogUnusableError(ControlError):
    """The log can't be opened."""


class LogDamagedError(LogUnusableError):
    """A record in the middle of the log does not match its checksum.

    Attributes:
        path: The log file.
        offset: Where the damaged record begins, in bytes.
        good_records: How many records before it are good.
    """

    def __init__(self, path: Path, offset: int, good_records: int) -> None:
        super().__init__(f"{path}: damaged at byte {offset}, after {good_records} good records")
        self.path, self.offset, self.good_records = path, offset, good_records


class LogLockedError(LogUnusableError):
    """Another process has the log open.

    Attributes:
        directory: The log's directory.
    """

    def __init__(self, directory: Path) -> None:
        super().__init__(f"{directory}: another process has it")
        self.directory = directory


class LogWriteError(ControlError, OSError):
    """A write or sync failed; the log accepts no more until all its records are on a new file.

    Attributes:
        path: The log's file or directory.
        reason: What the system said.
    """

    def __init__(self, path: Path, reason: str) -> None:
        super().__init__(f"{path}: {reason}: nothing is accepted until the disk is written again")
        self.path, self.reason = path, reason


# ---------------------------------------------------------------------------------- calls


class HttpCallError(ControlError):
    """A call had no answer, or one that is not HTTP with JSON.

    Attributes:
        address: The address that was called.
        reason: Why there is no answer.
    """

    def __init__(self, address: Address, reason: str) -> None:
        super().__init__(f"{address[0]}:{address[1]}: {reason}")
        self.address, self.reason = address, reason


class PeerRejectedCallError(ControlError):
    """A peer answered a call with an error.

    Attributes:
        peer: The peer.
        status: HTTP status of the answer.
        reason: The peer's own text, or the status.
    """

    def __init__(self, peer: str, status: int, reason: str) -> None:
        super().__init__(f"{peer}: {reason or status}")
        self.peer, self.status, self.reason = peer, status, reason
