"""Troubles of a whole zone or region in a simulated run: lost and back, or cut off for a while."""

from __future__ import annotations

from typing import TYPE_CHECKING

from rosewheel.lab.equipo import State
from rosewheel.lab.plan import Step, zones_of
from rosewheel.lab.simulation.clients import Front
from rosewheel.lab.simulation.host import Host
from rosewheel.lab.simulation.network import Link
from rosewheel.policy.events import ServerState

if TYPE_CHECKING:
    from rosewheel.lab.simulation.world import World


class Losses:
    def __init__(self, world: World) -> None:
        self.world = world
        self._lost: dict[int, list[Host]] = {}  # by trouble

    def loss(self, step: Step, front: Front, begins: bool) -> None:
        """All that runs there is lost in silence, nodes of the front too; later it starts anew, cold."""
        world, zones = self.world, self._zones(step)
        if not begins:
            for host in self._lost.pop(step.trouble, ()):
                world.gone(host, "silent")
                world.launch(host)
            return
        up = [host for host in world.hosts.values() if host.spec.zone in zones and host.listening]
        self._lost[step.trouble] = up
        for host in up:
            host.catch_up()
            for work in host.work.values():
                world.record(work, "lost")
            host.lose()
            world.end_companions(host.spec)
            world.registries[host.spec.tier].restate(host.spec.name, ServerState.REMOVED, "silent")
        for name, node in list(world.nodes.items()):
            if node.zone in zones:
                world.node_dies(name, front, world.length_ms(step))

    def cut(self, step: Step, begins: bool) -> None:
        """Nothing gets in or out, but for what clients ask the front's nodes there."""
        world, zones = self.world, self._zones(step)
        before = {host: self._crossing(host) for host in world.hosts.values()}
        if begins:
            world.areas.cut(step.trouble, zones)
        else:
            world.areas.mend(step.trouble)
        for host, links in before.items():
            now = self._crossing(host)
            host.catch_up()
            host.cut(begins, now if begins else [link for link in links if link not in now])
            host.arm()
        there = [host for host in world.hosts.values() if host.spec.zone in zones and not host.vanished]
        for tier, registry in enumerate(world.registries):
            if begins:
                registry.cut(zones)
            else:
                up = (host for host in there if host.listening and host.model.state is State.UP)
                registry.mend(zones, [world.entry(host) for host in up if host.spec.tier == tier])

    def _zones(self, step: Step) -> frozenset[str]:
        scenario = self.world.plan.scenario
        return frozenset(zones_of(scenario, scenario.troubles[step.trouble]))

    def _crossing(self, host: Host) -> list[Link]:
        """Its connections to nodes that nothing gets to."""
        return [link for link in host.links if self.world.areas.apart(link.node.zone, host.spec.zone)]
