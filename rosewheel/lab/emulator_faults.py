"""Steps of faults, carried out on emulated servers."""

from __future__ import annotations

from rosewheel.lab.discovery_delays import DiscoveryChange
from rosewheel.lab.emulated_fleet import ACTIVE, LEAVING, LEFT, EmulatedFleet
from rosewheel.lab.fault_injector import FaultInjector, fault_step_record
from rosewheel.lab.fault_table import FaultKind, FaultTable
from rosewheel.lab.plan_faults import FaultStep
from rosewheel.lab.server_host import EmulatedServerHost
from rosewheel.lab.wire import now_ms


class EmulatorFaultInjector(FaultInjector[EmulatedServerHost]):
    """Carries out fault steps on an emulated fleet."""

    def __init__(self, fleet: EmulatedFleet) -> None:
        super().__init__(fleet.plan, fleet.hosts)
        self.fleet = fleet

    def now_ms(self) -> float:
        """The time of the models."""
        return now_ms()

    def record_step(self, kind: FaultKind, step: FaultStep) -> None:
        """Record a step."""
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
        """Kill the process of a server."""
        self.fleet.crash(host)

    def restart(self, host: EmulatedServerHost) -> None:
        """Start a crashed server again."""
        self.fleet.run_task(self.fleet.restart_crashed(host))

    def set_unreachable(self, host: EmulatedServerHost, unreachable: bool, new_process: bool) -> None:
        """Cut a machine off, or connect it again."""
        work = self.fleet.isolate(host) if unreachable else self.fleet.rejoin(host, new_process)
        self.fleet.run_task(work)

    def set_accepting(self, host: EmulatedServerHost, accepting: bool) -> None:
        """Refuse connections, or accept them again."""
        if accepting:
            self.fleet.run_task(host.resume_accepting())
        else:
            host.stop_accepting()

    def set_discovery_lag(self, extra_ms: float) -> None:
        """Delay all changes of endpoint lists further."""
        for registry in self.fleet.registries:
            registry.extra_delay_ms = extra_ms

    def set_discovery_stalled(self, stalled: bool) -> None:
        """Stop discovery, watches staying open, or resume it."""
        for registry in self.fleet.registries:
            for agent in registry.agents.values():
                agent.stall(stalled)

    def reset_watches(self, begins: bool) -> None:
        """Break all watches, at the beginning of the fault and at its end."""
        for registry in self.fleet.registries:
            for agent in registry.agents.values():
                agent.reset_watches()

    def report_in_storm(self, host: EmulatedServerHost, draining: bool) -> None:
        """Report a server as draining or as up, without a cause."""
        self.fleet.report(host, DiscoveryChange.STORM, LEAVING if draining else ACTIVE)

    def inject_into_nodes(self, step: FaultStep, fault: FaultTable, begins: bool) -> None:
        """Faults of nodes and of the load are carried out by the run that owns them."""
