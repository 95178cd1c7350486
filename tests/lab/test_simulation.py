"""Virtual time: one order of events, the same records by the same seed, and the rules under any faults."""

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


# ---------------------------------------------------------------------- queue


@QUICK_SETTINGS
@given(
    st.lists(st.tuples(st.integers(0, 20), st.booleans()), max_size=60),
    st.lists(st.integers(0, 25), max_size=5),
)
def test_due_events_run_once_in_order_and_cancelled_events_never(
    rows: list[tuple[int, bool]], stops: list[int]
) -> None:
    queue, seen = EventQueue(0.0), []
    for number, (due, off) in enumerate(rows):
        row = queue.call_at(float(due), seen.append, (due, number))
        if off:
            queue.cancel(row)
    for stop in [*sorted(stops), 100]:
        queue.run(float(stop))
        assert all(due <= stop for due, _ in seen)
    assert seen == sorted((due, number) for number, (due, off) in enumerate(rows) if not off)
    assert len(queue) == 0


def test_cancelling_many_events_keeps_the_others() -> None:
    queue, seen = EventQueue(0.0), []
    rows = [queue.call_at(float(at % 7), seen.append, at) for at in range(5000)]

    def call_off() -> None:
        for at, row in enumerate(rows):
            if at % 100:
                queue.cancel(row)

    queue.call_at(0.0, call_off)
    queue.run(10.0)
    # The events of the first moment had run before the cancellation.
    late = [at for at in seen if at % 7]
    assert sorted(late) == [at for at in range(5000) if at % 7 and at % 100 == 0]
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
    for hashes in ("1", "77"):
        environ = {**os.environ, "PYTHONHASHSEED": hashes}
        done = subprocess.run(
            [sys.executable, "-c", PRINT_DIGEST.format(name)],
            env=environ,
            capture_output=True,
            text=True,
            check=True,
        )
        outputs.add(done.stdout)
    assert len(outputs) == 1


def test_records_on_disk_give_the_violations_of_the_live_checker(tmp_path: Path) -> None:
    notified = scenario.load("crash")
    one = plan.make(notified)
    summary = simulate(one, tmp_path)
    assert summary == {**simulate(one), "wall_s": summary["wall_s"]}
    assert invariant_checker.check_records(notified, tmp_path).as_record() == summary["rules"]
    assert sum(path.read_bytes().count(b"\n") for path in tmp_path.iterdir()) == summary["records"]
    assert simulate(plan.make(notified, 2))["digest"] != summary["digest"]


def test_a_simulated_run_has_its_report(tmp_path: Path) -> None:
    arguments = ["simulate", "quiet", "--seconds", "3", "--out", str(tmp_path / "out")]
    got = CliRunner().invoke(main, arguments)
    assert got.exit_code == 0, got.output
    page = (tmp_path / "out" / "report.html").read_text()
    assert msgspec.json.decode(got.output.strip().rpartition("\n")[2])["digest"] in page


# ------------------------------------------------------------------- troubles

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
    """Two tiers, classes of each idempotency, short deadlines."""
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
    # No request, attempt or connection is left once every client has its response and abandoned work has ended.
    run.queue.run(run.queue.now + 30_000.0)
    for node in [*run.fleet.nodes.values(), *run.fleet.local_nodes.values()]:
        assert node.node.active_requests == 0
        assert not node.requests
        assert not node.attempts
        assert len(node.pools.open) <= node.pools.max_connections
    for host in run.fleet.hosts.values():
        assert host.model.connection_count == len(host.connections)


@pytest.mark.parametrize("nodes", [2, 3, 8])
def test_the_one_server_that_is_listed_after_the_loss_of_a_zone_is_not_overloaded(nodes: int) -> None:
    """What its nodes are asked for is many times what it can do; half and more of these runs overloaded it."""
    loss = {"kind": "loss", "at_s": 1.0, "for_s": 1.02, "zone": "sala"}
    for seed in (1, 2, 3, 4, 8, 9):
        summary = simulate(plan.make(two_tiers([loss], 400.0, nodes), seed))
        assert summary["ok"], summary["rules"]


def test_a_node_restarted_during_a_reported_drain_may_send_to_that_server() -> None:
    """It begins with a list in which the server is up; earlier notifications of its name no longer count."""
    storm = {"kind": "discovery-storm", "at_s": 3.0, "for_s": 3.0, "size": 0.4, "part": 1.0}
    crash = {"kind": "node-crash", "at_s": 4.0, "for_s": 1.0, "node": 0}
    assert simulate(plan.make(two_tiers([storm, crash], 60.0)))["ok"]


def test_a_node_that_repeats_non_idempotent_work_is_detected(monkeypatch: pytest.MonkeyPatch) -> None:
    plain = SimulatedNode.apply

    def apply(self: SimulatedNode, effects: list[NodeEffect]) -> None:
        again = [
            StartAttempt(one.id, one.attempt + 50, one.server, one.timeout_ms)
            for one in effects
            if type(one) is StartAttempt
        ]
        plain(self, [*effects, *again])

    monkeypatch.setattr(SimulatedNode, "apply", apply)
    summary = simulate(plan.make(two_tiers([], 20.0)))
    assert not summary["ok"]
    assert summary["rules"]["twice"]


def test_a_node_that_ignores_a_drain_is_detected(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(
        SimulatedNode,
        "receive_endpoint_list",
        lambda self, form, servers: None if self.pools.by_server else plain(self, form, servers),
    )
    deploy = {"kind": "deploy", "at_s": 1.0, "for_s": 2.0, "size": 0.5, "part": 0.5}
    assert simulate(plan.make(two_tiers([deploy], 60.0)))["rules"]["late"]


plain = SimulatedNode.receive_endpoint_list


def deployed_fleet() -> Scenario:
    """All but one server of a tier replaced within a second by warming ones, with thirty nodes."""
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
    assert [simulate(one)["fell"] for one in plans] == [0, 0, 0]
    monkeypatch.setattr(SlowStart, "has_credit", lambda *_: True)
    unpaced = [simulate(one) for one in plans]
    assert sum(one["fell"] for one in unpaced) > 0
    assert any(one["rules"]["tipped"] for one in unpaced)


@pytest.mark.parametrize("name", ["fleet-join", "fleet-zone", "fleet-disco", "fleet-below", "fleet-crowd"])
def test_forty_nodes_keep_the_rules_when_most_servers_are_lost(name: str) -> None:
    """Short forms: the fault and the time right after it."""
    summary = simulate(plan.make(scenario.load(name, {"seconds": 13})))
    assert summary["ok"]
    assert summary["fell"] == 0


def test_many_nodes_do_not_shed_load_for_one_rejecting_server(monkeypatch: pytest.MonkeyPatch) -> None:
    """Servers drain for seconds before the list shows it; below capacity rejections are few. The same run without
    the remedy shows that the number can fail."""
    one = plan.make(scenario.load("fleet-disco", {"seconds": 13}))
    now = simulate(one)["service"]
    monkeypatch.setattr(ranking, "BACKOFF_RANK_FACTOR", 1.0)
    monkeypatch.setattr(pool_load, "BASE_BACKOFF_MS", 0.0)
    assert now > simulate(one)["service"] + 0.01


def test_idle_connections_of_many_nodes_do_not_exhaust_servers_for_long(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Servers accept fewer connections than all nodes keep idle; the same run without the remedy is worse."""
    one = plan.make(scenario.load("fleet-crowd", {"seconds": 13}))
    now = simulate(one)["service"]
    monkeypatch.setattr(IdleTimeout, "new_connection_rejected", lambda *_: None)
    assert now > simulate(one)["service"] + 0.2


def test_a_server_back_from_a_lost_zone_warms_up_and_is_listed_as_new() -> None:
    notified: list[Server] = []
    plain = SimulatedRegistry.update

    def spy(self: SimulatedRegistry, server: Server, change: DiscoveryChange) -> None:
        notified.append(server)
        plain(self, server, change)

    unreachable = {"kind": "vanish", "at_s": 2.0, "for_s": 1.5, "part": 0.2, "cold": True}
    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(SimulatedRegistry, "update", spy)
        summary = simulate(plan.make(two_tiers([unreachable], 40.0)))
    back = [server for server in notified if server.launched_ms]
    assert back
    assert all(server.launched_ms and server.launched_ms > 3500.0 for server in back)
    assert summary["ok"]


def test_clients_receive_retry_after_to_the_millisecond(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    waits: list[float] = []
    again = SimulatedOperation._schedule_retry

    def spy(self: SimulatedOperation, verdict: AttemptOutcome) -> bool:
        if verdict.retry_after_s is not None:
            waits.append(verdict.retry_after_s)
        return again(self, verdict)

    monkeypatch.setattr(SimulatedOperation, "_schedule_retry", spy)
    simulate(plan.make(two_tiers([], 900.0)))
    assert any(wait % 1.0 for wait in waits)
    assert all(wait == round(wait, 3) and 0.0 < wait <= 2.0 for wait in waits)


def test_a_kill_during_an_upgrade_is_rejected_by_the_simulation() -> None:
    with pytest.raises(InvalidFileError, match=r"kills"):
        check_simulated(scenario.load("upgrade-kills"))
