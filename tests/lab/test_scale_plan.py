"""Decisions of a scale run: its plan, the propagation of changes, and the checks against targets."""

from __future__ import annotations

import random
from dataclasses import replace
from typing import Any

import numpy as np
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from rosewheel.discovery.backoff import MIN_DELAY_S, WatchBackoff
from rosewheel.lab.scale.errors import InvalidOptionsError
from rosewheel.lab.scale.options import FAULT_NAMES, Options
from rosewheel.lab.scale.plan import ChangeKind, StepAction
from rosewheel.lab.scale.planning import build_plan
from rosewheel.lab.scale.propagation import (
    NodeHistory,
    Outage,
    PublishedChange,
    measure_propagation,
    node_histories,
)
from rosewheel.lab.scale.report_codec import plan_lines
from rosewheel.lab.scale.targets import TargetMeasurements, check_targets

WITHIN_LIMITS = TargetMeasurements(
    config_max_s=None,
    lists_max_s=1.0,
    stale_nodes=0,
    cpu_max=0.001,
    memory_max_mb=80.0,
    traffic_max_kb_s=1.0,
    added_p99_ms=0.5,
    direct_p99_ms=0.4,
    calls_per_s=100.0,
    processes=20,
    run_memory_gb=1.0,
)


def test_plan_follows_from_the_seed() -> None:
    first, second = (list(plan_lines(build_plan(Options(seed=7)))) for _ in range(2))
    assert first == second
    assert first != list(plan_lines(build_plan(Options(seed=8))))


def test_default_plan_is_the_target_fleet() -> None:
    plan = build_plan(Options(seed=3))
    assert len(plan.machines) == 540
    assert len({machine.address for machine in plan.machines}) == 540
    assert {machine.service for machine in plan.machines} == set(range(25))
    assert {machine.zone for machine in plan.machines} == set(range(7))
    assert {machine.region for machine in plan.machines} == {0, 1}
    assert sum(machine.real for machine in plan.machines) == 24
    assert len(plan.control_machines) == 4
    assert {machine.region for machine in plan.control_machines} == {0, 1}
    assert sum(change.kind == ChangeKind.CONFIG for change in plan.changes) == 920
    lost_nodes = {phase.name: 0 for phase in plan.phases}
    for step in plan.steps:
        phase = next(phase.name for phase in plan.phases if phase.begin_s <= step.at_s < phase.end_s)
        lost_nodes[phase] += len(step.nodes) if step.action in (StepAction.LOSE, StepAction.RESTART) else 0
    assert (lost_nodes["machine"], lost_nodes["three-machines"], lost_nodes["restarts"]) == (1, 3, 41)
    assert lost_nodes["rack"] < lost_nodes["zone"] < 540 / 6


@settings(deadline=None)
@given(
    nodes=st.integers(1, 300),
    services=st.integers(1, 30),
    seconds=st.floats(5.0, 300.0),
    seed=st.integers(0, 1 << 40),
    faults=st.lists(st.sampled_from(FAULT_NAMES), unique=True),
)
def test_every_plan_restores_what_it_loses(
    nodes: int, services: int, seconds: float, seed: int, faults: list[str]
) -> None:
    options = Options(nodes, 0, min(services, nodes), seconds, seed, tuple(faults), changes=50)
    plan = build_plan(options)
    lost: set[object] = set()
    partitioned = False
    for step in sorted(plan.steps, key=lambda step: step.at_s):
        assert 0.0 <= step.at_s <= seconds
        if step.action == StepAction.LOSE:
            assert not lost  # one fault at a time
            lost |= {*step.nodes, *step.control_machines}
        elif step.action == StepAction.RESTORE:
            lost -= {*step.nodes, *step.control_machines}
        elif step.action in (StepAction.PARTITION, StepAction.HEAL):
            partitioned = step.action == StepAction.PARTITION
        leader_phase = (
            next(phase for phase in plan.phases if phase.name == "writer") if "writer" in faults else None
        )
        if leader_phase is None or not leader_phase.begin_s <= step.at_s <= leader_phase.end_s:
            assert plan.leader.name not in lost
    assert not lost
    assert not partitioned
    assert all(0.0 <= change.at_s <= seconds for change in plan.changes)
    assert plan.phases[-1].end_s == pytest.approx(seconds)


@pytest.mark.parametrize(
    ("changes", "text"),
    [
        ({"nodes": 0}, "--nodes: 0 "),
        ({"nodes": 5000}, "--nodes: 5000 "),
        ({"real": -1}, "--real: -1 "),
        ({"nodes": 10, "services": 2, "real": 11}, "--real: 11 is more"),
        ({"services": 0}, "--services: 0 "),
        ({"services": 541}, "--services: 541 "),
        ({"seconds": 1.0}, "--seconds: 1 "),
        ({"seconds": float("nan")}, "--seconds: nan "),
        ({"seed": -1}, "--seed: -1 "),
        ({"changes": -1}, "--changes: -1 "),
        ({"calls": 1e6}, "--calls: 1e+06 "),
        ({"faults": ("flood",)}, "--troubles: 'flood' is not one of machine,"),
    ],
)
def test_invalid_options_are_reported_in_one_line(changes: dict[str, Any], text: str) -> None:
    with pytest.raises(InvalidOptionsError) as caught:
        build_plan(replace(Options(), **changes))
    assert str(caught.value).startswith(text)
    assert "\n" not in str(caught.value)


# ---------------------------------------------------------------- propagation


def histories(*rows: tuple[int, int, float]) -> dict[int, NodeHistory]:
    columns = zip(*rows, strict=True)
    nodes, versions, times_ms = (np.array(column) for column in columns)
    return node_histories(nodes, versions, times_ms)


def test_change_has_propagated_when_the_last_node_has_it_or_a_later_one() -> None:
    result = measure_propagation(
        [PublishedChange(2, 100.0, frozenset({1, 2}))],
        histories((1, 2, 110.0), (2, 1, 90.0), (2, 5, 340.0)),
        {},
    )
    assert (result.durations_ms, result.after_return_ms, result.missing) == ([240.0], [], 0)


def test_node_that_was_unreachable_is_measured_from_its_return() -> None:
    rows = histories((1, 2, 110.0), (2, 2, 700.0))
    result = measure_propagation(
        [PublishedChange(2, 100.0, frozenset({1, 2}))], rows, {2: [Outage(50.0, 600.0)]}
    )
    assert (result.durations_ms, result.after_return_ms) == ([10.0], [100.0])
    before = measure_propagation(
        [PublishedChange(2, 100.0, frozenset({1, 2}))], rows, {2: [Outage(10.0, 60.0)]}
    )
    assert (before.durations_ms, before.after_return_ms) == ([600.0], [])


def test_change_that_never_arrived_is_missing() -> None:
    result = measure_propagation(
        [PublishedChange(3, 100.0, frozenset({1, 2}))], histories((1, 3, 101.0), (2, 2, 101.0)), {}
    )
    assert (result.durations_ms, result.missing) == ([1.0], 1)


@settings(deadline=None)
@given(st.lists(st.tuples(st.integers(0, 3), st.integers(1, 9), st.integers(0, 50)), min_size=1, max_size=40))
def test_propagation_agrees_with_a_simple_calculation(rows: list[tuple[int, int, int]]) -> None:
    events = [(node, version, float(at) + index / 1000.0) for index, (node, version, at) in enumerate(rows)]
    change = PublishedChange(5, 10.0, frozenset(range(4)))
    first = {
        node: min((at for owner, version, at in events if owner == node and version >= 5), default=None)
        for node in range(4)
    }
    result = measure_propagation([change], histories(*events), {})
    assert result.missing == sum(at is None for at in first.values())
    assert result.durations_ms == [max([0.0, *(at - 10.0 for at in first.values() if at is not None)])]


# -------------------------------------------------------------------- targets


def outcomes(measurements: TargetMeasurements) -> dict[str, bool | None]:
    """Return whether each target is met, by its name in reports."""
    return {check.target.value: check.holds for check in check_targets(measurements)}


def test_target_within_its_limit_holds_and_unmeasured_target_is_not_covered() -> None:
    results = outcomes(WITHIN_LIMITS)
    assert results["configuration in force everywhere"] is None
    assert results["calls"] is None
    assert all(
        holds for name, holds in results.items() if name not in ("configuration in force everywhere", "calls")
    )


@pytest.mark.parametrize(
    ("change", "target"),
    [
        ({"config_max_s": 6.1}, "configuration in force everywhere"),
        ({"lists_max_s": 6.1}, "list heard everywhere"),
        ({"stale_nodes": 1}, "stale nodes at the end"),
        ({"cpu_max": 0.035}, "control, CPU of a node"),
        ({"memory_max_mb": 257.0}, "memory of a node"),
        ({"traffic_max_kb_s": 15.1}, "control, traffic of a node"),
        ({"added_p99_ms": 1.5}, "added to 99 calls in 100"),
        ({"processes": 151}, "processes of the run"),
        ({"run_memory_gb": 12.1}, "memory of the run"),
    ],
)
def test_each_target_is_missed_by_itself(change: dict[str, Any], target: str) -> None:
    results = outcomes(replace(WITHIN_LIMITS, **change))
    assert [name for name, holds in results.items() if holds is False] == [target]


def test_added_latency_is_void_on_a_busy_machine() -> None:
    measurements = replace(WITHIN_LIMITS, added_p99_ms=9.0, direct_p99_ms=8.0)
    assert outcomes(measurements)["added to 99 calls in 100"] is None


# -------------------------------------------------------------------- backoff


def test_backoff_grows_to_a_fraction_of_the_drain_notice_and_is_reset_by_a_message() -> None:
    backoff = WatchBackoff(random.Random(1))
    first = backoff.next_delay_s(0.0, 2.4)
    assert 0.6 * 0.3 <= first <= 0.3
    for _ in range(12):
        last = backoff.next_delay_s(0.0, 2.4)
    assert 0.6 * 0.8 <= last <= 0.8
    backoff.reset()
    assert backoff.next_delay_s(0.0, 2.4) <= 0.3
    assert backoff.next_delay_s(5.0, 2.4) == 0.0  # no delay after a watch that lasted longer than the delay
    assert backoff.next_delay_s(0.0, 0.0) >= 0.6 * MIN_DELAY_S
