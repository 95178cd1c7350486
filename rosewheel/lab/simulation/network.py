"""Connections, attempts and requests of a simulated run, as the parts hand them to each other.

A connection is opened by a node to a server. The node knows what it sends and receives, the server's host whether the
connection still stands. Either may end it, and the other learns of that one delay later.
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
    """A request at a node.

    Attributes:
        operation_id: identity of the client's operation, or of the call of a server.
        timeout_ms: how long the sender waits.
        on_done: called with the outcome.
        abandoned: the sender has closed its connection.
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
    """The server's end of a connection."""

    spec: ServerSpec

    def receive(self, connection: Connection, attempt: Attempt) -> None:
        """An attempt has been received."""

    def connection_closed(self, connection: Connection) -> None:
        """The node has closed the connection."""


class ConnectionNode(Protocol):
    """The node's end of a connection."""

    name: str
    zone: str

    def attempt_answered(
        self, attempt: Attempt, result: AttemptResult, report: LoadReport | None, keep_open: bool
    ) -> None:
        """A response has been received, or the connection has ended in its place."""

    def connection_reset(self, connection: Connection) -> None:
        """The server has reset the connection."""


@dataclass(slots=True, eq=False)
class Connection:
    """An open connection.

    Attributes:
        idle_since: when its last response was received.
        silent: a fault: whatever is sent, nothing is answered.
        use_count: requests so far.
        one_way_ms: delay from one end to the other.
        attempt: the attempt in flight on it.
    """

    host: ConnectionHost
    node: ConnectionNode
    idle_since: float = 0.0
    closed_by_node: bool = False
    reset_by_host: bool = False
    silent: bool = False
    fault: ConnectionFault | None = None
    use_count: int = 0
    one_way_ms: float = ONE_WAY_MS
    attempt: Attempt | None = None


@dataclass(slots=True, eq=False)
class Attempt:
    """An attempt of a node in flight.

    Attributes:
        connection: None while the connection is being opened.
        finished: it has ended, or its node has abandoned it.
    """

    request: NodeRequest
    number: int
    timeout_ms: float
    started_ms: float
    connection: Connection | None = None
    finished: bool = False
