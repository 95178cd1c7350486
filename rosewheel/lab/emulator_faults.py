"""Injects the fault steps of a plan into emulated servers and their discovery."""

from __future__ import annotations

from rosewheel.lab.discovery_delays import DiscoveryChange
from rosewheel.lab.emulated_fleet import ACTIVE, LEAVING, LEFT, EmulatedFleet
from rosewheel.lab.fault_injector import FaultInjector, fault_step_record
from rosewheel.lab.fault_table import FaultKind, FaultTable
from rosewheel.lab.plan_faults import FaultStep
from rosewheel.lab.server_host import EmulatedServerHost
from rosewheel.lab.wire import now_ms


class EmulatorFaultInjector(FaultInjector[EmulatedServerHost]):
    """Injects fault steps into an emulated fleet."""

    def __init__(self, fleet: EmulatedFleet) -> None:
        super().__init__(fleet.plan, fleet.hosts)
        self.fleet = fleet

    def now_ms(self) -> float:
        """Return the current time of the monotonic clock."""
        return now_ms()

    def record_step(self, kind: FaultKind, step: FaultStep) -> None:
        """Record a fault step."""
        self.fleet.records.write(fault_step_record(kind, step, self.fleet.clock.plan_time()))

    def drain(self, host: EmulatedServerHost) -> None:
        """Drain a server as part of a deploy."""
        host.model.drain(now_ms())
        self.fleet.report(host, DiscoveryChange.DRAIN, LEAVING)

    def stop(self, host: EmulatedServerHost) -> None:
        """Stop a drained server."""
        self.fleet.report(host, DiscoveryChange.STOP, LEFT)
        self.fleet.stop(host)

    def launch(self, name: str) -> None:
        """Start a new server of a deploy."""
        self.fleet.run_task(self.fleet.launch(self.plan.server_spec(name)))

    def crash(self, host: EmulatedServerHost) -> None:
        """Kill a server process."""
        self.fleet.crash(host)

    def restart(self, host: EmulatedServerHost) -> None:
        """Restart a crashed server."""
        self.fleet.run_task(self.fleet.restart_crashed(host))

    def set_unreachable(self, host: EmulatedServerHost, unreachable: bool, new_process: bool) -> None:
        """Cut a machine off from the network, or reconnect it with its process or a new one."""
        work = self.fleet.isolate(host) if unreachable else self.fleet.rejoin(host, new_process)
        self.fleet.run_task(work)

    def set_accepting(self, host: EmulatedServerHost, accepting: bool) -> None:
        """Refuse or accept new connections."""
        if accepting:
            self.fleet.run_task(host.resume_accepting())
        else:
            host.stop_accepting()

    def set_discovery_lag(self, extra_ms: float) -> None:
        """Set the extra delay of all changes of endpoint lists."""
        for registry in self.fleet.registries:
            registry.extra_delay_ms = extra_ms

    def set_discovery_stalled(self, stalled: bool) -> None:
        """Stall discovery, with watches still open, or resume it."""
        for registry in self.fleet.registries:
            for agent in registry.agents.values():
                agent.set_stalled(stalled)

    def reset_watches(self, begins: bool) -> None:
        """Reset all watches, both when the fault begins and when it ends."""
        for registry in self.fleet.registries:
            for agent in registry.agents.values():
                agent.reset_watches()

    def report_in_storm(self, host: EmulatedServerHost, draining: bool) -> None:
        """Report a server to discovery as draining or as up, whatever its real state."""
        self.fleet.report(host, DiscoveryChange.STORM, LEAVING if draining else ACTIVE)

    def inject_into_nodes(self, step: FaultStep, fault: FaultTable, begins: bool) -> None:
        """Do nothing: the run injects faults of nodes and clients, which it owns."""
