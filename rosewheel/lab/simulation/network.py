"""Connections, attempts and requests that nodes and server hosts of a simulated run exchange.

A node opens a connection to a server. Either side may close it; the other side is notified one network delay later.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from rosewheel.lab.connection_faults import ConnectionFault
from rosewheel.lab.outcomes import AttemptOutcome
from rosewheel.lab.server_model import ServerSpec
from rosewheel.lab.simulation.topology import ONE_WAY_MS
from rosewheel.policy.events import AttemptResult

LoadReport = dict[str, float]


@dataclass(slots=True, eq=False)
class NodeRequest:
    """A request that a client or server sends to a node.

    Attributes:
        operation_id: id of the client operation, or of the call of a server.
        work_ms: work over all tiers.
        dedup_key: key by which servers detect duplicates, if the class is idempotent with a key.
        timeout_ms: time that the sender waits for the response.
        on_done: called with the outcome.
        abandoned: whether the sender has closed its connection.
    """

    request_id: str
    class_name: str
    operation_id: str
    work_ms: float
    dedup_key: str
    timeout_ms: float
    on_done: Callable[[AttemptOutcome], None]
    abandoned: bool = False


class ConnectionHost(Protocol):
    """Server side of a connection."""

    spec: ServerSpec

    def receive(self, connection: Connection, attempt: Attempt) -> None:
        """Handle a received attempt."""

    def connection_closed(self, connection: Connection) -> None:
        """Handle the closing of the connection by the node."""


class ConnectionNode(Protocol):
    """Node side of a connection."""

    name: str
    zone: str

    def attempt_answered(
        self, attempt: Attempt, result: AttemptResult, report: LoadReport | None, keep_open: bool
    ) -> None:
        """Handle a response, or the end of the connection in place of one."""

    def connection_reset(self, connection: Connection) -> None:
        """Handle a reset of the connection by the server."""


@dataclass(slots=True, eq=False)
class Connection:
    """A connection from a node to a server.

    Attributes:
        idle_since_ms: when the last response was received.
        silent: whether a fault drops everything sent on the connection.
        fault: the injected fault that affects the connection, if any.
        request_count: number of requests sent so far.
        one_way_ms: delay from one side to the other.
        attempt: the attempt in flight, if any.
    """

    host: ConnectionHost
    node: ConnectionNode
    idle_since_ms: float = 0.0
    closed_by_node: bool = False
    reset_by_host: bool = False
    silent: bool = False
    fault: ConnectionFault | None = None
    request_count: int = 0
    one_way_ms: float = ONE_WAY_MS
    attempt: Attempt | None = None


@dataclass(slots=True, eq=False)
class Attempt:
    """An attempt of a node to have a request served.

    Attributes:
        number: number of the attempt within its request.
        connection: None while the connection is being opened.
        finished: whether the attempt has ended or was cancelled.
    """

    request: NodeRequest
    number: int
    timeout_ms: float
    started_ms: float
    connection: Connection | None = None
    finished: bool = False
