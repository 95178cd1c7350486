"""What the clients, servers and discovery of a soak saw. The judge knows nothing else."""

from __future__ import annotations

import time
from dataclasses import dataclass, field
from enum import Enum


def now_s() -> float:
    """The clock of all records, in seconds."""
    return time.monotonic()


class RequestKind(Enum):
    """Class of a request; the values are the names of service classes."""

    READ = "read"
    POST = "post"
    POINTS = "points"


class ExecutionEnd(Enum):
    """What a server did with a request whose last byte it received."""

    PENDING = "pending"
    ANSWERED = "answered"
    FAILED = "failed"
    NOT_STARTED = "not-started"
    RESET = "reset"


@dataclass(slots=True)
class ClientRecord:
    """One request of a client.

    Attributes:
        id: The request's id.
        kind: Its class.
        node: Name of the node process, with its incarnation.
        timeout_ms: How long the client waits.
        is_reused: Its connection had carried a request before.
        sent_s: When its last byte was written; None before.
        left_s: When the client closed or half-closed its connection; None if it did not.
        closed_s: When the node ended the connection without an answer.
        answers: Time, status and body of each answer.
    """

    id: str
    kind: RequestKind
    node: str
    timeout_ms: int
    is_reused: bool
    sent_s: float | None = None
    left_s: float | None = None
    closed_s: float | None = None
    answers: list[tuple[float, int, bytes]] = field(default_factory=list)


@dataclass(slots=True)
class ServerRecord:
    """One attempt at a server.

    Attributes:
        id: The request's id.
        node: Name of the node process that sent it.
        server: The server.
        first_byte_s: When its first byte was read.
        last_byte_s: When its last byte was read.
        told_ms: The deadline in its head.
        end: What the server did with it.
        body: The body of the answer.
    """

    id: str
    node: str
    server: str
    first_byte_s: float
    last_byte_s: float
    told_ms: int
    end: ExecutionEnd = ExecutionEnd.PENDING
    body: bytes = b""


@dataclass(slots=True)
class NodeEnd:
    """How a node process ended.

    Attributes:
        node: Name of the process.
        term_s: When it got SIGTERM; None for SIGKILL alone.
        ended_s: When it had ended.
        code: Its exit code.
    """

    node: str
    term_s: float | None
    ended_s: float
    code: int


@dataclass(slots=True)
class SoakRecords:
    """All records of a run.

    Attributes:
        requests: By id.
        attempts: In the order of their arrival.
        notified_drains: When discovery wrote to a node that a server is not to be sent to; by node and server.
        node_ends: In order.
        stopped_clients: How long each client that stopped within a request waited for an error or a close.
        ready_s: How long each node process took to be ready.
        max_lag_s: The longest that the loop of clients and servers was late.
        log_faults: Lines of node logs that no fault explains.
        statistics: Last statistics of each node that was alive at the end.
    """

    requests: dict[str, ClientRecord] = field(default_factory=dict)
    attempts: list[ServerRecord] = field(default_factory=list)
    notified_drains: dict[tuple[str, str], float] = field(default_factory=dict)
    node_ends: list[NodeEnd] = field(default_factory=list)
    stopped_clients: list[float] = field(default_factory=list)
    ready_s: dict[str, float] = field(default_factory=dict)
    max_lag_s: float = 0.0
    log_faults: list[str] = field(default_factory=list)
    statistics: dict[str, dict[str, object]] = field(default_factory=dict)
