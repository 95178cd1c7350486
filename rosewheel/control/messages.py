"""Messages between nodes, control machines and operators. `codec/` encodes them as JSON."""

from __future__ import annotations

from dataclasses import dataclass

from rosewheel.control.documents import Document
from rosewheel.control.revisions import Change, Epoch, Revision

# Messages of nodes.


@dataclass(slots=True, frozen=True)
class NodeStatus:
    """The last reported state of a node.

    Attributes:
        node: Name of the node.
        service: The service that the node balances.
        machine: The control machine that the node watches.
        stamp: Increases with each message of the node; orders messages that arrive out of order.
        applied: The applied revision.
        rejected: A later revision that the node could not apply; None if there is none.
        reason: Why the revision was rejected; empty if none was.
        connected: Whether the node has a watch open at `machine`.
    """

    node: str
    service: str
    machine: str
    stamp: int
    applied: Revision
    rejected: Revision | None = None
    reason: str = ""
    connected: bool = True


@dataclass(slots=True, frozen=True)
class NodeAcknowledgement:
    """A node's acknowledgement of a change. The attributes are those of `NodeStatus`."""

    node: str
    service: str
    stamp: int
    applied: Revision
    rejected: Revision | None = None
    reason: str = ""


@dataclass(slots=True, frozen=True)
class WatchRequest:
    """Request of a node or of another control machine to open a watch.

    Attributes:
        received: The last revision that the caller has received.
        peer: Name of the control machine that follows; empty for a node.
        node: Name of the node; empty for a control machine.
        service: The service that the node balances.
        stamp: The node's stamp, as in `NodeStatus`.
        received_is_applied: Whether the node has applied `received`.
    """

    received: Revision
    peer: str = ""
    node: str = ""
    service: str = ""
    stamp: int = 0
    received_is_applied: bool = False


@dataclass(slots=True, frozen=True)
class ConfigurationUpdate:
    """One update on a node's watch.

    Attributes:
        revision: The node's revision after the update.
        is_snapshot: Whether `content` is the complete document; otherwise it is a merge patch against the previous one.
        content: Document or patch of the node's service.
    """

    revision: Revision
    is_snapshot: bool
    content: Document

    def __len__(self) -> int:
        """Return the number of tables, for the watch's log line."""
        return len(self.content)


# Messages between control machines.


@dataclass(slots=True, frozen=True)
class Heartbeat:
    """Periodic message from each control machine to every other one.

    Attributes:
        machine: Name of the sender.
        highest_epoch_seen: Highest epoch that the sender has seen.
        last: Last revision on the sender's disk.
        node_statuses: Node statuses that the sender forwards; None unless the receiver is the leader.
        includes_all_nodes: Whether `node_statuses` has all nodes that watch the sender; otherwise only changed ones.
        digest: Digest of `last` and its document; empty from a machine that sends none.
    """

    machine: str
    highest_epoch_seen: Epoch
    last: Revision
    node_statuses: tuple[NodeStatus, ...] | None = None
    includes_all_nodes: bool = False
    digest: str = ""


@dataclass(slots=True, frozen=True)
class MachineState:
    """A control machine's response to a heartbeat or fence.

    Attributes:
        machine: Name of the responding machine.
        process_id: Random identifier of its process, new after each restart.
        highest_epoch_seen: Highest epoch that the machine has seen.
        last: Last revision on its disk.
        is_fenced: Whether the machine rejects everything below the epoch of the fence; False for a heartbeat.
        digest: Digest of `last` and its document; empty from a machine that sends none.
    """

    machine: str
    process_id: str
    highest_epoch_seen: Epoch
    last: Revision
    is_fenced: bool = False
    digest: str = ""


# Requests of operators and their responses.


@dataclass(slots=True, frozen=True)
class PutRequest:
    """Request to change the document.

    Attributes:
        patch: The merge patch.
        expected: Number of the revision that the patch is based on.
        author: Author of the change.
        note: Reason for the change.
        unreplicated: Whether to acknowledge the change without a copy on another machine.
    """

    patch: Document
    expected: int
    author: str = ""
    note: str = ""
    unreplicated: bool = False


@dataclass(slots=True, frozen=True)
class RollbackRequest:
    """Request to write a new revision with the document of an earlier one.

    Attributes:
        target: Number of the earlier revision.
        expected: Number of the current revision, as known to the caller.
        author: Author of the rollback.
        unreplicated: Whether to acknowledge the change without a copy on another machine.
    """

    target: int
    expected: int
    author: str = ""
    unreplicated: bool = False


@dataclass(slots=True, frozen=True)
class PromoteRequest:
    """Request to promote the receiving machine to leader.

    Attributes:
        force: Whether to promote even if changes are or may be lost.
        author: Author of the promotion.
    """

    force: bool = False
    author: str = ""


@dataclass(slots=True, frozen=True)
class ChangeResponse:
    """Response to a put, rollback or promotion.

    Attributes:
        revision: The new revision, or the current one if nothing changed.
        changed: Whether a new revision was written.
        lost: After a promotion, one line per peer whose last revision the new leader does not have; otherwise None.
    """

    revision: Revision
    changed: bool
    lost: tuple[str, ...] | None = None


@dataclass(slots=True, frozen=True)
class HistoryResponse:
    """Response to a history request.

    Attributes:
        machine: Name of the responding machine.
        oldest: Number of the oldest retained revision.
        changes: The last changes, newest first.
    """

    machine: str
    oldest: int
    changes: tuple[Change, ...]


@dataclass(slots=True, frozen=True)
class ErrorResponse:
    """Response to a failed call.

    Attributes:
        text: One-line error message.
        leader: Name of the leader, which is to be called instead; None if the failure has another cause.
        leader_address: Address of the leader; empty if unknown.
        current: Number of the responding machine's last revision; None if not relevant.
    """

    text: str
    leader: str | None = None
    leader_address: str = ""
    current: int | None = None


# Status report.


@dataclass(slots=True, frozen=True)
class NodeReport:
    """One node in the status report.

    Attributes:
        status: The last reported state of the node.
        unchanged_for_s: Time since the applied or rejected revision changed, in seconds.
        behind_for_s: Time for which the node has lacked a committed revision, in seconds; 0 if it is up to date.
    """

    status: NodeStatus
    unchanged_for_s: float
    behind_for_s: float


@dataclass(slots=True, frozen=True)
class RevisionCount:
    """Number of nodes that have applied a revision."""

    revision: Revision
    nodes: int


@dataclass(slots=True, frozen=True)
class FleetReport:
    """Summary of the nodes by applied revision.

    Attributes:
        nodes: Number of nodes in the registry.
        up_to_date: Number of connected nodes that have applied the committed revision.
        behind_count: Number of connected nodes that have not applied the committed revision.
        rejected_count: Number of nodes that rejected a revision.
        disconnected_count: Number of nodes without an open watch.
        longest_behind_s: Longest `behind_for_s` of a connected node, in seconds.
        revisions: Node counts by applied revision, newest first.
        behind: Connected nodes that are behind.
        rejected: Nodes that rejected a revision.
        disconnected: Nodes without an open watch.
        all_nodes: All nodes; None if not requested.
    """

    nodes: int
    up_to_date: int
    behind_count: int
    rejected_count: int
    disconnected_count: int
    longest_behind_s: float
    revisions: tuple[RevisionCount, ...]
    behind: tuple[NodeReport, ...]
    rejected: tuple[NodeReport, ...]
    disconnected: tuple[NodeReport, ...]
    all_nodes: tuple[NodeReport, ...] | None = None


@dataclass(slots=True, frozen=True)
class MachineReport:
    """One control machine in the status report.

    Attributes:
        machine: Name of the machine.
        last: Last revision on its disk; None before the first contact.
        last_contact_s: Time since the last contact, in seconds; None before the first contact.
        is_leader: Whether the machine is the leader.
    """

    machine: str
    last: Revision | None
    last_contact_s: float | None
    is_leader: bool


@dataclass(slots=True, frozen=True)
class StatusReport:
    """Response to a status request.

    Attributes:
        contacted: Name of the machine that was called.
        machine: Name of the machine that made the report.
        problem: Why the report may be incomplete or no changes are accepted; empty if there is no problem.
        committed: The newest committed revision, as known to `machine`.
        last_number: Number of the last revision in the log of `machine`.
        highest_epoch_seen: Highest epoch that `machine` has seen.
        machines: The control machines.
        fleet: The nodes.
    """

    contacted: str
    machine: str
    problem: str
    committed: Revision
    last_number: int
    highest_epoch_seen: Epoch
    machines: tuple[MachineReport, ...]
    fleet: FleetReport
