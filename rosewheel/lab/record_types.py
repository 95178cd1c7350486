"""Typed records of a run. The keys and tags of the stored form are mapped only here.

`at_ms` is the time of a record in ms from the start of the plan, rounded to 0.1 ms.
"""

from __future__ import annotations

from enum import StrEnum

import msgspec

LOST_JOB = "lost"  # outcome of a job whose server process ended; the other outcomes are values of `JobResult`


class RecordFile(StrEnum):
    """Name of a file of records, without the suffix."""

    RUN = "run"
    LOAD = "load"
    SERVERS = "equipos"


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
    """The end of a request at a server.

    Attributes:
        sender: name of the node that sent the request.
        outcome: value of a `JobResult`, or `LOST_JOB`.
        work_ms: work of the request at this server, in ms of a reference core.
        sender_informed: whether the sender had been notified of this start of the server.
        started: whether execution had started.
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
    """The start of a server, which then warms up.

    Attributes:
        capacity: work per ms after the warm-up.
        mean_request_ms: mean work of a request at this server.
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
    """A periodic sample of the state of a server.

    Attributes:
        state: value of a `LifecycleState`.
        slowed: whether the overload slowdown is active.
        speed_share: current capacity as a share of the capacity after the warm-up without faults.
        rejected: number of requests rejected so far.
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
    """The notification of a node about the state of a server; `state` is the value of a `ServerState`."""

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
    """A request that reached a server too long after its node was notified of the server's drain or removal.

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
    """The collapse of a warming server; nodes notified of its start sent `informed_share` of its load."""

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
    """CPU time of the emulator since the start of the plan, and the delays of its timers.

    Attributes:
        served: number of served requests by tier.
    """

    at_ms: float
    cpu_s: float
    timer_count: int
    lag_p50_ms: float
    lag_p99_ms: float
    lag_max_ms: float
    served: list[int]
    local_nodes_cpu_s: float


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
        status: status of the response; 0 without a response.
        failure: value of an `AttemptFailure`, the reason for the missing response.
        resent: whether the client sent the attempt again, since its reused connection was closed meanwhile.
        foreign_response: whether the response was made for another request.
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
        planned_ms: planned time of the first attempt.
        work_ms: work over all tiers, in ms of a reference core.
        in_time: whether it was served within the latency objective.
        duration_ms: time from `planned_ms` to the end of the last attempt.
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
    """Numbers of operations of a class, and quantiles in ms of the duration of the served ones."""

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
    """Number of responses that belong to no request, and the maximum delay of the timers of the clients."""

    surplus_responses: int
    lag_max_ms: float


class NodeKilledRecord(msgspec.Struct, frozen=True, tag_field="e", tag="killed", rename={"at_ms": "t"}):
    """The kill of a process of a node."""

    at_ms: float
    node: str


class NodeReadyRecord(msgspec.Struct, frozen=True, tag_field="e", tag="back", rename={"at_ms": "t"}):
    """A restarted or upgraded node that is ready again."""

    at_ms: float
    node: str


class NodeCrashRecord(msgspec.Struct, frozen=True, tag_field="e", tag="node-crash", rename={"at_ms": "t"}):
    """The start of a node-crash fault."""

    at_ms: float
    node: str


class NodeLossRecord(msgspec.Struct, frozen=True, tag_field="e", tag="node-loss", rename={"at_ms": "t"}):
    """The start of a node-loss fault at one node."""

    at_ms: float
    node: str


class NodeUpgradeRecord(
    msgspec.Struct, frozen=True, tag_field="e", tag="node-upgrade", rename={"at_ms": "t"}
):
    """The start of a node-upgrade fault."""

    at_ms: float
    node: str


class NodeProcessRecord(msgspec.Struct, frozen=True, tag_field="e", tag="process", rename={"at_ms": "t"}):
    """Memory and number of open file descriptors of a node process."""

    at_ms: float
    node: str
    pid: int
    memory_mb: float
    descriptors: int


NODE_RECORDS = (
    NodeKilledRecord,
    NodeReadyRecord,
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
    | NodeReadyRecord
    | NodeFaultRecord
    | NodeProcessRecord
)


def record_tag(record: Record) -> str:
    """Return the tag of a record in its stored form."""
    return str(record.__struct_config__.tag)
