"""Replication rules of the control machines: leadership, commit and following. No I/O and no clock.

The caller writes records to disk before it reports them with `appended`, `suffix_appended` or `epoch_observed`, and
sends nothing to other machines before that.

- A machine that returns leads only in a new epoch, which it begins once it has compared its log with all peers: its
  folder may be an old copy, and a second change under a revision that others already have would not be noticed.
- One machine leads. Every revision carries the epoch of its leader. A machine accepts nothing from an epoch lower than
  the highest it has seen, and a leader that sees a higher epoch stops accepting changes.
- A change is committed once the leader and at least one other machine have it on disk. Nodes receive committed
  revisions only, so a change that is lost with its leader was applied nowhere.
- A promotion requires responses from a quorum in which at least one machine has every committed change
  (`promotion_rules.py`).
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping

from rosewheel.control.documents import Document
from rosewheel.control.errors import (
    FencedError,
    LeaderLogLostError,
    LeaderReturningError,
    NotLeaderError,
    PeersNotContactedError,
    PreviousChangeUncommittedError,
    PromotionSupersededError,
    StaleSuffixError,
    WriteUnavailableError,
)
from rosewheel.control.history import RETAINED_REVISIONS, RevisionHistory, check_sequence
from rosewheel.control.messages import PutRequest
from rosewheel.control.promotion_rules import check_promotable
from rosewheel.control.revisions import (
    INITIAL_REVISION,
    UNKNOWN_EPOCH,
    Change,
    Epoch,
    EpochObserved,
    LogRecord,
    LogSuffix,
    Revision,
    Snapshot,
)

FIRST_EPOCH_NUMBER = 1  # epoch of the configured initial leader


class Replica:
    """The replication state of one control machine.

    Attributes:
        name: Name of this machine.
        peers: Names of the other machines.
        history: All revisions in this machine's log, committed or not.
        highest_epoch_seen: Fencing threshold; data from a lower epoch is rejected.
        started_empty: Whether the log had no records at startup.
        led_epoch: The epoch that this process leads, or has led; None if none.
        peer_revisions: Last revision on each peer's disk, as last reported.
        diverged_peers: Peers that have another content of their last revision, which is no copy of it.
        uncommitted_count: Number of newest revisions that are not known to be on another machine's disk.
    """

    def __init__(
        self, name: str, peers: Iterable[str], initial_leader: str = "", records: Iterable[LogRecord] = ()
    ) -> None:
        """Rebuild the state from the records of the log.

        Args:
            name: Name of this machine.
            peers: Names of the other machines.
            initial_leader: Leader of the first epoch. Ignored unless the log is empty, since the log is more recent
                than the command line.
            records: The log's records, oldest first.
        """
        self.name, self.peers = name, tuple(peers)
        self.history = RevisionHistory()
        self.highest_epoch_seen = UNKNOWN_EPOCH
        self.led_epoch: Epoch | None = None
        self.started_empty = True
        for record in records:
            self.started_empty = False
            self._replay(record)
        if self.started_empty and initial_leader:
            self.highest_epoch_seen = Epoch(FIRST_EPOCH_NUMBER, initial_leader)
        self._has_returned = self.last != INITIAL_REVISION and self.highest_epoch_seen.leader == name
        self.peer_revisions: dict[str, Revision] = {}
        self.diverged_peers: set[str] = set()
        self.uncommitted_count = self._uncommitted_at_start() if self.peers else 0

    def _replay(self, record: LogRecord) -> None:
        match record:
            case Snapshot():
                self.history = RevisionHistory(record)
            case Change():
                self.history.append(record)
            case EpochObserved():
                self.highest_epoch_seen = max(self.highest_epoch_seen, record.epoch)
        self.highest_epoch_seen = max(self.highest_epoch_seen, self.last.epoch)

    def _uncommitted_at_start(self) -> int:
        """Return the number of newest revisions that may have no second copy after a restart.

        A leader appends a change only once the previous one is committed, except for the first change of an epoch,
        which a promotion appends without waiting.
        """
        count, changes = 0, self.history.changes
        for index in range(len(changes) - 1, -1, -1):
            if changes[index].revision.leader != self.name or changes[index].unreplicated:
                break
            count += 1
            if index and changes[index - 1].revision.epoch == changes[index].revision.epoch:
                break
        return count

    @property
    def last(self) -> Revision:
        """The newest revision in this machine's log."""
        return self.history.last

    @property
    def is_leader(self) -> bool:
        """Whether this machine may accept changes.

        The highest epoch seen must be its own, and this process must have written a revision of that epoch, which a
        promotion does as its last step. Before the first revision of the first epoch, all peers must have reported an
        empty log instead.
        """
        if self.highest_epoch_seen.leader != self.name:
            return False
        if self.led_epoch == self.highest_epoch_seen:
            return True
        is_first = self.highest_epoch_seen.number == FIRST_EPOCH_NUMBER and self.last == INITIAL_REVISION
        return is_first and not self.peers_not_reported_empty

    @property
    def is_returning(self) -> bool:
        """Whether this machine led before its restart, and no other machine was promoted since.

        It may have fenced its peers and itself at an epoch of its own that it has not begun.
        """
        return self._has_returned

    @property
    def peers_to_compare(self) -> list[str]:
        """Peers that have not reported since the restart, or whose last revision this machine has to receive first."""
        return [peer for peer in self.peers if self.peer_revisions.get(peer) is None or self._is_ahead(peer)]

    @property
    def most_advanced_peer(self) -> str:
        """The peer with the newest revision, if that is later than the last one here; empty if there is none."""
        ahead = [peer for peer in self.peer_revisions if self._is_ahead(peer)]
        return max(ahead, key=lambda peer: self.peer_revisions[peer], default="")

    def _is_ahead(self, peer: str) -> bool:
        return self.peer_revisions[peer] > self.last

    @property
    def peers_not_reported_empty(self) -> list[str]:
        """Peers that have not reported an empty log.

        The initial leader writes the first revision only once all peers have. Otherwise a leader that lost its disk
        would start a second history with the same revision numbers.
        """
        return [peer for peer in self.peers if self.peer_revisions.get(peer) != INITIAL_REVISION]

    @property
    def committed(self) -> Revision:
        """The newest committed revision, which is the one nodes receive."""
        if not self.uncommitted_count:
            return self.last
        return self.history.revision_numbered(self.last.number - self.uncommitted_count)

    @property
    def committed_document(self) -> Document:
        """The document of the newest committed revision."""
        document = self.history.document_at(self.committed)
        if document is None:
            raise RuntimeError(f"committed revision is not retained: {self.committed}")
        return document

    @property
    def last_digest(self) -> str:
        """Digest of the newest revision in this machine's log, by which an acknowledgement names its history."""
        return self.history.digest_at(self.last)

    @property
    def log_records(self) -> list[LogRecord]:
        """The records of a compacted log."""
        return [self.history.snapshot, *self.history.changes, self.epoch_record]

    @property
    def epoch_record(self) -> EpochObserved:
        """The log record of the highest epoch that this machine has seen."""
        return EpochObserved(self.highest_epoch_seen)

    # Operations of the leader.

    def draft(self, request: PutRequest, created_at_s: float = 0.0) -> Change:
        """Return the change that a request makes, without appending it.

        Args:
            request: The patch, its expected revision and its author.
            created_at_s: Unix time in seconds.

        Raises:
            NotLeaderError: This machine is not the leader.
            WriteUnavailableError: This machine is the leader but can't accept a change yet.
            RevisionConflictError: The expected revision is not the last one.
        """
        if not self.is_leader:
            raise self._not_leader_error()
        change = self.history.draft(self.highest_epoch_seen, request, created_at_s)
        if self.uncommitted_count and not change.unreplicated:
            raise PreviousChangeUncommittedError(self.last.number)
        return change

    def _not_leader_error(self) -> NotLeaderError | WriteUnavailableError:
        if self.highest_epoch_seen == Epoch(FIRST_EPOCH_NUMBER, self.name) and self.last == INITIAL_REVISION:
            return self._first_change_error()
        if self.is_returning:
            return LeaderReturningError(self.name, self.peers_to_compare)
        leader = self.highest_epoch_seen.leader
        return NotLeaderError(self.name, leader if leader != self.name else "")

    def _first_change_error(self) -> WriteUnavailableError:
        peers_with_revisions = [peer for peer in self.peers_not_reported_empty if peer in self.peer_revisions]
        if peers_with_revisions:
            return LeaderLogLostError(self.name, peers_with_revisions)
        return PeersNotContactedError(self.peers_not_reported_empty)

    def appended(self, change: Change) -> None:
        """Update the state after a change of this leader was written to its log."""
        self.led_epoch, self._has_returned = change.revision.epoch, False
        self.history.append(change)
        if change.unreplicated or not self.peers:
            self.uncommitted_count = 0
        else:
            self.uncommitted_count += 1
        self._update_committed()

    def peer_acknowledged(self, peer: str, revision: Revision, digest: str = "") -> bool:
        """Record that a peer has a revision on disk.

        Args:
            peer: Name of the peer.
            revision: The peer's last revision.
            digest: The peer's digest of it; empty from a machine that sends none.

        Returns:
            Whether this committed more revisions.
        """
        if peer not in self.peers:
            return False
        self.peer_revisions[peer] = revision
        own_digest = self.history.digest_at(revision)
        if digest and own_digest and digest != own_digest:
            self.diverged_peers.add(peer)
        else:
            self.diverged_peers.discard(peer)
        return self._update_committed()

    def _update_committed(self) -> bool:
        before = self.uncommitted_count
        for peer, revision in self.peer_revisions.items():
            is_copy = peer not in self.diverged_peers and self.history.contains(revision)
            if self.uncommitted_count and is_copy:
                self.uncommitted_count = min(self.uncommitted_count, self.last.number - revision.number)
        return self.uncommitted_count != before

    # Operations of a follower, and of the machine that sends it the log.

    def log_suffix(self, revision: Revision, peer: str = "") -> LogSuffix | None:
        """Return the log after a follower's last revision; None if this machine has nothing newer to send.

        Only the leader sends uncommitted changes: those of a replaced leader must not spread.

        Args:
            revision: The follower's last revision.
            peer: Name of the follower. One whose history diverges gets a snapshot.
        """
        offered = self.last if self.is_leader else self.committed
        if revision >= offered:
            return None
        surplus = self.last.number - offered.number
        changes = None if peer in self.diverged_peers else self.history.changes_after(revision)
        snapshot = None
        if changes is None:
            changes, snapshot = list(self.history.changes), self.history.snapshot
        return LogSuffix(tuple(changes[: len(changes) - surplus]), snapshot)

    def validate_suffix(self, suffix: LogSuffix) -> None:
        """Check that a log suffix from another machine may be appended.

        Raises:
            FencedError: The suffix ends in a lower epoch than the highest seen.
            StaleSuffixError: The suffix does not end after this machine's last revision.
            OutOfSequenceError: A change does not directly follow the previous revision.
        """
        # A machine that returns may have fenced itself at an epoch that it has not begun.
        if suffix.last.epoch < self.highest_epoch_seen and not self.is_returning:
            raise FencedError(suffix.last, self.highest_epoch_seen)
        if suffix.last <= self.last:
            raise StaleSuffixError(suffix.last, self.last)
        last = suffix.snapshot.revision if suffix.snapshot is not None else self.last
        for change in suffix.changes:
            check_sequence(change.revision, last)
            last = change.revision

    def suffix_appended(self, suffix: LogSuffix) -> None:
        """Update the state after a validated suffix was written to this machine's log."""
        if suffix.snapshot is not None:
            self.history = RevisionHistory(suffix.snapshot)
        for change in suffix.changes:
            self.history.append(change)
        self._see(self.last.epoch)
        self.uncommitted_count = 0  # the sender has the second copy

    def trim(self, retained: int = RETAINED_REVISIONS) -> None:
        """Replace all but the newest changes with a snapshot."""
        self.history.trim(retained)

    # Promotion of this machine.

    def next_epoch(self, seen_by_peers: Iterable[Epoch]) -> Epoch:
        """Return an epoch of this machine that is above all epochs it and its peers have seen."""
        highest = max(epoch.number for epoch in (self.highest_epoch_seen, *seen_by_peers))
        return Epoch(highest + 1, self.name)

    def check_promotable(self, peer_revisions: Mapping[str, Revision]) -> None:
        """Check that this machine may be promoted, given the last revisions of the peers that responded.

        Raises:
            NotPromotableError: A peer has a later revision, or too few peers responded.
        """
        check_promotable(self.name, self.last, self.peers, peer_revisions)

    def epoch_observed(self, epoch: Epoch) -> None:
        """Update the highest epoch seen after its record was written to the log."""
        self._see(epoch)

    def _see(self, epoch: Epoch) -> None:
        self.highest_epoch_seen = max(self.highest_epoch_seen, epoch)
        self._has_returned = self._has_returned and self.highest_epoch_seen.leader == self.name

    def draft_promotion(self, epoch: Epoch, created_at_s: float, author: str, unreplicated: bool) -> Change:
        """Return the first change of this machine's epoch. Its patch is empty; peers and nodes learn the epoch from it.

        Raises:
            PromotionSupersededError: A higher epoch was seen.
        """
        if self.highest_epoch_seen != epoch:
            raise PromotionSupersededError(self.name, self.highest_epoch_seen.leader)
        revision = Revision(*epoch, self.last.number + 1)
        note = f"{self.name} writes from here on"
        return Change(revision, {}, author, note, created_at_s, unreplicated)
