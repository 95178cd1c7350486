"""The listeners of the simulated network, with their users and destinations. No I/O."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass

from rosewheel.lab.scale.messages import ListenerSetup, NetworkSetup, TrafficKind
from rosewheel.lab.scale.network import REGION_DELAY_S
from rosewheel.lab.scale.plan import Plan, zone_name
from rosewheel.lab.wire import Address

DISCOVERY = "discovery"  # name of the only destination that is not a control machine


@dataclass(slots=True, frozen=True)
class ListenerKey:
    """Identifies a listener.

    Attributes:
        user: The zone, real node or control machine that connects to the listener.
        destination: `DISCOVERY` or the name of a control machine.
    """

    user: str
    destination: str


class NetworkLayout:
    """The listeners of the network.

    Each zone has listeners for discovery and for each control machine, which its simulated nodes share. So has each
    real node, because it can't be identified by its source address. Each control machine has one for each of the
    others.

    Args:
        plan: The plan of the run.
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
        # Discovery counts as running on every control machine: it can be reached where one of them can.
        targets = dict.fromkeys(self.control_machines, self.discovery)
        self.keys.append(ListenerKey(user, DISCOVERY))
        self._listeners.append(ListenerSetup(TrafficKind.DISCOVERY, targets, caller))
        for name in self.control_machines:
            self._add(user, TrafficKind.CONTROL, name, caller)

    def _add(self, user: str, kind: TrafficKind, target: str, caller: str) -> None:
        self.keys.append(ListenerKey(user, target))
        self._listeners.append(ListenerSetup(kind, {target: self.control_machines[target]}, caller))

    def setup(self) -> NetworkSetup:
        """Return the setup of the network worker, with the listeners in the order of `keys`."""
        regions = {machine.name: machine.region for machine in self.plan.machines}
        regions |= {machine.name: machine.region for machine in self.plan.control_machines}
        machines = {machine.address: machine.name for machine in self.plan.machines}
        return NetworkSetup(regions, machines, self._listeners, REGION_DELAY_S)
