"""Faults of a zone or region in a simulated run: everything in it is lost, or it is cut off for a time."""

from __future__ import annotations

from rosewheel.lab.discovery_delays import DiscoveryChange
from rosewheel.lab.plan_faults import FaultStep, zones_of
from rosewheel.lab.server_model import LifecycleState
from rosewheel.lab.simulation.fleet import SimulatedFleet
from rosewheel.lab.simulation.host import SimulatedServerHost
from rosewheel.lab.simulation.network import Connection
from rosewheel.lab.simulation.node_restarts import NodeRestarts


class ZoneOutages:
    """Outages of zones and regions."""

    def __init__(self, fleet: SimulatedFleet, node_restarts: NodeRestarts) -> None:
        self.fleet, self.node_restarts = fleet, node_restarts
        self._lost: dict[int, list[SimulatedServerHost]] = {}  # by fault

    def lose(self, step: FaultStep) -> None:
        """All machines of the zones are lost at one moment, those of nodes too."""
        fleet, zones = self.fleet, self._zones(step)
        lost = [host for host in fleet.hosts.values() if host.spec.zone in zones and host.listening]
        self._lost[step.fault] = lost
        for host in lost:
            host.catch_up(fleet.queue.now)
            fleet.requests.lose_work(host)
            host.lose_machine()
            fleet.stop_local_nodes(host.spec)
            fleet.remove_endpoint(host, DiscoveryChange.SERVER_DIED)
        for name, node in list(fleet.nodes.items()):
            if node.zone in zones:
                self.node_restarts.crash(name, fleet.plan.fault_duration_ms(step))

    def restore(self, step: FaultStep) -> None:
        """Start the lost servers again; they warm up."""
        for host in self._lost.pop(step.fault, ()):
            self.fleet.stop(host, DiscoveryChange.SERVER_DIED)
            self.fleet.launch(host)

    def set_partitioned(self, step: FaultStep, partitioned: bool) -> None:
        """Begin or end a partition of the zones: only clients still reach the nodes there."""
        fleet, zones = self.fleet, self._zones(step)
        separated_before = {host: self._separated_connections(host) for host in fleet.hosts.values()}
        if partitioned:
            fleet.topology.isolate(step.fault, zones)
        else:
            fleet.topology.heal(step.fault)
        for host, before in separated_before.items():
            after = self._separated_connections(host)
            changed = after if partitioned else [link for link in before if link not in after]
            host.catch_up(fleet.queue.now)
            host.set_partitioned(partitioned, changed)
            host.arm()
        inside = [host for host in fleet.hosts.values() if host.spec.zone in zones and not host.isolated]
        for tier, registry in enumerate(fleet.registries):
            if partitioned:
                registry.isolate(zones)
            else:
                running = [fleet.endpoint(host) for host in inside if self._is_running(host, tier)]
                registry.heal(zones, running)

    @staticmethod
    def _is_running(host: SimulatedServerHost, tier: int) -> bool:
        return host.spec.tier == tier and host.listening and host.model.state is LifecycleState.UP

    def _zones(self, step: FaultStep) -> frozenset[str]:
        scenario = self.fleet.plan.scenario
        return frozenset(zones_of(scenario, scenario.faults[step.fault]))

    def _separated_connections(self, host: SimulatedServerHost) -> list[Connection]:
        """Connections of a host to nodes beyond a partition."""
        topology, zone = self.fleet.topology, host.spec.zone
        return [link for link in host.connections if topology.separated(link.node.zone, zone)]
