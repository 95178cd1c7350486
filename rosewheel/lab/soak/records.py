"""Observations of the clients, servers and discovery of a soak, from which rule violations are found."""

from __future__ import annotations

import math
import time
from dataclasses import dataclass, field
from enum import Enum


def now_s() -> float:
    """Return the time of the clock that all records use, in seconds."""
    return time.monotonic()


class RequestKind(Enum):
    """Service class of a request; the values are the names in the settings of the nodes."""

    READ = "read"
    POST = "post"
    POINTS = "points"


class ExecutionOutcome(Enum):
    """How a server handled a request that it received completely."""

    PENDING = "pending"
    RESPONDED = "answered"
    FAILED = "failed"
    NOT_STARTED = "not-started"
    RESET = "reset"


@dataclass(slots=True)
class ClientRecord:
    """One request of a client.

    Attributes:
        id: Id of the request.
        kind: Service class of the request.
        node: Name of the node process, which includes its incarnation.
        timeout_ms: Value of the Request-Timeout-Ms header.
        is_reused: Whether the connection had carried a request before.
        sent_s: When the last byte was written; None before that.
        disconnected_s: When the client closed or half-closed the connection; None if it did not.
        returned_s: When the client sent its id again on another connection; None if it did not.
        closed_s: When the connection ended without a response; None if it did not.
        responses: Time, status and body of each response.
        first_byte_s: When the head of the first response was read; None before that.
    """

    id: str
    kind: RequestKind
    node: str
    timeout_ms: int
    is_reused: bool
    sent_s: float | None = None
    disconnected_s: float | None = None
    returned_s: float | None = None
    closed_s: float | None = None
    responses: list[tuple[float, int, bytes]] = field(default_factory=list)
    first_byte_s: float | None = None


@dataclass(slots=True)
class ServerRecord:
    """One attempt, as received by a server.

    Attributes:
        id: Id of the request.
        node: Name of the node process that sent the attempt.
        server: Name of the server.
        first_byte_s: When the first byte was read.
        last_byte_s: When the last byte was read.
        timeout_ms: Value of the Request-Timeout-Ms header.
        outcome: How the server handled the attempt.
        body: Body of the response.
        pauses: The server pauses within a long response.
    """

    id: str
    node: str
    server: str
    first_byte_s: float
    last_byte_s: float
    timeout_ms: int
    outcome: ExecutionOutcome = ExecutionOutcome.PENDING
    body: bytes = b""
    pauses: bool = False


@dataclass(slots=True)
class NodeExit:
    """The exit of a node process after SIGTERM or SIGKILL.

    Attributes:
        node: Name of the node process.
        term_s: When SIGTERM was sent; None if only SIGKILL was sent.
        exited_s: When the exit of the process was detected.
        exit_code: Exit code; negative for a signal.
    """

    node: str
    term_s: float | None
    exited_s: float
    exit_code: int


@dataclass(slots=True)
class SoakRecords:
    """All records of a run.

    Attributes:
        requests: Requests by id.
        attempts: Attempts in order of their arrival.
        notified_drains: When discovery first sent a node the drain or removal of a server, by node process and server.
        node_exits: Exits of node processes in order of time.
        stall_waits_s: Time until each client that stalled within a request got an error or a close.
        ready_s: Time from the start of each node process until it was ready, exited, or the wait timed out.
        max_lag_s: Maximum delay of the timers of the event loop that runs clients and servers.
        log_errors: Error lines of node logs that are not expected from a fault.
        peak_memory_mb: Largest resident memory by node process.
        memory_limit_mb: Memory limit of a node.
        crowd_ids: Ids of requests of crowds, to which no response is owed.
        statistics: Statistics of each node at the end of the run, by node process; empty if unavailable.
    """

    requests: dict[str, ClientRecord] = field(default_factory=dict)
    attempts: list[ServerRecord] = field(default_factory=list)
    notified_drains: dict[tuple[str, str], float] = field(default_factory=dict)
    node_exits: list[NodeExit] = field(default_factory=list)
    stall_waits_s: list[float] = field(default_factory=list)
    ready_s: dict[str, float] = field(default_factory=dict)
    max_lag_s: float = 0.0
    log_errors: list[str] = field(default_factory=list)
    peak_memory_mb: dict[str, float] = field(default_factory=dict)
    memory_limit_mb: float = math.inf
    crowd_ids: set[str] = field(default_factory=set)
    statistics: dict[str, dict[str, object]] = field(default_factory=dict)
