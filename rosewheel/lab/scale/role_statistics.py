"""Resource usage and traffic of each role in each phase, from the samples of a run. No I/O."""

from __future__ import annotations

import itertools
import math
from collections.abc import Callable, Iterable, Iterator, Mapping, Sequence
from dataclasses import dataclass

import msgspec
import numpy as np

from rosewheel.lab.scale.measurements import Role, Sample
from rosewheel.lab.scale.messages import TrafficCounters, TrafficKind, TrafficTable
from rosewheel.lab.scale.plan import Plan, node_name
from rosewheel.lab.scale.resource_usage import ResourceUsage

NODE_TRAFFIC = (TrafficKind.DISCOVERY, TrafficKind.CONTROL)
CONTROL_TRAFFIC = (TrafficKind.CONTROL, TrafficKind.PEER)


@dataclass(slots=True, frozen=True)
class RoleUsage:
    """Resource usage of a role in one phase.

    Attributes:
        processes: Number of processes.
        members: Number of simulated nodes for their role, otherwise the number of processes.
        cpu: CPU usage of all processes, in cores.
        cpu_per_member: CPU usage per member, in cores.
        rss_mb: Resident memory of all processes, in MB.
        rss_mb_per_member: Resident memory per member, in MB.
        rss_mb_max: Resident memory of the largest process, in MB.
        open_files: Open descriptors of all processes.
    """

    processes: int
    members: int
    cpu: float
    cpu_per_member: float
    rss_mb: float
    rss_mb_per_member: float
    rss_mb_max: float
    open_files: int


@dataclass(slots=True, frozen=True)
class RoleTraffic:
    """Traffic of the members of a role in one phase; None for roles whose traffic is not measured.

    Attributes:
        out_bytes_s: Bytes sent per second, mean of the members.
        in_bytes_s: Bytes received per second, mean of the members.
        messages_s: Reads by the network per second in both directions, mean of the members.
        max_bytes_s: Bytes sent and received per second, largest value of a member.
    """

    out_bytes_s: float | None = None
    in_bytes_s: float | None = None
    messages_s: float | None = None
    max_bytes_s: float | None = None


@dataclass(slots=True, frozen=True)
class RoleStatistics:
    """Statistics of one role in one phase.

    Attributes:
        phase: Name of the phase.
        seconds: Measured length of the phase.
        role: The role.
        load_1min: Load average of the machine at the end of the phase.
        usage: Resource usage.
        traffic: Traffic.
        state: Endpoints per simulated node, sum of the list versions of discovery, or version of the leader's
            configuration; None for other roles.
    """

    phase: str
    seconds: float
    role: Role
    load_1min: float
    usage: RoleUsage
    traffic: RoleTraffic
    state: float | None


def role_statistics(plan: Plan, samples: Sequence[Sample]) -> list[RoleStatistics]:
    """Return one record for each phase and role that has processes."""
    records: list[RoleStatistics] = []
    for before, after in itertools.pairwise(samples):
        records += _PhaseStatistics(plan, before, after).records()
    return records


def maximum(
    records: Iterable[RoleStatistics], role: Role, value: Callable[[RoleStatistics], float | None]
) -> float | None:
    """Return the largest value of a role over all phases; None if it was not measured."""
    values = [number for row in records if row.role == role and (number := value(row)) is not None]
    return max(values) if values and math.isfinite(max(values)) else None


class _PhaseStatistics:
    """Computes the statistics of a phase from the samples at its start and end."""

    def __init__(self, plan: Plan, before: Sample, after: Sample) -> None:
        self.plan, self.before, self.after = plan, before, after
        self.seconds = (after.at_ms - before.at_ms) / 1000.0

    def records(self) -> Iterator[RoleStatistics]:
        """Yield one record for each role that has processes."""
        for role, processes in self.after.usage.items():
            if processes:
                yield RoleStatistics(
                    phase=self.after.phase,
                    seconds=round(self.seconds, 3),
                    role=role,
                    load_1min=round(self.after.load_1min, 2),
                    usage=self._usage(role, self.before.usage.get(role, {}), processes),
                    traffic=self._traffic(role),
                    state=self._state(role),
                )

    def _usage(
        self, role: Role, before: Mapping[int, ResourceUsage], after: Mapping[int, ResourceUsage]
    ) -> RoleUsage:
        cpu_s = sum(usage.cpu_s - before.get(pid, ResourceUsage()).cpu_s for pid, usage in after.items())
        cpu = cpu_s / self.seconds
        rss_mb = [usage.rss_mb for usage in after.values()]
        members = len(self.plan.simulated_nodes) if role == Role.SIMULATED_NODES else len(after)
        return RoleUsage(
            processes=len(after),
            members=members,
            cpu=round(cpu, 5),
            cpu_per_member=round(cpu / members, 6),
            rss_mb=round(sum(rss_mb), 1),
            rss_mb_per_member=round(sum(rss_mb) / members, 3),
            rss_mb_max=round(max(rss_mb), 1),
            open_files=int(sum(usage.open_files for usage in after.values())),
        )

    def _traffic(self, role: Role) -> RoleTraffic:
        counters = self._member_counters(role)
        if not counters:
            return RoleTraffic()
        rates = np.array([msgspec.structs.astuple(member) for member in counters]) / self.seconds
        byte_rates, read_rates = rates[:, 1:3], rates[:, 3:]
        return RoleTraffic(
            out_bytes_s=round(float(rates[:, 1].mean()), 2),
            in_bytes_s=round(float(rates[:, 2].mean()), 2),
            messages_s=round(float(read_rates.sum(axis=1).mean()), 3),
            max_bytes_s=round(float(byte_rates.sum(axis=1).max()), 2),
        )

    def _member_counters(self, role: Role) -> list[TrafficCounters]:
        """Return the traffic of each member of a role; upstream is sent by the member."""
        control = [machine.name for machine in self.plan.control_machines]
        match role:
            case Role.SIMULATED_NODES:
                return [
                    self._client_traffic(NODE_TRAFFIC, node_name(number))
                    for number in self.plan.simulated_nodes
                ]
            case Role.REAL_NODES:
                return [
                    self._client_traffic(NODE_TRAFFIC, machine.name)
                    for machine in self.plan.machines
                    if machine.real
                ]
            case Role.LEADER:
                return [self._control_machine_traffic(CONTROL_TRAFFIC, control[0])]
            case Role.FOLLOWERS:
                return [self._control_machine_traffic(CONTROL_TRAFFIC, name) for name in control[1:]]
            case Role.DISCOVERY:
                at_control_machines = [
                    self._control_machine_traffic((TrafficKind.DISCOVERY,), name) for name in control
                ]
                return [_sum(at_control_machines)]
        return []

    def _client_traffic(self, kinds: Iterable[TrafficKind], name: str) -> TrafficCounters:
        """Return the traffic in this phase on connections that a machine opened."""
        return _difference(self.before.network.callers, self.after.network.callers, kinds, name)

    def _control_machine_traffic(self, kinds: Iterable[TrafficKind], name: str) -> TrafficCounters:
        """Return the traffic of a control machine in this phase, on connections that it accepted or opened."""
        accepted = _difference(self.before.network.targets, self.after.network.targets, kinds, name)
        return _sum([_swap_directions(accepted), self._client_traffic(kinds, name)])

    def _state(self, role: Role) -> float | None:
        nodes = len(self.plan.simulated_nodes)
        match role:
            case Role.SIMULATED_NODES if nodes:
                return round(sum(worker.endpoints for worker in self.after.simulated) / nodes, 2)
            case Role.DISCOVERY:
                return sum(self.after.discovery.versions)
            case Role.LEADER:
                return self.after.config_version
        return None


def _difference(
    before: TrafficTable, after: TrafficTable, kinds: Iterable[TrafficKind], name: str
) -> TrafficCounters:
    """Return the traffic of a machine between two samples, summed over these kinds."""
    no_traffic = TrafficCounters()
    parts = []
    for kind in kinds:
        later = after.get(kind, {}).get(name, no_traffic)
        earlier = before.get(kind, {}).get(name, no_traffic)
        parts.append(
            TrafficCounters(
                later.connections - earlier.connections,
                later.upstream_bytes - earlier.upstream_bytes,
                later.downstream_bytes - earlier.downstream_bytes,
                later.upstream_reads - earlier.upstream_reads,
                later.downstream_reads - earlier.downstream_reads,
            )
        )
    return _sum(parts)


def _sum(parts: Sequence[TrafficCounters]) -> TrafficCounters:
    return TrafficCounters(*map(sum, zip(*map(msgspec.structs.astuple, parts), strict=True)))


def _swap_directions(counters: TrafficCounters) -> TrafficCounters:
    """Return the same traffic as seen by the other end, with upstream and downstream swapped."""
    return TrafficCounters(
        counters.connections,
        upstream_bytes=counters.downstream_bytes,
        downstream_bytes=counters.upstream_bytes,
        upstream_reads=counters.downstream_reads,
        downstream_reads=counters.upstream_reads,
    )
