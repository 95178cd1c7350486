"""Virtual time: one order of events, the same records by the same seed, and the rules under any troubles."""

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

SHORT = settings(max_examples=25, deadline=None, derandomize=True)


# ---------------------------------------------------------------------- queue


@SHORT
@given(
    st.lists(st.tuples(st.integers(0, 20), st.booleans()), max_size=60),
    st.lists(st.integers(0, 25), max_size=5),
)
def test_what_is_due_happens_once_in_order_and_what_was_called_off_never(
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


def test_a_crowd_that_is_called_off_leaves_the_rest() -> None:
    queue, seen = EventQueue(0.0), []
    rows = [queue.call_at(float(at % 7), seen.append, at) for at in range(5000)]

    def call_off() -> None:
        for at, row in enumerate(rows):
            if at % 100:
                queue.cancel(row)

    queue.call_at(0.0, call_off)
    queue.run(10.0)
    # Those of the first moment had happened before.
    late = [at for at in seen if at % 7]
    assert sorted(late) == [at for at in range(5000) if at % 7 and at % 100 == 0]
    assert len(queue) == 0


# ---------------------------------------------------------------- determinism

SAY = (
    "from rosewheel.lab import plan, scenario; from rosewheel.lab.simulation.simulate import simulate;"
    "r = simulate(plan.make(scenario.load('{}')));"
    "print(r['digest'], r['events'])"
)


@pytest.mark.parametrize("name", ["deploy", "faults"])
def test_the_same_seed_gives_the_same_records_whatever_the_process_hashes(name: str) -> None:
    said = set()
    for hashes in ("1", "77"):
        environ = {**os.environ, "PYTHONHASHSEED": hashes}
        done = subprocess.run(
            [sys.executable, "-c", SAY.format(name)], env=environ, capture_output=True, text=True, check=True
        )
        said.add(done.stdout)
    assert len(said) == 1


def test_records_on_disk_say_what_the_live_ledger_says(tmp_path: Path) -> None:
    told = scenario.load("crash")
    one = plan.make(told)
    summary = simulate(one, tmp_path)
    assert summary == {**simulate(one), "wall_s": summary["wall_s"]}
    assert invariant_checker.check_records(told, tmp_path).as_record() == summary["rules"]
    assert sum(path.read_bytes().count(b"\n") for path in tmp_path.iterdir()) == summary["records"]
    assert simulate(plan.make(told, 2))["digest"] != summary["digest"]


def test_a_simulated_run_has_its_report(tmp_path: Path) -> None:
    arguments = ["simulate", "quiet", "--seconds", "3", "--out", str(tmp_path / "out")]
    got = CliRunner().invoke(main, arguments)
    assert got.exit_code == 0, got.output
    page = (tmp_path / "out" / "report.html").read_text()
    assert msgspec.json.decode(got.output.strip().rpartition("\n")[2])["digest"] in page


# ------------------------------------------------------------------- troubles

TROUBLES = st.fixed_dictionaries(
    {
        "kind": st.sampled_from([kind for kind in FaultKind if kind not in ("faults", *ZONE_FAULT_KINDS)]),
        "at_s": st.floats(0.5, 5.0),
        "for_s": st.floats(0.2, 4.0),
        "size": st.sampled_from([0.4, 0.9]),
        "part": st.sampled_from([0.3, 0.6, 1.0]),
        "tier": st.sampled_from(["entrada", "archivo"]),
    }
)
AREAS = st.fixed_dictionaries(
    {
        "kind": st.sampled_from(ZONE_FAULT_KINDS),
        "at_s": st.floats(0.5, 5.0),
        "for_s": st.floats(0.2, 4.0),
        "zone": st.just("sala"),
    }
)
FAULTS = st.fixed_dictionaries(
    {
        "kind": st.just("faults"),
        "how": st.sampled_from(["refuse", "reset", "silence", "delay", "half", "spoilt"]),
        "at_s": st.floats(0.5, 5.0),
        "for_s": st.floats(0.2, 4.0),
        "part": st.sampled_from([0.2, 0.6]),
        "tier": st.sampled_from(["entrada", "archivo"]),
    }
)


def made(troubles: list[dict[str, Any]], rate: float, nodes: int = 3) -> Scenario:
    """Two tiers, unsafe and keyed work, short give-up times."""
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
        "trouble": troubles,
    }
    return msgspec.convert(rows, Scenario)


@SHORT
@given(
    st.lists(TROUBLES | FAULTS | AREAS, max_size=4),
    st.sampled_from([20.0, 120.0, 400.0]),
    st.integers(0, 1 << 30),
)
@example([{"kind": "loss", "at_s": 1.0, "for_s": 1.02, "zone": "sala"}], 400.0, 1)
def test_the_rules_hold_under_any_troubles(troubles: list[dict[str, Any]], rate: float, seed: int) -> None:
    run = Simulation(plan.make(made(troubles, rate), seed))
    summary = run.run()
    assert summary["ok"], summary["rules"]
    asked = sum(one["asked"] for one in summary["classes"].values())
    assert asked == len(run.plan.arrivals)
    # Nothing is left behind once everybody has an answer and what ran on has ended.
    run.queue.run(run.queue.now + 30_000.0)
    for node in [*run.fleet.nodes.values(), *run.fleet.local_nodes.values()]:
        assert node.node.active_requests == 0
        assert not node.requests
        assert not node.attempts
        assert len(node.pools.open) <= node.pools.max_connections
    for host in run.fleet.hosts.values():
        assert host.model.connection_count == len(host.connections)


def test_a_node_that_died_while_an_equipo_was_said_to_leave_may_send_there_again() -> None:
    """It begins with a list that says the equipo is back; what its name had been told before is over."""
    storm = {"kind": "discovery-storm", "at_s": 3.0, "for_s": 3.0, "size": 0.4, "part": 1.0}
    crash = {"kind": "node-crash", "at_s": 4.0, "for_s": 1.0, "node": 0}
    assert simulate(plan.make(made([storm, crash], 60.0)))["ok"]


def test_a_node_that_sends_unsafe_work_twice_is_found_out(monkeypatch: pytest.MonkeyPatch) -> None:
    plain = SimulatedNode.apply

    def apply(self: SimulatedNode, effects: list[NodeEffect]) -> None:
        again = [
            StartAttempt(one.id, one.attempt + 50, one.server, one.timeout_ms)
            for one in effects
            if type(one) is StartAttempt
        ]
        plain(self, [*effects, *again])

    monkeypatch.setattr(SimulatedNode, "apply", apply)
    summary = simulate(plan.make(made([], 20.0)))
    assert not summary["ok"]
    assert summary["rules"]["twice"]


def test_a_node_that_is_deaf_to_a_drain_is_found_out(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(
        SimulatedNode,
        "receive_endpoint_list",
        lambda self, form, servers: None if self.pools.by_server else plain(self, form, servers),
    )
    deploy = {"kind": "deploy", "at_s": 1.0, "for_s": 2.0, "size": 0.5, "part": 0.5}
    assert simulate(plan.make(made([deploy], 60.0)))["rules"]["late"]


plain = SimulatedNode.receive_endpoint_list


def replaced() -> Scenario:
    """All but one of a tier replaced within a second, by equipos that start cold, before thirty nodes."""
    deploy = {"kind": "deploy", "at_s": 2.0, "for_s": 1.0, "size": 0.4, "part": 0.85, "drain_s": 1.5}
    rows = msgspec.to_builtins(made([deploy], 40.0, nodes=30))
    tier = rows["tier"][0] | {"work": 1.0}
    tier["kind"] = [tier["kind"][0] | {"count": 10, "cold_from": 0.12, "cold_s": 12.0}]
    rows["seconds"], rows["tier"] = 16.0, [tier]
    for row in rows["class"]:
        row |= {"work_ms": 300.0, "aim_ms": 2500.0, "give_up_ms": 6000.0}
    return msgspec.convert(rows, Scenario)


def test_nodes_that_share_nothing_push_no_cold_equipo_over_and_pacing_is_why(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    plans = [plan.make(replaced(), seed) for seed in (1, 2, 3)]
    assert [simulate(one)["fell"] for one in plans] == [0, 0, 0]
    monkeypatch.setattr(SlowStart, "has_credit", lambda *_: True)
    unpaced = [simulate(one) for one in plans]
    assert sum(one["fell"] for one in unpaced) > 0
    assert any(one["rules"]["tipped"] for one in unpaced)


@pytest.mark.parametrize("name", ["fleet-join", "fleet-zone", "fleet-disco", "fleet-below", "fleet-crowd"])
def test_forty_nodes_keep_the_rules_through_a_loss_of_most(name: str) -> None:
    """Short forms: the trouble and what comes right after it."""
    summary = simulate(plan.make(scenario.load(name, {"seconds": 13})))
    assert summary["ok"]
    assert summary["fell"] == 0


def test_by_one_equipo_that_turns_all_away_many_nodes_do_not_shed(monkeypatch: pytest.MonkeyPatch) -> None:
    """Equipos drain for seconds before the list tells: below capacity, refusals are few. Seen without the cause's
    remedy in the same run, so that the figure can fail."""
    one = plan.make(scenario.load("fleet-disco", {"seconds": 13}))
    now = simulate(one)["service"]
    monkeypatch.setattr(ranking, "BACKOFF_FACTOR", 1.0)
    monkeypatch.setattr(pool_load, "BACKOFF_MS", 0.0)
    assert now > simulate(one)["service"] + 0.01


def test_idle_connections_of_many_nodes_shut_none_out_for_long(monkeypatch: pytest.MonkeyPatch) -> None:
    """Where equipos hold fewer connections than all nodes keep for later. Seen without the remedy as well."""
    one = plan.make(scenario.load("fleet-crowd", {"seconds": 13}))
    now = simulate(one)["service"]
    monkeypatch.setattr(IdleTimeout, "new_connection_refused", lambda *_: None)
    assert now > simulate(one)["service"] + 0.2


def test_an_equipo_back_from_a_lost_zone_is_cold_and_told_as_new() -> None:
    told: list[Server] = []
    plain = SimulatedRegistry.update

    def spy(self: SimulatedRegistry, server: Server, change: DiscoveryChange) -> None:
        told.append(server)
        plain(self, server, change)

    gone = {"kind": "vanish", "at_s": 2.0, "for_s": 1.5, "part": 0.2, "cold": True}
    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(SimulatedRegistry, "update", spy)
        summary = simulate(plan.make(made([gone], 40.0)))
    back = [server for server in told if server.launched_ms]
    assert back
    assert all(server.launched_ms and server.launched_ms > 3500.0 for server in back)
    assert summary["ok"]


def test_clients_hear_of_a_wait_to_the_millisecond_as_the_program_tells_it(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    heard: list[float] = []
    again = SimulatedOperation._schedule_retry

    def spy(self: SimulatedOperation, verdict: AttemptOutcome) -> bool:
        if verdict.retry_after_s is not None:
            heard.append(verdict.retry_after_s)
        return again(self, verdict)

    monkeypatch.setattr(SimulatedOperation, "_schedule_retry", spy)
    simulate(plan.make(made([], 900.0)))
    assert any(wait % 1.0 for wait in heard)
    assert all(wait == round(wait, 3) and 0.0 < wait <= 2.0 for wait in heard)


def test_killed_processes_in_an_upgrade_are_refused_in_one_line() -> None:
    with pytest.raises(InvalidFileError, match=r"kills"):
        check_simulated(scenario.load("upgrade-kills"))
