"""Fault steps of a plan: their times, and the servers or nodes that they affect."""

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

REPLACEMENT_SPEED = (0.9, 1.1)  # speed of a replacement as a factor of the replaced server's speed
NEIGHBOUR_PHASE = (0.5, 1.5)  # length of a phase of a noisy neighbour as a factor of the mean


class FaultPhase(StrEnum):
    """Phase of a fault that a step starts. The values are written to records."""

    BEGIN = "begin"
    END = "end"
    DRAIN = "drain"  # deploy: the servers are drained
    STOP = "stop"  # deploy: the servers are stopped
    START = "start"  # deploy: the replacements are started
    REPORT_DRAINING = "away"  # discovery storm: the servers are reported as draining
    REPORT_ACTIVE = "back"  # discovery storm: the servers are reported as active again


@dataclass(slots=True, frozen=True)
class FaultStep:
    """One step of a fault.

    Attributes:
        at_ms: time from the start of the plan.
        fault: index of the fault in the scenario.
        targets: names of the affected servers; for `node-loss` and `front-shift` of the affected nodes.
        size: drawn size of the fault.
        share: `share` of the fault's table.
    """

    at_ms: float
    fault: int
    phase: FaultPhase
    targets: tuple[str, ...] = ()
    size: float = 0.0
    share: float = 0.0


def fault_zones(scenario: Scenario, fault: FaultTable) -> tuple[str, ...]:
    """Return the zones that a fault is restricted to; all zones if it names neither a zone nor a region."""
    if fault.zone:
        return (fault.zone,)
    return next((region.zones for region in scenario.regions if region.name == fault.region), scenario.zones)


def schedule_faults(
    scenario: Scenario, seed: int, servers: tuple[ServerSpec, ...]
) -> tuple[tuple[FaultStep, ...], tuple[ServerSpec, ...]]:
    """Return all steps in order of time, and the servers that are started by deploys."""
    scheduler = _FaultScheduler(scenario, seed, servers)
    for index, fault in enumerate(scenario.faults):
        scheduler.add(index, fault)
    steps = sorted(scheduler.steps, key=lambda step: (step.at_ms, step.fault))
    return tuple(steps), tuple(scheduler.deployed)


@dataclass(slots=True, frozen=True)
class _DrawnFault:
    """A fault with its drawn values."""

    seed: int
    index: int
    table: FaultTable
    targets: tuple[str, ...]
    candidate_count: int
    begin_ms: float
    end_ms: float
    size: float

    def draw(self, value: Range, key: str) -> float:
        """Draw from a range by the random stream of this fault and key."""
        return draw_range(value, self.seed, "trouble", self.index, key)


class _FaultScheduler:
    """Collects the steps of the faults, which are added in the order of the scenario."""

    def __init__(self, scenario: Scenario, seed: int, servers: tuple[ServerSpec, ...]) -> None:
        self.scenario, self.seed, self.servers = scenario, seed, servers
        self.steps: list[FaultStep] = []
        self.deployed: list[ServerSpec] = []

    def add(self, index: int, table: FaultTable) -> None:
        """Draw the values of a fault and add its steps."""
        fault = self._draw(index, table)
        match table.kind:
            case FaultKind.DEPLOY:
                self.steps += self._deploy_steps(fault)
            case FaultKind.NEIGHBOUR:
                self.steps += _neighbour_steps(fault)
            case FaultKind.DISCOVERY_STORM:
                self.steps += _storm_steps(fault)
            case _:
                self.steps += _begin_and_end_steps(fault)

    def _draw(self, index: int, table: FaultTable) -> _DrawnFault:
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
        """Return the names of the servers or nodes from which the targets are drawn."""
        if fault.deployed_only:
            return self._deployed_before(fault)
        if fault.kind in (FaultKind.NODE_LOSS, FaultKind.CLIENT_SHIFT):
            return [f"n{number}" for number in range(self.scenario.nodes.count)]
        zones = fault_zones(self.scenario, fault)
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
        """Yield steps that drain, stop and replace the targets in batches, by new servers of the same kinds."""
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
    """Yield the phases of another program, which starts and stops at independent times on each target."""
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
    """Yield `size` rounds, in each of which all targets are reported as draining and half a round later as active."""
    rounds = max(1, round(fault.size))
    length_ms = fault.end_ms - fault.begin_ms
    for number in range(rounds):
        start_ms = fault.begin_ms + length_ms * number / rounds
        yield FaultStep(round(start_ms, 3), fault.index, FaultPhase.REPORT_DRAINING, fault.targets)
        back_ms = round(start_ms + length_ms / rounds / 2.0, 3)
        yield FaultStep(back_ms, fault.index, FaultPhase.REPORT_ACTIVE, fault.targets)


def _begin_and_end_steps(fault: _DrawnFault) -> Iterator[FaultStep]:
    share = fault.table.share
    yield FaultStep(fault.begin_ms, fault.index, FaultPhase.BEGIN, fault.targets, fault.size, share)
    if fault.end_ms > fault.begin_ms:
        yield FaultStep(fault.end_ms, fault.index, FaultPhase.END, fault.targets, fault.size, share)
