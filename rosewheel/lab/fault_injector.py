"""Base class of the fault injectors for emulated and simulated servers."""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections.abc import Mapping
from typing import Generic, Protocol, TypeVar

from rosewheel.lab.connection_faults import ConnectionFault
from rosewheel.lab.fault_table import ConnectionFaultKind, FaultKind, FaultTable
from rosewheel.lab.plan import Plan
from rosewheel.lab.plan_faults import FaultPhase, FaultStep
from rosewheel.lab.random_streams import random_stream
from rosewheel.lab.record_types import FaultStepRecord
from rosewheel.lab.server_model import EmulatedServer, ServerSpec


class FaultableHost(Protocol):
    """Host of a server, as far as the injector uses it."""

    spec: ServerSpec
    model: EmulatedServer

    def catch_up(self, now: float) -> None:
        """Process the events of the model that are due by now."""

    def arm(self) -> None:
        """Set the timer to the next event of the model."""

    def begin_fault(self, number: int, fault: ConnectionFault) -> None:
        """Activate a fault that affects a share of the connections."""

    def end_fault(self, number: int) -> None:
        """Stop affecting new connections."""


HostT = TypeVar("HostT", bound=FaultableHost)


class FaultInjector(ABC, Generic[HostT]):
    """Injects fault steps into the hosts of servers; subclasses implement start, stop and failure of hosts."""

    def __init__(self, plan: Plan, hosts: Mapping[str, HostT]) -> None:
        self.plan, self.hosts = plan, hosts

    def inject(self, step: FaultStep) -> None:
        """Record one fault step and inject it."""
        fault = self.plan.scenario.faults[step.fault]
        self.record_step(fault.kind, step)
        targets = [self.hosts[name] for name in step.targets if name in self.hosts]
        now = self.now_ms()
        for host in targets:
            host.catch_up(now)
        self._inject(step, fault, targets, now)
        for host in targets:
            host.arm()

    def _inject(self, step: FaultStep, fault: FaultTable, targets: list[HostT], now: float) -> None:
        begins = step.phase is FaultPhase.BEGIN
        match fault.kind:
            case FaultKind.SLOW:
                for host in targets:
                    host.model.set_slow_factor(now, step.size if begins else 1.0)
            case FaultKind.NEIGHBOUR:
                for host in targets:
                    host.model.set_neighbour_share(now, step.size if begins else 0.0)
            case FaultKind.ERRORS:
                for host in targets:
                    host.model.forced_error_share = step.size if begins else 0.0
            case FaultKind.DEPLOY:
                self._deploy(step, targets)
            case FaultKind.CONNECTION_FAULTS:
                self._inject_connection_faults(step, fault)
            case FaultKind.CRASH:
                for host in targets:
                    if begins:
                        self.crash(host)
                    else:
                        self.restart(host)
            case FaultKind.MACHINE_UNREACHABLE:
                for host in targets:
                    self.set_unreachable(host, begins, fault.new_process)
            case _:
                self._inject_outside_servers(step, fault, targets)

    def _inject_outside_servers(self, step: FaultStep, fault: FaultTable, targets: list[HostT]) -> None:
        begins = step.phase is FaultPhase.BEGIN
        match fault.kind:
            case FaultKind.DISCOVERY_LAG:
                self.set_discovery_lag(step.size * 1000.0 if begins else 0.0)
            case FaultKind.DISCOVERY_STALL:
                self.set_discovery_stalled(begins)
            case FaultKind.DISCOVERY_BREAK:
                self.reset_watches(begins)
            case FaultKind.DISCOVERY_STORM:
                for host in targets:
                    self.report_in_storm(host, draining=step.phase is FaultPhase.REPORT_DRAINING)
            case _:
                self.inject_into_nodes(step, fault, begins)

    def _deploy(self, step: FaultStep, targets: list[HostT]) -> None:
        match step.phase:
            case FaultPhase.DRAIN:
                for host in targets:
                    self.drain(host)
            case FaultPhase.STOP:
                for host in targets:
                    self.stop(host)
            case _:
                for name in step.targets:
                    self.launch(name)

    def _inject_connection_faults(self, step: FaultStep, fault: FaultTable) -> None:
        begins, tiers = step.phase is FaultPhase.BEGIN, self.plan.scenario.tiers
        tier_name = fault.tier_name or tiers[0].name
        for name, host in self.hosts.items():
            if tiers[host.spec.tier].name != tier_name:
                continue
            if fault.connection_fault is ConnectionFaultKind.REFUSE:
                if name in step.targets:
                    self.set_accepting(host, not begins)
            elif begins:
                rng = random_stream(self.plan.seed, "run", "fault", step.fault, name)
                connection_fault = ConnectionFault(fault.connection_fault, fault.share, fault.delay_ms, rng)
                host.begin_fault(step.fault, connection_fault)
            else:
                host.end_fault(step.fault)

    @abstractmethod
    def now_ms(self) -> float:
        """Return the current time of the server models, in ms."""

    @abstractmethod
    def record_step(self, kind: FaultKind, step: FaultStep) -> None:
        """Record a fault step."""

    @abstractmethod
    def drain(self, host: HostT) -> None:
        """Drain a server as part of a deploy."""

    @abstractmethod
    def stop(self, host: HostT) -> None:
        """Stop a drained server."""

    @abstractmethod
    def launch(self, name: str) -> None:
        """Start a new server of a deploy."""

    @abstractmethod
    def crash(self, host: HostT) -> None:
        """Kill a server process."""

    @abstractmethod
    def restart(self, host: HostT) -> None:
        """Restart a crashed server."""

    @abstractmethod
    def set_unreachable(self, host: HostT, unreachable: bool, new_process: bool) -> None:
        """Cut a machine off from the network, or reconnect it with its process or a new one."""

    @abstractmethod
    def set_accepting(self, host: HostT, accepting: bool) -> None:
        """Refuse or accept new connections."""

    @abstractmethod
    def set_discovery_lag(self, extra_ms: float) -> None:
        """Set the extra delay of all changes of endpoint lists."""

    @abstractmethod
    def set_discovery_stalled(self, stalled: bool) -> None:
        """Stall discovery, with watches still open, or resume it."""

    @abstractmethod
    def reset_watches(self, begins: bool) -> None:
        """Reset watches when the fault begins or ends."""

    @abstractmethod
    def report_in_storm(self, host: HostT, draining: bool) -> None:
        """Report a server to discovery as draining or as up, whatever its real state."""

    @abstractmethod
    def inject_into_nodes(self, step: FaultStep, fault: FaultTable, begins: bool) -> None:
        """Begin or end a fault of nodes, clients, zones or regions."""


def fault_step_record(kind: FaultKind, step: FaultStep, at_ms: float) -> FaultStepRecord:
    """Return the record of a fault step."""
    return FaultStepRecord(at_ms, kind.value, step.phase.value, step.targets)
