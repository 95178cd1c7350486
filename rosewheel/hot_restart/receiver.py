"""The new process's side: takes what it is offered, after the receipt is out and not before."""

from __future__ import annotations

import logging
import os

from rosewheel.hot_restart.channel import Channel, close_descriptors
from rosewheel.hot_restart.migration import MigratedConnection, Migration

log = logging.getLogger("rosewheel.hot_restart")


class Receiver:
    """Over one link. `flag` is the reading end of the giver's pipe."""

    def __init__(self, link: Channel, moves: Migration, flag: int) -> None:
        self.link, self.moves, self.flag = link, moves, flag
        self.received: dict[str, int] = {}

    def given(self, number: int, item: MigratedConnection) -> None:
        """The rule: until the receipt is in the giver's hands the item is the giver's."""
        why = self.moves.rejection_reason(item)
        if why:
            close_descriptors(item.fds)
            self.link.send({"t": "no", "n": number, "why": why})
            return
        try:
            if not self.link.send_now({"t": "took", "n": number}):
                # A receipt that waits in a queue would be out at a moment that nobody here knows.
                log.warning("the old process hears nothing: what it offers stays with it")
                close_descriptors(item.fds)
                self.link.close()
                return
        except OSError:
            if self._revoked():
                close_descriptors(item.fds)
                return
            # The old process has been killed. What it had offered is nobody's but this one's.
        self.received[item.kind] = self.received.get(item.kind, 0) + 1
        self.moves.resume(item)

    def _revoked(self) -> bool:
        """Whether the giver has said that it keeps what had no receipt. It says so before it stops to hear
        receipts; an end that it never spoke of is its death."""
        try:
            return os.read(self.flag, 1) != b""
        except OSError:
            return False

    def close(self) -> None:
        close_descriptors([self.flag])
