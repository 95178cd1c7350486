"""Slow start: the check of requests to a warming server, and balancers that together keep to it."""

from __future__ import annotations

import dataclasses
import math
from typing import Any
from unittest.mock import Mock

import msgspec
import numpy as np
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from rosewheel.lab import plan
from rosewheel.lab.invariant_checker import InvariantChecker, Violations
from rosewheel.lab.random_streams import random_stream, weighted_choice
from rosewheel.lab.record_types import JobRecord, Record, ServerStartRecord
from rosewheel.lab.run_tables import RulesTable
from rosewheel.lab.scenario import Scenario, load
from rosewheel.lab.server_model import ServerSpec
from rosewheel.lab.simulation.discovery import SimulatedRegistry
from rosewheel.lab.simulation.events import EventQueue
from rosewheel.lab.simulation.node import SimulatedNode
from rosewheel.lab.simulation.simulate import Simulation, simulate
from rosewheel.lab.slow_start import ServerArrival, ServerStart, allowed_work_ms
from rosewheel.policy.events import EndpointListForm, EndpointListUpdate, Server, ServerState
from rosewheel.policy.settings import Settings
from tests.support.balancers import BalancerHarness, forwarded

RULES = RulesTable(warm_up_initial_share=0.2, warm_up_s=10.0, overload_window_ms=1500.0, overload_factor=3.0)
SHORT = settings(max_examples=60, deadline=None, derandomize=True)

# ------------------------------------------------------------------ the check


@SHORT
@given(st.floats(0.0, 10_000.0), st.floats(0.0, 3000.0))
def test_allowance_is_the_integral_of_the_stated_share(until: float, length: float) -> None:
    steps = np.linspace(max(0.0, until - length), until, 2001)
    shares = 3.0 * (0.2 + 0.8 * steps / 10_000.0)
    assert allowed_work_ms(RULES, until - length, until) == pytest.approx(
        np.trapezoid(shares, steps), abs=1e-6
    )


def server_start(capacity: float = 0.01) -> ServerStart:
    """Return a start of a server that completes ten mean requests per second when warm."""
    return ServerStart("e", 1000.0, capacity)


def arrivals(*items: tuple[float, float, bool]) -> list[ServerArrival]:
    return [ServerArrival(*item) for item in items]


def bound(age: float, capacity: float = 0.01) -> float:
    allowed = capacity * allowed_work_ms(RULES, age - 1500.0, age)
    return allowed + 2.0 * math.sqrt(allowed) + 2.0


def test_overload_is_counted_above_the_bound_only() -> None:
    start = server_start()
    start.arrivals = arrivals((1000.0 + 5000.0, bound(5000.0), True))
    assert start.overloads(RULES) == ([], 1.0)
    start.arrivals = arrivals((1000.0 + 5000.0, bound(5000.0) * 1.001, True))
    [found], most = start.overloads(RULES)
    assert (found.server, found.at_ms, found.informed_share) == ("e", 6000.0, 1.0)
    assert found.allowed == pytest.approx(0.01 * allowed_work_ms(RULES, 3500.0, 5000.0))
    assert most > 1.0


def test_work_adds_up_within_one_window() -> None:
    half = bound(5000.0) * 0.55
    start = server_start()
    start.arrivals = arrivals((6000.0, half, True), (4600.0, half, False))  # in the order of their ends
    [found], _ = start.overloads(RULES)
    assert found.received == pytest.approx(2.0 * half)
    assert found.informed_share == pytest.approx(0.5)
    start.arrivals = arrivals((6000.0, half, True), (4500.0, half, False))  # one whole window apart
    assert start.overloads(RULES)[0] == []


def test_allowance_before_the_start_and_after_warm_up() -> None:
    start = server_start()
    start.arrivals = arrivals((1000.0, 2.1, True))
    assert len(start.overloads(RULES)[0]) == 1
    start.arrivals = arrivals((1000.0 + RULES.warm_up_s * 1000.0, 500.0, True), (999.0, 500.0, True))
    assert start.overloads(RULES) == ([], 0.0)


def test_small_requests_count_by_their_work() -> None:
    start = server_start()
    requests = bound(5000.0) / 100.0
    start.arrivals = arrivals(*[(6000.0 + at, requests, True) for at in range(120)])
    assert len(start.overloads(RULES)[0]) == 1
    start.arrivals = start.arrivals[:99]
    assert start.overloads(RULES)[0] == []


def read(*records: Record) -> tuple[InvariantChecker, Violations]:
    checker = InvariantChecker(load("quiet"))
    for record in records:
        checker.observe(record)
    return checker, checker.finish()


def started(t: float) -> Record:
    return ServerStartRecord(t, "e", capacity=2.0, mean_request_ms=200.0)


def job(received_ms: float, informed: bool, work: float = 200.0) -> Record:
    return JobRecord(
        at_ms=received_ms,
        tier=0,
        server="e",
        cell=0,
        sender="n0",
        class_name="subir-foto",
        operation_id=f"o{received_ms}",
        request_id=f"o{received_ms}.0",
        received_ms=received_ms,
        outcome="served",
        work_ms=work,
        sender_informed=informed,
        started=False,
        client_connected=True,
        past_deadline=False,
    )


@pytest.mark.parametrize(("known", "broken"), [(30, True), (21, True), (20, False), (0, False)])
def test_overload_is_a_violation_where_most_senders_knew_of_the_start(known: int, broken: bool) -> None:
    """The last of thirty equal requests exceeds the allowance."""
    allowed = 0.01 * allowed_work_ms(load("quiet").rules, 0.0, 130.0)
    each = (allowed + 2.0 * math.sqrt(allowed) + 2.0) / 29.5 * 200.0
    records = [job(101.0 + at, at >= 30 - known, each) for at in range(30)]
    checker, found = read(started(0.0), *records[:29])
    assert checker.overloads == []
    checker, found = read(started(0.0), *reversed(records))
    assert len(checker.overloads) == 1
    assert found.count() == len(found.overloaded) == broken


def test_only_the_first_overload_of_each_start_counts() -> None:
    unknown, known = [job(100.0, False, 2000.0)], [job(5000.0, True, 20_000.0)]
    checker, found = read(started(0.0), *unknown, *known)
    assert len(checker.overloads) == 2
    assert found.overloaded == []
    checker, found = read(started(0.0), *unknown, started(4000.0), *known)
    assert [overload.at_ms for overload in found.overloaded] == [5000.0]


def test_clients_are_distributed_by_node_shares() -> None:
    rng, names = np.random.default_rng(3), ["n0", "n1", "n2"]
    nodes = msgspec.structs.replace(load("quiet").nodes, count=3, client_shares=(6.0,))
    chosen_nodes = [weighted_choice(rng, names, nodes.client_share) for _ in range(4000)]
    assert [chosen_nodes.count(name) / 4000 for name in names] == pytest.approx(
        [0.75, 0.125, 0.125], abs=0.03
    )
    chosen_nodes = [weighted_choice(rng, names, None) for _ in range(4000)]
    assert [chosen_nodes.count(name) / 4000 for name in names] == pytest.approx([1 / 3] * 3, abs=0.03)


# --------------------------------------------------------------------- fleets

NODES = [4, 10, 20, 30]


def fleet(nodes: int, below: bool, trouble: list[dict[str, Any]], shares: list[float]) -> Scenario:
    """Return a scenario of ten servers of different speeds at 0.7 of their capacity.

    Args:
        nodes: number of balancers.
        below: whether the servers are in a second tier, and the balancers belong to servers of the first.
        trouble: rows of faults, by which most of the servers are replaced or return cold.
        shares: shares of the clients by node.
    """
    figures = {"cold_from": [0.12, 0.33], "cold_s": [10, 24], "pause_ms": [0, 170], "error_rate": [0, 0.003]}
    second_tier = {"name": "archivo", "work": 0.6 if below else 1.0}
    second_tier["kind"] = [{"name": "b", "count": 10, "speed": [0.7, 2.2], **figures}]
    first_tier = {
        "name": "entrada",
        "work": 0.4,
        "kind": [{"name": "a", "count": nodes, "speed": [1.5, 2.5]}],
    }
    capacity = 10 * 2 * 1.45 / (250.0 * second_tier["work"]) * 1000.0
    common = {"share": 1, "work_ms": 250, "cv": 0.6, "attempt_noise": 0.3, "aim_ms": 2500, "give_up_ms": 6000}
    tables = {
        "name": "slow-start",
        "seconds": 15,
        "class": [
            {"name": "subir-foto", "effect": "unsafe", "worth": 8, **common},
            {"name": "comentario", "effect": "keyed", "group": "cell", "worth": 3, **common},
        ],
        "clients": {"rate_per_s": min(0.7 * capacity, nodes * 28.0 if below else 1e9), "burst_cv": 0.2},
        "nodes": {"count": 4 if below else nodes, "spread_s": 0.4, "keeps": False, "shares": shares},
        "tier": [first_tier, second_tier] if below else [second_tier],
        "trouble": [
            {"tier": "archivo", **row} if row["kind"] in ("deploy", "vanish") else row for row in trouble
        ],
    }
    return msgspec.convert(tables, Scenario)


REPLACED = {"kind": "deploy", "at_s": 3, "for_s": 3, "part": 0.6, "size": 0.3, "drain_s": 2, "boot_s": 0.5}
ZONE_LOSS = {"kind": "vanish", "at_s": 3, "for_s": 4, "part": 0.5, "cold": True}
STATE_LOSS = [{"kind": "node-loss", "at_s": at, "for_s": 0.3, "part": 0.5} for at in (7, 10)]


@pytest.mark.parametrize("below", [False, True], ids=["first", "below"])
@pytest.mark.parametrize("nodes", NODES)
@pytest.mark.parametrize(
    ("trouble", "shares"),
    [([REPLACED], []), ([REPLACED, *STATE_LOSS], [8.0, 3.0]), ([ZONE_LOSS], [3.0])],
    ids=["replaced", "uneven-with-state-loss", "zone"],
)
def test_fleet_keeps_to_the_allowance_of_a_warming_server(
    below: bool, nodes: int, trouble: list[dict[str, Any]], shares: list[float]
) -> None:
    run = Simulation(plan.make(fleet(nodes, below, trouble, shares), 1))
    summary = run.run()
    assert summary["rules"]["overloaded"] == []
    assert summary["rules"]["tipped"] == []
    warming = [
        spec.name for spec in run.fleet.specs.values() if run.fleet.hosts[spec.name].model.started_ms > 0
    ]
    assert len(warming) >= 5
    assert all(run.fleet.hosts[name].model.work_done_ms > 0.0 for name in warming), "none may stay idle"


@pytest.mark.parametrize("nodes", [10, 30])
def test_fleet_with_zone_preference_keeps_to_the_allowance(
    nodes: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Three of ten nodes are in the zone of eight of ten servers, most of which are replaced."""
    original_init = SimulatedNode.__init__

    def init(
        self: SimulatedNode, world: Any, name: str, tier: int, node_settings: Settings, *rest: Any
    ) -> None:
        zone = "ab"[int(name[1:]) % 10 >= 3]
        original_init(
            self,
            world,
            name,
            tier,
            dataclasses.replace(node_settings, zone=zone, cross_zone_cost=0.05),
            *rest,
        )

    monkeypatch.setattr(SimulatedNode, "__init__", init)
    run_plan = plan.make(fleet(nodes, False, [REPLACED], []), 1)

    def zoned(specs: tuple[ServerSpec, ...]) -> tuple[ServerSpec, ...]:
        return tuple(dataclasses.replace(spec, zone="ab"[at % 5 == 4]) for at, spec in enumerate(specs))

    summary = simulate(
        dataclasses.replace(
            run_plan, servers=zoned(run_plan.servers), deployed_servers=zoned(run_plan.deployed_servers)
        )
    )
    assert summary["rules"]["overloaded"] == []
    assert summary["rules"]["tipped"] == []


def test_starting_node_is_informed_of_the_starts_in_its_list() -> None:
    informed_nodes: list[tuple[str, str]] = []
    queue, run_plan = EventQueue(0.0), plan.make(load("quiet"))
    registry = SimulatedRegistry(
        queue,
        run_plan,
        lambda node, entry: informed_nodes.append((node, entry.address)),
        lambda *_: False,
        random_stream(1, "x"),
    )
    registry.endpoints = {"old": Server("old"), "new": Server("new", launched_ms=5.0)}
    node = Mock()
    node.name = "n7"
    registry.add_agent(node)
    assert informed_nodes == [("n7", "new")]


# --------------------------------------------------------------- one balancer


def test_no_credit_is_saved_for_a_draining_server() -> None:
    """Balancers that save credit for a draining server would all use it when the server returns."""
    harnesses = [BalancerHarness(10, seed=seed, balancer_count=30, tier=1) for seed in range(30)]
    sends = 0
    for harness in harnesses:
        for state in (ServerState.UP, ServerState.DRAINING):
            warming = Server("cold", "a", state=state, launched_ms=harness.now)
            harness.handle(EndpointListUpdate(EndpointListForm.DELTA, (warming,)))
        for _ in range(60):
            harness.serve_request(latency=harness.balancer.period_ms / 3)
            if harness.request_count % 3 == 0:
                harness.end_period(0.0)
        harness.handle(
            EndpointListUpdate(EndpointListForm.DELTA, (dataclasses.replace(warming, state=ServerState.UP),))
        )
        for _ in range(6):
            harness.now += 10.0
            sends += sum(action.server == "cold" for action in forwarded(harness.receive_request("post")[1]))
    # A warm server completes a tenth of the requests of all thirty balancers. A warming one may be sent half of
    # the work that the settings allow.
    config, age = harnesses[0].balancer.parts.shared.settings, harnesses[0].now - warming.launched_ms
    rules = RulesTable(
        warm_up_initial_share=config.warm_up_initial_share,
        warm_up_s=config.warm_up_ms / 1000.0,
        overload_window_ms=config.overload_window_ms,
        overload_factor=config.overload_factor,
    )
    capacity = len(harnesses) * 3.0 / harnesses[0].balancer.period_ms / 10.0
    assert 0 < sends <= capacity * allowed_work_ms(rules, age - config.overload_window_ms, age) / 2.0


@SHORT
@given(st.floats(0.0, 0.01), st.floats(0.0, 60_000.0), st.integers(0, 2**32))
def test_unused_credit_expires(rate: float, away_ms: float, seed: int) -> None:
    """However long a server was away, no more of thirty balancers have credit than earn it before it expires,
    and none has credit for two requests."""
    harnesses = [BalancerHarness(4, seed=seed + at, balancer_count=30) for at in range(30)]
    ready_count, expected_count = 0, 0.0
    for harness in harnesses:
        warming = Server("cold", "a", launched_ms=harness.now)
        harness.handle(EndpointListUpdate(EndpointListForm.DELTA, (warming,)))
        harness.parts.throughput.peak_completion_rate = rate
        server_stats = harness.servers["cold"]
        server_stats.credit = server_stats.credit % 1.0
        ready_count += (
            harness.parts.slow_start.has_credit(harness.now + away_ms, server_stats)
            and away_ms < harness.parts.shared.settings.warm_up_ms
        )
        assert server_stats.credit < 2.0
        credit_rate = (
            harness.parts.slow_start.capacity_share(harness.now + away_ms, server_stats)
            * harness.parts.slow_start.credit_rate()
        )
        expected_count += min(1.0, credit_rate * harness.parts.shared.settings.overload_window_ms / 2.0)
    assert ready_count <= expected_count + 4.0 * math.sqrt(expected_count) + 2.0, (
        "four standard deviations of the random credit"
    )
