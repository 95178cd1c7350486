"""The latest status of each node. No I/O and no clock: times are passed in, in seconds of the local clock.

Nodes acknowledge to the machine that they watch. Machines forward changed statuses to the leader in batches, so the
leader knows all nodes. Nodes stamp their messages, so the latest status wins in any order of arrival.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass, replace

from rosewheel.control.messages import NodeStatus
from rosewheel.control.revisions import INITIAL_REVISION

NODE_EXPIRY_S = 24 * 3600.0  # time after which a disconnected node is removed


@dataclass(slots=True)
class NodeEntry:
    """A node in the registry.

    Attributes:
        status: The latest status.
        updated_at_s: Time of the last message about the node.
        unchanged_since_s: Time of the last change of the applied or rejected revision.
    """

    status: NodeStatus
    updated_at_s: float
    unchanged_since_s: float


class NodeRegistry:
    """The latest status of each node.

    Attributes:
        expiry_s: Time after which a disconnected node is removed, in seconds.
        entries: Entries by the name of the node.
    """

    def __init__(self, expiry_s: float = NODE_EXPIRY_S) -> None:
        self.expiry_s = expiry_s
        self.entries: dict[str, NodeEntry] = {}
        self._changed: dict[str, None] = {}  # ordered set of the names of changed nodes

    def __len__(self) -> int:
        """Return the number of nodes."""
        return len(self.entries)

    def __iter__(self) -> Iterator[NodeEntry]:
        """Iterate over the entries."""
        return iter(self.entries.values())

    def record(self, status: NodeStatus, now_s: float) -> bool:
        """Record a status unless a later one is recorded.

        Returns:
            Whether the node's status changed.
        """
        entry = self.entries.get(status.node)
        if entry is None:
            self.entries[status.node] = NodeEntry(status, now_s, now_s)
        else:
            last = entry.status
            # A report from the node's previous machine may arrive after one from its current machine.
            if status.stamp < last.stamp or (status.stamp == last.stamp and status.machine != last.machine):
                return False
            entry.updated_at_s = now_s
            if status == last:
                return False
            if (status.applied, status.rejected) != (last.applied, last.rejected):
                entry.unchanged_since_s = now_s
            entry.status = status
        self._changed[status.node] = None
        return True

    def connected(self, node: str, service: str, machine: str, stamp: int, now_s: float) -> None:
        """Record that a node has opened a watch at a machine, and keep its last reported revisions."""
        entry = self.entries.get(node)
        last = entry.status if entry is not None else NodeStatus(node, service, machine, 0, INITIAL_REVISION)
        status = replace(last, service=service, machine=machine, stamp=stamp, connected=True)
        self.record(status, now_s)

    def disconnected(self, node: str, machine: str, now_s: float) -> None:
        """Record that a node's watch at a machine has ended; ignored if the node has moved to another machine."""
        entry = self.entries.get(node)
        if entry is not None and entry.status.machine == machine and entry.status.connected:
            entry.status = replace(entry.status, connected=False)
            entry.updated_at_s = now_s
            self._changed[node] = None

    def machine_lost(self, machine: str, now_s: float) -> None:
        """Record that the watches of all nodes at a lost machine have ended."""
        for node, entry in self.entries.items():
            if entry.status.machine == machine:
                self.disconnected(node, machine, now_s)

    def take_changes(self) -> list[NodeStatus]:
        """Return the statuses that changed since the last call, and mark them as unchanged."""
        statuses = [self.entries[node].status for node in self._changed if node in self.entries]
        self._changed.clear()
        return statuses

    def statuses_of_machine(self, machine: str) -> list[NodeStatus]:
        """Return the statuses of all nodes that watch a machine, for a new or restarted leader."""
        return [entry.status for entry in self if entry.status.machine == machine]

    def expire(self, now_s: float) -> int:
        """Remove nodes that have been disconnected for `expiry_s`.

        Returns:
            Number of removed nodes.
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
