"""Many nodes before one pool: together they neither choke what is warm nor tip what is cold."""

from __future__ import annotations

import pytest

from rosewheel.policy import pool_load
from rosewheel.policy.events import AttemptResult, EndpointListForm, EndpointListUpdate, Server
from tests.support.balancers import BalancerHarness, forwarded, servers

FACTOR = 4.0  # of the rule on cold servers


def loaded_harness(siblings: int, tier: int = 0, seed: int = 7, calls: int = 3) -> BalancerHarness:
    """A node that has seen an ordinary load on ten warm servers for a while."""
    harness = BalancerHarness(count=10, balancer_count=siblings, tier=tier, seed=seed)
    for _ in range(60):
        for _ in range(calls):
            harness.serve_request(latency=harness.balancer.period_ms / calls)
        harness.end_period(0.0)
    return harness


def replace_servers(harness: BalancerHarness, count: int) -> None:
    fresh = tuple(Server(f"new{at}", "a", launched_ms=harness.now) for at in range(count))
    harness.handle(EndpointListUpdate(EndpointListForm.SNAPSHOT, servers(10)[count:] + fresh))
    harness.end_period()


@pytest.mark.parametrize(("siblings", "tier", "falls"), [(10, 0, True), (4, 0, False), (10, 1, False)])
def test_threshold_falls_at_once_where_most_servers_are_replaced(siblings: int, tier: int, falls: bool):
    """Guard: latency told of it seconds later, when the servers that were still warm had begun to choke."""
    harness = loaded_harness(siblings, tier, calls=6)
    before = harness.parts.admission.threshold(1.0, 10)
    assert harness.parts.table.cursor == 0
    replace_servers(harness, 6)
    after = harness.parts.admission.threshold(1.0, 10)
    assert after < 0.8 * before if falls else after > 0.9 * before


def test_completions_of_a_stronger_pool_do_not_raise_the_peak_rate():
    """Guard: answers that come just after a loss made each server that was left look twice as able."""
    harness = loaded_harness(10)
    before = harness.parts.throughput.peak_completion_rate
    names = [harness.receive_request()[0:2] for _ in range(6)]
    replace_servers(harness, 6)
    for name, acts in names:
        for act in forwarded(acts):
            harness.finish_attempt(name, act.server, AttemptResult.OK, 100.0)
    harness.end_period()
    assert harness.parts.throughput.peak_completion_rate < 1.5 * before


def test_failing_server_lowers_the_pool_capacity():
    harness = loaded_harness(10)
    strength = harness.parts.throughput.pool_capacity
    for _ in range(40):
        name, acts = harness.receive_request("post")
        for act in forwarded(acts):
            result = AttemptResult.ERROR if act.server == "s3" else AttemptResult.OK
            harness.finish_attempt(name, act.server, result, 100.0)
    harness.end_period()
    assert harness.parts.throughput.pool_capacity < strength - 0.15


def test_completion_rate_is_known_after_start_up_in_a_large_fleet():
    """Guard: smoothed for long, and from nothing, it was too low by half when the table began to rest on it."""
    harness = BalancerHarness(count=10, balancer_count=10)
    for _ in range(20):  # the 3 s after which the table has no other floor
        for _ in range(3):
            harness.serve_request(latency=harness.balancer.period_ms / 3)
        harness.end_period(0.0)
    assert harness.parts.throughput.peak_completion_rate * 10 > 0.9 * 3 / harness.balancer.period_ms


def test_low_priority_is_rejected_first_in_a_large_fleet():
    """Guard: rows less than a call apart shed both classes alike."""
    harness = loaded_harness(10, calls=6)
    replace_servers(harness, 6)
    high, low = (harness.parts.admission.threshold(worth, 10) for worth in (1.0, 3.0 / 8.0))
    assert high - low > 1.5


def requests_to_warming_server(siblings: int, seed: int) -> int:
    """Calls that one node sends to a fresh server in 2 s, while all others tell of a queue."""
    harness, count = loaded_harness(siblings, seed=seed), 0
    harness.handle(
        EndpointListUpdate(EndpointListForm.DELTA, (Server("cold", "a", launched_ms=harness.now),))
    )
    for _ in range(int(2000.0 / harness.balancer.period_ms)):
        for _ in range(3):
            harness.now += harness.balancer.period_ms / 3
            name, acts = harness.receive_request()
            server = forwarded(acts)[0].server
            queue = 0.0 if server == "cold" else 9.0
            harness.finish_attempt(
                name, server, AttemptResult.OK, harness.balancer.period_ms / 3, report={"queue": queue}
            )
            count += server == "cold"
        harness.end_period(0.0)
    return count


def test_warming_server_gets_more_in_a_large_fleet():
    """Guard: paced by the stated share of what is asked, cold servers idled and the few warm ones choked."""
    assert requests_to_warming_server(10, 7) >= 1.5 * requests_to_warming_server(4, 7) > 0


@pytest.mark.parametrize("siblings", [10, 30])
def test_warming_server_gets_more_than_its_stated_share_in_a_large_fleet(siblings: int):
    """The same, by what the settings state."""
    cfg = BalancerHarness().balancer.parts.shared.settings
    share = (
        cfg.warm_up_initial_share + (1.0 - cfg.warm_up_initial_share) * 1000.0 / cfg.warm_up_ms
    )  # as stated, over the 2 s on average
    least = 2000.0 * share * 3.0 / BalancerHarness().balancer.period_ms / 10.0
    assert sum(requests_to_warming_server(siblings, seed) for seed in range(20)) >= 20 * 1.2 * least


@pytest.mark.parametrize("seed", range(3))
def test_large_fleet_does_not_overload_a_warming_server(seed: int):
    """Six of ten are replaced at one moment, before ten nodes: in every window what they send a new one together
    stays under the rule."""
    harnesses = [loaded_harness(10, seed=seed * 100 + at) for at in range(10)]
    step, born = harnesses[0].balancer.period_ms / 3, max(harness.now for harness in harnesses)
    for harness in harnesses:
        harness.now = born
        replace_servers(harness, 6)
    calls: dict[str, list[float]] = {}
    out: list[tuple[BalancerHarness, str, str]] = []
    for turn in range(1, 90):
        for at, harness in enumerate(harnesses):
            harness.now = born + 3 * step + turn * step + at
            for row in [row for row in out if row[0] is harness]:
                out.remove(row)
                harness.finish_attempt(row[1], row[2], AttemptResult.OK, step)
            if turn % 3 == 0:
                harness.end_period(0.0)
            name, acts = harness.receive_request()
            for act in forwarded(acts):
                calls.setdefault(act.server, []).append(harness.now - born)
                out.append((harness, name, act.server))
    rate, window = 1.0 / step, 1500.0  # calls per ms to each of the ten, when all are warm
    assert {f"new{at}" for at in range(6)} <= calls.keys()
    for server, times in calls.items():
        for start in times if server.startswith("new") else ():
            able = rate * (0.2 + 0.8 * start / 10000.0)
            assert sum(start <= time < start + window for time in times) <= FACTOR * able * window


@pytest.mark.parametrize("result", [AttemptResult.OVERLOADED, AttemptResult.CONNECT_FAILED])
def test_rejecting_server_neither_attracts_all_requests_nor_causes_shedding(result: AttemptResult):
    """Guard: one that drains, of which the list has not told, answers at once and has nothing in flight: it was
    every node's best, and by what it turned away all of them came to refuse."""
    harness = loaded_harness(10)
    tries = 0
    for at in range(180):
        harness.now += harness.balancer.period_ms / 3
        name, acts = harness.receive_request()
        attempt = 0
        while acts := forwarded(acts):
            gone = acts[0].server == "s3"
            tries += gone
            given = result if gone else AttemptResult.OK
            acts = harness.finish_attempt(
                name, acts[0].server, given, 1.0 if gone else 100.0, attempt, done=not gone
            )
            attempt += 1
        if at % 3 == 2:
            harness.end_period(0.0)
        assert harness.parts.table.cursor <= 1
    assert 0 < tries < 18  # a tenth of them would be its even part


def test_rejection_is_no_error_of_its_server():
    """Guards a server at its limit of connections: it turns away and serves what it has."""
    harness = loaded_harness(10)
    stats = harness.servers["s3"]
    for _ in range(30):
        name, acts = harness.receive_request("post")
        server = forwarded(acts)[0].server
        harness.finish_attempt(
            name,
            server,
            AttemptResult.OVERLOADED if server == "s3" else AttemptResult.OK,
            1.0,
            done=server != "s3",
        )
    assert stats.consecutive_refusals == 1
    assert stats.error_rate == 0.0


def test_server_is_used_again_after_its_backoff():
    harness = loaded_harness(10, calls=6)
    stats = harness.servers["s3"]
    stats.consecutive_refusals, stats.backoff_until_ms = 5, harness.now + 3000.0
    held = [forwarded(harness.receive_request()[1])[0].server for _ in range(9)]
    assert "s3" not in held
    harness.now += 3000.0
    name, acts = harness.receive_request()
    assert forwarded(acts)[0].server == "s3"  # the only one with nothing in flight
    harness.finish_attempt(name, "s3", AttemptResult.OK)
    assert stats.consecutive_refusals == 0


def test_pool_of_warming_servers_is_used_in_a_large_fleet():
    """Guard: paced by what is completed alone, a node that starts before cold servers never sent a call."""
    harness = BalancerHarness(count=0, balancer_count=10)
    harness.handle(EndpointListUpdate(EndpointListForm.SNAPSHOT, servers(10, launched_ms=harness.now)))
    served = 0
    for at in range(200):
        harness.now += 50.0
        name, acts = harness.receive_request()
        for act in forwarded(acts):
            served += 1
            harness.finish_attempt(name, act.server, AttemptResult.OK, 10.0)
        if at % 3 == 2:
            harness.end_period(0.0)
    assert served > 20


@pytest.mark.parametrize(("siblings", "goes_on"), [(10, False), (4, True)])
def test_lasting_errors_become_the_baseline_in_a_large_fleet(siblings: int, goes_on: bool):
    """Guard: what is lost below, or a few servers that fail, had all nodes refuse for long at a quiet latency."""
    harness, cursors = loaded_harness(siblings, calls=6), []
    for _ in range(30):
        for at in range(6):
            name, acts = harness.receive_request("post")
            for act in forwarded(acts):
                result = AttemptResult.ERROR if at < 2 else AttemptResult.OK
                harness.finish_attempt(name, act.server, result, harness.balancer.period_ms / 6)
        harness.end_period(0.0)
        cursors.append(harness.parts.table.cursor)
    assert max(cursors) >= 3, "errors may be a tier below that refuses: at first they count"
    assert (cursors[-1] > 6) is goes_on


def test_restored_rate_outlasts_the_first_period():
    """Guard: one period in which little was completed stood for the rate of an hour."""
    old = loaded_harness(10, calls=6)
    new = BalancerHarness(count=10, balancer_count=10)
    new.now = old.now
    new.balancer.restore_learned_state(new.now, old.balancer.capture_learned_state(old.now), 50.0)
    before = new.balancer.parts.throughput.completion_rate
    new.serve_request(latency=100.0)
    new.end_period()
    assert before * 0.7 < new.balancer.parts.throughput.completion_rate <= before


@pytest.mark.parametrize(("siblings", "locked"), [(10, False), (4, True)])
def test_latency_target_grows_with_shedding_in_a_large_fleet(siblings: int, locked: bool):
    """Guard: of nodes that see one latency, whoever had the lowest baseline shed for all of them, and for good."""
    harness = loaded_harness(siblings, calls=6)
    base = harness.parts.pool_load.baseline_ratio
    assert base is not None
    target = base + pool_load.LATENCY_SLACK * (1.0 - base)
    aim = harness.parts.pool_load.mean_objective_ms
    for _ in range(60):
        for _ in range(6):
            name, acts = harness.receive_request("post")
            for act in forwarded(acts):
                harness.finish_attempt(name, act.server, AttemptResult.OK, 1.5 * target * aim)
        harness.end_period()
    assert harness.parts.table.cursor > pool_load.FLAT_SLOTS
    assert (harness.parts.table.cursor == len(harness.parts.table.entries) - 1) is locked
