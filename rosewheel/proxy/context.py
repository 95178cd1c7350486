"""The context of a proxy: the interface through which its components reach each other and their shared state."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Protocol

from rosewheel.config.node_config import NodeConfig
from rosewheel.discovery.endpoint_list import DiscoveryWatch
from rosewheel.hot_restart.migration import Migration
from rosewheel.http.downstream_server import DownstreamServer
from rosewheel.http.request import DownstreamRequest
from rosewheel.http.request_ids import RequestIds
from rosewheel.http.upstream_pool import UpstreamPool
from rosewheel.node.core import Node
from rosewheel.node.effects import NodeEffect
from rosewheel.node.memory_account import BufferBudget, MemoryAccount
from rosewheel.proxy.request_id_claims import RequestIdSharing
from rosewheel.proxy.shared_state import SharedState

if TYPE_CHECKING:
    from rosewheel.admin.server import AdminServer


class ProxyContext(Protocol):
    """Gives the components of one proxy access to each other, to the configuration and to the event loop.

    `Proxy` implements it.

    Attributes:
        config: The configuration in force.
        loop: The event loop of the process.
        stopped: Whether the process has finished its drain.
        node: The requests in flight and the balancing policy.
        server: The connections of clients.
        upstream: The connections to servers.
        memory: The memory of this process.
        budget: The memory budget for request bodies.
        discovery: The watch of the endpoint list.
        admin: The admin server, if the configuration has an address for one.
        shared_state: The persistent state that the processes of this node share.
        request_ids: The Request-Ids that are in use.
        request_id_sharing: Shares them with another process of this node.
        migration: Migrates connections to and from another process of this node.
        client_requests: The client requests without a final response, by id.
    """

    config: NodeConfig
    loop: asyncio.AbstractEventLoop
    stopped: bool
    node: Node
    server: DownstreamServer
    upstream: UpstreamPool
    budget: BufferBudget
    memory: MemoryAccount
    discovery: DiscoveryWatch
    admin: AdminServer | None
    shared_state: SharedState
    request_ids: RequestIds
    request_id_sharing: RequestIdSharing
    migration: Migration
    client_requests: dict[str, DownstreamRequest]

    def apply(self, effects: list[NodeEffect]) -> None:
        """Executes effects that the node has decided on."""
