"""The emulated servers of all tiers, their discovery and their local nodes: how servers start, stop and fail."""

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

# States of a server by the words of discovery.
ACTIVE, LEAVING, LEFT = "active", "leaving", "left"


class NodeStartError(RuntimeError):
    """The local node of a server did not start."""


class EmulatedFleet:
    """All emulated servers.

    Attributes:
        hosts: by name of the server.
        registries: discovery of each tier.
        requests: the requests at all servers.
    """

    def __init__(self, plan: Plan, folder: Path, records: RecordWriter) -> None:
        self.plan, self.records = plan, records
        self.clock = PlanClock()
        # Discovery reports starts in the time of day. Read once, so that a step of that clock changes nothing.
        self._epoch_ms = time.time() * 1000.0 - now_ms()
        self.hosts: dict[str, EmulatedServerHost] = {}
        self.registries = [self._registry(tier) for tier in range(len(plan.scenario.tiers))]
        self.requests = EmulatedRequests(self)
        self.local_nodes = LocalNodes(plan, folder, self.registries)
        self._dedup_tables: dict[tuple[int, int], DedupTable] = {}  # by tier and cell
        self._notifications: dict[tuple[str, str], Notification] = {}  # by node and server
        self._tasks: set[asyncio.Task[None]] = set()

    async def start(self) -> None:
        """Start all servers and their local nodes; returns when all of them are ready.

        Raises:
            NodeStartError: a local node did not start.
        """
        for spec in self.plan.servers:
            host = self.add_host(spec, warming_up=False)
            await host.listen()
            self.report(host, DiscoveryChange.ADD, at_once=True, with_launch=False)
        await asyncio.gather(*(self.local_nodes.start(host.spec) for host in list(self.hosts.values())))
        for server, last_line in self.local_nodes.start_errors.items():
            raise NodeStartError(f"the node of {server} did not start: {last_line}")

    def add_agent(self, node: str, tier: int = 0) -> DiscoveryAgent:
        """A discovery agent for a node that sends to this tier."""
        return self.registries[tier].add_agent(node)

    def close(self) -> None:
        """End everything but records."""
        self.requests.closed = True
        for task in self._tasks:
            task.cancel()
        for registry in self.registries:
            registry.close()
        self.local_nodes.close_clients()
        for host in self.hosts.values():
            host.close()
        self.local_nodes.kill_all()

    # ------------------------------------------------------------- discovery

    def report(
        self,
        host: EmulatedServerHost,
        change: DiscoveryChange,
        health: str = ACTIVE,
        at_once: bool = False,
        with_launch: bool = True,
    ) -> None:
        """Report the state of a server to discovery."""
        spec, (address, port) = host.spec, host.address
        entry = DiscoveryEntry(spec.name, f"{address}:{port}", spec.zone, spec.cell, health)
        if with_launch:
            entry.launched_ms = self.launched_ms(host)
        self.registries[spec.tier].update(entry, change, at_once)

    def launched_ms(self, host: EmulatedServerHost) -> int:
        """The start of a server as discovery reports it, in ms of the epoch; 0 for one that ran from the beginning."""
        started_ms = host.model.started_ms
        return int(started_ms + self._epoch_ms) if started_ms > 0.0 else 0

    def notification(self, node: str, server: str) -> Notification:
        """What this node was last notified of this server."""
        return self._notifications.get((node, server), Notification())

    def _registry(self, tier: int) -> DiscoveryRegistry:
        rng = random_stream(self.plan.seed, "run", "discovery", tier)
        table = self.plan.scenario.discovery
        return DiscoveryRegistry(lambda change: discovery_delay_ms(table, rng, change), self._notified)

    def _notified(self, node: str, server: str, entry: DiscoveryEntry, at_ms: float) -> None:
        self._notifications[node, server] = Notification(entry.health, at_ms, entry.launched_ms)
        self.records.write(NotifiedRecord(self.clock.plan_time(at_ms), node, server, entry.health))

    # --------------------------------------------------------------- servers

    def add_host(self, spec: ServerSpec, warming_up: bool) -> EmulatedServerHost:
        """A host that does not listen yet."""
        dedup_table = self._dedup_tables.setdefault((spec.tier, spec.cell), DedupTable())
        rng = random_stream(self.plan.seed, "run", "equipo", spec.name)
        sends_load_reports = self.plan.scenario.tiers[spec.tier].report.enabled
        host = EmulatedServerHost(self.requests, spec, dedup_table, rng, warming_up, sends_load_reports)
        self.hosts[spec.name] = host
        return host

    def call_client(self, server: str) -> HttpClient | None:
        """The client through which a server calls the next tier."""
        return self.local_nodes.client(server)

    def crash(self, host: EmulatedServerHost) -> None:
        """Kill the process of a server; discovery notices later."""
        self.stop(host)
        self.report(host, DiscoveryChange.SERVER_DIED, LEFT)

    def stop(self, host: EmulatedServerHost) -> None:
        """End the process of a server, and its local node with it."""
        self.requests.record_lost_jobs(host)
        host.terminate()
        self.local_nodes.stop(host.spec)

    async def launch(self, spec: ServerSpec) -> None:
        """Start a new server: first its local node, then its process; then it is reported."""
        host = self.add_host(spec, warming_up=True)
        await self.local_nodes.start(spec)
        self._restart(host)  # its warm-up counts from when it accepts requests
        await host.listen()
        self.report(host, DiscoveryChange.ADD)

    async def revive(self, host: EmulatedServerHost) -> None:
        """Start a crashed server again."""
        await self.local_nodes.start(host.spec)
        self._restart(host)
        await host.resume_accepting()
        self.report(host, DiscoveryChange.ADD)

    async def isolate(self, host: EmulatedServerHost) -> None:
        """Cut the machine of a server off."""
        host.isolate()
        self.report(host, DiscoveryChange.SERVER_DIED, LEFT)

    async def rejoin(self, host: EmulatedServerHost, new_process: bool) -> None:
        """Connect an isolated machine again, with its process or with a new one."""
        if new_process:
            self.stop(host)
            await host.rejoin()
            await self.revive(host)
        else:
            await host.rejoin()
            self.report(host, DiscoveryChange.ADD)

    def _restart(self, host: EmulatedServerHost) -> None:
        host.restart()
        at_ms = self.clock.plan_time(host.model.started_ms)
        self.records.write(start_record(self.plan, host.spec, at_ms))

    def run_task(self, work: Coroutine[None, None, None]) -> None:
        """Run this beside the rest until `close`."""
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
