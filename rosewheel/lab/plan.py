"""What a scenario becomes under a seed: every equipo's figures, every arrival, every trouble's time and place.

Nothing in a plan depends on the machine or the clock: the same scenario and seed give the same plan byte for byte.
"""

from __future__ import annotations

import dataclasses
import hashlib
import math
from collections.abc import Iterator
from dataclasses import dataclass

import msgspec
import numpy as np

from rosewheel.lab.random_streams import lognormal_factor, random_stream
from rosewheel.lab.scenario import FaultTable, Scenario
from rosewheel.lab.server_model import OverloadSlowdown, ServerSpec
from rosewheel.lab.service_graph import CallEdges
from rosewheel.lab.tables import Range, ServerKindTable, ServiceTable, TierTable


@dataclass(slots=True, frozen=True)
class Arrival:
    """One first try: when it is asked (ms from the start), its class, its work over all tiers, its identity."""

    at_ms: float
    service: str
    work_ms: float
    op: str


@dataclass(slots=True, frozen=True)
class FaultStep:
    """One moment of a trouble: `begin` and `end` for most; `drain`, `stop` and `start` within a deploy, `away` and
    `back` within a storm of discovery."""

    at_ms: float
    trouble: int  # its place in the scenario
    what: str
    equipos: tuple[str, ...] = ()  # or nodes, of the troubles of several nodes
    size: float = 0.0
    part: float = 0.0


@dataclass(slots=True, frozen=True)
class ClassParameters:
    name: str
    share: float
    work_ms: float
    cv: float
    attempt_noise: float


@dataclass(slots=True, frozen=True)
class Plan:
    scenario: Scenario
    seed: int
    equipos: tuple[ServerSpec, ...]  # those that run from the start
    later: tuple[ServerSpec, ...]  # those that a deploy starts
    edges: CallEdges  # by tier: whom it calls, and how often for each request
    classes: tuple[ClassParameters, ...]
    arrivals: tuple[Arrival, ...]
    steps: tuple[FaultStep, ...]
    try_share: float
    backoff_ms: float
    honour: float
    notice_ms: float  # until clients learn that a node is dead, or back

    def spec(self, name: str) -> ServerSpec:
        return next(spec for spec in (*self.equipos, *self.later) if spec.name == name)

    def _calls(self) -> object:
        """Of a list of tiers: calls for each request of the tier above; of a graph, by caller and called."""
        tiers = self.scenario.tiers
        if self.scenario.chain:
            return (1.0, *(mean for row in self.edges for _, mean in row))
        return {
            tiers[at].name: {tiers[to].name: mean for to, mean in row} for at, row in enumerate(self.edges)
        }

    def lines(self) -> Iterator[bytes]:
        """The whole plan as JSON, one object a line."""
        encode = msgspec.json.Encoder(order="deterministic").encode
        head = {
            "plan": self.scenario.name,
            "seed": self.seed,
            "calls": self._calls(),
            "try_share": self.try_share,
            "backoff_ms": self.backoff_ms,
            "honour": self.honour,
            "notice_ms": self.notice_ms,
        }
        yield encode(head)
        for figures in self.classes:
            yield encode({"class": dataclasses.asdict(figures)})
        for key, specs in (("equipo", self.equipos), ("later", self.later)):
            for spec in specs:
                yield encode({key: dataclasses.asdict(spec)})
        for step in self.steps:
            yield encode({"step": dataclasses.asdict(step)})
        for item in self.arrivals:
            yield encode({"at_ms": item.at_ms, "class": item.service, "work_ms": item.work_ms, "op": item.op})

    def digest(self) -> str:
        return hashlib.blake2b(b"\n".join(self.lines()), digest_size=8).hexdigest()


def make(scenario: Scenario, seed: int | None = None) -> Plan:
    seed = scenario.seed if seed is None else seed
    equipos = tuple(_fleet(scenario, seed))
    steps, later = _steps(scenario, seed, equipos)
    classes = tuple(
        ClassParameters(
            row.name,
            row.share,
            _drawn(row.work_ms, seed, "class", row.name, "work"),
            _drawn(row.cv, seed, "class", row.name, "cv"),
            _drawn(row.attempt_noise, seed, "class", row.name, "noise"),
        )
        for row in scenario.classes
    )
    return Plan(
        scenario=scenario,
        seed=seed,
        equipos=equipos,
        later=later,
        edges=_edges(scenario, seed),
        classes=classes,
        arrivals=tuple(_arrivals(scenario, seed, classes)),
        steps=tuple(steps),
        try_share=_drawn(scenario.clients.try_share, seed, "try_share"),
        backoff_ms=_drawn(scenario.clients.backoff_ms, seed, "backoff"),
        honour=_drawn(scenario.clients.honour, seed, "honour"),
        notice_ms=_drawn(scenario.nodes.notice_ms, seed, "notice"),
    )


def discovery_delay_ms(scenario: Scenario, rng: np.random.Generator, change: str) -> float:
    """How long until discovery tells a change of this kind: `add`, `drain`, `stop`, `silent`, or `storm` for one
    that it makes up itself. `spread`: how much later than the first one a node hears of it."""
    table = scenario.discovery
    if change == "spread":
        most = table.spread_ms[1] if isinstance(table.spread_ms, tuple) else table.spread_ms
        return float(rng.uniform(0.0, most))
    value = {
        "add": table.add_ms,
        "drain": table.notice_ms,
        "stop": table.notice_ms,
        "silent": table.silent_ms,
        "storm": 0.0,
    }[change]
    return float(rng.uniform(*value)) if isinstance(value, tuple) else value


def call_targets(plan: Plan, tier: int, rng: np.random.Generator) -> tuple[int, ...]:
    """The tiers that a request at this one calls, one call after the other."""
    found: list[int] = []
    for to, mean in plan.edges[tier]:
        found += [to] * (int(mean) + int(rng.random() < mean - int(mean)))
    return tuple(found)


def work_segments(
    plan: Plan,
    spec: ServerSpec,
    service: ClassParameters,
    total_ms: float,
    rng: np.random.Generator,
    calls: int,
) -> tuple[float, ...]:
    """The work of a request at one equipo: stretches with a call between each two. `rng`: of the attempt's noise."""
    own = total_ms * plan.scenario.tiers[spec.tier].work * lognormal_factor(rng, service.attempt_noise)
    return (own,) if not calls else (own / 2.0, *([0.0] * (calls - 1)), own / 2.0)


def _edges(scenario: Scenario, seed: int) -> CallEdges:
    rows: list[tuple[tuple[int, float], ...]] = []
    known: set[str] = set()
    for at, below in enumerate(scenario.called):
        row = []
        for number, to in enumerate(below):
            tier, caller = scenario.tiers[to], scenario.tiers[at]
            value = caller.call[number].times if isinstance(caller, ServiceTable) else tier.calls
            # The first caller in the file draws as the tier above does in a list of tiers.
            names = (tier.name, caller.name) if tier.name in known else (tier.name,)
            row.append((to, _drawn(value, seed, "calls", *names)))
            known.add(tier.name)
        rows.append(tuple(row))
    return tuple(rows)


def _drawn(value: Range, seed: int, *names: object) -> float:
    if not isinstance(value, tuple):
        return float(value)
    return float(random_stream(seed, *names).uniform(value[0], value[1]))


# ---------------------------------------------------------------------- fleet


def _fleet(scenario: Scenario, seed: int) -> Iterator[ServerSpec]:
    for at, tier in enumerate(scenario.tiers):
        number = 0
        for kind in tier.kind:
            for one in range(kind.count):
                # A list by hand puts equipos of a kind next to one another; grupos take them in turn.
                yield _spec(scenario, seed, at, tier, kind, one, number)
                number += 1


def _spec(
    scenario: Scenario,
    seed: int,
    at: int,
    tier: TierTable,
    kind: ServerKindTable,
    one: int,
    number: int,
    new: str = "",
) -> ServerSpec:
    """The figures of one equipo. Those of a kind share the kind's draws; the speed is each equipo's own."""

    def drawn(value: Range, key: str, *who: object) -> float:
        return _drawn(value, seed, "tier", tier.name, *who, key)

    name = f"{tier.name}-{number}{new}"
    speed = kind.speeds[one] if kind.speeds else drawn(kind.speed, "speed", kind.name, name)
    choke = tier.choke
    zones = tier.zones or scenario.zones
    # Grupos lie within a zone: each zone has as many as the fullest needs.
    fullest = math.ceil(sum(item.count for item in tier.kind) / len(zones))
    cells = math.ceil(fullest / tier.cell_size)

    def of(value: Range, key: str) -> float:
        return drawn(value, key, kind.name)

    return ServerSpec(
        name=name,
        tier=at,
        kind=kind.name,
        zone=zones[number % len(zones)],
        cell=number % len(zones) * cells + number // len(zones) % cells,
        cores=kind.cores,
        speed=speed,
        slots=max(1, round(of(kind.slots, "slots"))),
        queue=round(of(kind.queue, "queue")),
        thrash=of(kind.thrash, "thrash"),
        knee=of(kind.knee, "knee"),
        cold_from=max(0.01, of(kind.cold_from, "cold_from")),
        cold_ms=of(kind.cold_s, "cold") * 1000.0,
        choke=None
        if choke is None
        else OverloadSlowdown(
            at=drawn(choke.at, "choke", "at"),
            over_ms=drawn(choke.over_s, "choke", "over") * 1000.0,
            slower=drawn(choke.slower, "choke", "slower"),
            rest_ms=drawn(choke.rest_s, "choke", "rest") * 1000.0,
            below=drawn(choke.below, "choke", "below"),
            most_ms=drawn(choke.most_s, "choke", "most") * 1000.0,
        ),
        tip_multiple=scenario.rules.tip_multiple,
        tip_ms=scenario.rules.tip_ms,
        pause_every_ms=of(kind.pause_every_s, "pause_every") * 1000.0,
        pause_ms=of(kind.pause_ms, "pause"),
        pause_grow=of(kind.pause_grow, "pause_grow"),
        error_rate=of(kind.error_rate, "error_rate"),
        report_period_ms=max(1.0, drawn(tier.report.period_ms, "report")),
        report_delay_ms=drawn(tier.report.delay_ms, "report_delay"),
        report_noise=drawn(tier.report.noise, "report_noise"),
        connections=round(kind.cores * drawn(tier.connections_per_core, "connections")),
        connection_tax=drawn(tier.connection_tax, "tax"),
        handshake_ms=drawn(tier.handshake_ms, "handshake"),
        probe_ms=drawn(tier.probe_ms, "probe"),
    )


# ------------------------------------------------------------------- arrivals


def _rate_factor(scenario: Scenario, seed: int, at_s: np.ndarray) -> np.ndarray:
    """The load at these times as a factor of the stated rate."""
    factor = np.ones_like(at_s)
    if scenario.clients.shape:
        points = np.array(scenario.clients.shape, dtype=float)
        factor = np.interp(at_s / scenario.seconds, points[:, 0], points[:, 1])
    for at, trouble in enumerate(scenario.troubles):
        if trouble.kind == "surge":
            size = _drawn(trouble.size, seed, "trouble", at, "size")
            length = _drawn(trouble.for_s, seed, "trouble", at, "for")
            factor = np.where((at_s >= trouble.at_s) & (at_s < trouble.at_s + length), factor * size, factor)
    return factor


def _arrivals(scenario: Scenario, seed: int, classes: tuple[ClassParameters, ...]) -> Iterator[Arrival]:
    """A Poisson process whose rate follows shape, bursts and surges, by thinning one of the highest rate."""
    clients, rng = scenario.clients, random_stream(seed, "arrivals")
    slots = int(np.ceil(scenario.seconds * 1000.0 / clients.burst_ms))
    bursts = np.ones(slots)
    if clients.burst_cv > 0.0:
        shape = 1.0 / clients.burst_cv**2
        bursts = random_stream(seed, "bursts").gamma(shape, 1.0 / shape, slots)
    grid = _rate_factor(scenario, seed, (np.arange(slots) + 0.5) * clients.burst_ms / 1000.0)
    rates = clients.rate_per_s * grid * bursts  # by stretch of `burst_ms`
    counts = rng.poisson(rates * clients.burst_ms / 1000.0)
    starts = np.repeat(np.arange(slots) * clients.burst_ms, counts)
    times = np.sort(starts + rng.uniform(0.0, clients.burst_ms, int(counts.sum())))
    times = times[times < scenario.seconds * 1000.0]
    shares = np.array([row.share for row in classes])
    picks = random_stream(seed, "classes").choice(len(classes), len(times), p=shares / shares.sum())
    sizes = random_stream(seed, "sizes")
    unit = sizes.standard_normal(len(times)), sizes.standard_exponential(len(times))
    for at, (time, pick) in enumerate(zip(times, picks, strict=True)):
        row, table = classes[pick], scenario.classes[pick]
        factor = 1.0
        if table.distribution == "lognormal" and row.cv > 0.0:
            sigma = math.sqrt(math.log(1.0 + row.cv**2))
            factor = math.exp(sigma * float(unit[0][at]) - sigma * sigma / 2.0)
        elif table.distribution == "exp":
            factor = float(unit[1][at])
        yield Arrival(round(float(time), 3), row.name, round(row.work_ms * factor, 3), f"op-{seed}-{at}")


# ------------------------------------------------------------------- troubles


def _steps(
    scenario: Scenario, seed: int, equipos: tuple[ServerSpec, ...]
) -> tuple[list[FaultStep], tuple[ServerSpec, ...]]:
    steps: list[FaultStep] = []
    later: list[ServerSpec] = []
    for at, trouble in enumerate(scenario.troubles):
        area = zones_of(scenario, trouble)
        tier = trouble.where or scenario.tiers[0].name
        names = [
            spec.name
            for spec in equipos
            if spec.zone in area
            and (scenario.tiers[spec.tier].name == tier or (not trouble.where and is_zonal(trouble)))
        ]
        if trouble.kind in ("node-loss", "front-shift"):
            names = [f"n{number}" for number in range(scenario.nodes.count)]
        if trouble.fresh:
            started = {
                name
                for step in steps
                if step.what == "start" and step.at_ms < trouble.at_s * 1000.0
                for name in step.equipos
            }
            names = [
                spec.name for spec in later if spec.name in started and scenario.tiers[spec.tier].name == tier
            ]
        order = [names[pick] for pick in random_stream(seed, "trouble", at, "on").permutation(len(names))]
        on = tuple(order[: max(1, round(trouble.part * len(order)))])
        begin = trouble.at_s * 1000.0
        end = begin + _drawn(trouble.for_s, seed, "trouble", at, "for") * 1000.0
        size = _drawn(trouble.size, seed, "trouble", at, "size")
        if trouble.kind == "deploy":
            steps += _deploy(scenario, seed, at, trouble, equipos, on, len(names), (begin, end), later)
        elif trouble.kind == "neighbour":
            steps += _neighbour(seed, at, trouble, on, size, (begin, end))
        elif trouble.kind == "discovery-storm":
            times = max(1, round(size))
            for number in range(times):
                start = begin + (end - begin) * number / times
                steps.append(FaultStep(round(start, 3), at, "away", on))
                steps.append(FaultStep(round(start + (end - begin) / times / 2.0, 3), at, "back", on))
        else:
            steps.append(FaultStep(begin, at, "begin", on, size, trouble.part))
            if end > begin:
                steps.append(FaultStep(end, at, "end", on, size, trouble.part))
    return sorted(steps, key=lambda step: (step.at_ms, step.trouble)), tuple(later)


def is_zonal(trouble: FaultTable) -> bool:
    return bool(trouble.zone or trouble.region)


def zones_of(scenario: Scenario, trouble: FaultTable) -> tuple[str, ...]:
    """The zones that a trouble is held to; all where it names none."""
    if trouble.zone:
        return (trouble.zone,)
    return next((row.zones for row in scenario.regions if row.name == trouble.region), scenario.zones)


def _neighbour(
    seed: int, at: int, trouble: FaultTable, on: tuple[str, ...], size: float, span: tuple[float, float]
) -> Iterator[FaultStep]:
    """Another program that comes and goes, on each equipo in its own time."""
    mean = _drawn(trouble.on_s, seed, "trouble", at, "on_s") * 1000.0
    for name in on:
        rng = random_stream(seed, "trouble", at, "neighbour", name)
        time, taking = span[0] + float(rng.uniform(0.0, mean)), True
        while time < span[1]:
            yield FaultStep(round(time, 3), at, "begin" if taking else "end", (name,), size)
            taking = not taking
            time += mean * float(rng.uniform(0.5, 1.5))
        yield FaultStep(span[1], at, "end", (name,), size)


def _deploy(
    scenario: Scenario,
    seed: int,
    at: int,
    trouble: FaultTable,
    equipos: tuple[ServerSpec, ...],
    on: tuple[str, ...],
    all_of_tier: int,
    span: tuple[float, float],
    later: list[ServerSpec],
) -> Iterator[FaultStep]:
    """Batches that drain, stop, and are followed by new equipos of the same kinds, cold and under new names."""
    size = _drawn(trouble.size, seed, "trouble", at, "size")
    batch = max(1, round(size * all_of_tier))
    batches = [on[first : first + batch] for first in range(0, len(on), batch)]
    drain = _drawn(trouble.drain_s, seed, "trouble", at, "drain") * 1000.0
    boot = _drawn(trouble.boot_s, seed, "trouble", at, "boot") * 1000.0
    of = {spec.name: spec for spec in equipos}
    for number, names in enumerate(batches):
        begin = span[0] + (span[1] - span[0]) * number / len(batches)
        fresh = []
        for name in names:
            old = of[name]
            new = dataclasses.replace(
                old,
                name=f"{name}-r{at + 1}",
                speed=old.speed * float(random_stream(seed, "trouble", at, "speed", name).uniform(0.9, 1.1)),
            )
            later.append(new)
            fresh.append(new.name)
        yield FaultStep(round(begin, 3), at, "drain", names)
        yield FaultStep(round(begin + drain, 3), at, "stop", names)
        yield FaultStep(round(begin + boot, 3), at, "start", tuple(fresh))
