"""Records of a run as typed values. The keys and tags of the stored form are mapped here and nowhere else.

`at_ms` is the time of the record in ms of the plan's clock, rounded to 0.1 ms.
"""

from __future__ import annotations

from enum import StrEnum

import msgspec

LOST_JOB = "lost"  # outcome of a job whose server died; other outcomes are the values of `JobResult`


class RecordFile(StrEnum):
    """The files of a run's records, without their suffix."""

    RUN = "run"
    LOAD = "load"
    SERVERS = "equipos"


# -------------------------------------------------------------------- servers


class JobRecord(
    msgspec.Struct,
    frozen=True,
    kw_only=True,
    tag_field="e",
    tag="job",
    rename={
        "at_ms": "t",
        "server": "equipo",
        "sender": "node",
        "class_name": "class",
        "operation_id": "op",
        "request_id": "rid",
        "received_ms": "came",
        "outcome": "verdict",
        "work_ms": "work",
        "sender_informed": "told",
        "started": "ran",
        "client_connected": "wanted",
        "past_deadline": "over",
    },
):
    """How a request ended at a server.

    Attributes:
        sender: node that sent it.
        outcome: value of a `JobResult`, or `LOST_JOB`.
        sender_informed: whether the sender had been notified of this start of the server.
        started: whether the work had begun.
        client_connected: whether the sender still waited for the response.
    """

    at_ms: float
    tier: int
    server: str
    cell: int
    sender: str
    class_name: str
    operation_id: str
    request_id: str
    received_ms: float
    outcome: str
    work_ms: float
    sender_informed: bool
    started: bool
    client_connected: bool
    past_deadline: bool


class ServerStartRecord(
    msgspec.Struct,
    frozen=True,
    tag_field="e",
    tag="started",
    rename={
        "at_ms": "t",
        "server": "equipo",
        "capacity": "work_per_ms",
        "mean_request_ms": "mean_ms",
    },
):
    """A server has started and warms up.

    Attributes:
        capacity: work per ms when it is warm.
        mean_request_ms: its own work for a mean request.
    """

    at_ms: float
    server: str
    capacity: float
    mean_request_ms: float


class ServerSampleRecord(
    msgspec.Struct,
    frozen=True,
    tag_field="e",
    tag="sample",
    rename={
        "at_ms": "t",
        "server": "equipo",
        "queue_length": "queue",
        "in_progress": "held",
        "speed_share": "speed",
        "rejected": "turned_away",
    },
):
    """The state of a server.

    Attributes:
        state: value of a `LifecycleState`.
        slowed: whether the lasting slowdown is on.
        speed_share: its capacity as a share of its capacity when warm and without faults.
        rejected: requests rejected so far.
    """

    at_ms: float
    server: str
    state: str
    queue_length: int
    in_progress: int
    slowed: bool
    speed_share: float
    connections: int
    rejected: int


class NotifiedRecord(
    msgspec.Struct,
    frozen=True,
    tag_field="e",
    tag="told",
    rename={"at_ms": "t", "server": "equipo", "state": "health"},
):
    """A node has been notified of the state of a server; `state` is the value of a `ServerState`."""

    at_ms: float
    node: str
    server: str
    state: str


class AfterDrainRecord(
    msgspec.Struct,
    frozen=True,
    tag_field="e",
    tag="late",
    rename={"at_ms": "t", "server": "equipo", "state": "health", "operation_id": "op"},
):
    """A request has reached a server too long after its node was notified that the server drains or is gone.

    Attributes:
        over_ms: time past the limit.
    """

    at_ms: float
    node: str
    server: str
    state: str
    over_ms: float
    operation_id: str


class ServerCollapsedRecord(
    msgspec.Struct,
    frozen=True,
    tag_field="e",
    tag="fell",
    rename={"at_ms": "t", "server": "equipo", "informed_share": "told_share"},
):
    """A warming server has failed under its load; `informed_share` of it came from informed senders."""

    at_ms: float
    server: str
    informed_share: float


class FaultStepRecord(
    msgspec.Struct,
    frozen=True,
    tag_field="e",
    tag="step",
    rename={"at_ms": "t", "phase": "what", "targets": "equipos"},
):
    """A step of a fault; `kind` and `phase` are values of `FaultKind` and `FaultPhase`."""

    at_ms: float
    kind: str
    phase: str
    targets: tuple[str, ...]


class EmulatorRecord(
    msgspec.Struct,
    frozen=True,
    tag_field="e",
    tag="emulator",
    rename={"at_ms": "t", "timer_count": "timers", "local_nodes_cpu_s": "companions_cpu_s"},
):
    """The emulator's own cost: CPU time since the plan's clock began, and how late its timers were.

    Attributes:
        served: served requests by tier.
    """

    at_ms: float
    cpu_s: float
    timer_count: int
    lag_p50_ms: float
    lag_p99_ms: float
    lag_max_ms: float
    served: list[int]
    local_nodes_cpu_s: float


# -------------------------------------------------------------------- clients


class AttemptRecord(
    msgspec.Struct,
    frozen=True,
    omit_defaults=True,
    rename={
        "request_id": "rid",
        "sent_ms": "sent",
        "timeout_ms": "patience",
        "ended_ms": "ended",
        "failure": "why",
        "foreign_response": "foreign",
    },
):
    """One attempt of a client.

    Attributes:
        status: status of the response; 0 without one.
        failure: why there is no response.
        resent: the client sent it once more, since its connection had closed as it was sent.
        foreign_response: the response was not made for this request.
    """

    request_id: str
    node: str
    sent_ms: float
    timeout_ms: float
    ended_ms: float
    status: int
    failure: str = ""
    resent: bool = False
    foreign_response: bool = False


class OperationRecord(
    msgspec.Struct,
    frozen=True,
    tag_field="e",
    tag="op",
    rename={
        "operation_id": "op",
        "class_name": "class",
        "planned_ms": "at",
        "work_ms": "work",
        "duration_ms": "took",
        "attempts": "tries",
    },
):
    """An operation of a client with all its attempts.

    Attributes:
        planned_ms: when it was to be sent.
        duration_ms: from that moment to the end of the last attempt.
    """

    operation_id: str
    class_name: str
    planned_ms: float
    work_ms: float
    in_time: bool
    duration_ms: float
    attempts: list[AttemptRecord]


class LatencyRecord(
    msgspec.Struct,
    frozen=True,
    tag_field="e",
    tag="latency",
    rename={"class_name": "class", "offered": "asked", "p99_9": "p99.9"},
):
    """Operations of a class, and quantiles of the duration of the served ones in ms."""

    class_name: str
    offered: int
    served: int
    in_time: int
    p50: float
    p90: float
    p99: float
    p99_9: float


class ClientsRecord(
    msgspec.Struct, frozen=True, tag_field="e", tag="clients", rename={"surplus_responses": "surplus"}
):
    """Responses that no client had asked for, and how late the clients' own timers were."""

    surplus_responses: int
    lag_max_ms: float


# ---------------------------------------------------------------------- nodes


class NodeKilledRecord(msgspec.Struct, frozen=True, tag_field="e", tag="killed", rename={"at_ms": "t"}):
    """A process of a node has been killed."""

    at_ms: float
    node: str


class NodeBackRecord(msgspec.Struct, frozen=True, tag_field="e", tag="back", rename={"at_ms": "t"}):
    """A restarted or upgraded node serves again."""

    at_ms: float
    node: str


class NodeCrashRecord(msgspec.Struct, frozen=True, tag_field="e", tag="node-crash", rename={"at_ms": "t"}):
    """A fault of this kind has begun."""

    at_ms: float
    node: str


class NodeLossRecord(msgspec.Struct, frozen=True, tag_field="e", tag="node-loss", rename={"at_ms": "t"}):
    """A fault of this kind has begun."""

    at_ms: float
    node: str


class NodeUpgradeRecord(
    msgspec.Struct, frozen=True, tag_field="e", tag="node-upgrade", rename={"at_ms": "t"}
):
    """A fault of this kind has begun."""

    at_ms: float
    node: str


class NodeProcessRecord(msgspec.Struct, frozen=True, tag_field="e", tag="process", rename={"at_ms": "t"}):
    """Memory and descriptors of a node's process."""

    at_ms: float
    node: str
    pid: int
    memory_mb: float
    descriptors: int


NODE_RECORDS = (
    NodeKilledRecord,
    NodeBackRecord,
    NodeCrashRecord,
    NodeLossRecord,
    NodeUpgradeRecord,
    NodeProcessRecord,
)
NodeFaultRecord = NodeCrashRecord | NodeLossRecord | NodeUpgradeRecord
Record = (
    JobRecord
    | ServerStartRecord
    | ServerSampleRecord
    | NotifiedRecord
    | AfterDrainRecord
    | ServerCollapsedRecord
    | FaultStepRecord
    | EmulatorRecord
    | OperationRecord
    | LatencyRecord
    | ClientsRecord
    | NodeKilledRecord
    | NodeBackRecord
    | NodeFaultRecord
    | NodeProcessRecord
)


def record_tag(record: Record) -> str:
    """The kind of a record by the word of its stored form."""
    return str(record.__struct_config__.tag)
