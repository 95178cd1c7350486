"""Cordons: servers that receive no new requests, by decision of an operator or of the fleet's configuration.

Each source has a set of its own, so that lifting an operator's cordon does not lift the fleet's. A server is cordoned
while it is in either set. The cordon of a server that is not in the endpoint list takes effect when it is added.
"""

from __future__ import annotations

import enum
import logging
from collections.abc import Callable

from rosewheel.proxy.shared_state import SharedState, with_cordon

log = logging.getLogger("rosewheel.cordons")


class CordonSource(enum.Enum):
    """The source of a cordon."""

    OPERATOR = "operator"
    FLEET = "fleet"


class Cordons:
    """The cordons of both sources.

    Args:
        apply: Called for each server that was added to or removed from a set, with whether either set contains it now.
    """

    def __init__(self, apply: Callable[[str, bool], None]) -> None:
        self._apply = apply
        self.by_operator: frozenset[str] = frozenset()
        self.by_fleet: frozenset[str] = frozenset()

    @property
    def cordoned(self) -> frozenset[str]:
        """The servers that are cordoned by either source."""
        return self.by_operator | self.by_fleet

    def set_by_operator(self, servers: frozenset[str]) -> None:
        """Replaces the set of servers that operators cordon."""
        before, self.by_operator = self.by_operator, servers
        self._apply_changes(before, servers, CordonSource.OPERATOR)

    def set_by_fleet(self, servers: frozenset[str]) -> None:
        """Replaces the set of servers that the fleet's configuration cordons."""
        before, self.by_fleet = self.by_fleet, servers
        self._apply_changes(before, servers, CordonSource.FLEET)

    async def change_by_operator(self, server: str, cordoned: bool, shared_state: SharedState) -> None:
        """Sets or lifts an operator's cordon, in this process and in the shared state.

        Raises:
            OSError: The shared state can't be written. The change is in force in this process nevertheless.
        """
        # Applied first, so that a slow or failing write does not delay it.
        self.set_by_operator(with_cordon(self.by_operator, server, cordoned))
        await shared_state.set_cordon(server, cordoned)
        # Applied again: during the wait for the lock, a poll may have applied the old content of the file.
        self.set_by_operator(with_cordon(self.by_operator, server, cordoned))

    def _apply_changes(self, before: frozenset[str], after: frozenset[str], source: CordonSource) -> None:
        for server in sorted(before ^ after):
            is_cordoned = server in self.cordoned
            event = "cordon set" if server in after else "cordon lifted"
            log.info("%s: server=%s, by=%s, cordoned=%s", event, server, source.value, is_cordoned)
            self._apply(server, is_cordoned)
