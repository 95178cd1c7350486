"""The old process's side: offers what is open, one thing after the other, and takes back what nobody took."""

from __future__ import annotations

import asyncio
import contextlib
import logging
import os

from rosewheel.hot_restart.channel import Channel, close_descriptors
from rosewheel.hot_restart.migration import MigratedConnection, Migration
from rosewheel.hot_restart.transfers import TransferLedger

log = logging.getLogger("rosewheel.hot_restart")


class Sender:
    """Over one link. `flag` is a pipe of which the new process has the reading end: a byte in it says that what had
    no receipt by then stays here."""

    def __init__(self, link: Channel, moves: Migration, flag: int) -> None:
        self.link, self.moves, self.flag = link, moves, flag
        self.transfers: TransferLedger[MigratedConnection] = TransferLedger()
        self.loop = asyncio.get_running_loop()
        self.lifting = 0  # on their way off the loop
        self.over = False  # the link is no more, or is just being ended
        self.migrated: dict[str, int] = {}

    @property
    def busy(self) -> bool:
        return bool(self.lifting or self.transfers.pending_count)

    def offer_next(self) -> bool:
        """Do what can be done by now; whether the link still serves."""
        if self.over:
            return False
        if self.transfers.overdue(self.loop.time()):
            log.warning("the new process does not take what it is given: the rest stays here")
            self.revoke()
        while not self.over and self.transfers.pending_count + self.lifting < self.transfers.window:
            self.lifting += 1
            if not self.moves.detach_next(self._lifted):
                self.lifting -= 1
                break
        return not self.over

    def _lifted(self, item: MigratedConnection | None) -> None:
        self.lifting -= 1
        if item is None:
            return
        if self.over:
            self.moves.resume(item, kept=True)
            return
        number = self.transfers.offer(item, self.loop.time())
        held = self.moves.relay.descriptors
        self.link.send({**item.message(number), "held": held}, item.held, tuple(item.fds))

    def took(self, number: object) -> None:
        item = self.transfers.accept(number) if isinstance(number, int) else None
        if item is not None:
            close_descriptors(item.fds)
            self.migrated[item.kind] = self.migrated.get(item.kind, 0) + 1
            if not self.over:
                self.offer_next()

    def refused(self, number: object, why: object) -> None:
        item = self.transfers.reject(number) if isinstance(number, int) else None
        if item is None:
            return
        log.debug("%s stays: %s", item.kind, why)
        if item.kind == "equipo":  # of no use there, and none here any more
            close_descriptors(item.fds)
        else:
            self.moves.resume(item, kept=True)
        if not self.over:
            self.offer_next()

    def revoke(self) -> None:
        """From now on nothing is taken any more. In this order: the word, the end of receipts, a look at those that
        had been sent. What has none then is this process's."""
        self.over = True
        with contextlib.suppress(OSError):
            os.write(self.flag, b"1")
        self.link.silence()
        self.link.close()

    def lost(self) -> None:
        """The link has ended, and all that the other side had said has been heard. Called once."""
        self.over = True
        close_descriptors([self.flag])
        for item in self.transfers.take_back():
            self.moves.resume(item, kept=True)
