"""What each node has acknowledged. No I/O and no clock: times are seconds of the machine that has the registry.

Nodes acknowledge to the machine that they watch. Machines pass changed statuses on in batches, so the leader has those
of all. A node stamps its messages, so the later of two statuses counts in whichever order they arrive.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass, replace

from rosewheel.control.messages import NodeStatus
from rosewheel.control.revisions import INITIAL_REVISION

NODE_EXPIRY_S = 24 * 3600.0  # a disconnected node is no longer counted after this time


@dataclass(slots=True)
class NodeEntry:
    """A node in the registry.

    Attributes:
        status: The latest status.
        updated_at_s: When the last message about the node arrived.
        unchanged_since_s: Since when its applied and rejected revisions have been the same.
    """

    status: NodeStatus
    updated_at_s: float
    unchanged_since_s: float


class NodeRegistry:
    """The latest status of each node.

    Attributes:
        expiry_s: How long a disconnected node is counted.
        entries: By the node's name.
    """

    def __init__(self, expiry_s: float = NODE_EXPIRY_S) -> None:
        self.expiry_s = expiry_s
        self.entries: dict[str, NodeEntry] = {}
        self._changed: dict[str, None] = {}  # names, in the order of the changes

    def __len__(self) -> int:
        """Count the nodes."""
        return len(self.entries)

    def __iter__(self) -> Iterator[NodeEntry]:
        """Iterate over the entries."""
        return iter(self.entries.values())

    def record(self, status: NodeStatus, now_s: float) -> bool:
        """Record a status unless a later one is known.

        Returns:
            Whether it changed anything.
        """
        entry = self.entries.get(status.node)
        if entry is None:
            self.entries[status.node] = NodeEntry(status, now_s, now_s)
        else:
            known = entry.status
            # The machine that a node has left may report it after the next machine did.
            if status.stamp < known.stamp or (
                status.stamp == known.stamp and status.machine != known.machine
            ):
                return False
            entry.updated_at_s = now_s
            if status == known:
                return False
            if (status.applied, status.rejected) != (known.applied, known.rejected):
                entry.unchanged_since_s = now_s
            entry.status = status
        self._changed[status.node] = None
        return True

    def connected(self, node: str, service: str, machine: str, stamp: int, now_s: float) -> None:
        """A node has opened a watch at a machine. What it has applied stays as last reported."""
        entry = self.entries.get(node)
        known = entry.status if entry is not None else NodeStatus(node, service, machine, 0, INITIAL_REVISION)
        status = replace(known, service=service, machine=machine, stamp=stamp, connected=True)
        self.record(status, now_s)

    def disconnected(self, node: str, machine: str, now_s: float) -> None:
        """A node's watch at a machine has ended."""
        entry = self.entries.get(node)
        if entry is not None and entry.status.machine == machine and entry.status.connected:
            entry.status = replace(entry.status, connected=False)
            entry.updated_at_s = now_s
            self._changed[node] = None

    def machine_lost(self, machine: str, now_s: float) -> None:
        """A machine is silent, so its nodes move to others."""
        for node, entry in self.entries.items():
            if entry.status.machine == machine:
                self.disconnected(node, machine, now_s)

    def take_changes(self) -> list[NodeStatus]:
        """Return the statuses that changed since the last call."""
        statuses = [self.entries[node].status for node in self._changed if node in self.entries]
        self._changed.clear()
        return statuses

    def statuses_of_machine(self, machine: str) -> list[NodeStatus]:
        """Return all statuses that a machine has first-hand, for a leader that knows nothing yet."""
        return [entry.status for entry in self if entry.status.machine == machine]

    def expire(self, now_s: float) -> int:
        """Forget nodes that have been disconnected for `expiry_s`.

        Returns:
            How many.
        """
        expired = [
            node
            for node, entry in self.entries.items()
            if not entry.status.connected and now_s - entry.updated_at_s > self.expiry_s
        ]
        for node in expired:
            del self.entries[node]
            self._changed.pop(node, None)
        return len(expired)
