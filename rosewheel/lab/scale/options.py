"""Options of a scale run, their limits, and the faults that a run can inject. No I/O."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass
from enum import StrEnum

from rosewheel.lab.scale.errors import InvalidOptionsError

CONFIG_CHANGES_PER_DAY = 920
MAX_NODES = 2000  # bounds the descriptors of the network process: two per watch, two watches per node
MAX_REAL_NODES = 96  # keeps the run below 150 processes
MIN_SECONDS, MAX_SECONDS = 5.0, 900.0
MAX_CONFIG_CHANGES = 20_000
MAX_CALLS_PER_S = 500.0  # per real node
SEED_LIMIT = 1 << 63


class Fault(StrEnum):
    """A fault that the run can inject. Its value is used on the command line and as the name of a phase in reports."""

    MACHINE = "machine"
    THREE_MACHINES = "three-machines"
    RESTARTS = "restarts"
    RACK = "rack"
    ZONE = "zone"
    REGION = "region"
    CONTROL_FOLLOWER = "control-machine"
    CONTROL_LEADER = "writer"


@dataclass(slots=True, frozen=True)
class FaultTiming:
    """Length of a fault and of its phase.

    Attributes:
        weight: Length of the phase, relative to the phases of the other faults.
        active_fraction: Fraction of the phase during which the fault is active; the rest is for recovery.
    """

    weight: float
    active_fraction: float


FAULT_TIMINGS: dict[str, FaultTiming] = {
    Fault.MACHINE: FaultTiming(4.0, 0.6),
    Fault.THREE_MACHINES: FaultTiming(4.0, 0.6),
    Fault.RESTARTS: FaultTiming(5.0, 0.7),
    Fault.RACK: FaultTiming(5.0, 0.6),
    Fault.ZONE: FaultTiming(7.0, 0.6),
    Fault.REGION: FaultTiming(9.0, 0.6),
    Fault.CONTROL_FOLLOWER: FaultTiming(9.0, 0.6),
    Fault.CONTROL_LEADER: FaultTiming(7.0, 0.6),
}
FAULT_NAMES = tuple(str(fault) for fault in FAULT_TIMINGS)


@dataclass(slots=True, frozen=True)
class Options:
    """Options of a run.

    Attributes:
        nodes: Size of the fleet.
        real: Number of nodes that are processes of `rosewheel node`; the others are simulated.
        services: Number of services among which the nodes are divided.
        seconds: Length of the plan, without start and shutdown, in seconds.
        seed: Seed of all random choices.
        faults: Names of the faults to inject, in order.
        changes: Number of configuration changes after the quiet phase.
        calls: Calls per second through each real node.
    """

    nodes: int = 540
    real: int = 24
    services: int = 25
    seconds: float = 60.0
    seed: int = 1
    faults: tuple[str, ...] = FAULT_NAMES
    changes: int = CONFIG_CHANGES_PER_DAY
    calls: float = 20.0

    def validate(self) -> None:
        """Raise InvalidOptionsError for the first invalid option."""
        for text in self._violations():
            raise InvalidOptionsError(text)

    def _violations(self) -> Iterator[str]:
        if not 1 <= self.nodes <= MAX_NODES:
            yield f"--nodes: {self.nodes} is not from 1 to {MAX_NODES}"
        if not 0 <= self.real <= MAX_REAL_NODES:
            yield f"--real: {self.real} is not from 0 to {MAX_REAL_NODES}"
        if not self.real <= self.nodes:
            yield f"--real: {self.real} is more than the {self.nodes} nodes"
        if not 1 <= self.services <= self.nodes:
            yield f"--services: {self.services} is not from 1 to the {self.nodes} nodes"
        if not MIN_SECONDS <= self.seconds <= MAX_SECONDS:
            yield f"--seconds: {self.seconds:g} is not from {MIN_SECONDS:g} to {MAX_SECONDS:g}"
        if not 0 <= self.seed < SEED_LIMIT:
            yield f"--seed: {self.seed} is not from 0 to {SEED_LIMIT - 1}"
        if not 0 <= self.changes <= MAX_CONFIG_CHANGES:
            yield f"--changes: {self.changes} is not from 0 to {MAX_CONFIG_CHANGES}"
        if not 0.0 <= self.calls <= MAX_CALLS_PER_S:
            yield f"--calls: {self.calls:g} is not from 0 to {MAX_CALLS_PER_S:g}"
        for name in self.faults:
            if name not in FAULT_TIMINGS:
                yield f"--troubles: {name!r} is not one of {', '.join(FAULT_NAMES)}"
