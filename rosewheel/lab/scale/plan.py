"""The plan of a scale run: machines, phases, fault steps and changes. No I/O."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum

from rosewheel.lab.scale.options import Options

REGION_OF_ZONE = (0, 0, 0, 0, 1, 1, 1)
# Names of the phases without faults, in reports.
QUIET_PHASE, CHANGES_PHASE = "rest", "changes"


@dataclass(slots=True, frozen=True)
class Machine:
    """A machine that runs one server and its node.

    Attributes:
        number: Number of the node, from 0.
        service: Number of the service.
        zone: Number of the zone.
        rack: Number of the rack within the zone.
        address: Source address of a simulated node, within 127/8.
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
    """A control machine and the number of its zone."""

    name: str
    zone: int

    @property
    def region(self) -> int:
        """Number of the region."""
        return REGION_OF_ZONE[self.zone]


@dataclass(slots=True, frozen=True)
class Phase:
    """A part of the run that is measured separately; begin and end in seconds from the start."""

    name: str
    begin_s: float
    end_s: float


class StepAction(StrEnum):
    """Action of a fault step. The values are keywords of the printed plan."""

    LOSE = "lose"  # the packets of machines are dropped and their processes killed
    RESTORE = "back"  # lost machines return with new processes
    RESTART = "restart"  # nodes are stopped and started again
    PARTITION = "split"  # the regions cannot reach each other
    HEAL = "join"  # the regions reach each other again


@dataclass(slots=True, frozen=True)
class FaultStep:
    """A timed action on nodes and control machines; `at_s` in seconds from the start."""

    at_s: float
    action: StepAction
    nodes: tuple[int, ...] = ()
    control_machines: tuple[str, ...] = ()


class EndpointHealth(StrEnum):
    """Health of an endpoint; the values are those of the discovery protocol."""

    ACTIVE = "active"
    LEAVING = "leaving"
    LEFT = "left"


class ChangeKind(StrEnum):
    """Object of a change: a configuration or an endpoint list."""

    CONFIG = "config"
    LIST = "list"


@dataclass(slots=True, frozen=True)
class Change:
    """A planned change.

    Attributes:
        at_s: Seconds from the start.
        kind: `CONFIG` changes the configuration of the service, `LIST` the health of one endpoint in its list.
        service: Number of the service.
        node: Number of the endpoint's node; -1 for `CONFIG`.
        health: New health of the endpoint; empty for `CONFIG`.
    """

    at_s: float
    kind: ChangeKind
    service: int
    node: int = -1
    health: str = ""


@dataclass(slots=True, frozen=True)
class Plan:
    """The complete plan of a run. The first control machine is the leader."""

    options: Options
    machines: tuple[Machine, ...]
    control_machines: tuple[ControlMachine, ...]
    phases: tuple[Phase, ...]
    steps: tuple[FaultStep, ...]
    changes: tuple[Change, ...]

    @property
    def leader(self) -> ControlMachine:
        """The control machine that accepts configuration changes."""
        return self.control_machines[0]

    @property
    def faults_begin_s(self) -> float:
        """End of the last phase without faults, in seconds from the start."""
        return self.phases[1].end_s

    @property
    def simulated_nodes(self) -> tuple[int, ...]:
        """Numbers of the simulated nodes."""
        return tuple(machine.number for machine in self.machines if not machine.real)


def node_name(number: int) -> str:
    """Return the name of a node."""
    return f"n{number}"


def zone_name(zone: int) -> str:
    """Return the name of a zone."""
    return f"z{zone}"
