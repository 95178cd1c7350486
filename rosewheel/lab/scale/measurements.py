"""What a scale run measures while it runs: samples of its processes, changes, and outages of nodes."""

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

AFTER_RUN = "after"  # the phase of changes that the leader could not take in the run's time


class Role(StrEnum):
    """What a process is in the run; the values stand in reports."""

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
        at_ms: When the successful attempt began (monotonic).
        acknowledged_after_ms: From the first attempt to the leader's acknowledgement.
    """

    version: int
    at_ms: float
    acknowledged_after_ms: float


@dataclass(slots=True, frozen=True)
class Sample:
    """State of all processes at the end of a phase.

    Attributes:
        phase: Name of the phase that ends.
        at_ms: When it was taken (monotonic).
        usage: Resource usage by role and process id.
        network: Traffic since the start.
        discovery: Versions of the endpoint lists.
        simulated: Versions of simulated nodes, of each of their workers.
        load_1min: Load average of the machine.
        config_version: Version of the configuration.
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
    """Collects what happens in a run.

    Attributes:
        plan: The plan that is carried out.
        start_ms: When it began (ms, monotonic).
        samples: One at the start and one at the end of each phase.
        lists: Published endpoint lists.
        configs: Published configurations.
        outages: By node, when it could not be reached.
        leader_outages: By node, when the leader could not be reached from it because of a partition.
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
        """These nodes cannot be reached from now on."""
        for node in nodes:
            self._lost_since_ms[node] = at_ms

    def record_nodes_restored(self, nodes: Iterable[int], at_ms: float) -> None:
        """These nodes can be reached again."""
        for node in nodes:
            begin_ms = self._lost_since_ms.pop(node, at_ms)
            self.outages.setdefault(node, []).append(Outage(begin_ms, at_ms))

    def record_partition(self, at_ms: float) -> None:
        """The regions cannot reach each other from now on."""
        self._partitioned_since_ms = at_ms

    def record_partition_healed(self, at_ms: float) -> None:
        """The regions reach each other again."""
        outage = Outage(self._partitioned_since_ms, at_ms)
        for machine in self.plan.machines:
            if machine.region != self.plan.leader.region:
                self.leader_outages.setdefault(machine.number, []).append(outage)

    def phase_at(self, at_ms: float) -> str:
        """Name of the phase in which this moment lies; `AFTER_RUN` behind the last one."""
        at_s = (at_ms - self.start_ms) / 1000.0
        return next((phase.name for phase in self.plan.phases if at_s < phase.end_s), AFTER_RUN)
