"""The parts of a proxy, as its other parts see them."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Protocol

from rosewheel.config.node_config import NodeConfig
from rosewheel.discovery.endpoint_list import DiscoveryWatch
from rosewheel.hot_restart.migration import Migration
from rosewheel.http.body import BufferBudget
from rosewheel.http.downstream_server import DownstreamServer
from rosewheel.http.request import DownstreamRequest
from rosewheel.http.upstream_pool import UpstreamPool
from rosewheel.node.core import Node
from rosewheel.node.effects import NodeEffect
from rosewheel.proxy.shared_state import SharedState

if TYPE_CHECKING:
    from rosewheel.admin.server import AdminServer


class ProxyParts(Protocol):
    """What the parts of one proxy share.

    Attributes:
        config: The configuration that is applied.
        loop: The event loop of the process.
        stopped: Whether the process has ended its work.
        node: The requests in flight, and the balancing policy.
        server: The connections of clients.
        upstream: The connections to servers.
        budget: The memory for the bodies of requests.
        discovery: The watch of the endpoint list.
        admin: The admin server, where there is one.
        shared_state: What the processes of this node share.
        migration: The connections that leave for another process or arrive from one.
        calls: The requests of clients by id, until each has its response.
    """

    config: NodeConfig
    loop: asyncio.AbstractEventLoop
    stopped: bool
    node: Node
    server: DownstreamServer
    upstream: UpstreamPool
    budget: BufferBudget
    discovery: DiscoveryWatch
    admin: AdminServer | None
    shared_state: SharedState
    migration: Migration
    calls: dict[str, DownstreamRequest]

    def apply(self, effects: list[NodeEffect]) -> None:
        """Carries out what the node has decided."""
