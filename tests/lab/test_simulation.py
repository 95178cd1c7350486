"""Simulation: order of events, identical records for the same seed, and invariants under any faults."""

from __future__ import annotations

import os
import subprocess
import sys
from pathlib import Path
from typing import Any

import msgspec
import pytest
from click.testing import CliRunner
from hypothesis import example, given, settings
from hypothesis import strategies as st

from rosewheel.cli.main import main
from rosewheel.config.errors import InvalidFileError
from rosewheel.lab import invariant_checker, plan, scenario
from rosewheel.lab.discovery_delays import DiscoveryChange
from rosewheel.lab.fault_table import ZONE_FAULT_KINDS, FaultKind
from rosewheel.lab.outcomes import AttemptOutcome
from rosewheel.lab.scenario import Scenario
from rosewheel.lab.simulation.clients import SimulatedOperation
from rosewheel.lab.simulation.discovery import SimulatedRegistry
from rosewheel.lab.simulation.events import EventQueue
from rosewheel.lab.simulation.node import SimulatedNode
from rosewheel.lab.simulation.simulate import Simulation, check_simulated, simulate
from rosewheel.node.effects import NodeEffect, StartAttempt
from rosewheel.node.idle_timeout import IdleTimeout
from rosewheel.policy import pool_load, ranking
from rosewheel.policy.events import Server
from rosewheel.policy.slow_start import SlowStart

QUICK_SETTINGS = settings(max_examples=25, deadline=None, derandomize=True)


# ---------------------------------------------------------------- event queue


@QUICK_SETTINGS
@given(
    st.lists(st.tuples(st.integers(0, 20), st.booleans()), max_size=60),
    st.lists(st.integers(0, 25), max_size=5),
)
def test_due_events_run_once_in_order_and_cancelled_events_never(
    events: list[tuple[int, bool]], stops: list[int]
) -> None:
    queue, run_events = EventQueue(0.0), []
    for number, (due, cancelled) in enumerate(events):
        event = queue.call_at(float(due), run_events.append, (due, number))
        if cancelled:
            queue.cancel(event)
    for stop in [*sorted(stops), 100]:
        queue.run(float(stop))
        assert all(due <= stop for due, _ in run_events)
    assert run_events == sorted(
        (due, number) for number, (due, cancelled) in enumerate(events) if not cancelled
    )
    assert len(queue) == 0


def test_cancelling_many_events_keeps_the_others() -> None:
    queue, run_events = EventQueue(0.0), []
    events = [queue.call_at(float(number % 7), run_events.append, number) for number in range(5000)]

    def cancel_most() -> None:
        for number, event in enumerate(events):
            if number % 100:
                queue.cancel(event)

    queue.call_at(0.0, cancel_most)
    queue.run(10.0)
    # Events due at 0 have run before the cancellation.
    later = [number for number in run_events if number % 7]
    assert sorted(later) == [number for number in range(5000) if number % 7 and number % 100 == 0]
    assert len(queue) == 0


# ---------------------------------------------------------------- determinism

PRINT_DIGEST = (
    "from rosewheel.lab import plan, scenario; from rosewheel.lab.simulation.simulate import simulate;"
    "r = simulate(plan.make(scenario.load('{}')));"
    "print(r['digest'], r['events'])"
)


@pytest.mark.parametrize("name", ["deploy", "faults"])
def test_a_seed_gives_the_same_records_under_any_hash_seed(name: str) -> None:
    outputs = set()
    for hash_seed in ("1", "77"):
        environment = {**os.environ, "PYTHONHASHSEED": hash_seed}
        completed = subprocess.run(
            [sys.executable, "-c", PRINT_DIGEST.format(name)],
            env=environment,
            capture_output=True,
            text=True,
            check=True,
        )
        outputs.add(completed.stdout)
    assert len(outputs) == 1


def test_records_on_disk_give_the_violations_of_the_live_checker(tmp_path: Path) -> None:
    crash_scenario = scenario.load("crash")
    crash_plan = plan.make(crash_scenario)
    summary = simulate(crash_plan, tmp_path)
    assert summary == {**simulate(crash_plan), "wall_s": summary["wall_s"]}
    assert invariant_checker.check_records(crash_scenario, tmp_path).as_record() == summary["rules"]
    assert sum(path.read_bytes().count(b"\n") for path in tmp_path.iterdir()) == summary["records"]
    assert simulate(plan.make(crash_scenario, 2))["digest"] != summary["digest"]


def test_the_report_of_a_simulated_run_has_its_digest(tmp_path: Path) -> None:
    arguments = ["simulate", "quiet", "--seconds", "3", "--out", str(tmp_path / "out")]
    result = CliRunner().invoke(main, arguments)
    assert result.exit_code == 0, result.output
    page = (tmp_path / "out" / "report.html").read_text()
    assert msgspec.json.decode(result.output.strip().rpartition("\n")[2])["digest"] in page


# --------------------------------------------------------------------- faults

SERVER_FAULTS = st.fixed_dictionaries(
    {
        "kind": st.sampled_from([kind for kind in FaultKind if kind not in ("faults", *ZONE_FAULT_KINDS)]),
        "at_s": st.floats(0.5, 5.0),
        "for_s": st.floats(0.2, 4.0),
        "size": st.sampled_from([0.4, 0.9]),
        "part": st.sampled_from([0.3, 0.6, 1.0]),
        "tier": st.sampled_from(["entrada", "archivo"]),
    }
)
ZONE_FAULTS = st.fixed_dictionaries(
    {
        "kind": st.sampled_from(ZONE_FAULT_KINDS),
        "at_s": st.floats(0.5, 5.0),
        "for_s": st.floats(0.2, 4.0),
        "zone": st.just("sala"),
    }
)
CONNECTION_FAULTS = st.fixed_dictionaries(
    {
        "kind": st.just("faults"),
        "how": st.sampled_from(["refuse", "reset", "silence", "delay", "half", "spoilt"]),
        "at_s": st.floats(0.5, 5.0),
        "for_s": st.floats(0.2, 4.0),
        "part": st.sampled_from([0.2, 0.6]),
        "tier": st.sampled_from(["entrada", "archivo"]),
    }
)


def two_tiers(faults: list[dict[str, Any]], rate: float, nodes: int = 3) -> Scenario:
    """Return a scenario of two tiers with a class of each idempotency and short deadlines."""
    kind = {"count": 6, "speed": [1.0, 2.0], "cold_s": 4, "pause_ms": [0, 50], "error_rate": [0, 0.05]}
    common = {"share": 1, "work_ms": 60, "cv": 0.8, "attempt_noise": 0.3, "aim_ms": 700, "give_up_ms": 2000}
    rows = {
        "name": "made",
        "seconds": 8,
        "class": [
            {"name": "subir-foto", "effect": "unsafe", "worth": 8, **common},
            {"name": "comentario", "effect": "keyed", "group": "cell", "worth": 3, **common},
            {"name": "ver", "effect": "safe", **common},
        ],
        "clients": {"rate_per_s": rate},
        "nodes": {"count": nodes, "spread_s": 0.4},
        "tier": [
            {"name": "entrada", "work": 0.5, "cell_size": 3, "kind": [{"name": "a", **kind}]},
            {"name": "archivo", "work": 0.5, "cell_size": 3, "calls": 1.3, "kind": [{"name": "b", **kind}]},
        ],
        "trouble": faults,
    }
    return msgspec.convert(rows, Scenario)


@QUICK_SETTINGS
@given(
    st.lists(SERVER_FAULTS | CONNECTION_FAULTS | ZONE_FAULTS, max_size=4),
    st.sampled_from([20.0, 120.0, 400.0]),
    st.integers(0, 1 << 30),
)
@example([{"kind": "loss", "at_s": 1.0, "for_s": 1.02, "zone": "sala"}], 400.0, 1)
def test_the_rules_hold_under_any_troubles(faults: list[dict[str, Any]], rate: float, seed: int) -> None:
    run = Simulation(plan.make(two_tiers(faults, rate), seed))
    summary = run.run()
    assert summary["ok"], summary["rules"]
    asked = sum(one["asked"] for one in summary["classes"].values())
    assert asked == len(run.plan.arrivals)
    # No request, attempt or connection remains once all clients have responses and abandoned work has ended.
    run.queue.run(run.queue.now + 30_000.0)
    for node in [*run.fleet.nodes.values(), *run.fleet.local_nodes.values()]:
        assert node.node.active_requests == 0
        assert not node.requests
        assert not node.attempts
        assert len(node.pools.open) <= node.pools.max_connections
    for host in run.fleet.hosts.values():
        assert host.model.connection_count == len(host.connections)


@pytest.mark.parametrize("nodes", [2, 3, 8])
def test_the_only_server_listed_after_the_loss_of_a_zone_is_not_overloaded(nodes: int) -> None:
    """The nodes are offered many times the load that this server can bear."""
    loss = {"kind": "loss", "at_s": 1.0, "for_s": 1.02, "zone": "sala"}
    for seed in (1, 2, 3, 4, 8, 9):
        summary = simulate(plan.make(two_tiers([loss], 400.0, nodes), seed))
        assert summary["ok"], summary["rules"]


def test_a_node_restarted_during_a_reported_drain_may_send_to_that_server() -> None:
    """The restarted node may get a list in which the server is up; notifications before the restart no longer count."""
    storm = {"kind": "discovery-storm", "at_s": 3.0, "for_s": 3.0, "size": 0.4, "part": 1.0}
    crash = {"kind": "node-crash", "at_s": 4.0, "for_s": 1.0, "node": 0}
    assert simulate(plan.make(two_tiers([storm, crash], 60.0)))["ok"]


def test_a_node_that_repeats_non_idempotent_work_is_detected(monkeypatch: pytest.MonkeyPatch) -> None:
    original_apply = SimulatedNode.apply

    def apply(self: SimulatedNode, effects: list[NodeEffect]) -> None:
        repeated = [
            StartAttempt(effect.id, effect.attempt + 50, effect.server, effect.timeout_ms)
            for effect in effects
            if type(effect) is StartAttempt
        ]
        original_apply(self, [*effects, *repeated])

    monkeypatch.setattr(SimulatedNode, "apply", apply)
    summary = simulate(plan.make(two_tiers([], 20.0)))
    assert not summary["ok"]
    assert summary["rules"]["twice"]


def test_a_node_that_ignores_a_drain_is_detected(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(
        SimulatedNode,
        "receive_endpoint_list",
        lambda self, form, servers: (
            None if self.pools.by_server else receive_endpoint_list(self, form, servers)
        ),
    )
    deploy = {"kind": "deploy", "at_s": 1.0, "for_s": 2.0, "size": 0.5, "part": 0.5}
    assert simulate(plan.make(two_tiers([deploy], 60.0)))["rules"]["late"]


receive_endpoint_list = SimulatedNode.receive_endpoint_list


def deployed_fleet() -> Scenario:
    """Return a scenario in which most servers of a tier are replaced within a second by warming ones."""
    deploy = {"kind": "deploy", "at_s": 2.0, "for_s": 1.0, "size": 0.4, "part": 0.85, "drain_s": 1.5}
    rows = msgspec.to_builtins(two_tiers([deploy], 40.0, nodes=30))
    tier = rows["tier"][0] | {"work": 1.0}
    tier["kind"] = [tier["kind"][0] | {"count": 10, "cold_from": 0.12, "cold_s": 12.0}]
    rows["seconds"], rows["tier"] = 16.0, [tier]
    for row in rows["class"]:
        row |= {"work_ms": 300.0, "aim_ms": 2500.0, "give_up_ms": 6000.0}
    return msgspec.convert(rows, Scenario)


def test_independent_nodes_do_not_overload_warming_servers_because_of_pacing(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    plans = [plan.make(deployed_fleet(), seed) for seed in (1, 2, 3)]
    assert [simulate(seed_plan)["fell"] for seed_plan in plans] == [0, 0, 0]
    monkeypatch.setattr(SlowStart, "has_credit", lambda *_: True)
    unpaced = [simulate(seed_plan) for seed_plan in plans]
    assert sum(summary["fell"] for summary in unpaced) > 0
    assert any(summary["rules"]["tipped"] for summary in unpaced)


@pytest.mark.parametrize("name", ["fleet-join", "fleet-zone", "fleet-disco", "fleet-below", "fleet-crowd"])
def test_forty_nodes_keep_the_rules_when_most_servers_are_lost(name: str) -> None:
    """Runs are shortened to end soon after the fault."""
    summary = simulate(plan.make(scenario.load(name, {"seconds": 13})))
    assert summary["ok"]
    assert summary["fell"] == 0


def test_many_nodes_do_not_shed_load_for_one_rejecting_server(monkeypatch: pytest.MonkeyPatch) -> None:
    """Servers reject requests for seconds before the endpoint list has them as draining. Backoff of such servers must
    raise service above that of the same run without it."""
    fleet_plan = plan.make(scenario.load("fleet-disco", {"seconds": 13}))
    service = simulate(fleet_plan)["service"]
    monkeypatch.setattr(ranking, "BACKOFF_RANK_FACTOR", 1.0)
    monkeypatch.setattr(pool_load, "BASE_BACKOFF_MS", 0.0)
    assert service > simulate(fleet_plan)["service"] + 0.01


def test_idle_connections_of_many_nodes_do_not_exhaust_servers_for_long(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Servers accept fewer connections than all nodes keep idle. A shorter idle timeout must raise service above that
    of the same run without it."""
    fleet_plan = plan.make(scenario.load("fleet-crowd", {"seconds": 13}))
    service = simulate(fleet_plan)["service"]
    monkeypatch.setattr(IdleTimeout, "new_connection_rejected", lambda *_: None)
    assert service > simulate(fleet_plan)["service"] + 0.2


def test_a_server_reconnected_with_a_new_process_warms_up_and_is_listed_as_new() -> None:
    updates: list[Server] = []
    original_update = SimulatedRegistry.update

    def record_update(self: SimulatedRegistry, server: Server, change: DiscoveryChange) -> None:
        updates.append(server)
        original_update(self, server, change)

    unreachable = {"kind": "vanish", "at_s": 2.0, "for_s": 1.5, "part": 0.2, "cold": True}
    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(SimulatedRegistry, "update", record_update)
        summary = simulate(plan.make(two_tiers([unreachable], 40.0)))
    restarted = [server for server in updates if server.launched_ms]
    assert restarted
    assert all(server.launched_ms and server.launched_ms > 3500.0 for server in restarted)
    assert summary["ok"]


def test_clients_receive_retry_after_to_the_millisecond(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    delays_s: list[float] = []
    schedule_retry = SimulatedOperation._schedule_retry

    def record_retry_after(self: SimulatedOperation, outcome: AttemptOutcome) -> bool:
        if outcome.retry_after_s is not None:
            delays_s.append(outcome.retry_after_s)
        return schedule_retry(self, outcome)

    monkeypatch.setattr(SimulatedOperation, "_schedule_retry", record_retry_after)
    simulate(plan.make(two_tiers([], 900.0)))
    assert any(delay_s % 1.0 for delay_s in delays_s)
    assert all(delay_s == round(delay_s, 3) and 0.0 < delay_s <= 2.0 for delay_s in delays_s)


def test_a_kill_during_an_upgrade_is_rejected_by_the_simulation() -> None:
    with pytest.raises(InvalidFileError, match=r"kills"):
        check_simulated(scenario.load("upgrade-kills"))
