"""A replica with its log: operations run one at a time, and write to disk before they update the replica."""

from __future__ import annotations

import asyncio
import logging
import time
from collections.abc import Callable, Iterable, Mapping, Sequence
from dataclasses import dataclass

from rosewheel.control.codec.log_records import decode_log_record, encode_log_record
from rosewheel.control.documents import Document, apply_patch, make_patch
from rosewheel.control.durable_log import DurableLog
from rosewheel.control.errors import ReplicationSupersededError, ReplicationTimeoutError
from rosewheel.control.history import RETAINED_REVISIONS
from rosewheel.control.messages import PutRequest, RollbackRequest
from rosewheel.control.replica import Replica
from rosewheel.control.revisions import Change, Epoch, EpochObserved, LogRecord, LogSuffix, Revision
from rosewheel.control.validation import validate_document

log = logging.getLogger("rosewheel.control")


@dataclass(slots=True, frozen=True)
class _CommitWaiter:
    revision: Revision
    future: asyncio.Future[None]


class Store:
    """One machine's replica and log.

    Attributes:
        log: The log on disk.
        replica: The replication state recorded in the log.
    """

    def __init__(self, durable_log: DurableLog, replica: Replica, on_change: Callable[[], None]) -> None:
        """Combine a replica with its log.

        Args:
            durable_log: The log that `replica` was rebuilt from.
            replica: The replica.
            on_change: Called after each operation that changed the replica.
        """
        self.log, self.replica = durable_log, replica
        self._on_change = on_change
        self._lock = asyncio.Lock()
        self._waiters: list[_CommitWaiter] = []

    @classmethod
    def recover(
        cls,
        durable_log: DurableLog,
        name: str,
        peers: Sequence[str],
        initial_leader: str,
        on_change: Callable[[], None],
    ) -> Store:
        """Rebuild a machine's replica from its log.

        Args:
            durable_log: The log.
            name: Name of the machine.
            peers: Names of the other machines.
            initial_leader: Leader of the first epoch; ignored unless the log is empty.
            on_change: Called after each operation that changed the replica.

        Raises:
            OSError: The log can't be written.
            MalformedMessageError: A log record can't be decoded.
        """
        records = [decode_log_record(body) for body in durable_log.take_records()]
        replica = Replica(name, peers, initial_leader, records)
        if durable_log.truncated_bytes:
            log.warning(
                "log truncated: incomplete last record, path=%s bytes=%d",
                durable_log.path,
                durable_log.truncated_bytes,
            )
        if replica.started_empty:
            durable_log.append([encode_log_record(replica.epoch_record)])
        epoch = replica.highest_epoch_seen
        log.info(
            "log opened: machine=%s revision=%d epoch=%d leader=%s",
            *(name, replica.last.number, epoch.number, epoch.leader),
        )
        return cls(durable_log, replica, on_change)

    # Changes by operators.

    async def put(self, request: PutRequest) -> Change | None:
        """Write a change to this machine's log.

        Returns:
            The change; None if the patch does not change the document.

        Raises:
            InvalidDocumentError: Nodes could not apply the new document.
            NotLeaderError: This machine is not the leader.
            WriteUnavailableError: This machine is the leader but can't accept a change yet.
            RevisionConflictError: The expected revision is not the last one.
            OSError: The log can't be written.
        """
        async with self._lock:
            return await self._put(request)

    async def rollback(self, request: RollbackRequest) -> Change | None:
        """Write a change that restores the document of an earlier revision.

        Returns:
            The change; None if the document already equals that of the earlier revision.

        Raises:
            UnknownRevisionError: The revision is not retained. Other exceptions are those of `put`.
        """
        async with self._lock:
            patch = self.replica.history.rollback_patch(request.target)
            note = f"back to version {request.target}"
            return await self._put(
                PutRequest(patch, request.expected, request.author, note, request.unreplicated)
            )

    async def _put(self, request: PutRequest) -> Change | None:
        change = self.replica.draft(request, time.time())
        if not self._changes_document(change.patch):
            return None
        await self._append([change])
        self.replica.appended(change)
        await self._compact()
        self._notify()
        return change

    def _changes_document(self, patch: Document) -> bool:
        """Return whether a patch changes the document.

        Raises:
            InvalidDocumentError: Nodes could not apply the new document.
        """
        before = self.replica.history.last_document
        document = apply_patch(before, patch)
        validate_document(document)
        return bool(make_patch(before, document))

    async def wait_committed(self, revision: Revision, timeout_s: float) -> None:
        """Wait until a revision is committed.

        Raises:
            ReplicationTimeoutError: No other machine acknowledged it in time.
            ReplicationSupersededError: Another machine was promoted first.
        """
        if self._is_committed(revision):
            return
        waiter = _CommitWaiter(revision, asyncio.get_running_loop().create_future())
        self._waiters.append(waiter)
        try:
            async with asyncio.timeout(timeout_s):
                await waiter.future
        except TimeoutError as error:
            raise ReplicationTimeoutError(revision) from error
        finally:
            self._waiters.remove(waiter)

    def _is_committed(self, revision: Revision) -> bool:
        return self.replica.committed >= revision and self.replica.history.contains(revision)

    # Records and state from other machines.

    async def append_suffix(self, suffix: LogSuffix) -> None:
        """Append a log suffix from another machine.

        Raises:
            SuffixRejectedError: The suffix is fenced or stale.
            OutOfSequenceError: A change does not directly follow the previous revision.
            OSError: The log can't be written.
        """
        async with self._lock:
            self.replica.validate_suffix(suffix)
            if suffix.snapshot is None:
                await self._append(suffix.changes)
            else:
                # Atomic, since acknowledging the suffix's last revision covers all of it.
                await self._rewrite([suffix.snapshot, *suffix.changes, self.replica.epoch_record])
            self.replica.suffix_appended(suffix)
            await self._compact()
            self._notify()

    async def observe_epoch(self, epoch: Epoch) -> None:
        """Record an epoch that another machine or a node has seen. An epoch that is not the highest is ignored.

        Raises:
            OSError: The log can't be written.
        """
        if epoch <= self.replica.highest_epoch_seen:
            return
        async with self._lock:
            if epoch <= self.replica.highest_epoch_seen:
                return
            was_leader = self.replica.is_leader
            await self._append([EpochObserved(epoch)])
            self.replica.epoch_observed(epoch)
            if was_leader:
                log.warning("leadership lost: another machine promoted, leader=%s", epoch.leader)
            self._notify()

    def peer_acknowledged(self, peer: str, revision: Revision, digest: str) -> None:
        """Record that a peer has a revision on disk; see `Replica.peer_acknowledged`."""
        had_diverged = peer in self.replica.diverged_peers
        if self.replica.peer_acknowledged(peer, revision, digest):
            self._notify()
        if peer in self.replica.diverged_peers and not had_diverged:
            log.error("history diverged: peer=%s has another content of %s", peer, revision)

    async def begin_epoch(
        self, epoch: Epoch, peer_revisions: Mapping[str, Revision], force: bool, author: str
    ) -> Change:
        """Write the first revision of this machine's epoch, which is the last step of its promotion.

        Args:
            epoch: The epoch at which the peers were fenced.
            peer_revisions: Last revisions of the fenced peers.
            force: Skip the check that this machine may be promoted.
            author: Author of the promotion.

        Raises:
            NotPromotableError: A peer has a later revision, or too few peers were fenced.
            PromotionSupersededError: A higher epoch was seen.
            OSError: The log can't be written.
        """
        async with self._lock:
            if not force:
                self.replica.check_promotable(peer_revisions)
            unreplicated = force and not peer_revisions
            change = self.replica.draft_promotion(epoch, time.time(), author, unreplicated)
            await self._append([change])
            self.replica.appended(change)
            log.warning(
                "leadership acquired: revision=%d epoch=%d leader=%s",
                *(change.revision.number, epoch.number, epoch.leader),
            )
            self._notify()
            return change

    async def close(self) -> None:
        """Close the log once the operation in progress has ended."""
        async with self._lock:
            self.log.close()

    async def _append(self, records: Iterable[LogRecord]) -> None:
        await asyncio.to_thread(self.log.append, [encode_log_record(record) for record in records])

    async def _rewrite(self, records: Iterable[LogRecord]) -> None:
        await asyncio.to_thread(self.log.rewrite, [encode_log_record(record) for record in records])

    async def _compact(self) -> None:
        if self.log.record_count > 2 * RETAINED_REVISIONS + 2:
            self.replica.trim()
            await self._rewrite(self.replica.log_records)

    def _notify(self) -> None:
        """Resolve the waiters of committed or superseded revisions, then call `on_change`."""
        for waiter in self._waiters:
            if waiter.future.done():
                continue
            if self._is_committed(waiter.revision):
                waiter.future.set_result(None)
            elif not self.replica.is_leader:
                leader = self.replica.highest_epoch_seen.leader
                waiter.future.set_exception(ReplicationSupersededError(waiter.revision, leader))
        self._on_change()
