"""The plan of a scale run: machines, phases, fault steps and changes. Plain values, no I/O."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum

from rosewheel.lab.scale.options import Options

REGION_OF_ZONE = (0, 0, 0, 0, 1, 1, 1)
# Phases without a fault; their names stand in reports.
QUIET_PHASE, CHANGES_PHASE = "rest", "changes"


@dataclass(slots=True, frozen=True)
class Machine:
    """The machine of one server and its node.

    Attributes:
        number: Number of the node, from 0.
        service: Number of the service.
        zone: Number of the zone.
        rack: Number of the rack within the zone.
        address: Address within 127/8 from which a simulated node connects.
        real: Whether the node is a process of `rosewheel node`.
    """

    number: int
    service: int
    zone: int
    rack: int
    address: str
    real: bool

    @property
    def name(self) -> str:
        """Name of the node, and of the server's entry in discovery."""
        return node_name(self.number)

    @property
    def region(self) -> int:
        """Number of the region."""
        return REGION_OF_ZONE[self.zone]


@dataclass(slots=True, frozen=True)
class ControlMachine:
    """A control machine and the zone that it stands in."""

    name: str
    zone: int

    @property
    def region(self) -> int:
        """Number of the region."""
        return REGION_OF_ZONE[self.zone]


@dataclass(slots=True, frozen=True)
class Phase:
    """A part of the run with measurements of its own; begin and end in seconds from the start."""

    name: str
    begin_s: float
    end_s: float


class StepAction(StrEnum):
    """What a fault step does. The values stand in the printed plan."""

    LOSE = "lose"  # machines vanish: their packets are dropped, their processes are killed
    RESTORE = "back"  # lost machines return with new processes
    RESTART = "restart"  # a node's process ends and starts again
    PARTITION = "split"  # the regions cannot reach each other
    HEAL = "join"  # the regions reach each other again


@dataclass(slots=True, frozen=True)
class FaultStep:
    """One moment of a fault: what happens to which nodes and control machines."""

    at_s: float
    action: StepAction
    nodes: tuple[int, ...] = ()
    control_machines: tuple[str, ...] = ()


class EndpointHealth(StrEnum):
    """Health of an endpoint as discovery words it."""

    ACTIVE = "active"
    LEAVING = "leaving"
    LEFT = "left"


class ChangeKind(StrEnum):
    """What a change applies to."""

    CONFIG = "config"
    LIST = "list"


@dataclass(slots=True, frozen=True)
class Change:
    """A planned change.

    Attributes:
        at_s: Seconds from the start.
        kind: `CONFIG` sets a value of the service, `LIST` the health of one endpoint in the service's list.
        service: Number of the service.
        node: Number of the endpoint's node; -1 for a change of configuration.
        health: The endpoint's new health; empty for a change of configuration.
    """

    at_s: float
    kind: ChangeKind
    service: int
    node: int = -1
    health: str = ""


@dataclass(slots=True, frozen=True)
class Plan:
    """All that a run does. The first control machine is the leader."""

    options: Options
    machines: tuple[Machine, ...]
    control_machines: tuple[ControlMachine, ...]
    phases: tuple[Phase, ...]
    steps: tuple[FaultStep, ...]
    changes: tuple[Change, ...]

    @property
    def leader(self) -> ControlMachine:
        """The control machine that accepts changes."""
        return self.control_machines[0]

    @property
    def faults_begin_s(self) -> float:
        """End of the phases without faults, in seconds from the start."""
        return self.phases[1].end_s

    @property
    def simulated_nodes(self) -> tuple[int, ...]:
        """Numbers of the nodes that are not processes of their own."""
        return tuple(machine.number for machine in self.machines if not machine.real)


def node_name(number: int) -> str:
    """Name of the node with this number."""
    return f"n{number}"


def zone_name(zone: int) -> str:
    """Name of the zone with this number."""
    return f"z{zone}"
