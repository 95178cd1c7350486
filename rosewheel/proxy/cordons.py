"""The servers that receive no new requests, and who decided so: operators of this node, or the fleet's configuration.

The two sets are separate, because an operator who lifts a cordon can only speak for cordons set by hand: a server is
cordoned while either set names it. A name that the endpoint list does not hold takes effect once the list holds it.
"""

from __future__ import annotations

import enum
import logging
from collections.abc import Callable

from rosewheel.proxy.shared_state import SharedState, with_cordon

log = logging.getLogger("rosewheel.cordons")


class CordonSource(enum.Enum):
    """Who has cordoned a server."""

    OPERATOR = "operator"
    FLEET = "fleet"


class Cordons:
    """The cordons of both sources.

    Args:
        apply: Called for each server that a set gained or lost, with whether it is cordoned now by either source.
    """

    def __init__(self, apply: Callable[[str, bool], None]) -> None:
        self._apply = apply
        self.by_operator: frozenset[str] = frozenset()
        self.by_fleet: frozenset[str] = frozenset()

    @property
    def cordoned(self) -> frozenset[str]:
        """The servers that either source has cordoned."""
        return self.by_operator | self.by_fleet

    def set_by_operator(self, servers: frozenset[str]) -> None:
        """Replaces the set of servers that operators have cordoned."""
        before, self.by_operator = self.by_operator, servers
        self._apply_changes(before, servers, CordonSource.OPERATOR)

    def set_by_fleet(self, servers: frozenset[str]) -> None:
        """Replaces the set of servers that the fleet's configuration has cordoned."""
        before, self.by_fleet = self.by_fleet, servers
        self._apply_changes(before, servers, CordonSource.FLEET)

    async def change_by_operator(self, server: str, cordoned: bool, shared_state: SharedState) -> None:
        """Sets or lifts one operator's cordon, here and in the shared state.

        Raises:
            OSError: The shared state can't be written. The change holds in this process all the same.
        """
        self.set_by_operator(
            with_cordon(self.by_operator, server, cordoned)
        )  # at once, whatever the file does
        await shared_state.set_cordon(server, cordoned)
        # Again: while this call waited for the lock, a poll may have applied the file as it was before.
        self.set_by_operator(with_cordon(self.by_operator, server, cordoned))

    def _apply_changes(self, before: frozenset[str], after: frozenset[str], source: CordonSource) -> None:
        for server in sorted(before ^ after):
            is_cordoned = server in self.cordoned
            event = "cordon set" if server in after else "cordon lifted"
            log.info("%s: server=%s, by=%s, cordoned=%s", event, server, source.value, is_cordoned)
            self._apply(server, is_cordoned)
