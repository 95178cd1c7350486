"""Outages of zones and regions in a simulated run: loss of all machines there, or a network partition."""

from __future__ import annotations

from rosewheel.lab.discovery_delays import DiscoveryChange
from rosewheel.lab.plan_faults import FaultStep, fault_zones
from rosewheel.lab.server_model import LifecycleState
from rosewheel.lab.simulation.fleet import SimulatedFleet
from rosewheel.lab.simulation.host import SimulatedServerHost
from rosewheel.lab.simulation.network import Connection
from rosewheel.lab.simulation.node_restarts import NodeRestarts


class ZoneOutages:
    """Begins and ends outages of zones and regions."""

    def __init__(self, fleet: SimulatedFleet, node_restarts: NodeRestarts) -> None:
        self.fleet, self.node_restarts = fleet, node_restarts
        self._lost_hosts: dict[int, list[SimulatedServerHost]] = {}  # by index of the fault

    def lose_zones(self, step: FaultStep) -> None:
        """Lose all machines of the zones at once, including those of nodes."""
        fleet, zones = self.fleet, self._zones(step)
        lost = [host for host in fleet.hosts.values() if host.spec.zone in zones and host.listening]
        self._lost_hosts[step.fault] = lost
        for host in lost:
            host.catch_up(fleet.queue.now)
            fleet.requests.record_lost_jobs(host)
            host.lose_machine()
            fleet.stop_local_nodes(host.spec)
            fleet.remove_endpoint(host, DiscoveryChange.SERVER_DIED)
        for name, node in list(fleet.nodes.items()):
            if node.zone in zones:
                self.node_restarts.crash(name, fleet.plan.fault_duration_ms(step))

    def restore_zones(self, step: FaultStep) -> None:
        """Restart the lost servers, which warm up."""
        for host in self._lost_hosts.pop(step.fault, ()):
            self.fleet.stop(host, DiscoveryChange.SERVER_DIED)
            self.fleet.launch(host)

    def set_partitioned(self, step: FaultStep, partitioned: bool) -> None:
        """Begin or end a partition of the zones. Clients still reach the nodes there."""
        fleet, zones = self.fleet, self._zones(step)
        separated_before = {host: self._separated_connections(host) for host in fleet.hosts.values()}
        if partitioned:
            fleet.topology.isolate(step.fault, zones)
        else:
            fleet.topology.heal(step.fault)
        for host, before in separated_before.items():
            after = self._separated_connections(host)
            changed = (
                after if partitioned else [connection for connection in before if connection not in after]
            )
            host.catch_up(fleet.queue.now)
            host.set_partitioned(partitioned, changed)
            host.arm()
        hosts_in_zones = [
            host for host in fleet.hosts.values() if host.spec.zone in zones and not host.isolated
        ]
        for tier, registry in enumerate(fleet.registries):
            if partitioned:
                registry.isolate(zones)
            else:
                running = [fleet.endpoint(host) for host in hosts_in_zones if self._is_running(host, tier)]
                registry.heal(zones, running)

    @staticmethod
    def _is_running(host: SimulatedServerHost, tier: int) -> bool:
        return host.spec.tier == tier and host.listening and host.model.state is LifecycleState.UP

    def _zones(self, step: FaultStep) -> frozenset[str]:
        scenario = self.fleet.plan.scenario
        return frozenset(fault_zones(scenario, scenario.faults[step.fault]))

    def _separated_connections(self, host: SimulatedServerHost) -> list[Connection]:
        """Return the connections of a host that cross a partition."""
        topology, zone = self.fleet.topology, host.spec.zone
        return [
            connection for connection in host.connections if topology.separated(connection.node.zone, zone)
        ]
