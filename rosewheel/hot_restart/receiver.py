"""The new process's side: takes what it is offered, after the receipt is out and not before."""

from __future__ import annotations

import logging
import os

from rosewheel.hot_restart.channel import Link, drop
from rosewheel.hot_restart.migration import Item, Moves

log = logging.getLogger("rosewheel.hot_restart")


class Taker:
    """Over one link. `flag` is the reading end of the giver's pipe."""

    def __init__(self, link: Link, moves: Moves, flag: int) -> None:
        self.link, self.moves, self.flag = link, moves, flag
        self.taken: dict[str, int] = {}

    def given(self, number: int, item: Item) -> None:
        """The rule: until the receipt is in the giver's hands the item is the giver's."""
        why = self.moves.unwanted(item)
        if why:
            drop(item.fds)
            self.link.send({"t": "no", "n": number, "why": why})
            return
        try:
            if not self.link.send_now({"t": "took", "n": number}):
                # A receipt that waits in a queue would be out at a moment that nobody here knows.
                log.warning("the old process hears nothing: what it offers stays with it")
                drop(item.fds)
                self.link.close()
                return
        except OSError:
            if self._revoked():
                drop(item.fds)
                return
            # The old process has been killed. What it had offered is nobody's but this one's.
        self.taken[item.kind] = self.taken.get(item.kind, 0) + 1
        self.moves.go_on(item)

    def _revoked(self) -> bool:
        """Whether the giver has said that it keeps what had no receipt. It says so before it stops to hear
        receipts; an end that it never spoke of is its death."""
        try:
            return os.read(self.flag, 1) != b""
        except OSError:
            return False

    def close(self) -> None:
        drop([self.flag])
