"""Selects the machine from which a follower replicates. No I/O and no clock.

The source is the leader, or another follower while the leader is unreachable.
"""

from __future__ import annotations

from collections.abc import Sequence
from enum import Enum, auto
from random import Random

LEADER_RETURN_DELAY_S = 1.0  # minimum time to watch another follower before a switch back to the leader


class SourceAction(Enum):
    """The action to take on the replication watch."""

    KEEP = auto()
    STOP = auto()
    OPEN = auto()  # open a watch at `ReplicationSource.current`


class ReplicationSource:
    """The machine to watch.

    Attributes:
        current: Name of the watched machine; empty if there is none.
    """

    def __init__(self, name: str, peers: Sequence[str], random: Random) -> None:
        """Start without a watch.

        Args:
            name: Name of this machine.
            peers: Names of the other machines.
            random: Random source for the choice among followers.
        """
        self.current = ""
        self._name, self._peers, self._random = name, tuple(peers), random
        self._leader = ""  # leader at the last call of `reconcile`
        self._selected_at_s = 0.0

    def reconcile(self, leader: str, leader_alive: bool, now_s: float) -> SourceAction:
        """Reselect the source; called after each change of the replica and periodically.

        Args:
            leader: Leader of the highest epoch seen; empty if none is known.
            leader_alive: Whether the leader has been in contact recently.
            now_s: Current time, in seconds.

        Returns:
            The action to take on the watch.
        """
        old_leader, self._leader = self._leader, leader
        if leader in ("", self._name) or not self._peers:
            self.stop()
            return SourceAction.STOP
        if self.current and leader == old_leader and not self._leader_returned(leader, leader_alive, now_s):
            return SourceAction.KEEP
        self.select(leader if leader in self._peers else self._peers[0], now_s)
        return SourceAction.OPEN

    def _leader_returned(self, leader: str, leader_alive: bool, now_s: float) -> bool:
        return (
            self.current != leader
            and leader in self._peers
            and leader_alive
            and now_s - self._selected_at_s > LEADER_RETURN_DELAY_S
        )

    def select(self, peer: str, now_s: float) -> None:
        """Record that a watch is opened at a peer."""
        self.current, self._selected_at_s = peer, now_s

    def stop(self) -> None:
        """Record that the watch is closed."""
        self.current = ""

    def after_failure(self, leader: str, alive: Sequence[str]) -> str:
        """Return the peer to watch after the watch at the current one failed.

        Every other attempt goes to the leader, so that replication from it resumes as soon as it is reachable.

        Args:
            leader: Leader of the highest epoch seen.
            alive: Peers that have been in contact recently.
        """
        if self.current != leader and leader in self._peers:
            return leader
        others = [peer for peer in alive if peer != self.current]
        return self._random.choice(others) if others else self.current
