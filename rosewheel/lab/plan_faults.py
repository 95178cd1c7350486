"""The timeline of faults of a plan: each step with its moment and the servers or nodes that it concerns."""

from __future__ import annotations

import dataclasses
from collections.abc import Iterator
from dataclasses import dataclass
from enum import StrEnum

from rosewheel.lab.fault_table import FaultKind, FaultTable
from rosewheel.lab.random_streams import draw_range, random_stream
from rosewheel.lab.scenario import Scenario
from rosewheel.lab.server_model import ServerSpec
from rosewheel.lab.tables import Range

# A server that replaces another one has nearly the same speed.
REPLACEMENT_SPEED = (0.9, 1.1)
# Length of a phase of a neighbour, as a factor of the mean.
NEIGHBOUR_PHASE = (0.5, 1.5)


class FaultPhase(StrEnum):
    """What happens in a step. Values are those of records."""

    BEGIN = "begin"
    END = "end"
    DRAIN = "drain"  # of a deploy
    STOP = "stop"  # of a deploy
    START = "start"  # of a deploy
    AWAY = "away"  # of a discovery storm: reported as draining
    BACK = "back"  # of a discovery storm


@dataclass(slots=True, frozen=True)
class FaultStep:
    """One step of a fault.

    Attributes:
        at_ms: its moment, from the start of the plan.
        fault: index of the fault in the scenario.
        targets: names of the servers concerned; of the nodes, where the fault concerns several nodes.
        size: drawn size of the fault.
        share: the fault's share.
    """

    at_ms: float
    fault: int
    phase: FaultPhase
    targets: tuple[str, ...] = ()
    size: float = 0.0
    share: float = 0.0


def zones_of(scenario: Scenario, fault: FaultTable) -> tuple[str, ...]:
    """The zones that a fault is restricted to; all zones where it names none."""
    if fault.zone:
        return (fault.zone,)
    return next((region.zones for region in scenario.regions if region.name == fault.region), scenario.zones)


def schedule_faults(
    scenario: Scenario, seed: int, servers: tuple[ServerSpec, ...]
) -> tuple[tuple[FaultStep, ...], tuple[ServerSpec, ...]]:
    """All steps in order of time, and the servers that deploys start."""
    scheduler = _FaultScheduler(scenario, seed, servers)
    for index, fault in enumerate(scenario.faults):
        scheduler.add(index, fault)
    steps = sorted(scheduler.steps, key=lambda step: (step.at_ms, step.fault))
    return tuple(steps), tuple(scheduler.deployed)


@dataclass(slots=True, frozen=True)
class _DrawnFault:
    """A fault with the values that are drawn for it."""

    seed: int
    index: int
    table: FaultTable
    targets: tuple[str, ...]
    candidate_count: int
    begin_ms: float
    end_ms: float
    size: float

    def draw(self, value: Range, key: str) -> float:
        """A draw from a range by a stream of this fault."""
        return draw_range(value, self.seed, "trouble", self.index, key)


class _FaultScheduler:
    """Collects the steps of all faults, in order of the scenario."""

    def __init__(self, scenario: Scenario, seed: int, servers: tuple[ServerSpec, ...]) -> None:
        self.scenario, self.seed, self.servers = scenario, seed, servers
        self.steps: list[FaultStep] = []
        self.deployed: list[ServerSpec] = []

    def add(self, index: int, table: FaultTable) -> None:
        """Draw a fault and add its steps."""
        fault = self._drawn(index, table)
        match table.kind:
            case FaultKind.DEPLOY:
                self.steps += self._deploy_steps(fault)
            case FaultKind.NEIGHBOUR:
                self.steps += _neighbour_steps(fault)
            case FaultKind.DISCOVERY_STORM:
                self.steps += _storm_steps(fault)
            case _:
                self.steps += _plain_steps(fault)

    def _drawn(self, index: int, table: FaultTable) -> _DrawnFault:
        candidates = self._candidates(table)
        permutation = random_stream(self.seed, "trouble", index, "on").permutation(len(candidates))
        shuffled = [candidates[pick] for pick in permutation]
        begin_ms = table.at_s * 1000.0
        return _DrawnFault(
            seed=self.seed,
            index=index,
            table=table,
            targets=tuple(shuffled[: max(1, round(table.share * len(shuffled)))]),
            candidate_count=len(candidates),
            begin_ms=begin_ms,
            end_ms=begin_ms + draw_range(table.duration_s, self.seed, "trouble", index, "for") * 1000.0,
            size=draw_range(table.size, self.seed, "trouble", index, "size"),
        )

    def _candidates(self, fault: FaultTable) -> list[str]:
        """Names of the servers or nodes from which the targets are drawn."""
        if fault.deployed_only:
            return self._deployed_before(fault)
        if fault.kind in (FaultKind.NODE_LOSS, FaultKind.CLIENT_SHIFT):
            return [f"n{number}" for number in range(self.scenario.nodes.count)]
        zones = zones_of(self.scenario, fault)
        all_tiers = not fault.tier_name and fault.is_zonal
        return [
            spec.name
            for spec in self.servers
            if spec.zone in zones and (all_tiers or self._is_in_tier(spec, fault))
        ]

    def _deployed_before(self, fault: FaultTable) -> list[str]:
        started = {
            name
            for step in self.steps
            if step.phase is FaultPhase.START and step.at_ms < fault.at_s * 1000.0
            for name in step.targets
        }
        return [spec.name for spec in self.deployed if spec.name in started and self._is_in_tier(spec, fault)]

    def _is_in_tier(self, spec: ServerSpec, fault: FaultTable) -> bool:
        tiers = self.scenario.tiers
        return tiers[spec.tier].name == (fault.tier_name or tiers[0].name)

    def _deploy_steps(self, fault: _DrawnFault) -> Iterator[FaultStep]:
        """Batches that drain, stop, and are replaced by warming servers of the same kinds under new names."""
        batch_size = max(1, round(fault.size * fault.candidate_count))
        targets = fault.targets
        batches = [targets[first : first + batch_size] for first in range(0, len(targets), batch_size)]
        drain_ms = fault.draw(fault.table.drain_s, "drain") * 1000.0
        boot_ms = fault.draw(fault.table.boot_s, "boot") * 1000.0
        specs = {spec.name: spec for spec in self.servers}
        for number, names in enumerate(batches):
            begin_ms = fault.begin_ms + (fault.end_ms - fault.begin_ms) * number / len(batches)
            replacements = [_replacement(fault, specs[name]) for name in names]
            self.deployed += replacements
            started = tuple(spec.name for spec in replacements)
            yield FaultStep(round(begin_ms, 3), fault.index, FaultPhase.DRAIN, names)
            yield FaultStep(round(begin_ms + drain_ms, 3), fault.index, FaultPhase.STOP, names)
            yield FaultStep(round(begin_ms + boot_ms, 3), fault.index, FaultPhase.START, started)


def _replacement(fault: _DrawnFault, old: ServerSpec) -> ServerSpec:
    rng = random_stream(fault.seed, "trouble", fault.index, "speed", old.name)
    speed = old.speed * float(rng.uniform(*REPLACEMENT_SPEED))
    return dataclasses.replace(old, name=f"{old.name}-r{fault.index + 1}", speed=speed)


def _neighbour_steps(fault: _DrawnFault) -> Iterator[FaultStep]:
    """Another program that starts and stops, on each server in its own time."""
    mean_ms = fault.draw(fault.table.period_s, "on_s") * 1000.0
    for name in fault.targets:
        rng = random_stream(fault.seed, "trouble", fault.index, "neighbour", name)
        time_ms, starts = fault.begin_ms + float(rng.uniform(0.0, mean_ms)), True
        while time_ms < fault.end_ms:
            phase = FaultPhase.BEGIN if starts else FaultPhase.END
            yield FaultStep(round(time_ms, 3), fault.index, phase, (name,), fault.size)
            starts = not starts
            time_ms += mean_ms * float(rng.uniform(*NEIGHBOUR_PHASE))
        yield FaultStep(fault.end_ms, fault.index, FaultPhase.END, (name,), fault.size)


def _storm_steps(fault: _DrawnFault) -> Iterator[FaultStep]:
    """All targets reported as draining, and as back half a round later, in `size` rounds."""
    rounds = max(1, round(fault.size))
    length_ms = fault.end_ms - fault.begin_ms
    for number in range(rounds):
        start_ms = fault.begin_ms + length_ms * number / rounds
        yield FaultStep(round(start_ms, 3), fault.index, FaultPhase.AWAY, fault.targets)
        back_ms = round(start_ms + length_ms / rounds / 2.0, 3)
        yield FaultStep(back_ms, fault.index, FaultPhase.BACK, fault.targets)


def _plain_steps(fault: _DrawnFault) -> Iterator[FaultStep]:
    share = fault.table.share
    yield FaultStep(fault.begin_ms, fault.index, FaultPhase.BEGIN, fault.targets, fault.size, share)
    if fault.end_ms > fault.begin_ms:
        yield FaultStep(fault.end_ms, fault.index, FaultPhase.END, fault.targets, fault.size, share)
