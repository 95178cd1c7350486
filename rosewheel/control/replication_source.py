"""Which machine a follower watches: the leader, or another follower while the leader can't be reached.

No I/O and no clock.
"""

from __future__ import annotations

from collections.abc import Sequence
from enum import Enum, auto
from random import Random

LEADER_RETURN_S = 1.0  # how long a follower is watched at least before the leader is tried again


class SourceAction(Enum):
    """What to do with the watch."""

    KEEP = auto()
    STOP = auto()
    OPEN = auto()  # at `ReplicationSource.current`


class ReplicationSource:
    """Selects the machine to watch.

    Attributes:
        current: The machine that is watched; empty for none.
    """

    def __init__(self, name: str, peers: Sequence[str], random: Random) -> None:
        """Start without a watch.

        Args:
            name: This machine.
            peers: The other machines.
            random: Chooses among followers.
        """
        self.current = ""
        self._name, self._peers, self._random = name, tuple(peers), random
        self._leader = ""  # as of the last call of `reconcile`
        self._selected_at_s = 0.0

    def reconcile(self, leader: str, leader_alive: bool, now_s: float) -> SourceAction:
        """Select the source after a change, or periodically.

        Args:
            leader: The leader of the highest epoch seen; empty where none is known.
            leader_alive: Whether it has been in contact.
            now_s: Present time in seconds.
        """
        known_leader, self._leader = self._leader, leader
        if leader in ("", self._name) or not self._peers:
            self.stop()
            return SourceAction.STOP
        if self.current and leader == known_leader and not self._leader_returned(leader, leader_alive, now_s):
            return SourceAction.KEEP
        self.select(leader if leader in self._peers else self._peers[0], now_s)
        return SourceAction.OPEN

    def _leader_returned(self, leader: str, leader_alive: bool, now_s: float) -> bool:
        return (
            self.current != leader
            and leader in self._peers
            and leader_alive
            and now_s - self._selected_at_s > LEADER_RETURN_S
        )

    def select(self, peer: str, now_s: float) -> None:
        """A watch is opened at a peer."""
        self.current, self._selected_at_s = peer, now_s

    def stop(self) -> None:
        """The watch is closed."""
        self.current = ""

    def after_failure(self, leader: str, alive: Sequence[str]) -> str:
        """Return the peer to watch after the current one failed.

        The leader is tried after each other machine, so that it is watched again as soon as it can be.

        Args:
            leader: The leader of the highest epoch seen.
            alive: Peers that have been in contact.
        """
        if self.current != leader and leader in self._peers:
            return leader
        others = [peer for peer in alive if peer != self.current]
        return self._random.choice(others) if others else self.current
