"""Emulated servers of all tiers with their discovery and local nodes: start, stop and failure of servers."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Coroutine
from pathlib import Path

from rosewheel.lab.discovery import DiscoveryAgent, DiscoveryEntry, DiscoveryRegistry
from rosewheel.lab.discovery_delays import DiscoveryChange, discovery_delay_ms
from rosewheel.lab.emulator_requests import EmulatedRequests, Notification
from rosewheel.lab.http_client import HttpClient
from rosewheel.lab.local_nodes import LocalNodes
from rosewheel.lab.plan import Plan
from rosewheel.lab.plan_clock import PlanClock
from rosewheel.lab.random_streams import random_stream
from rosewheel.lab.record_codec import start_record
from rosewheel.lab.record_types import NotifiedRecord
from rosewheel.lab.records import RecordWriter
from rosewheel.lab.server_host import EmulatedServerHost
from rosewheel.lab.server_model import DedupTable, ServerSpec
from rosewheel.lab.wire import now_ms

# Health of a server in discovery messages.
ACTIVE, LEAVING, LEFT = "active", "leaving", "left"


class NodeStartError(RuntimeError):
    """The local node of a server did not become healthy in time."""


class EmulatedFleet:
    """All emulated servers of a plan.

    Attributes:
        hosts: hosts by name of the server.
        registries: discovery registries by tier.
        requests: handler of the requests at all servers.
        local_nodes: nodes through which servers call the next tier.
    """

    def __init__(self, plan: Plan, folder: Path, records: RecordWriter) -> None:
        self.plan, self.records = plan, records
        self.clock = PlanClock()
        # Discovery reports start times in wall-clock time. The offset is read once, so that a later step of the wall
        # clock has no effect.
        self._epoch_offset_ms = time.time() * 1000.0 - now_ms()
        self.hosts: dict[str, EmulatedServerHost] = {}
        self.registries = [self._registry(tier) for tier in range(len(plan.scenario.tiers))]
        self.requests = EmulatedRequests(self)
        self.local_nodes = LocalNodes(plan, folder, self.registries)
        self._dedup_tables: dict[tuple[int, int], DedupTable] = {}  # by tier and cell
        self._notifications: dict[tuple[str, str], Notification] = {}  # by node and server
        self._tasks: set[asyncio.Task[None]] = set()

    async def start(self) -> None:
        """Start all servers and their local nodes, and wait until all of them are ready.

        Raises:
            NodeStartError: a local node did not start.
        """
        for spec in self.plan.servers:
            host = self.add_host(spec, warming_up=False)
            await host.listen()
            self.report(host, DiscoveryChange.ADD, at_once=True, with_launch=False)
        await asyncio.gather(*(self.local_nodes.start(host.spec) for host in list(self.hosts.values())))
        for server, last_line in self.local_nodes.start_errors.items():
            raise NodeStartError(f"local node of server {server} did not become healthy: {last_line}")

    def add_agent(self, node: str, tier: int = 0) -> DiscoveryAgent:
        """Create a discovery agent for a node that sends requests to this tier."""
        return self.registries[tier].add_agent(node)

    def close(self) -> None:
        """Stop all servers, local nodes and discovery agents; records stay open."""
        self.requests.closed = True
        for task in self._tasks:
            task.cancel()
        for registry in self.registries:
            registry.close()
        self.local_nodes.close_clients()
        for host in self.hosts.values():
            host.close()
        self.local_nodes.kill_all()

    def report(
        self,
        host: EmulatedServerHost,
        change: DiscoveryChange,
        health: str = ACTIVE,
        at_once: bool = False,
        with_launch: bool = True,
    ) -> None:
        """Report the state of a server to discovery.

        Args:
            host: host of the server.
            change: kind of the change, which determines its delay.
            health: new health of the server.
            at_once: whether to apply the change without a delay.
            with_launch: whether to report the start time of the server.
        """
        spec, (address, port) = host.spec, host.address
        entry = DiscoveryEntry(spec.name, f"{address}:{port}", spec.zone, spec.cell, health)
        if with_launch:
            entry.launched_ms = self.launched_ms(host)
        self.registries[spec.tier].update(entry, change, at_once)

    def launched_ms(self, host: EmulatedServerHost) -> int:
        """Return the start of a server in ms since the Unix epoch; 0 if it was started with the fleet."""
        started_ms = host.model.started_ms
        return int(started_ms + self._epoch_offset_ms) if started_ms > 0.0 else 0

    def notification(self, node: str, server: str) -> Notification:
        """Return the last notification about a server that was sent to a node."""
        return self._notifications.get((node, server), Notification())

    def _registry(self, tier: int) -> DiscoveryRegistry:
        rng = random_stream(self.plan.seed, "run", "discovery", tier)
        table = self.plan.scenario.discovery
        return DiscoveryRegistry(lambda change: discovery_delay_ms(table, rng, change), self._notified)

    def _notified(self, node: str, server: str, entry: DiscoveryEntry, at_ms: float) -> None:
        self._notifications[node, server] = Notification(entry.health, at_ms, entry.launched_ms)
        self.records.write(NotifiedRecord(self.clock.plan_time(at_ms), node, server, entry.health))

    def add_host(self, spec: ServerSpec, warming_up: bool) -> EmulatedServerHost:
        """Create the host of a server, which does not listen yet."""
        dedup_table = self._dedup_tables.setdefault((spec.tier, spec.cell), DedupTable())
        rng = random_stream(self.plan.seed, "run", "equipo", spec.name)
        sends_load_reports = self.plan.scenario.tiers[spec.tier].report.enabled
        host = EmulatedServerHost(self.requests, spec, dedup_table, rng, warming_up, sends_load_reports)
        self.hosts[spec.name] = host
        return host

    def call_client(self, server: str) -> HttpClient | None:
        """Return the client of the local node of a server; None if no local node is running."""
        return self.local_nodes.client(server)

    def crash(self, host: EmulatedServerHost) -> None:
        """Kill the process of a server; discovery detects it after a delay."""
        self.stop(host)
        self.report(host, DiscoveryChange.SERVER_DIED, LEFT)

    def stop(self, host: EmulatedServerHost) -> None:
        """Stop the process of a server and its local node."""
        self.requests.record_lost_jobs(host)
        host.terminate()
        self.local_nodes.stop(host.spec)

    async def launch(self, spec: ServerSpec) -> None:
        """Start the local node of a new server, then the server, and add it to discovery."""
        host = self.add_host(spec, warming_up=True)
        await self.local_nodes.start(spec)
        self._restart(host)  # the warm-up begins when the server accepts requests
        await host.listen()
        self.report(host, DiscoveryChange.ADD)

    async def restart_crashed(self, host: EmulatedServerHost) -> None:
        """Restart a crashed server."""
        await self.local_nodes.start(host.spec)
        self._restart(host)
        await host.resume_accepting()
        self.report(host, DiscoveryChange.ADD)

    async def isolate(self, host: EmulatedServerHost) -> None:
        """Cut the machine of a server off from the network."""
        host.isolate()
        self.report(host, DiscoveryChange.SERVER_DIED, LEFT)

    async def rejoin(self, host: EmulatedServerHost, new_process: bool) -> None:
        """Reconnect an isolated machine, with its old process or a new one."""
        if new_process:
            self.stop(host)
            await host.rejoin()
            await self.restart_crashed(host)
        else:
            await host.rejoin()
            self.report(host, DiscoveryChange.ADD)

    def _restart(self, host: EmulatedServerHost) -> None:
        host.restart()
        at_ms = self.clock.plan_time(host.model.started_ms)
        self.records.write(start_record(self.plan, host.spec, at_ms))

    def run_task(self, work: Coroutine[None, None, None]) -> None:
        """Run a coroutine in the background; `close` cancels it."""
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
