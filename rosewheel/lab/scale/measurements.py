"""Measurements taken during a scale run: samples of processes, published changes and outages of nodes."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field
from enum import StrEnum

from rosewheel.lab.scale.messages import (
    DiscoveryStatistics,
    NetworkStatistics,
    PublishedList,
    SimulatedNodesStatistics,
)
from rosewheel.lab.scale.plan import Plan
from rosewheel.lab.scale.propagation import Outage
from rosewheel.lab.scale.resource_usage import ResourceUsage

AFTER_RUN = "after"  # phase of changes that were published after the last planned phase


class Role(StrEnum):
    """Role of a process in the run; the values are used in reports."""

    NETWORK = "network"
    DISCOVERY = "discovery"
    SIMULATED_NODES = "hollow"
    REAL_NODES = "real"
    LEADER = "control-writer"
    FOLLOWERS = "control-follower"
    SERVERS = "equipos"
    CALLS = "calls"
    RUN = "run"


@dataclass(slots=True, frozen=True)
class PublishedConfig:
    """A configuration that the leader acknowledged.

    Attributes:
        version: Its version.
        at_ms: Start of the successful attempt (monotonic clock).
        acknowledged_after_ms: Time from the first attempt to the leader's acknowledgement.
    """

    version: int
    at_ms: float
    acknowledged_after_ms: float


@dataclass(slots=True, frozen=True)
class Sample:
    """Sample of all processes at the end of a phase.

    Attributes:
        phase: Name of the phase that ends.
        at_ms: Time of the sample (monotonic clock).
        usage: Resource usage by role and process id.
        network: Traffic since the start.
        discovery: Statistics of discovery.
        simulated: Statistics of each worker of simulated nodes.
        load_1min: Load average of the machine.
        config_version: Last published version of the configuration.
    """

    phase: str
    at_ms: float
    usage: dict[Role, dict[int, ResourceUsage]]
    network: NetworkStatistics
    discovery: DiscoveryStatistics
    simulated: list[SimulatedNodesStatistics]
    load_1min: float
    config_version: int = 0


@dataclass(slots=True)
class Measurements:
    """Collects the measurements of a run.

    Attributes:
        plan: The plan that is carried out.
        start_ms: Start of the plan, in ms (monotonic clock).
        samples: One at the start and one at the end of each phase.
        lists: Published endpoint lists.
        configs: Published configurations.
        outages: Outages of each node.
        leader_outages: For each node, the partitions that separated it from the leader.
    """

    plan: Plan
    start_ms: float = 0.0
    samples: list[Sample] = field(default_factory=list)
    lists: list[PublishedList] = field(default_factory=list)
    configs: list[PublishedConfig] = field(default_factory=list)
    outages: dict[int, list[Outage]] = field(default_factory=dict)
    leader_outages: dict[int, list[Outage]] = field(default_factory=dict)
    _lost_since_ms: dict[int, float] = field(default_factory=dict)
    _partitioned_since_ms: float = 0.0

    def record_nodes_lost(self, nodes: Iterable[int], at_ms: float) -> None:
        """Record the start of an outage of these nodes."""
        for node in nodes:
            self._lost_since_ms[node] = at_ms

    def record_nodes_restored(self, nodes: Iterable[int], at_ms: float) -> None:
        """Record the end of an outage of these nodes."""
        for node in nodes:
            begin_ms = self._lost_since_ms.pop(node, at_ms)
            self.outages.setdefault(node, []).append(Outage(begin_ms, at_ms))

    def record_partition(self, at_ms: float) -> None:
        """Record the start of a partition between the regions."""
        self._partitioned_since_ms = at_ms

    def record_partition_healed(self, at_ms: float) -> None:
        """Record the end of a partition between the regions."""
        outage = Outage(self._partitioned_since_ms, at_ms)
        for machine in self.plan.machines:
            if machine.region != self.plan.leader.region:
                self.leader_outages.setdefault(machine.number, []).append(outage)

    def phase_at(self, at_ms: float) -> str:
        """Return the name of the phase at this time, or `AFTER_RUN` after the last phase."""
        at_s = (at_ms - self.start_ms) / 1000.0
        return next((phase.name for phase in self.plan.phases if at_s < phase.end_s), AFTER_RUN)
