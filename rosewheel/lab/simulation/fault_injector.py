"""Injects the faults of a plan into simulated servers, nodes and zones."""

from __future__ import annotations

from rosewheel.lab.discovery_delays import DiscoveryChange
from rosewheel.lab.fault_injector import FaultInjector, fault_step_record
from rosewheel.lab.fault_table import FaultKind, FaultTable
from rosewheel.lab.plan_faults import FaultStep
from rosewheel.lab.record_types import RecordFile
from rosewheel.lab.server_model import LifecycleState
from rosewheel.lab.simulation.clients import SimulatedDispatcher
from rosewheel.lab.simulation.fleet import SimulatedFleet
from rosewheel.lab.simulation.host import SimulatedServerHost
from rosewheel.lab.simulation.node_restarts import NodeRestarts
from rosewheel.lab.simulation.outages import ZoneOutages
from rosewheel.policy.events import ServerState


class SimulatedFaultInjector(FaultInjector[SimulatedServerHost]):
    """Injects fault steps into a simulated fleet."""

    def __init__(self, fleet: SimulatedFleet, dispatcher: SimulatedDispatcher) -> None:
        super().__init__(fleet.plan, fleet.hosts)
        self.fleet, self.dispatcher = fleet, dispatcher
        self.node_restarts = NodeRestarts(fleet, dispatcher)
        self.outages = ZoneOutages(fleet, self.node_restarts)

    def now_ms(self) -> float:
        """Return the current virtual time."""
        return self.fleet.queue.now

    def record_step(self, kind: FaultKind, step: FaultStep) -> None:
        """Record a fault step."""
        record = fault_step_record(kind, step, self.fleet.plan_time())
        self.fleet.record(RecordFile.SERVERS, record)

    def drain(self, host: SimulatedServerHost) -> None:
        """Drain a server as part of a deploy."""
        host.model.drain(self.fleet.queue.now)
        self._set_state(host, ServerState.DRAINING, DiscoveryChange.DRAIN)

    def stop(self, host: SimulatedServerHost) -> None:
        """Stop a drained server."""
        self.fleet.stop(host, DiscoveryChange.STOP)

    def launch(self, name: str) -> None:
        """Start a new server of a deploy."""
        self.fleet.launch(self.fleet.add_host(self.fleet.specs[name], warming_up=True))

    def crash(self, host: SimulatedServerHost) -> None:
        """Kill a server process."""
        self.fleet.crash(host)

    def restart(self, host: SimulatedServerHost) -> None:
        """Start a crashed server again."""
        self.fleet.launch(host)

    def set_unreachable(self, host: SimulatedServerHost, unreachable: bool, new_process: bool) -> None:
        """Cut a machine off from the network, or reconnect it with its process or a new one."""
        if unreachable:
            host.isolate()
            self.fleet.remove_endpoint(host, DiscoveryChange.SERVER_DIED)
        elif new_process:
            self.fleet.crash(host)
            self.fleet.launch(host)
        else:
            host.rejoin()
            self.fleet.registries[host.spec.tier].update(self.fleet.endpoint(host), DiscoveryChange.ADD)

    def set_accepting(self, host: SimulatedServerHost, accepting: bool) -> None:
        """Refuse or accept new connections."""
        if host.model.state is not LifecycleState.DOWN:
            host.listening = accepting

    def set_discovery_lag(self, extra_ms: float) -> None:
        """Set the extra delay of all changes of endpoint lists."""
        for registry in self.fleet.registries:
            registry.extra_delay_ms = extra_ms

    def set_discovery_stalled(self, stalled: bool) -> None:
        """Stall discovery, with watches still open, or resume it."""
        for registry in self.fleet.registries:
            registry.stall(stalled)

    def reset_watches(self, begins: bool) -> None:
        """Close all watches when the fault begins."""
        for registry in self.fleet.registries if begins else ():
            registry.reset_watches()

    def report_in_storm(self, host: SimulatedServerHost, draining: bool) -> None:
        """List a running server as draining or as up, whatever its real state."""
        if host.model.state is LifecycleState.UP:
            state = ServerState.DRAINING if draining else ServerState.UP
            self._set_state(host, state, DiscoveryChange.STORM)

    def inject_into_nodes(self, step: FaultStep, fault: FaultTable, begins: bool) -> None:
        """Begin or end a fault of nodes, clients, zones or regions."""
        match fault.kind:
            case FaultKind.NODE_CRASH | FaultKind.NODE_LOSS:
                names = step.targets if fault.kind is FaultKind.NODE_LOSS else (f"n{fault.node_index}",)
                for name in names if begins else ():
                    self.node_restarts.crash(name, self.plan.fault_duration_ms(step))
            case FaultKind.NODE_UPGRADE:
                if begins:
                    self.node_restarts.upgrade(f"n{fault.node_index}")
            case FaultKind.CLIENT_SHIFT:
                self.dispatcher.allowed_nodes = step.targets if begins else ()
                self.dispatcher.update_candidates()
            case FaultKind.ZONE_LOSS:
                if begins:
                    self.outages.lose_zones(step)
                else:
                    self.outages.restore_zones(step)
            case FaultKind.ZONE_PARTITION:
                self.outages.set_partitioned(step, begins)
            case _:
                pass  # part of the arrivals of the plan, or injected into the clients

    def _set_state(self, host: SimulatedServerHost, state: ServerState, change: DiscoveryChange) -> None:
        self.fleet.registries[host.spec.tier].set_state(host.spec.name, state, change)
