"""Which servers are taken out, and by whom: operators at this node's door, or the fleet for all of its nodes.

Two sets, since one who lets a server serve again knows only why he took it out himself: it is out while either
holds it. Names that the list does not have just now count once it has them.
"""

from __future__ import annotations

import logging
from collections.abc import Callable

from rosewheel.proxy.state import SharedState, changed

log = logging.getLogger("rosewheel.cordons")


class Cordons:
    """Tells `carry_out` of each server whether it is out, at every change of either set."""

    def __init__(self, carry_out: Callable[[str, bool], None]) -> None:
        self.carry_out = carry_out
        self.by_hand: frozenset[str] = frozenset()
        self.by_fleet: frozenset[str] = frozenset()

    @property
    def out(self) -> frozenset[str]:
        return self.by_hand | self.by_fleet

    def hand(self, members: frozenset[str]) -> None:
        """These are out by hand from now on, and no others."""
        before, self.by_hand = self.by_hand, members
        self._changed(before, members, "by hand")

    async def put(self, member: str, out: bool, state: SharedState) -> None:
        """One is taken out by hand, or no longer. OSError where that can't be kept; it holds in this process then."""
        self.hand(changed(self.by_hand, member, out))  # at once, whatever comes of the file
        await state.put(member, out)
        self.hand(
            changed(self.by_hand, member, out)
        )  # meanwhile the file may have been read as it was before

    def fleet(self, members: frozenset[str]) -> None:
        """The same of the fleet."""
        before, self.by_fleet = self.by_fleet, members
        self._changed(before, members, "by the fleet")

    def _changed(self, before: frozenset[str], now: frozenset[str], whose: str) -> None:
        for member in sorted(before ^ now):
            out = member in self.out
            if member in now:
                log.info("%s is taken out %s", member, whose)
            else:
                log.info("%s %s", member, "stays out" if out else "may serve again")
            self.carry_out(member, out)
