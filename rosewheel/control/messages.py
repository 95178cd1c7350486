"""Messages between nodes, control machines and operators, as typed values. `codec/` maps them to their JSON."""

from __future__ import annotations

from dataclasses import dataclass

from rosewheel.control.documents import Document
from rosewheel.control.revisions import Change, Epoch, Revision

# ---------------------------------------------------------------------------------- nodes


@dataclass(slots=True, frozen=True)
class NodeStatus:
    """What a node has last acknowledged.

    Attributes:
        node: The node's name.
        service: The service that it balances.
        machine: The control machine that it watches.
        stamp: Grows with each message of the node, so that the order of arrival does not matter.
        applied: The revision that it has applied.
        rejected: A later revision that it could not apply.
        reason: Why it could not.
        connected: Whether it has a watch open at `machine`.
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
    """A node's own report after a change; attributes as of `NodeStatus`."""

    node: str
    service: str
    stamp: int
    applied: Revision
    rejected: Revision | None = None
    reason: str = ""


@dataclass(slots=True, frozen=True)
class WatchRequest:
    """Opens a watch of a node or of another control machine.

    Attributes:
        received: The last revision that the caller has received.
        peer: Name of the control machine that follows; empty for a node.
        node: Name of the node; empty for a control machine.
        service: The service of the node.
        stamp: The node's stamp, as in `NodeStatus`.
        received_is_applied: The node has applied `received`.
    """

    received: Revision
    peer: str = ""
    node: str = ""
    service: str = ""
    stamp: int = 0
    received_is_applied: bool = False


@dataclass(slots=True, frozen=True)
class ConfigurationUpdate:
    """One line of a node's watch.

    Attributes:
        revision: The revision that the node has after the update.
        is_snapshot: `content` is the complete document; otherwise a merge patch against the previous one.
        content: What concerns the node's service.
    """

    revision: Revision
    is_snapshot: bool
    content: Document

    def __len__(self) -> int:
        """Count the tables, for the watch's log line."""
        return len(self.content)


# -------------------------------------------------------------------------------- machines


@dataclass(slots=True, frozen=True)
class Heartbeat:
    """Sent by each control machine to each other one.

    Attributes:
        machine: The sender.
        highest_epoch_seen: By the sender.
        last: Last revision on the sender's disk.
        node_statuses: What the sender knows of nodes; None where the receiver does not lead.
        includes_all_nodes: `node_statuses` has all nodes that watch the sender; otherwise the changed ones.
    """

    machine: str
    highest_epoch_seen: Epoch
    last: Revision
    node_statuses: tuple[NodeStatus, ...] | None = None
    includes_all_nodes: bool = False


@dataclass(slots=True, frozen=True)
class MachineState:
    """A control machine's answer to a heartbeat or fence.

    Attributes:
        machine: The machine that answers.
        process_id: Random identity of its process, which changes at a restart.
        highest_epoch_seen: By that machine.
        last: Last revision on its disk.
        is_fenced: It takes nothing below the epoch of the fence; False in answers to heartbeats.
    """

    machine: str
    process_id: str
    highest_epoch_seen: Epoch
    last: Revision
    is_fenced: bool = False


# ------------------------------------------------------------------------------- operators


@dataclass(slots=True, frozen=True)
class PutRequest:
    """A change of the document.

    Attributes:
        patch: The merge patch.
        expected: Number of the revision that the patch was made for.
        author: Who makes the change.
        note: Why.
        unreplicated: Acknowledge without a copy on another machine.
    """

    patch: Document
    expected: int
    author: str = ""
    note: str = ""
    unreplicated: bool = False


@dataclass(slots=True, frozen=True)
class RollbackRequest:
    """A new revision with the document of an earlier one.

    Attributes:
        target: Number of the earlier revision.
        expected: Number of the current revision.
        author: Who rolls back.
        unreplicated: Acknowledge without a copy on another machine.
    """

    target: int
    expected: int
    author: str = ""
    unreplicated: bool = False


@dataclass(slots=True, frozen=True)
class PromoteRequest:
    """Makes the machine that receives it the leader.

    Attributes:
        force: Also where that loses changes, or may.
        author: Who promotes.
    """

    force: bool = False
    author: str = ""


@dataclass(slots=True, frozen=True)
class ChangeResponse:
    """Answer to a put, rollback or promotion.

    Attributes:
        revision: The new revision, or the current one where nothing changed.
        changed: Whether there is a new one.
        lost: After a promotion, the revisions of peers that the new leader lacks, as text; None otherwise.
    """

    revision: Revision
    changed: bool
    lost: tuple[str, ...] | None = None


@dataclass(slots=True, frozen=True)
class HistoryResponse:
    """The last changes, newest first.

    Attributes:
        machine: The machine that answers.
        oldest: Number of the oldest retained revision.
        changes: The changes.
    """

    machine: str
    oldest: int
    changes: tuple[Change, ...]


@dataclass(slots=True, frozen=True)
class ErrorResponse:
    """Answer to a call that failed.

    Attributes:
        text: One plain line.
        leader: The machine to call instead; None where another machine would not help.
        leader_address: Its address; empty where it is not known.
        current: Number of this machine's last revision; None where it does not matter.
    """

    text: str
    leader: str | None = None
    leader_address: str = ""
    current: int | None = None


# ---------------------------------------------------------------------------------- status


@dataclass(slots=True, frozen=True)
class NodeReport:
    """One node in the status report.

    Attributes:
        status: The node's last acknowledgement.
        unchanged_for_s: Seconds for which the applied and rejected revisions have been the same.
        behind_for_s: Seconds for which the node has lacked a committed revision; 0 where it lacks none.
    """

    status: NodeStatus
    unchanged_for_s: float
    behind_for_s: float


@dataclass(slots=True, frozen=True)
class RevisionCount:
    """How many nodes have applied a revision."""

    revision: Revision
    nodes: int


@dataclass(slots=True, frozen=True)
class FleetReport:
    """The nodes of a fleet by the revision that they have applied.

    Attributes:
        nodes: How many nodes are known.
        up_to_date: How many are connected and have applied the committed revision.
        behind_count: How many are connected and have not.
        rejected_count: How many could not apply a revision.
        disconnected_count: How many have no watch open.
        longest_behind_s: The longest time for which a connected node has been behind, in seconds.
        revisions: Nodes by applied revision, newest first.
        behind: Nodes that are connected and behind.
        rejected: Nodes that could not apply a revision.
        disconnected: Nodes without a watch.
        all_nodes: Each node; None where they were not asked for.
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
        machine: Its name.
        last: Last revision on its disk; None before the first contact.
        last_contact_s: Seconds since the last contact; None before the first.
        is_leader: Whether it leads.
    """

    machine: str
    last: Revision | None
    last_contact_s: float | None
    is_leader: bool


@dataclass(slots=True, frozen=True)
class StatusReport:
    """Answer to `rosewheel control status`.

    Attributes:
        contacted: The machine that was called.
        machine: The machine whose knowledge this is.
        problem: Why the report may be incomplete, or the machine accepts no changes; empty for none.
        committed: The revision that nodes are shown.
        last_number: Number of the last revision in the log.
        highest_epoch_seen: By `machine`.
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
