"""Makes the plan of a scale run from its options; all random choices are drawn from the seed. No I/O.

The fleet is a scaled-down target fleet: each service has servers with one node each, on machines in racks, zones and
two regions; control machines are separate. Faults are injected one at a time, each followed by time for recovery.
"""

from __future__ import annotations

from collections.abc import Iterator, Sequence
from dataclasses import dataclass

import numpy as np

from rosewheel.lab.random_streams import random_stream
from rosewheel.lab.scale.options import FAULT_TIMINGS, Fault, Options
from rosewheel.lab.scale.plan import (
    CHANGES_PHASE,
    QUIET_PHASE,
    REGION_OF_ZONE,
    Change,
    ChangeKind,
    ControlMachine,
    EndpointHealth,
    FaultStep,
    Machine,
    Phase,
    Plan,
    StepAction,
)

RACKS_PER_ZONE = 6
CONTROL_MACHINE_ZONES = (0, 2, 4, 5)  # zone of the leader first
MAX_RESTARTS = 41
# Address of a machine: 127.(ADDRESS_ZONE_BASE + zone).(rack + 1).(position in the rack + 1)
ADDRESS_ZONE_BASE = 10
QUIET_FRACTION, CHANGES_FRACTION = 0.15, 0.15  # fractions of the run's length
NODES_PER_LIST_CHANGE_PER_S = 180.0  # one server per this many nodes begins to drain each second
DRAIN_S = 1.5  # time from `leaving` until the server is `active` again


def build_plan(options: Options) -> Plan:
    """Build the plan of a run.

    Raises:
        InvalidOptionsError: An option is invalid.
    """
    options.validate()
    machines = _place_machines(options)
    control_machines = tuple(
        ControlMachine(f"c{number}", zone) for number, zone in enumerate(CONTROL_MACHINE_ZONES, start=1)
    )
    phases = _schedule_phases(options)
    steps: list[FaultStep] = []
    for phase in phases[2:]:
        steps += _FaultSchedule(options, machines, control_machines, phase).steps()
    changes = sorted((*_config_changes(options), *_list_changes(options)), key=lambda change: change.at_s)
    return Plan(options, machines, control_machines, phases, tuple(steps), tuple(changes))


def _place_machines(options: Options) -> tuple[Machine, ...]:
    """Spread each service over zones and racks, so that the loss of one affects only a part of the service."""
    rng = random_stream(options.seed, "scale", "places")
    order = rng.permutation(options.nodes)
    real = {int(number) for number in rng.permutation(options.nodes)[: options.real]}
    zones = len(REGION_OF_ZONE)
    machines = []
    for number in range(options.nodes):
        position = int(order[number])
        zone, place = position % zones, position // zones
        rack = place % RACKS_PER_ZONE
        address = f"127.{ADDRESS_ZONE_BASE + zone}.{rack + 1}.{place // RACKS_PER_ZONE + 1}"
        machines.append(Machine(number, number % options.services, zone, rack, address, number in real))
    return tuple(machines)


def _schedule_phases(options: Options) -> tuple[Phase, ...]:
    quiet_end = options.seconds * QUIET_FRACTION
    changes_end = quiet_end + options.seconds * CHANGES_FRACTION if options.faults else options.seconds
    phases = [Phase(QUIET_PHASE, 0.0, quiet_end), Phase(CHANGES_PHASE, quiet_end, changes_end)]
    total_weight = sum(FAULT_TIMINGS[name].weight for name in options.faults)
    begin = changes_end
    for name in options.faults:
        end = begin + (options.seconds - changes_end) * FAULT_TIMINGS[name].weight / total_weight
        phases.append(Phase(name, begin, end))
        begin = end
    return tuple(phases)


@dataclass(slots=True, frozen=True)
class _FaultTargets:
    """Nodes and control machines that a fault removes together."""

    nodes: tuple[int, ...] = ()
    control_machines: tuple[str, ...] = ()


class _FaultSchedule:
    """Makes the steps of one fault."""

    def __init__(
        self,
        options: Options,
        machines: Sequence[Machine],
        control_machines: Sequence[ControlMachine],
        phase: Phase,
    ) -> None:
        self.machines, self.control_machines, self.phase = machines, control_machines, phase
        active_fraction = FAULT_TIMINGS[phase.name].active_fraction
        self.end_s = phase.begin_s + (phase.end_s - phase.begin_s) * active_fraction
        self.rng: np.random.Generator = random_stream(options.seed, "scale", phase.name)
        self.shuffled_nodes = [int(number) for number in self.rng.permutation(options.nodes)]

    def steps(self) -> list[FaultStep]:
        """Return the steps, in order of time."""
        begin_s = self.phase.begin_s
        if self.phase.name == Fault.RESTARTS:
            return self._restart_steps()
        if self.phase.name == Fault.REGION:
            return [FaultStep(begin_s, StepAction.PARTITION), FaultStep(self.end_s, StepAction.HEAL)]
        targets = self._targets()
        return [
            FaultStep(begin_s, StepAction.LOSE, targets.nodes, targets.control_machines),
            FaultStep(self.end_s, StepAction.RESTORE, targets.nodes, targets.control_machines),
        ]

    def _restart_steps(self) -> list[FaultStep]:
        begin_s = self.phase.begin_s
        numbers = self.shuffled_nodes[:MAX_RESTARTS]
        interval_s = (self.end_s - begin_s) / len(numbers)
        return [
            FaultStep(begin_s + index * interval_s, StepAction.RESTART, (number,))
            for index, number in enumerate(numbers)
        ]

    def _targets(self) -> _FaultTargets:
        match self.phase.name:
            case Fault.MACHINE:
                return _FaultTargets(tuple(self.shuffled_nodes[:1]))
            case Fault.THREE_MACHINES:
                return _FaultTargets(tuple(self.shuffled_nodes[:3]))
            case Fault.RACK:
                return self._rack_targets()
            case Fault.ZONE:
                return self._zone_targets()
            case Fault.CONTROL_LEADER:
                return _FaultTargets(control_machines=(self.control_machines[0].name,))
            case Fault.CONTROL_FOLLOWER:
                follower = 1 + int(self.rng.integers(len(self.control_machines) - 1))
                return _FaultTargets(control_machines=(self.control_machines[follower].name,))
        return _FaultTargets()

    def _rack_targets(self) -> _FaultTargets:
        first = self.machines[self.shuffled_nodes[0]]
        return _FaultTargets(
            tuple(
                machine.number
                for machine in self.machines
                if (machine.zone, machine.rack) == (first.zone, first.rack)
            )
        )

    def _zone_targets(self) -> _FaultTargets:
        # Not the zone of the leader: without a leader, no configuration is published whose propagation is measured.
        leader_zone = self.control_machines[0].zone
        zone = int(self.rng.choice([zone for zone in range(len(REGION_OF_ZONE)) if zone != leader_zone]))
        return _FaultTargets(
            tuple(machine.number for machine in self.machines if machine.zone == zone),
            tuple(machine.name for machine in self.control_machines if machine.zone == zone),
        )


def _config_changes(options: Options) -> Iterator[Change]:
    rng = random_stream(options.seed, "scale", "config")
    begin_s = options.seconds * QUIET_FRACTION
    for at_s in sorted(rng.uniform(begin_s, options.seconds, options.changes).tolist()):
        yield Change(at_s, ChangeKind.CONFIG, int(rng.integers(options.services)))


def _list_changes(options: Options) -> Iterator[Change]:
    """Yield two changes per drained server: `leaving`, and `active` after `DRAIN_S`."""
    rng = random_stream(options.seed, "scale", "lists")
    begin_s = options.seconds * QUIET_FRACTION
    count = max(1, round(options.nodes / NODES_PER_LIST_CHANGE_PER_S * (options.seconds - begin_s)))
    for at_s in sorted(rng.uniform(begin_s, options.seconds, count).tolist()):
        node = int(rng.integers(options.nodes))
        service = node % options.services
        return_s = min(at_s + DRAIN_S, options.seconds)
        yield Change(at_s, ChangeKind.LIST, service, node, EndpointHealth.LEAVING)
        yield Change(return_s, ChangeKind.LIST, service, node, EndpointHealth.ACTIVE)
