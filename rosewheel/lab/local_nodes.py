"""Local nodes: one node process for each emulated server, through which it calls the next tier."""

from __future__ import annotations

import contextlib
from collections.abc import Sequence
from pathlib import Path

from rosewheel.lab.discovery import DiscoveryRegistry
from rosewheel.lab.http_client import HttpClient
from rosewheel.lab.node_process import NodeProcess
from rosewheel.lab.node_settings import node_configuration
from rosewheel.lab.plan import Plan
from rosewheel.lab.random_streams import random_stream
from rosewheel.lab.server_model import ServerSpec


def local_node_name(spec: ServerSpec) -> str:
    """Return the name of the local node of a server."""
    return f"n-{spec.name}"


class LocalNodes:
    """Local nodes of all servers that call a next tier.

    Attributes:
        start_errors: last log line of each node that did not become healthy, by name of the server.
    """

    def __init__(self, plan: Plan, folder: Path, registries: Sequence[DiscoveryRegistry]) -> None:
        self.plan, self.folder, self.registries = plan, folder, registries
        self.start_errors: dict[str, str] = {}
        self._nodes: dict[str, NodeProcess] = {}
        self._clients: dict[str, HttpClient] = {}

    async def start(self, spec: ServerSpec) -> None:
        """Start the local node of a server and wait until it is healthy. Do nothing for servers of the last tier."""
        next_tier = spec.tier + 1
        if next_tier >= len(self.plan.scenario.tiers):
            return
        name = local_node_name(spec)
        agent = self.registries[next_tier].add_agent(name)
        discovery = await agent.start()
        seed = int(random_stream(self.plan.seed, "node", name).integers(1 << 62))
        balancer_count = sum(1 for server in self.plan.servers if server.tier == spec.tier)
        node = NodeProcess(
            name,
            self.folder / "nodes",
            discovery,
            node_configuration(self.plan, next_tier, balancer_count, seed, agent.snapshot_record()),
        )
        self._nodes[spec.name] = node
        if not await node.wait_healthy():
            self.start_errors[spec.name] = node.last_log_line()
        self._clients[spec.name] = HttpClient(node.listen_address)

    def client(self, server: str) -> HttpClient | None:
        """Return the client of the local node of a server; None if no local node is running."""
        return self._clients.get(server)

    def stop(self, spec: ServerSpec) -> None:
        """Kill the local node of a server and remove its discovery agent."""
        node = self._nodes.pop(spec.name, None)
        if node is not None:
            node.kill()
            self.registries[spec.tier + 1].remove_agent(node.name)
        client = self._clients.pop(spec.name, None)
        if client is not None:
            client.close()

    def cpu_s(self) -> float:
        """Return the CPU time of all running nodes, in s."""
        return sum(node.cpu_s() for node in self._nodes.values())

    def close_clients(self) -> None:
        """Close the connections to all nodes."""
        for client in self._clients.values():
            client.close()

    def kill_all(self) -> None:
        """Kill all nodes, then wait for their processes."""
        for node in self._nodes.values():
            with contextlib.suppress(ProcessLookupError):
                node.process.kill()
        for node in self._nodes.values():
            node.kill()
