"""The scale run's decisions: its plan by seed, when a change was in force everywhere, and what its verdicts say."""

from __future__ import annotations

import random
from dataclasses import replace
from typing import Any

import numpy as np
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from rosewheel.discovery.backoff import REWATCH_LEAST_S, Waits
from rosewheel.lab.scale import plan as plans
from rosewheel.lab.scale.verdicts import Found, Made, in_force, ordered, verdicts

WELL = Found(
    config_most_s=None,
    lists_most_s=1.0,
    stale=0,
    cpu_most=0.001,
    memory_most_mb=80.0,
    traffic_most_kb_s=1.0,
    added_p99_ms=0.5,
    direct_p99_ms=0.4,
    calls_a_s=100.0,
    processes=20,
    memory_all_gb=1.0,
)


def test_a_seed_gives_one_plan_and_another_seed_another() -> None:
    one, same = (list(plans.make(plans.Options(seed=7)).lines()) for _ in range(2))
    assert one == same
    assert one != list(plans.make(plans.Options(seed=8)).lines())


def test_the_fleet_is_that_of_the_letter() -> None:
    plan = plans.make(plans.Options(seed=3))
    assert len(plan.machines) == 540
    assert len({one.address for one in plan.machines}) == 540
    assert {one.service for one in plan.machines} == set(range(25))
    assert {one.zone for one in plan.machines} == set(range(7))
    assert {one.region for one in plan.machines} == {0, 1}
    assert sum(one.real for one in plan.machines) == 24
    assert len(plan.control) == 4
    assert {one.region for one in plan.control} == {0, 1}
    assert sum(change.kind == "config" for change in plan.changes) == 920
    lost = {phase.name: 0 for phase in plan.phases}
    for step in plan.steps:
        phase = next(phase.name for phase in plan.phases if phase.begin_s <= step.at_s < phase.end_s)
        lost[phase] += len(step.nodes) if step.what in ("lose", "restart") else 0
    assert (lost["machine"], lost["three-machines"], lost["restarts"]) == (1, 3, 41)
    assert lost["rack"] < lost["zone"] < 540 / 6


@settings(deadline=None)
@given(
    nodes=st.integers(1, 300),
    services=st.integers(1, 30),
    seconds=st.floats(5.0, 300.0),
    seed=st.integers(0, 1 << 40),
    troubles=st.lists(st.sampled_from(list(plans.TROUBLES)), unique=True),
)
def test_every_plan_gives_back_what_it_takes(
    nodes: int, services: int, seconds: float, seed: int, troubles: list[str]
) -> None:
    options = plans.Options(nodes, 0, min(services, nodes), seconds, seed, tuple(troubles), changes=50)
    plan = plans.make(options)
    away: set[object] = set()
    split = False
    for step in sorted(plan.steps, key=lambda step: step.at_s):
        assert 0.0 <= step.at_s <= seconds
        if step.what == "lose":
            assert not away  # one trouble at a time
            away |= {*step.nodes, *step.control}
        elif step.what == "back":
            away -= {*step.nodes, *step.control}
        elif step.what in ("split", "join"):
            split = step.what == "split"
        writing = (
            next(phase for phase in plan.phases if phase.name == "writer") if "writer" in troubles else None
        )
        if writing is None or not writing.begin_s <= step.at_s <= writing.end_s:
            assert plan.control[0].name not in away
    assert not away
    assert not split
    assert all(0.0 <= change.at_s <= seconds for change in plan.changes)
    assert plan.phases[-1].end_s == pytest.approx(seconds)


@pytest.mark.parametrize(
    ("changes", "text"),
    [
        ({"nodes": 0}, "--nodes: 0 "),
        ({"nodes": 5000}, "--nodes: 5000 "),
        ({"real": -1}, "--real: -1 "),
        ({"nodes": 10, "services": 2, "real": 11}, "--real: 11 are more"),
        ({"services": 0}, "--services: 0 "),
        ({"services": 541}, "--services: 541 "),
        ({"seconds": 1.0}, "--seconds: 1 "),
        ({"seconds": float("nan")}, "--seconds: nan "),
        ({"seed": -1}, "--seed: -1 "),
        ({"changes": -1}, "--changes: -1 "),
        ({"calls": 1e6}, "--calls: 1e+06 "),
        ({"troubles": ("flood",)}, "--troubles: 'flood' is none of machine,"),
    ],
)
def test_options_that_cannot_be_played_are_told_in_one_line(changes: dict[str, Any], text: str) -> None:
    with pytest.raises(plans.BadOptionsError) as caught:
        plans.make(replace(plans.Options(), **changes))
    assert str(caught.value).startswith(text)
    assert "\n" not in str(caught.value)


# ------------------------------------------------------------------- in force


def heard(*rows: tuple[int, int, float]) -> dict[int, tuple[np.ndarray, np.ndarray]]:
    columns = zip(*rows, strict=True)
    return ordered(*(np.array(column) for column in columns))


def test_a_change_is_in_force_when_the_last_node_has_it_or_a_later_one() -> None:
    told = in_force(
        [Made(2, 100.0, frozenset({1, 2}))], heard((1, 2, 110.0), (2, 1, 90.0), (2, 5, 340.0)), {}
    )
    assert (told.everywhere, told.returned, told.missing) == ([240.0], [], 0)


def test_a_node_that_was_away_counts_from_its_return() -> None:
    rows = heard((1, 2, 110.0), (2, 2, 700.0))
    told = in_force([Made(2, 100.0, frozenset({1, 2}))], rows, {2: [(50.0, 600.0)]})
    assert (told.everywhere, told.returned) == ([10.0], [100.0])
    before = in_force([Made(2, 100.0, frozenset({1, 2}))], rows, {2: [(10.0, 60.0)]})
    assert (before.everywhere, before.returned) == ([600.0], [])


def test_what_never_came_is_missing() -> None:
    told = in_force([Made(3, 100.0, frozenset({1, 2}))], heard((1, 3, 101.0), (2, 2, 101.0)), {})
    assert (told.everywhere, told.missing) == ([1.0], 1)


@settings(deadline=None)
@given(st.lists(st.tuples(st.integers(0, 3), st.integers(1, 9), st.integers(0, 50)), min_size=1, max_size=40))
def test_in_force_agrees_with_a_plain_reading(rows: list[tuple[int, int, int]]) -> None:
    events = [(node, version, float(at) + index / 1000.0) for index, (node, version, at) in enumerate(rows)]
    change = Made(5, 10.0, frozenset(range(4)))
    first = {
        node: min((at for one, version, at in events if one == node and version >= 5), default=None)
        for node in range(4)
    }
    told = in_force([change], heard(*events), {})
    assert told.missing == sum(at is None for at in first.values())
    assert told.everywhere == [max([0.0, *(at - 10.0 for at in first.values() if at is not None)])]


# ------------------------------------------------------------------- verdicts


def held(found: Found) -> dict[str, bool | None]:
    return {one.target: one.holds for one in verdicts(found)}


def test_what_is_within_its_limit_holds_and_what_was_not_measured_says_so() -> None:
    told = held(WELL)
    assert told["configuration in force everywhere"] is None
    assert told["calls"] is None
    assert all(
        holds for name, holds in told.items() if name not in ("configuration in force everywhere", "calls")
    )


@pytest.mark.parametrize(
    ("change", "target"),
    [
        ({"config_most_s": 6.1}, "configuration in force everywhere"),
        ({"lists_most_s": 6.1}, "list heard everywhere"),
        ({"stale": 1}, "stale nodes at the end"),
        ({"cpu_most": 0.035}, "control, CPU of a node"),
        ({"memory_most_mb": 257.0}, "memory of a node"),
        ({"traffic_most_kb_s": 15.1}, "control, traffic of a node"),
        ({"added_p99_ms": 1.5}, "added to 99 calls in 100"),
        ({"processes": 151}, "processes of the run"),
        ({"memory_all_gb": 12.1}, "memory of the run"),
    ],
)
def test_each_target_falls_short_by_itself(change: dict[str, Any], target: str) -> None:
    told = held(replace(WELL, **change))
    assert [name for name, holds in told.items() if holds is False] == [target]


def test_what_a_busy_machine_adds_by_itself_is_no_verdict_on_the_node() -> None:
    found = replace(WELL, added_p99_ms=9.0, direct_p99_ms=8.0)
    assert held(found)["added to 99 calls in 100"] is None


# ---------------------------------------------------------------------- waits


def test_waits_grow_to_a_part_of_the_grace_and_fall_back_once_something_was_heard() -> None:
    waits = Waits(random.Random(1))
    first = waits.ended(0.0, 2.4)
    assert 0.6 * 0.3 <= first <= 0.3
    for _ in range(12):
        last = waits.ended(0.0, 2.4)
    assert 0.6 * 0.8 <= last <= 0.8
    waits.heard()
    assert waits.ended(0.0, 2.4) <= 0.3
    assert waits.ended(5.0, 2.4) == 0.0  # it lasted longer: at once
    assert waits.ended(0.0, 0.0) >= 0.6 * REWATCH_LEAST_S
