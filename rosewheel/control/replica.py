"""The replication rules between control machines: leadership, commitment of changes, and following.

No I/O and no clock. `appended`, `suffix_appended` and `epoch_observed` are called once their records are on disk, and
nothing is sent to other machines before that.

- One machine leads. Every revision carries the epoch of its leader. A machine that has seen an epoch takes nothing of a
  lower one, and a leader that sees a higher one accepts no more changes.
- A change is committed once the leader and one more machine have it on disk. Nodes are shown committed revisions only,
  so a change that is lost with its leader was applied nowhere.
- A promotion needs answers from so many machines that one of them has every committed change (`promotion_rules.py`).
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping

from rosewheel.control.documents import Document
from rosewheel.control.errors import (
    FencedError,
    LeaderLogLostError,
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

FIRST_EPOCH_NUMBER = 1  # of the leader that is configured for an empty fleet


class Replica:
    """One machine's part in the replication.

    Attributes:
        name: This machine.
        peers: The other machines.
        history: All revisions in this machine's log, committed or not.
        highest_epoch_seen: Nothing of a lower epoch is taken.
        started_empty: The log had no records.
        peer_revisions: Last revisions on the peers' disks, as last reported.
        uncommitted_count: How many of the last revisions may be on no other machine's disk.
    """

    def __init__(
        self, name: str, peers: Iterable[str], initial_leader: str = "", records: Iterable[LogRecord] = ()
    ) -> None:
        """Rebuild the state from the records of the log.

        Args:
            name: This machine.
            peers: The other machines.
            initial_leader: Leads the first epoch. Counts only for an empty log, since records on disk are newer than
                a command line.
            records: The log's records, oldest first.
        """
        self.name, self.peers = name, tuple(peers)
        self.history = RevisionHistory()
        self.highest_epoch_seen = UNKNOWN_EPOCH
        self.started_empty = True
        for record in records:
            self.started_empty = False
            self._replay(record)
        if self.started_empty and initial_leader:
            self.highest_epoch_seen = Epoch(FIRST_EPOCH_NUMBER, initial_leader)
        self.peer_revisions: dict[str, Revision] = {}
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
        """Count the last revisions that this machine may have written just before it stopped, without a second copy.

        A leader writes a change only once the previous one is committed; only a promotion does not wait.
        """
        count, changes = 0, self.history.changes
        for index in range(len(changes) - 1, -1, -1):
            if changes[index].revision.leader != self.name or changes[index].unreplicated:
                break
            count += 1
            if index and changes[index - 1].revision.epoch == changes[index].revision.epoch:
                break
        return count

    # ------------------------------------------------------------------------- state

    @property
    def last(self) -> Revision:
        """The newest revision in this machine's log."""
        return self.history.last

    @property
    def is_leader(self) -> bool:
        """Whether this machine may write.

        The epoch must be its own, and its promotion complete: the first revision of an epoch is written once enough
        machines take nothing older.
        """
        if self.highest_epoch_seen.leader != self.name:
            return False
        if self.last.epoch == self.highest_epoch_seen:
            return True
        return self.highest_epoch_seen.number == FIRST_EPOCH_NUMBER and not self.uncontacted_peers

    @property
    def uncontacted_peers(self) -> list[str]:
        """Peers that are not known to have an empty log.

        The leader of the first epoch needs that of all before it writes the first revision. Otherwise a leader that has
        lost its disk would begin again beside the revisions that the others have of it.
        """
        return [peer for peer in self.peers if self.peer_revisions.get(peer) != INITIAL_REVISION]

    @property
    def committed(self) -> Revision:
        """The newest revision that nodes are shown."""
        if not self.uncommitted_count:
            return self.last
        return self.history.revision_numbered(self.last.number - self.uncommitted_count)

    @property
    def committed_document(self) -> Document:
        """The document of the newest committed revision."""
        document = self.history.document_at(self.committed)
        if document is None:
            raise RuntimeError(f"{self.committed} is committed and not retained")
        return document

    @property
    def log_records(self) -> list[LogRecord]:
        """All records that a compacted log needs."""
        return [self.history.snapshot, *self.history.changes, self.epoch_record]

    @property
    def epoch_record(self) -> EpochObserved:
        """The record of the highest epoch that this machine has seen."""
        return EpochObserved(self.highest_epoch_seen)

    # ----------------------------------------------------------------------- leading

    def draft(self, request: PutRequest, created_at_s: float = 0.0) -> Change:
        """Return the change to append for a request.

        Args:
            request: The patch, and who makes it.
            created_at_s: Time of day, in seconds since 1970.

        Raises:
            NotLeaderError: This machine does not lead.
            WriteUnavailableError: It leads, and can't accept a change yet.
            RevisionConflictError: The request was made for another revision than the last one.
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
        leader = self.highest_epoch_seen.leader
        return NotLeaderError(self.name, leader if leader != self.name else "")

    def _first_change_error(self) -> WriteUnavailableError:
        peers_with_revisions = [peer for peer in self.uncontacted_peers if peer in self.peer_revisions]
        if peers_with_revisions:
            return LeaderLogLostError(self.name, peers_with_revisions)
        return PeersNotContactedError(self.uncontacted_peers)

    def appended(self, change: Change) -> None:
        """A change of this leader is in its log."""
        self.history.append(change)
        if change.unreplicated or not self.peers:
            self.uncommitted_count = 0
        else:
            self.uncommitted_count += 1
        self._update_committed()

    def replica_ack(self, peer: str, revision: Revision) -> bool:
        """A peer has a revision on disk.

        Returns:
            Whether more revisions are committed by it.
        """
        if peer not in self.peers:
            return False
        self.peer_revisions[peer] = revision
        return self._update_committed()

    def _update_committed(self) -> bool:
        before = self.uncommitted_count
        for revision in self.peer_revisions.values():
            if self.uncommitted_count and self.history.contains(revision):
                self.uncommitted_count = min(self.uncommitted_count, self.last.number - revision.number)
        return self.uncommitted_count != before

    # --------------------------------------------------------------------- following

    def log_suffix(self, revision: Revision) -> LogSuffix | None:
        """Return the log after a follower's last revision; None where this machine has nothing newer for it."""
        # A replaced leader must not pass on its uncommitted changes.
        offered = self.last if self.is_leader else self.committed
        if revision >= offered:
            return None
        surplus = self.last.number - offered.number
        changes = self.history.changes_after(revision)
        snapshot = None
        if changes is None:
            changes, snapshot = list(self.history.changes), self.history.snapshot
        return LogSuffix(tuple(changes[: len(changes) - surplus]), snapshot)

    def validate_suffix(self, suffix: LogSuffix) -> None:
        """Check that another machine's suffix may be appended.

        Raises:
            FencedError: It is of a lower epoch than one that this machine has seen.
            StaleSuffixError: It leads to nothing newer.
            OutOfSequenceError: Its changes do not follow one another, or this machine's last revision.
        """
        if suffix.last.epoch < self.highest_epoch_seen:
            raise FencedError(suffix.last, self.highest_epoch_seen)
        if suffix.last <= self.last:
            raise StaleSuffixError(suffix.last, self.last)
        last = suffix.snapshot.revision if suffix.snapshot is not None else self.last
        for change in suffix.changes:
            check_sequence(change.revision, last)
            last = change.revision

    def suffix_appended(self, suffix: LogSuffix) -> None:
        """A validated suffix is in this machine's log."""
        if suffix.snapshot is not None:
            self.history = RevisionHistory(suffix.snapshot)
        for change in suffix.changes:
            self.history.append(change)
        self.highest_epoch_seen = max(self.highest_epoch_seen, self.last.epoch)
        self.uncommitted_count = 0  # the machine that sent it has it too

    def trim(self, retained: int = RETAINED_REVISIONS) -> None:
        """Replace all but the newest changes by a snapshot."""
        self.history.trim(retained)

    # --------------------------------------------------------------------- promotion

    def next_epoch(self, seen_by_peers: Iterable[Epoch]) -> Epoch:
        """Return an epoch of this machine above all that it and its peers have seen."""
        highest = max(epoch.number for epoch in (self.highest_epoch_seen, *seen_by_peers))
        return Epoch(highest + 1, self.name)

    def check_promotable(self, peer_revisions: Mapping[str, Revision]) -> None:
        """Check that this machine may lead, by the last revisions of the peers that answered.

        Raises:
            NotPromotableError: A peer has more, or too few answered.
        """
        check_promotable(self.name, self.last, self.peers, peer_revisions)

    def epoch_observed(self, epoch: Epoch) -> None:
        """An epoch was seen, and its record is in the log."""
        self.highest_epoch_seen = max(self.highest_epoch_seen, epoch)

    def draft_promotion(self, epoch: Epoch, created_at_s: float, author: str, unreplicated: bool) -> Change:
        """Return the first change of this machine's epoch. It changes nothing, and gives others something to follow.

        Raises:
            PromotionSupersededError: A higher epoch was seen.
        """
        if self.highest_epoch_seen != epoch:
            raise PromotionSupersededError(self.name, self.highest_epoch_seen.leader)
        revision = Revision(*epoch, self.last.number + 1)
        note = f"{self.name} writes from here on"
        return Change(revision, {}, author, note, created_at_s, unreplicated)
