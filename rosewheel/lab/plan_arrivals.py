"""Arrivals of a plan: time, class and work of each operation of the clients."""

from __future__ import annotations

import math
from collections.abc import Iterator
from dataclasses import dataclass

import numpy as np

from rosewheel.lab.fault_table import FaultKind
from rosewheel.lab.random_streams import draw_range, random_stream
from rosewheel.lab.scenario import Scenario
from rosewheel.lab.tables import ClassTable


@dataclass(slots=True, frozen=True)
class Arrival:
    """The arrival of one operation of a client.

    Attributes:
        at_ms: time of the first attempt, from the start of the plan.
        class_name: name of the request class.
        work_ms: work over all tiers, in ms of a reference core.
        operation_id: id of the operation, which all its attempts share.
    """

    at_ms: float
    class_name: str
    work_ms: float
    operation_id: str


@dataclass(slots=True, frozen=True)
class ClassParameters:
    """Drawn parameters of a request class; see `tables.ClassTable`."""

    name: str
    share: float
    work_ms: float
    cv: float
    attempt_noise: float


def draw_classes(scenario: Scenario, seed: int) -> tuple[ClassParameters, ...]:
    """Return the parameters of all request classes."""
    return tuple(
        ClassParameters(
            row.name,
            row.share,
            draw_range(row.work_ms, seed, "class", row.name, "work"),
            draw_range(row.cv, seed, "class", row.name, "cv"),
            draw_range(row.attempt_noise, seed, "class", row.name, "noise"),
        )
        for row in scenario.classes
    )


def draw_arrivals(scenario: Scenario, seed: int, classes: tuple[ClassParameters, ...]) -> Iterator[Arrival]:
    """Yield the arrivals in order of time: a Poisson process whose rate follows the shape, bursts and surges."""
    times = _arrival_times(scenario, seed)
    shares = np.array([row.share for row in classes])
    picks = random_stream(seed, "classes").choice(len(classes), len(times), p=shares / shares.sum())
    sizes = random_stream(seed, "sizes")
    normal, exponential = sizes.standard_normal(len(times)), sizes.standard_exponential(len(times))
    for index, (time, pick) in enumerate(zip(times, picks, strict=True)):
        row = classes[pick]
        factor = _work_factor(scenario.classes[pick], row.cv, float(normal[index]), float(exponential[index]))
        yield Arrival(round(float(time), 3), row.name, round(row.work_ms * factor, 3), f"op-{seed}-{index}")


def _arrival_times(scenario: Scenario, seed: int) -> np.ndarray:
    """Return sorted times in ms. The rate is constant within each interval of `burst_ms`."""
    clients, rng = scenario.clients, random_stream(seed, "arrivals")
    intervals = int(np.ceil(scenario.seconds * 1000.0 / clients.burst_ms))
    bursts = np.ones(intervals)
    if clients.burst_cv > 0.0:
        shape = 1.0 / clients.burst_cv**2
        bursts = random_stream(seed, "bursts").gamma(shape, 1.0 / shape, intervals)
    factors = _rate_factors(scenario, seed, (np.arange(intervals) + 0.5) * clients.burst_ms / 1000.0)
    rates = clients.rate_per_s * factors * bursts
    counts = rng.poisson(rates * clients.burst_ms / 1000.0)
    starts = np.repeat(np.arange(intervals) * clients.burst_ms, counts)
    times = np.sort(starts + rng.uniform(0.0, clients.burst_ms, int(counts.sum())))
    return times[times < scenario.seconds * 1000.0]


def _rate_factors(scenario: Scenario, seed: int, at_s: np.ndarray) -> np.ndarray:
    """Return the rates at these times as multiples of the scenario's rate."""
    factors = np.ones_like(at_s)
    if scenario.clients.shape:
        points = np.array(scenario.clients.shape, dtype=float)
        factors = np.interp(at_s / scenario.seconds, points[:, 0], points[:, 1])
    for index, fault in enumerate(scenario.faults):
        if fault.kind is FaultKind.SURGE:
            size = draw_range(fault.size, seed, "trouble", index, "size")
            duration_s = draw_range(fault.duration_s, seed, "trouble", index, "for")
            active = (at_s >= fault.at_s) & (at_s < fault.at_s + duration_s)
            factors = np.where(active, factors * size, factors)
    return factors


def _work_factor(table: ClassTable, cv: float, normal: float, exponential: float) -> float:
    """Return a factor with mean 1 by the distribution of the class, from standard normal and exponential draws."""
    if table.distribution == "lognormal" and cv > 0.0:
        sigma = math.sqrt(math.log(1.0 + cv**2))
        return math.exp(sigma * normal - sigma * sigma / 2.0)
    if table.distribution == "exp":
        return exponential
    return 1.0
