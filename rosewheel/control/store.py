"""A replica with its log: what it says of itself is on disk. One thing is done after the other."""

from __future__ import annotations

import asyncio
import logging
import time
from collections.abc import Callable, Mapping

from rosewheel.control import validation
from rosewheel.control.durable_log import DurableLog, LogRecord
from rosewheel.control.replica import (
    LogSuffix,
    Replica,
    encode_change,
    encode_snapshot,
)
from rosewheel.control.revisions import (
    RETAINED_REVISIONS,
    Change,
    Document,
    Epoch,
    Revision,
    apply_patch,
    describe,
    make_patch,
)

log = logging.getLogger("rosewheel.control")


class ReplicationTimeoutError(Exception):
    """It is written here, but whether it holds is not known: no other machine is known to have it."""


class Store:
    """`changed` is called after each step."""

    def __init__(self, disk: DurableLog, replica: Replica, changed: Callable[[], None]) -> None:
        self.log, self.replica, self._changed = disk, replica, changed
        self._turn = asyncio.Lock()
        self._waiting: list[tuple[Revision, asyncio.Future[None]]] = []

    @classmethod
    def recover(
        cls, disk: DurableLog, name: str, peers: list[str], first: str, changed: Callable[[], None]
    ) -> Store:
        """OSError where the folder can't be written."""
        records, disk.records = disk.records, []
        replica = Replica(name, peers, first, records)
        if disk.truncated_bytes:
            log.warning(
                "%s: the last %d bytes were never whole, and are cut off", disk.path, disk.truncated_bytes
            )
        if replica.started_empty:
            disk.append([replica.epoch_record])
        log.info(
            "%s holds %s, has seen epoch %d (%s)", name, describe(replica.last), *replica.highest_epoch_seen
        )
        return cls(disk, replica, changed)

    # -------------------------------------------------------------------- writing

    async def put(
        self, patch: Document, expected: int, by: str, note: str, alone: bool = False
    ) -> Change | None:
        """The new version, on disk here; None where nothing would change. ValueError for a bad one, NotWriterError,
        PendingError, ConflictError, OSError: nothing is written then."""
        async with self._turn:
            return await self._put(patch, expected, by, note, alone)

    async def _put(self, patch: Document, expected: int, by: str, note: str, alone: bool) -> Change | None:
        change = self.replica.draft(
            patch, expected, author=by, note=note, unreplicated=alone, created_at_s=time.time()
        )
        document = apply_patch(self.replica.history.document, patch)
        validation.validate_document(document)
        if not make_patch(self.replica.history.document, document):
            return None
        await self._append([encode_change(change)])
        self.replica.appended(change)
        await self._compact()
        self._step()
        return change

    async def rollback(self, version: int, expected: int, by: str, alone: bool = False) -> Change | None:
        """As `put`; UnknownVersionError where that version is not kept."""
        async with self._turn:
            patch = self.replica.history.rollback_patch(version)
            return await self._put(patch, expected, by, f"back to version {version}", alone)

    async def wait_committed(self, position: Revision, within_s: float) -> None:
        """Until another machine has it too; NotHeldError."""
        if self._stands(position):
            return
        future: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        entry = (position, future)
        self._waiting.append(entry)
        try:
            async with asyncio.timeout(within_s):
                await future
        except TimeoutError as error:
            text = f"{describe(position)} is written here, but no other machine has it yet: it is in force nowhere, "
            raise ReplicationTimeoutError(text + "and will be once one has") from error
        finally:
            self._waiting.remove(entry)

    def _stands(self, position: Revision) -> bool:
        return self.replica.committed >= position and self.replica.history.document_at(position) is not None

    # ------------------------------------------------------------ what others tell

    async def append_suffix(self, tail: LogSuffix) -> None:
        """FencedError or ValueError where it must not be taken, OSError where it can't be kept."""
        async with self._turn:
            replica = self.replica
            replica.validate_suffix(tail)
            changes = [encode_change(change) for change in tail.changes]
            if tail.snapshot is None:
                await self._append(changes)
            else:  # in one piece: half of it would be less than what others count on
                records = [encode_snapshot(tail.snapshot), *changes, replica.epoch_record]
                await asyncio.to_thread(self.log.rewrite, records)
            replica.suffix_appended(tail)
            await self._compact()
            self._step()

    async def observe_epoch(self, epoch: Epoch) -> bool:
        """A higher epoch is on disk before anything is done by it; whether it was one."""
        if epoch <= self.replica.highest_epoch_seen:
            return False
        async with self._turn:
            if epoch <= self.replica.highest_epoch_seen:
                return False
            wrote = self.replica.is_leader
            await self._append([{"kind": "seen", "epoch": epoch}])
            self.replica.epoch_observed(epoch)
            if wrote:
                log.warning("%s was promoted: this machine writes no more", epoch.leader)
            self._step()
            return True

    def replica_ack(self, peer: str, position: Revision) -> None:
        """A peer has this on disk."""
        if self.replica.replica_ack(peer, position):
            self._step()

    async def begin_epoch(self, epoch: Epoch, holds: Mapping[str, Revision], force: bool, by: str) -> Change:
        """The last step of a promotion, once enough machines take nothing older: the first version of the epoch.
        BehindError, NotWriterError."""
        async with self._turn:
            if not force:
                self.replica.check_promotable(holds)
            alone = force and not holds
            change = self.replica.draft_promotion(epoch, time.time(), by, alone)
            await self._append([encode_change(change)])
            self.replica.appended(change)
            log.warning("this machine writes from %s on", describe(change.revision))
            self._step()
            return change

    # ----------------------------------------------------------------------- disk

    async def close(self) -> None:
        """After what is being written."""
        async with self._turn:
            self.log.close()

    async def _append(self, records: list[LogRecord]) -> None:
        await asyncio.to_thread(self.log.append, records)

    async def _compact(self) -> None:
        if self.log.record_count > 2 * RETAINED_REVISIONS + 2:
            self.replica.trim()
            await asyncio.to_thread(self.log.rewrite, self.replica.log_records)

    def _step(self) -> None:
        for position, future in self._waiting:
            if future.done():
                continue
            if self._stands(position):
                future.set_result(None)
            elif not self.replica.is_leader:
                leader = self.replica.highest_epoch_seen.leader
                text = f"{leader} was promoted before another machine had {describe(position)}"
                future.set_exception(ReplicationTimeoutError(f"{text}: whether it holds is not known"))
        self._changed()
