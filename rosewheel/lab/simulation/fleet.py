"""Servers, nodes and discovery of a simulated run, and the start and end of their processes."""

from __future__ import annotations

import math
from collections import Counter
from collections.abc import Callable, Iterable

from rosewheel.lab.discovery_delays import DiscoveryChange
from rosewheel.lab.node_settings import platform_settings
from rosewheel.lab.plan import Plan
from rosewheel.lab.random_streams import random_stream
from rosewheel.lab.record_codec import sample_record, start_record
from rosewheel.lab.record_types import NotifiedRecord, Record, RecordFile
from rosewheel.lab.server_model import DedupTable, LifecycleState, ServerSpec
from rosewheel.lab.simulation.discovery import SimulatedRegistry
from rosewheel.lab.simulation.events import EventQueue
from rosewheel.lab.simulation.host import SimulatedServerHost
from rosewheel.lab.simulation.node import SimulatedNode
from rosewheel.lab.simulation.requests import Notification, SimulatedRequests
from rosewheel.lab.simulation.topology import Topology
from rosewheel.node.limits import Limits
from rosewheel.policy.events import AttemptResult, Server, ServerState
from rosewheel.policy.settings import Settings
from rosewheel.policy.settings_codec import settings_from_json

SAMPLE_PERIOD_MS = 500.0
PROCESS_START_MS = 500.0  # time from the start of a process until it serves
IDLE_TIMEOUT_MS = 30000.0

RecordFunction = Callable[[RecordFile, Record], None]


class SimulatedFleet:
    """All servers of a run, with discovery and the nodes that clients and servers use.

    Attributes:
        hosts: hosts by name of the server.
        specs: parameters by name of the server, including servers deployed during the run.
        registries: discovery by tier.
        nodes: nodes that clients use, by name.
        local_nodes: nodes that servers use for their calls, by name of the server and called tier.
        attempt_results: numbers of attempts by result, for each tier.
    """

    def __init__(self, plan: Plan, queue: EventQueue, record: RecordFunction) -> None:
        self.plan, self.queue, self._record = plan, queue, record
        scenario = plan.scenario
        tiers = range(len(scenario.tiers))
        self.hosts: dict[str, SimulatedServerHost] = {}
        self.specs = {spec.name: spec for spec in (*plan.servers, *plan.deployed_servers)}
        self.nodes: dict[str, SimulatedNode] = {}
        self.local_nodes: dict[tuple[str, int], SimulatedNode] = {}
        self.topology = Topology(scenario)
        self.requests = SimulatedRequests(self)
        self.registries = [self._new_registry(tier) for tier in tiers]
        self.attempt_results: list[Counter[AttemptResult]] = [Counter() for _ in tiers]
        self._dedup_tables: dict[tuple[int, int], DedupTable] = {}  # by tier and cell
        self._cells: dict[tuple[int, int], list[SimulatedServerHost]] = {}  # by tier and cell
        self._notifications: dict[tuple[str, str], Notification] = {}  # by node and server
        self._settings: dict[tuple[int, int, str], Settings] = {}  # by tier, number of balancers and zone
        self._limits = Limits(
            idle_timeout_ms=IDLE_TIMEOUT_MS,
            hedging_allowed=scenario.nodes.hedged_requests,
            health_checks_allowed=True,
            max_sockets=scenario.nodes.sockets,
            memory_limit_mb=scenario.nodes.memory_mb,
        )
        self._process_count = 0
        for spec in plan.servers:
            self.add_host(spec, warming_up=False).listening = True
            self.registries[spec.tier].endpoints[spec.name] = Server(spec.name, spec.zone, spec.cell)
        self.queue.call_at(0.0, self._sample_servers)

    def start(self, on_ready: Callable[[], None]) -> None:
        """Start all nodes at random times before the plan begins, then call `on_ready`."""
        spread_ms = self.plan.scenario.nodes.start_spread_s * 1000.0
        rng = random_stream(self.plan.seed, "run", "starts")
        for number in range(self.plan.scenario.nodes.count):
            delay_ms = float(rng.uniform(0.0, spread_ms))
            self.queue.call_later(delay_ms, self.start_client_node, f"n{number}")
        for spec in self.plan.servers:
            if self.plan.edges[spec.tier]:
                delay_ms = float(rng.uniform(0.0, spread_ms))
                self.queue.call_later(delay_ms, self._start_local_nodes, spec)
        self.queue.call_later(spread_ms, on_ready)

    # ------------------------------------------------------------------ nodes

    def start_client_node(self, name: str) -> None:
        """Start a node that clients use."""
        self.nodes[name] = self.new_client_node(name)

    def new_client_node(self, name: str) -> SimulatedNode:
        """Create a process of a node that clients use. These nodes alternate between the zones of the first tier."""
        scenario = self.plan.scenario
        zones = scenario.tiers[0].zones or scenario.zones
        return self._new_node(name, 0, scenario.nodes.count, zones[int(name[1:]) % len(zones)])

    def _new_node(self, name: str, tier: int, balancer_count: int, zone: str) -> SimulatedNode:
        settings = self._settings.get((tier, balancer_count, zone))
        if settings is None:
            settings = settings_from_json(platform_settings(self.plan, tier, balancer_count, zone))
            self._settings[tier, balancer_count, zone] = settings
        self._process_count += 1
        seed = int(random_stream(self.plan.seed, "node", name, self._process_count).integers(1 << 62))
        node = SimulatedNode(self, name, tier, settings, self._limits, seed)
        self.registries[tier].add_agent(node)
        return node

    def _start_local_nodes(self, spec: ServerSpec) -> None:
        """Start the nodes of a server, one for each tier that it calls."""
        edges, tiers = self.plan.edges, self.plan.scenario.tiers
        for number, (tier, _) in enumerate(edges[spec.tier]):
            callers = {caller for caller, calls in enumerate(edges) if any(to == tier for to, _ in calls)}
            balancer_count = sum(1 for server in self.plan.servers if server.tier in callers)
            name = f"n-{spec.name}-{tiers[tier].name}" if number else f"n-{spec.name}"
            self.local_nodes[spec.name, tier] = self._new_node(name, tier, balancer_count, spec.zone)

    def stop_local_nodes(self, spec: ServerSpec) -> None:
        """Kill the nodes that a server uses for its calls."""
        for tier, _ in self.plan.edges[spec.tier]:
            node = self.local_nodes.pop((spec.name, tier), None)
            if node is not None:
                node.kill()
                self.registries[node.tier].remove_agent(node)

    def local_node(self, server: str, tier: int) -> SimulatedNode | None:
        """Return the node that a server uses for calls to a tier; None if it is not running."""
        return self.local_nodes.get((server, tier))

    def attempt_finished(self, node: SimulatedNode, result: AttemptResult) -> None:
        """Count the result of an attempt."""
        self.attempt_results[node.tier][result] += 1

    # -------------------------------------------------------------- discovery

    def _new_registry(self, tier: int) -> SimulatedRegistry:
        rng = random_stream(self.plan.seed, "run", "discovery", tier)
        return SimulatedRegistry(self.queue, self.plan, self._record_notification, self._was_notified, rng)

    def _was_notified(self, node: str, server: str) -> bool:
        return (node, server) in self._notifications

    def _record_notification(self, node: str, entry: Server) -> None:
        notification = Notification(entry.state, self.queue.now, entry.launched_ms)
        self._notifications[node, entry.address] = notification
        record = NotifiedRecord(self.plan_time(), node, entry.address, entry.state.value)
        self.record(RecordFile.SERVERS, record)

    def notification(self, node: str, server: str) -> Notification | None:
        """Return the last notification of a node about a server, if any."""
        return self._notifications.get((node, server))

    @staticmethod
    def launched_ms(host: SimulatedServerHost) -> float | None:
        """Return the start of a server as reported by discovery; None if it ran from the beginning."""
        started_ms = host.model.started_ms
        return started_ms if math.isfinite(started_ms) else None

    def endpoint(self, host: SimulatedServerHost) -> Server:
        """Return the discovery entry of a running server."""
        spec = host.spec
        return Server(spec.name, spec.zone, spec.cell, launched_ms=self.launched_ms(host))

    # ---------------------------------------------------------------- servers

    def add_host(self, spec: ServerSpec, warming_up: bool) -> SimulatedServerHost:
        """Add a host, which does not listen yet."""
        cell = spec.tier, spec.cell
        dedup_table = self._dedup_tables.setdefault(cell, DedupTable())
        rng = random_stream(self.plan.seed, "run", "equipo", spec.name)
        sends_load_reports = self.plan.scenario.tiers[spec.tier].report.enabled
        host = SimulatedServerHost(
            self.requests, self.queue, spec, dedup_table, rng, warming_up, sends_load_reports
        )
        self.hosts[spec.name] = host
        self._cells.setdefault(cell, []).append(host)
        return host

    def cell_hosts(self, host: SimulatedServerHost) -> Iterable[SimulatedServerHost]:
        """Return the hosts of all servers in the cell of a host."""
        return self._cells[host.spec.tier, host.spec.cell]

    def launch(self, host: SimulatedServerHost) -> None:
        """Start a server process with its local nodes. It serves and is listed after `PROCESS_START_MS`."""
        self.queue.call_later(PROCESS_START_MS, self._process_started, host)

    def _process_started(self, host: SimulatedServerHost) -> None:
        if host.listening and host.model.state is not LifecycleState.DOWN:
            return  # started by another fault meanwhile
        spec = host.spec
        self._start_local_nodes(spec)
        host.restart()
        self.record(RecordFile.SERVERS, start_record(self.plan, spec, self.plan_time()))
        server = Server(spec.name, spec.zone, spec.cell, launched_ms=self.queue.now)
        self.registries[spec.tier].update(server, DiscoveryChange.ADD)

    def crash(self, host: SimulatedServerHost) -> None:
        """Kill a server process. Discovery detects that with a delay."""
        self.stop(host, DiscoveryChange.SERVER_DIED)

    def stop(self, host: SimulatedServerHost, change: DiscoveryChange) -> None:
        """End a server process and its local nodes."""
        self.requests.record_lost_jobs(host)
        host.terminate()
        self.stop_local_nodes(host.spec)
        self.remove_endpoint(host, change)

    def remove_endpoint(self, host: SimulatedServerHost, change: DiscoveryChange) -> None:
        """Remove a server from the endpoint list of its tier."""
        self.registries[host.spec.tier].set_state(host.spec.name, ServerState.REMOVED, change)

    # ---------------------------------------------------------------- records

    def record(self, name: RecordFile, record: Record) -> None:
        """Write a record to a file."""
        self._record(name, record)

    def plan_time(self) -> float:
        """Return the current time for records, in ms since the plan began, rounded to 0.1."""
        return round(self.queue.now, 1)

    def _sample_servers(self) -> None:
        now = self.queue.now
        for host in self.hosts.values():
            host.catch_up(now)
            host.model.reported_queue(now)  # advances the model to the current time
            self.record(RecordFile.SERVERS, sample_record(host.model, self.plan_time()))
            host.arm()
        self.queue.call_later(SAMPLE_PERIOD_MS, self._sample_servers)
