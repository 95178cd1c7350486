"""What lies between the parts of a simulated run: connections, and how long a way takes.

A connection is held by a node to an equipo. Its node knows what it sends and hears; its host knows whether it still
stands. Either may end it, and the other learns of that one way later.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from rosewheel.lab.server_host import ConnectionFault
    from rosewheel.lab.simulation.host import SimulatedServerHost, SimulatedWork
    from rosewheel.lab.simulation.node import NodeRequest, SimulatedNode

# One way, with the work of both its ends: a request through an idle node on loopback takes under a millisecond more
# than at the equipo alone, there and back over two links.
ONE_WAY_MS = 0.2


@dataclass(slots=True, eq=False)
class Connection:
    """An open connection."""

    host: SimulatedServerHost
    node: SimulatedNode
    idle_since: float = 0.0
    closed_by_node: bool = False  # by its node
    reset_by_host: bool = False  # by its host
    silent: bool = False  # a fault: whatever is sent, nothing is said
    fault: ConnectionFault | None = None
    use_count: int = 0  # requests so far
    one_way_ms: float = ONE_WAY_MS  # from one end to the other
    work: SimulatedWork | None = None  # what the host works on for it
    attempt: Attempt | None = None


@dataclass(slots=True, eq=False)
class Attempt:
    """An attempt on its way."""

    request: NodeRequest
    number: int
    timeout_ms: float
    started_ms: float
    connection: Connection | None = None
    finished: bool = False  # given up by its node, or settled


@dataclass(slots=True, eq=False)
class ConnectionPool:
    """What a node holds towards one equipo."""

    accepts_requests: bool
    launched_ms: float | None
    last_response_ms: float = float("-inf")  # when it last said anything
    idle: list[Connection] = field(default_factory=list)  # the one used last at the end
