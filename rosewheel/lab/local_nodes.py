"""The nodes through which emulated servers call the next tier, one process for each server."""

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
    """The name of a server's own node."""
    return f"n-{spec.name}"


class LocalNodes:
    """The local nodes of all servers that call a next tier.

    Attributes:
        start_errors: the last log lines of nodes that did not start, by server.
    """

    def __init__(self, plan: Plan, folder: Path, registries: Sequence[DiscoveryRegistry]) -> None:
        self.plan, self.folder, self.registries = plan, folder, registries
        self.start_errors: dict[str, str] = {}
        self._nodes: dict[str, NodeProcess] = {}
        self._clients: dict[str, HttpClient] = {}

    async def start(self, spec: ServerSpec) -> None:
        """Start the node of a server and wait until it is healthy; nothing where there is no next tier."""
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
        """The client of a server's node; None where it has none that runs."""
        return self._clients.get(server)

    def stop(self, spec: ServerSpec) -> None:
        """Kill the node of a server."""
        node = self._nodes.pop(spec.name, None)
        if node is not None:
            node.kill()
            self.registries[spec.tier + 1].remove_agent(node.name)
        client = self._clients.pop(spec.name, None)
        if client is not None:
            client.close()

    def cpu_s(self) -> float:
        """CPU time of all running nodes."""
        return sum(node.cpu_s() for node in self._nodes.values())

    def close_clients(self) -> None:
        """Close the connections to all nodes."""
        for client in self._clients.values():
            client.close()

    def kill_all(self) -> None:
        """Kill all nodes, then wait for each."""
        for node in self._nodes.values():
            with contextlib.suppress(ProcessLookupError):
                node.process.kill()
        for node in self._nodes.values():
            node.kill()
