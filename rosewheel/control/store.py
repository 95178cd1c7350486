"""A replica with its log: what it says of itself is on disk. One thing is done after the other."""

from __future__ import annotations

import asyncio
import logging
import time
from collections.abc import Callable, Mapping

from rosewheel.control import checks
from rosewheel.control.log import Log, Record
from rosewheel.control.replica import (
    Replica,
    Tail,
    base_record,
    change_record,
)
from rosewheel.control.versions import KEPT, Change, Document, Epoch, Position, difference, merged, named

log = logging.getLogger("rosewheel.control")


class NotHeldError(Exception):
    """It is written here, but whether it holds is not known: no other machine is known to have it."""


class Store:
    """`changed` is called after each step."""

    def __init__(self, disk: Log, replica: Replica, changed: Callable[[], None]) -> None:
        self.disk, self.replica, self._changed = disk, replica, changed
        self._turn = asyncio.Lock()
        self._waiting: list[tuple[Position, asyncio.Future[None]]] = []

    @classmethod
    def opened(cls, disk: Log, name: str, peers: list[str], first: str, changed: Callable[[], None]) -> Store:
        """OSError where the folder can't be written."""
        records, disk.records = disk.records, []
        replica = Replica(name, peers, first, records)
        if disk.cut:
            log.warning("%s: the last %d bytes were never whole, and are cut off", disk.path, disk.cut)
        if replica.fresh:
            disk.append([replica.seen_record])
        log.info("%s holds %s, has seen epoch %d (%s)", name, named(replica.top), *replica.seen)
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
        change = self.replica.draft(patch, expected, by=by, note=note, alone=alone, at_s=time.time())
        document = merged(self.replica.versions.document, patch)
        checks.check(document)
        if not difference(self.replica.versions.document, document):
            return None
        await self._append([change_record(change)])
        self.replica.wrote(change)
        await self._compact()
        self._step()
        return change

    async def rollback(self, version: int, expected: int, by: str, alone: bool = False) -> Change | None:
        """As `put`; UnknownVersionError where that version is not kept."""
        async with self._turn:
            patch = self.replica.versions.back_to(version)
            return await self._put(patch, expected, by, f"back to version {version}", alone)

    async def held(self, position: Position, within_s: float) -> None:
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
            text = f"{named(position)} is written here, but no other machine has it yet: it is in force nowhere, "
            raise NotHeldError(text + "and will be once one has") from error
        finally:
            self._waiting.remove(entry)

    def _stands(self, position: Position) -> bool:
        return self.replica.shown >= position and self.replica.versions.at(position) is not None

    # ------------------------------------------------------------ what others tell

    async def take(self, tail: Tail) -> None:
        """FencedError or ValueError where it must not be taken, OSError where it can't be kept."""
        async with self._turn:
            replica = self.replica
            replica.check(tail)
            changes = [change_record(change) for change in tail.changes]
            if tail.base is None:
                await self._append(changes)
            else:  # in one piece: half of it would be less than what others count on
                records = [base_record(tail.base), *changes, replica.seen_record]
                await asyncio.to_thread(self.disk.rewrite, records)
            replica.took(tail)
            await self._compact()
            self._step()

    async def learn(self, epoch: Epoch) -> bool:
        """A higher epoch is on disk before anything is done by it; whether it was one."""
        if epoch <= self.replica.seen:
            return False
        async with self._turn:
            if epoch <= self.replica.seen:
                return False
            wrote = self.replica.writes
            await self._append([{"kind": "seen", "epoch": epoch}])
            self.replica.learned(epoch)
            if wrote:
                log.warning("%s was promoted: this machine writes no more", epoch.writer)
            self._step()
            return True

    def heard(self, peer: str, position: Position) -> None:
        """A peer has this on disk."""
        if self.replica.held(peer, position):
            self._step()

    async def lead(self, epoch: Epoch, holds: Mapping[str, Position], force: bool, by: str) -> Change:
        """The last step of a promotion, once enough machines take nothing older: the first version of the epoch.
        BehindError, NotWriterError."""
        async with self._turn:
            if not force:
                self.replica.may_lead(holds)
            alone = force and not holds
            change = self.replica.promotion(epoch, time.time(), by, alone)
            await self._append([change_record(change)])
            self.replica.wrote(change)
            log.warning("this machine writes from %s on", named(change.position))
            self._step()
            return change

    # ----------------------------------------------------------------------- disk

    async def close(self) -> None:
        """After what is being written."""
        async with self._turn:
            self.disk.close()

    async def _append(self, records: list[Record]) -> None:
        await asyncio.to_thread(self.disk.append, records)

    async def _compact(self) -> None:
        if self.disk.count > 2 * KEPT + 2:
            self.replica.trim()
            await asyncio.to_thread(self.disk.rewrite, self.replica.records)

    def _step(self) -> None:
        for position, future in self._waiting:
            if future.done():
                continue
            if self._stands(position):
                future.set_result(None)
            elif not self.replica.writes:
                text = f"{self.replica.seen.writer} was promoted before another machine had {named(position)}"
                future.set_exception(NotHeldError(f"{text}: whether it holds is not known"))
        self._changed()
