"""Exceptions of the control plane. Each carries its details as attributes and has a one-line message."""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from pathlib import Path

from rosewheel.config.address import Address
from rosewheel.control.revisions import Epoch, Revision


class ControlError(Exception):
    """Base of all errors of this package."""


# Messages and documents.


class MalformedMessageError(ControlError, ValueError):
    """A message or record lacks a field, or has one of the wrong type."""


class InvalidDocumentError(ControlError, ValueError):
    """Nodes could not apply a document or patch; the message begins with the key."""


class CachedDocumentError(ControlError, ValueError):
    """The node's cached document can't be used."""


class StaleUpdateError(ControlError, ValueError):
    """A node was sent an earlier revision than the last one it received.

    Attributes:
        revision: The revision that was sent.
        received: The last revision that the node has received.
    """

    def __init__(self, revision: Revision, received: Revision) -> None:
        super().__init__(f"{revision} is older than {received}")
        self.revision, self.received = revision, received


# Revision history.


class OutOfSequenceError(ControlError, ValueError):
    """A change does not directly follow the last revision.

    Attributes:
        revision: The change's revision.
        last: The last revision.
    """

    def __init__(self, revision: Revision, last: Revision) -> None:
        super().__init__(f"{revision} does not follow {last}")
        self.revision, self.last = revision, last


class RevisionConflictError(ControlError):
    """A change expected a revision other than the current one.

    Attributes:
        current: Number of the current revision.
        expected: Number of the expected revision.
    """

    def __init__(self, current: int, expected: int) -> None:
        super().__init__(f"version conflict: the current version is {current}, not {expected}")
        self.current, self.expected = current, expected


class UnknownRevisionError(ControlError):
    """A revision was never written, or is no longer retained.

    Attributes:
        number: The requested number.
        oldest: Number of the oldest retained revision.
        newest: Number of the newest revision.
    """

    def __init__(self, number: int, oldest: int, newest: int) -> None:
        super().__init__(f"version {number} is not retained; retained versions are {oldest} to {newest}")
        self.number, self.oldest, self.newest = number, oldest, newest


# Leadership.


class NotLeaderError(ControlError):
    """This machine is not the leader.

    Attributes:
        machine: Name of this machine.
        leader: Name of the leader; empty if unknown.
    """

    def __init__(self, machine: str, leader: str, text: str = "") -> None:
        super().__init__(text or f"{machine} is not the leader; the leader is {leader or 'unknown'}")
        self.machine, self.leader = machine, leader


class PromotionSupersededError(NotLeaderError):
    """Another machine was promoted during the promotion of this one."""

    def __init__(self, machine: str, leader: str) -> None:
        super().__init__(machine, leader, f"promotion of {machine} superseded: {leader} was promoted")


class WriteUnavailableError(ControlError):
    """The leader can't accept a change yet."""


class PreviousChangeUncommittedError(WriteUnavailableError):
    """The previous change is not replicated yet.

    Attributes:
        number: Number of the previous revision.
    """

    def __init__(self, number: int) -> None:
        super().__init__(f"version {number} is not replicated to another machine yet")
        self.number = number


class PeersNotContactedError(WriteUnavailableError):
    """The initial leader has not been in contact with all peers before its first change.

    Attributes:
        peers: The peers without contact.
    """

    def __init__(self, peers: Sequence[str]) -> None:
        super().__init__(
            f"the first version requires contact with all machines; not contacted yet: {', '.join(peers)}"
        )
        self.peers = tuple(peers)


class LeaderLogLostError(WriteUnavailableError):
    """The initial leader has an empty log but peers have revisions, so its disk was lost.

    Attributes:
        machine: The leader.
        peers: The peers that have revisions.
    """

    def __init__(self, machine: str, peers: Sequence[str]) -> None:
        super().__init__(
            f"{machine} has an empty log, but peers have versions; promote one of them: {', '.join(peers)}"
        )
        self.machine, self.peers = machine, tuple(peers)


class LeaderReturningError(WriteUnavailableError):
    """A machine that led before its restart does not lead again yet: its folder may be an old copy.

    Attributes:
        peers: The peers that have not reported since the restart, or have later revisions.
    """

    def __init__(self, machine: str, peers: Sequence[str]) -> None:
        waits = (
            f"; not compared yet with: {', '.join(peers)} (promote a machine if one is lost)" if peers else ""
        )
        super().__init__(f"{machine} led before its restart and begins a new epoch{waits}")
        self.peers = tuple(peers)


# Replication.


class NotReplicatedError(ControlError):
    """A change is in the leader's log but not known to be replicated.

    Attributes:
        revision: The change's revision.
    """

    def __init__(self, revision: Revision, text: str) -> None:
        super().__init__(text)
        self.revision = revision


class ReplicationTimeoutError(NotReplicatedError):
    """No other machine acknowledged a change in time. The change is committed once one does."""

    def __init__(self, revision: Revision) -> None:
        super().__init__(
            revision,
            f"{revision} is in the leader's log but not replicated to another machine yet; "
            "nodes receive it once it is",
        )


class ReplicationSupersededError(NotReplicatedError):
    """Another machine was promoted before a change was replicated.

    Attributes:
        leader: The new leader.
    """

    def __init__(self, revision: Revision, leader: str) -> None:
        super().__init__(
            revision,
            f"{leader} was promoted before {revision} was replicated; the change may be lost",
        )
        self.leader = leader


class SuffixRejectedError(ControlError):
    """A log suffix must not be appended."""


class FencedError(SuffixRejectedError):
    """A log suffix ends in a lower epoch than the highest that this machine has seen.

    Attributes:
        revision: The suffix's last revision.
        epoch: The highest epoch that this machine has seen.
    """

    def __init__(self, revision: Revision, epoch: Epoch) -> None:
        super().__init__(f"{revision} is older than epoch {epoch.number} ({epoch.leader})")
        self.revision, self.epoch = revision, epoch


class StaleSuffixError(SuffixRejectedError):
    """A log suffix does not end after this machine's last revision.

    Attributes:
        revision: The suffix's last revision.
        last: This machine's last revision.
    """

    def __init__(self, revision: Revision, last: Revision) -> None:
        super().__init__(f"{revision} is not newer than {last}")
        self.revision, self.last = revision, last


# Promotion.


class NotPromotableError(ControlError):
    """A machine may not be promoted because peers have, or may have, changes that it lacks."""


class PeersAheadError(NotPromotableError):
    """Peers have changes that this machine lacks.

    Attributes:
        machine: Name of this machine.
        last: Last revision of this machine.
        ahead: Last revisions of the peers that are ahead.
    """

    def __init__(self, machine: str, last: Revision, ahead: Mapping[str, Revision]) -> None:
        peers = ", ".join(f"{peer} has {revision}" for peer, revision in sorted(ahead.items()))
        super().__init__(f"promotion would lose changes: {machine} has {last}, but {peers}")
        self.machine, self.last, self.ahead = machine, last, dict(ahead)


class PromotionQuorumError(NotPromotableError):
    """Too few machines reported revisions, so this machine may lack a committed change.

    Attributes:
        missing: Machines that did not respond or have an empty log.
        reported: Number of machines that reported revisions, including this one.
        required: Number of machines required.
    """

    def __init__(self, missing: Sequence[str], reported: int, required: int) -> None:
        names = ", ".join(missing) or "all"
        super().__init__(
            f"promotion quorum not reached: {reported} of {required} machines reported versions; missing: {names}"
        )
        self.missing, self.reported, self.required = tuple(missing), reported, required


class HigherEpochSeenError(NotPromotableError):
    """A peer has seen a higher epoch than the promotion's.

    Attributes:
        peer: Name of the peer.
        epoch: The highest epoch that the peer has seen.
    """

    def __init__(self, peer: str, epoch: Epoch) -> None:
        super().__init__(
            f"{peer} has already seen epoch {epoch.number} ({epoch.leader}); retry the promotion"
        )
        self.peer, self.epoch = peer, epoch


# Log on disk.


class LogUnusableError(ControlError):
    """The log can't be opened."""


class LogDamagedError(LogUnusableError):
    """A record of the log does not match its checksum.

    Attributes:
        path: The log file.
        offset: Offset of the corrupt record, in bytes.
        valid_records: Number of valid records before it.
    """

    def __init__(self, path: Path, offset: int, valid_records: int) -> None:
        super().__init__(f"{path}: corrupt record at byte {offset}, after {valid_records} valid records")
        self.path, self.offset, self.valid_records = path, offset, valid_records


class LogLockedError(LogUnusableError):
    """Another process has the log open.

    Attributes:
        directory: The log's directory.
    """

    def __init__(self, directory: Path) -> None:
        super().__init__(f"{directory}: the log is in use by another process")
        self.directory = directory


class LogWriteError(ControlError, OSError):
    """A write or sync failed; the log accepts no more records until the accepted ones are rewritten to a new file.

    Attributes:
        path: The log's file or directory.
        reason: The system's error message.
    """

    def __init__(self, path: Path, reason: str) -> None:
        super().__init__(
            f"{path}: log write failed: {reason}; no changes are accepted until a write succeeds"
        )
        self.path, self.reason = path, reason


# Calls between machines.


class HttpCallError(ControlError):
    """A call got no response, or one that is not JSON over HTTP.

    Attributes:
        address: Address of the called machine.
        reason: Cause of the failure.
    """

    def __init__(self, address: Address, reason: str) -> None:
        super().__init__(f"{address[0]}:{address[1]}: {reason}")
        self.address, self.reason = address, reason


class PeerRejectedCallError(ControlError):
    """A peer responded to a call with an error.

    Attributes:
        peer: Name of the peer.
        status: HTTP status of the response.
        reason: The peer's error message; may be empty.
    """

    def __init__(self, peer: str, status: int, reason: str) -> None:
        super().__init__(f"{peer} rejected the call: {reason or status}")
        self.peer, self.status, self.reason = peer, status, reason
