"""Troubles of a whole zone or region in a simulated run: lost and back, or cut off for a while."""

from __future__ import annotations

from typing import TYPE_CHECKING

from rosewheel.lab.discovery_delays import DiscoveryChange
from rosewheel.lab.plan_faults import FaultStep, zones_of
from rosewheel.lab.server_model import LifecycleState
from rosewheel.lab.simulation.clients import SimulatedDispatcher
from rosewheel.lab.simulation.host import SimulatedServerHost
from rosewheel.lab.simulation.network import Connection
from rosewheel.policy.events import ServerState

if TYPE_CHECKING:
    from rosewheel.lab.simulation.fleet import SimulatedFleet


class ZoneOutages:
    def __init__(self, world: SimulatedFleet) -> None:
        self.world = world
        self._lost: dict[int, list[SimulatedServerHost]] = {}  # by trouble

    def loss(self, step: FaultStep, front: SimulatedDispatcher, begins: bool) -> None:
        """All that runs there is lost in silence, nodes of the front too; later it starts anew, cold."""
        world, zones = self.world, self._zones(step)
        if not begins:
            for host in self._lost.pop(step.fault, ()):
                world.gone(host, DiscoveryChange.SERVER_DIED)
                world.launch(host)
            return
        up = [host for host in world.hosts.values() if host.spec.zone in zones and host.listening]
        self._lost[step.fault] = up
        for host in up:
            host.catch_up()
            for work in host.work.values():
                world.record(work, "lost")
            host.lose_machine()
            world.end_companions(host.spec)
            world.registries[host.spec.tier].set_state(
                host.spec.name, ServerState.REMOVED, DiscoveryChange.SERVER_DIED
            )
        for name, node in list(world.nodes.items()):
            if node.zone in zones:
                world.node_dies(name, front, world.length_ms(step))

    def cut(self, step: FaultStep, begins: bool) -> None:
        """Nothing gets in or out, but for what clients ask the front's nodes there."""
        world, zones = self.world, self._zones(step)
        before = {host: self._crossing(host) for host in world.hosts.values()}
        if begins:
            world.topology.isolate(step.fault, zones)
        else:
            world.topology.heal(step.fault)
        for host, links in before.items():
            now = self._crossing(host)
            host.catch_up()
            host.set_partitioned(begins, now if begins else [link for link in links if link not in now])
            host.arm()
        there = [host for host in world.hosts.values() if host.spec.zone in zones and not host.isolated]
        for tier, registry in enumerate(world.registries):
            if begins:
                registry.isolate(zones)
            else:
                up = (host for host in there if host.listening and host.model.state is LifecycleState.UP)
                registry.heal(zones, [world.entry(host) for host in up if host.spec.tier == tier])

    def _zones(self, step: FaultStep) -> frozenset[str]:
        scenario = self.world.plan.scenario
        return frozenset(zones_of(scenario, scenario.faults[step.fault]))

    def _crossing(self, host: SimulatedServerHost) -> list[Connection]:
        """Its connections to nodes that nothing gets to."""
        return [
            link for link in host.connections if self.world.topology.separated(link.node.zone, host.spec.zone)
        ]
