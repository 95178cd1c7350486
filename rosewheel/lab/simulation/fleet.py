"""The simulated servers of all tiers, their nodes and discovery: how processes start and end."""

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
PROCESS_START_MS = 500.0  # until a started process serves
IDLE_TIMEOUT_MS = 30000.0

RecordFunction = Callable[[RecordFile, Record], None]


class SimulatedFleet:
    """All servers, and the nodes that clients and servers use.

    Attributes:
        hosts: by name of the server.
        specs: parameters of all servers, later ones included.
        registries: discovery of each tier.
        nodes: the nodes that clients reach, by name.
        local_nodes: the nodes through which servers call, by server and called tier.
        attempt_results: results of attempts, by tier.
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
        self.registries = [self._registry(tier) for tier in tiers]
        self.attempt_results: list[Counter[AttemptResult]] = [Counter() for _ in tiers]
        self._dedup_tables: dict[tuple[int, int], DedupTable] = {}  # by tier and cell
        self._cells: dict[tuple[int, int], list[SimulatedServerHost]] = {}  # by tier and cell
        self._notifications: dict[tuple[str, str], Notification] = {}  # by node and server
        self._settings: dict[tuple[int, int, str], Settings] = {}
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
            self.registries[spec.tier].current[spec.name] = Server(spec.name, spec.zone, spec.cell)
        self.queue.call_at(0.0, self._sample)

    def start(self, on_ready: Callable[[], None]) -> None:
        """Start all nodes, each at a drawn moment before the plan begins, and call `on_ready` after the last."""
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
        """Start a node that clients reach."""
        self.nodes[name] = self.new_client_node(name)

    def new_client_node(self, name: str) -> SimulatedNode:
        """A new process of a node that clients reach; they stand in the zones of the first tier, in turn."""
        scenario = self.plan.scenario
        zones = scenario.tiers[0].zones or scenario.zones
        return self._node(name, 0, scenario.nodes.count, zones[int(name[1:]) % len(zones)])

    def _node(self, name: str, tier: int, balancer_count: int, zone: str) -> SimulatedNode:
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
        """Start the nodes through which a server calls, one for each tier that it calls."""
        edges, tiers = self.plan.edges, self.plan.scenario.tiers
        for number, (tier, _) in enumerate(edges[spec.tier]):
            callers = {caller for caller, calls in enumerate(edges) if any(to == tier for to, _ in calls)}
            balancer_count = sum(1 for server in self.plan.servers if server.tier in callers)
            name = f"n-{spec.name}-{tiers[tier].name}" if number else f"n-{spec.name}"
            self.local_nodes[spec.name, tier] = self._node(name, tier, balancer_count, spec.zone)

    def stop_local_nodes(self, spec: ServerSpec) -> None:
        """Kill the nodes through which a server calls."""
        for tier, _ in self.plan.edges[spec.tier]:
            node = self.local_nodes.pop((spec.name, tier), None)
            if node is not None:
                node.kill()
                self.registries[node.tier].remove_agent(node)

    def local_node(self, server: str, tier: int) -> SimulatedNode | None:
        """The node through which a server calls a tier."""
        return self.local_nodes.get((server, tier))

    def attempt_finished(self, node: SimulatedNode, result: AttemptResult) -> None:
        """An attempt has ended, as its node sees it."""
        self.attempt_results[node.tier][result] += 1

    # -------------------------------------------------------------- discovery

    def _registry(self, tier: int) -> SimulatedRegistry:
        rng = random_stream(self.plan.seed, "run", "discovery", tier)
        return SimulatedRegistry(self.queue, self.plan, self._notified, self._was_notified, rng)

    def _was_notified(self, node: str, server: str) -> bool:
        return (node, server) in self._notifications

    def _notified(self, node: str, entry: Server) -> None:
        notification = Notification(entry.state, self.queue.now, entry.launched_ms)
        self._notifications[node, entry.address] = notification
        record = NotifiedRecord(self.plan_time(), node, entry.address, entry.state.value)
        self.record(RecordFile.SERVERS, record)

    def notification(self, node: str, server: str) -> Notification | None:
        """What this node was last notified of this server."""
        return self._notifications.get((node, server))

    @staticmethod
    def launched_ms(host: SimulatedServerHost) -> float | None:
        """The start of a server as discovery reports it; None for one that ran from the beginning."""
        started_ms = host.model.started_ms
        return started_ms if math.isfinite(started_ms) else None

    def endpoint(self, host: SimulatedServerHost) -> Server:
        """A running server as discovery lists it."""
        spec = host.spec
        return Server(spec.name, spec.zone, spec.cell, launched_ms=self.launched_ms(host))

    # ---------------------------------------------------------------- servers

    def add_host(self, spec: ServerSpec, warming_up: bool) -> SimulatedServerHost:
        """A host that does not listen yet."""
        cell = spec.tier, spec.cell
        dedup_table = self._dedup_tables.setdefault(cell, DedupTable())
        rng = random_stream(self.plan.seed, "run", "equipo", spec.name)
        reports = self.plan.scenario.tiers[spec.tier].report.enabled
        host = SimulatedServerHost(self.requests, self.queue, spec, dedup_table, rng, warming_up, reports)
        self.hosts[spec.name] = host
        self._cells.setdefault(cell, []).append(host)
        return host

    def cell_hosts(self, host: SimulatedServerHost) -> Iterable[SimulatedServerHost]:
        """All servers of a server's cell."""
        return self._cells[host.spec.tier, host.spec.cell]

    def launch(self, host: SimulatedServerHost) -> None:
        """Start the process of a server: first its local nodes, then the server; then it is listed."""
        self.queue.call_later(PROCESS_START_MS, self._launched, host)

    def _launched(self, host: SimulatedServerHost) -> None:
        if host.listening and host.model.state is not LifecycleState.DOWN:
            return  # two faults have started it
        spec = host.spec
        self._start_local_nodes(spec)
        host.restart()
        self.record(RecordFile.SERVERS, start_record(self.plan, spec, self.plan_time()))
        server = Server(spec.name, spec.zone, spec.cell, launched_ms=self.queue.now)
        self.registries[spec.tier].update(server, DiscoveryChange.ADD)

    def crash(self, host: SimulatedServerHost) -> None:
        """Kill the process of a server; discovery notices later."""
        self.stop(host, DiscoveryChange.SERVER_DIED)

    def stop(self, host: SimulatedServerHost, change: DiscoveryChange) -> None:
        """End the process of a server, and its local nodes with it."""
        self.requests.lose_work(host)
        host.terminate()
        self.stop_local_nodes(host.spec)
        self.remove_endpoint(host, change)

    def remove_endpoint(self, host: SimulatedServerHost, change: DiscoveryChange) -> None:
        """Remove a server from the endpoint list."""
        self.registries[host.spec.tier].set_state(host.spec.name, ServerState.REMOVED, change)

    # ---------------------------------------------------------------- records

    def record(self, name: RecordFile, record: Record) -> None:
        """Write a record."""
        self._record(name, record)

    def plan_time(self) -> float:
        """Now, as records have it: in ms of the plan's clock, rounded to 0.1."""
        return round(self.queue.now, 1)

    def _sample(self) -> None:
        now = self.queue.now
        for host in self.hosts.values():
            host.catch_up(now)
            host.model.reported_queue(now)  # brings the model up to now, not to its last event
            self.record(RecordFile.SERVERS, sample_record(host.model, self.plan_time()))
            host.arm()
        self.queue.call_later(SAMPLE_PERIOD_MS, self._sample)
