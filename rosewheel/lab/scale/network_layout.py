"""The listeners of a scale run's network: who connects where. No I/O."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass

from rosewheel.lab.scale.messages import ListenerSetup, NetworkSetup, TrafficKind
from rosewheel.lab.scale.network import REGION_DELAY_S
from rosewheel.lab.scale.plan import Plan, zone_name
from rosewheel.lab.wire import Address

DISCOVERY = "discovery"  # destination; the others are names of control machines


@dataclass(slots=True, frozen=True)
class ListenerKey:
    """Who uses a listener (a zone, a real node or a control machine), and where it leads."""

    user: str
    destination: str


class NetworkLayout:
    """The listeners of the network.

    One for each zone, one for each real node, which has no source address of its own, and one from each control machine
    to each other one.

    Args:
        plan: The plan.
        discovery: Address of discovery.
        control_machines: Addresses of the control machines, by name.
    """

    def __init__(self, plan: Plan, discovery: Address, control_machines: Mapping[str, Address]) -> None:
        self.plan, self.discovery, self.control_machines = plan, discovery, control_machines
        self.keys: list[ListenerKey] = []
        self._listeners: list[ListenerSetup] = []
        for zone in sorted({machine.zone for machine in plan.machines}):
            self._add_node_listeners(zone_name(zone), caller="")
        for machine in plan.machines:
            if machine.real:
                self._add_node_listeners(machine.name, caller=machine.name)
        for caller in control_machines:
            for peer in control_machines:
                if peer != caller:
                    self._add(caller, TrafficKind.PEER, peer, caller)

    def _add_node_listeners(self, user: str, caller: str) -> None:
        targets = dict.fromkeys(self.control_machines, self.discovery)
        self.keys.append(ListenerKey(user, DISCOVERY))
        self._listeners.append(ListenerSetup(TrafficKind.DISCOVERY, targets, caller))
        for name in self.control_machines:
            self._add(user, TrafficKind.CONTROL, name, caller)

    def _add(self, user: str, kind: TrafficKind, target: str, caller: str) -> None:
        self.keys.append(ListenerKey(user, target))
        self._listeners.append(ListenerSetup(kind, {target: self.control_machines[target]}, caller))

    def setup(self) -> NetworkSetup:
        """Setup of the network worker; its listeners are in the order of `keys`."""
        regions = {machine.name: machine.region for machine in self.plan.machines}
        regions |= {machine.name: machine.region for machine in self.plan.control_machines}
        machines = {machine.address: machine.name for machine in self.plan.machines}
        return NetworkSetup(regions, machines, self._listeners, REGION_DELAY_S)
