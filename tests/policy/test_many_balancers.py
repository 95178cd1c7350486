"""Many nodes before one pool: together they neither choke what is warm nor tip what is cold."""

from __future__ import annotations

import pytest

from rosewheel.policy import pool_load
from rosewheel.policy.events import AttemptResult, EndpointListForm, EndpointListUpdate, Server
from tests.support.balancers import Bed, sent, servers

FACTOR = 4.0  # of the rule on cold servers


def learned(siblings: int, tier: int = 0, seed: int = 7, calls: int = 3) -> Bed:
    """A node that has seen an ordinary load on ten warm servers for a while."""
    bed = Bed(count=10, balancer_count=siblings, tier=tier, seed=seed)
    for _ in range(60):
        for _ in range(calls):
            bed.serve(latency=bed.balancer.period_ms / calls)
        bed.period(0.0)
    return bed


def replace(bed: Bed, count: int) -> None:
    fresh = tuple(Server(f"new{at}", "a", launched_ms=bed.now) for at in range(count))
    bed.give(EndpointListUpdate(EndpointListForm.SNAPSHOT, servers(10)[count:] + fresh))
    bed.period()


@pytest.mark.parametrize(("siblings", "tier", "falls"), [(10, 0, True), (4, 0, False), (10, 1, False)])
def test_what_is_let_in_falls_at_once_with_a_pool_that_is_replaced(siblings: int, tier: int, falls: bool):
    """Guard: latency told of it seconds later, when the servers that were still warm had begun to choke."""
    bed = learned(siblings, tier, calls=6)
    before = bed.parts.admission.threshold(1.0, 10)
    assert bed.parts.table.cursor == 0
    replace(bed, 6)
    after = bed.parts.admission.threshold(1.0, 10)
    assert after < 0.8 * before if falls else after > 0.9 * before


def test_what_was_sent_to_a_stronger_pool_does_not_count_as_done_by_the_weaker_one():
    """Guard: answers that come just after a loss made each server that was left look twice as able."""
    bed = learned(10)
    before = bed.parts.throughput.peak_completion_rate
    names = [bed.ask()[0:2] for _ in range(6)]
    replace(bed, 6)
    for name, acts in names:
        for act in sent(acts):
            bed.end(name, act.server, AttemptResult.OK, 100.0)
    bed.period()
    assert bed.parts.throughput.peak_completion_rate < 1.5 * before


def test_a_server_that_fails_is_no_strength():
    bed = learned(10)
    strength = bed.parts.throughput.pool_capacity
    for _ in range(40):
        name, acts = bed.ask("post")
        for act in sent(acts):
            result = AttemptResult.ERROR if act.server == "s3" else AttemptResult.OK
            bed.end(name, act.server, result, 100.0)
    bed.period()
    assert bed.parts.throughput.pool_capacity < strength - 0.15


def test_a_node_of_many_knows_its_rate_when_its_first_seconds_are_over():
    """Guard: smoothed for long, and from nothing, it was too low by half when the table began to rest on it."""
    bed = Bed(count=10, balancer_count=10)
    for _ in range(20):  # the 3 s after which the table has no other floor
        for _ in range(3):
            bed.serve(latency=bed.balancer.period_ms / 3)
        bed.period(0.0)
    assert bed.parts.throughput.peak_completion_rate * 10 > 0.9 * 3 / bed.balancer.period_ms


def test_of_many_nodes_low_worth_is_refused_before_high():
    """Guard: rows less than a call apart shed both classes alike."""
    bed = learned(10, calls=6)
    replace(bed, 6)
    high, low = (bed.parts.admission.threshold(worth, 10) for worth in (1.0, 3.0 / 8.0))
    assert high - low > 1.5


def sent_to_cold(siblings: int, seed: int) -> int:
    """Calls that one node sends to a fresh server in 2 s, while all others tell of a queue."""
    bed, count = learned(siblings, seed=seed), 0
    bed.give(EndpointListUpdate(EndpointListForm.DELTA, (Server("cold", "a", launched_ms=bed.now),)))
    for _ in range(int(2000.0 / bed.balancer.period_ms)):
        for _ in range(3):
            bed.now += bed.balancer.period_ms / 3
            name, acts = bed.ask()
            server = sent(acts)[0].server
            queue = 0.0 if server == "cold" else 9.0
            bed.end(name, server, AttemptResult.OK, bed.balancer.period_ms / 3, report={"queue": queue})
            count += server == "cold"
        bed.period(0.0)
    return count


def test_of_many_nodes_a_cold_server_gets_more_than_of_few():
    """Guard: paced by the stated share of what is asked, cold servers idled and the few warm ones choked."""
    assert sent_to_cold(10, 7) >= 1.5 * sent_to_cold(4, 7) > 0


@pytest.mark.parametrize("siblings", [10, 30])
def test_of_many_nodes_a_cold_server_gets_more_than_the_least_that_it_can_do(siblings: int):
    """The same, by what the settings state."""
    cfg = Bed().balancer.parts.shared.settings
    share = (
        cfg.warm_up_initial_share + (1.0 - cfg.warm_up_initial_share) * 1000.0 / cfg.warm_up_ms
    )  # as stated, over the 2 s on average
    least = 2000.0 * share * 3.0 / Bed().balancer.period_ms / 10.0
    assert sum(sent_to_cold(siblings, seed) for seed in range(20)) >= 20 * 1.2 * least


@pytest.mark.parametrize("seed", range(3))
def test_many_nodes_together_do_not_tip_a_cold_server(seed: int):
    """Six of ten are replaced at one moment, before ten nodes: in every window what they send a new one together
    stays under the rule."""
    beds = [learned(10, seed=seed * 100 + at) for at in range(10)]
    step, born = beds[0].balancer.period_ms / 3, max(bed.now for bed in beds)
    for bed in beds:
        bed.now = born
        replace(bed, 6)
    calls: dict[str, list[float]] = {}
    out: list[tuple[Bed, str, str]] = []
    for turn in range(1, 90):
        for at, bed in enumerate(beds):
            bed.now = born + 3 * step + turn * step + at
            for row in [row for row in out if row[0] is bed]:
                out.remove(row)
                bed.end(row[1], row[2], AttemptResult.OK, step)
            if turn % 3 == 0:
                bed.period(0.0)
            name, acts = bed.ask()
            for act in sent(acts):
                calls.setdefault(act.server, []).append(bed.now - born)
                out.append((bed, name, act.server))
    rate, window = 1.0 / step, 1500.0  # calls per ms to each of the ten, when all are warm
    assert {f"new{at}" for at in range(6)} <= calls.keys()
    for server, times in calls.items():
        for start in times if server.startswith("new") else ():
            able = rate * (0.2 + 0.8 * start / 10000.0)
            assert sum(start <= time < start + window for time in times) <= FACTOR * able * window


@pytest.mark.parametrize("result", [AttemptResult.OVERLOADED, AttemptResult.CONNECT_FAILED])
def test_one_server_that_lets_nothing_in_neither_draws_all_nor_has_them_shed(result: AttemptResult):
    """Guard: one that drains, of which the list has not told, answers at once and has nothing in flight: it was
    every node's best, and by what it turned away all of them came to refuse."""
    bed = learned(10)
    tries = 0
    for at in range(180):
        bed.now += bed.balancer.period_ms / 3
        name, acts = bed.ask()
        attempt = 0
        while acts := sent(acts):
            gone = acts[0].server == "s3"
            tries += gone
            given = result if gone else AttemptResult.OK
            acts = bed.end(name, acts[0].server, given, 1.0 if gone else 100.0, attempt, done=not gone)
            attempt += 1
        if at % 3 == 2:
            bed.period(0.0)
        assert bed.parts.table.cursor <= 1
    assert 0 < tries < 18  # a tenth of them would be its even part


def test_a_refusal_is_not_read_as_a_failure_of_its_server():
    """Guards a server at its limit of connections: it turns away and serves what it has."""
    bed = learned(10)
    peer = bed.servers["s3"]
    for _ in range(30):
        name, acts = bed.ask("post")
        server = sent(acts)[0].server
        bed.end(
            name,
            server,
            AttemptResult.OVERLOADED if server == "s3" else AttemptResult.OK,
            1.0,
            done=server != "s3",
        )
    assert peer.refusals_in_row == 1
    assert peer.error_rate == 0.0


def test_a_server_that_was_full_is_passed_over_for_a_while_and_then_used_as_before():
    bed = learned(10, calls=6)
    peer = bed.servers["s3"]
    peer.refusals_in_row, peer.backoff_until_ms = 5, bed.now + 3000.0
    held = [sent(bed.ask()[1])[0].server for _ in range(9)]
    assert "s3" not in held
    bed.now += 3000.0
    name, acts = bed.ask()
    assert sent(acts)[0].server == "s3"  # the only one with nothing in flight
    bed.end(name, "s3", AttemptResult.OK)
    assert peer.refusals_in_row == 0


def test_a_node_of_many_takes_a_pool_into_use_that_is_all_cold():
    """Guard: paced by what is completed alone, a node that starts before cold servers never sent a call."""
    bed = Bed(count=0, balancer_count=10)
    bed.give(EndpointListUpdate(EndpointListForm.SNAPSHOT, servers(10, launched_ms=bed.now)))
    served = 0
    for at in range(200):
        bed.now += 50.0
        name, acts = bed.ask()
        for act in sent(acts):
            served += 1
            bed.end(name, act.server, AttemptResult.OK, 10.0)
        if at % 3 == 2:
            bed.period(0.0)
    assert served > 20


@pytest.mark.parametrize(("siblings", "goes_on"), [(10, False), (4, True)])
def test_errors_that_shedding_does_not_lessen_are_soon_no_load(siblings: int, goes_on: bool):
    """Guard: what is lost below, or a few servers that fail, had all nodes refuse for long at a quiet latency."""
    bed, cursors = learned(siblings, calls=6), []
    for _ in range(30):
        for at in range(6):
            name, acts = bed.ask("post")
            for act in sent(acts):
                result = AttemptResult.ERROR if at < 2 else AttemptResult.OK
                bed.end(name, act.server, result, bed.balancer.period_ms / 6)
        bed.period(0.0)
        cursors.append(bed.parts.table.cursor)
    assert max(cursors) >= 3, "errors may be a tier below that refuses: at first they count"
    assert (cursors[-1] > 6) is goes_on


def test_a_rate_taken_back_is_not_forgotten_with_the_first_period():
    """Guard: one period in which little was completed stood for the rate of an hour."""
    old = learned(10, calls=6)
    new = Bed(count=10, balancer_count=10)
    new.now = old.now
    new.balancer.restore_learned_state(new.now, old.balancer.capture_learned_state(old.now), 50.0)
    before = new.balancer.parts.throughput.completion_rate
    new.serve(latency=100.0)
    new.period()
    assert before * 0.7 < new.balancer.parts.throughput.completion_rate <= before


@pytest.mark.parametrize(("siblings", "locked"), [(10, False), (4, True)])
def test_a_node_of_many_does_not_shed_nearly_all_for_a_latency_that_others_bear(siblings: int, locked: bool):
    """Guard: of nodes that see one latency, whoever had the lowest baseline shed for all of them, and for good."""
    bed = learned(siblings, calls=6)
    base = bed.parts.pool_load.baseline_ratio
    assert base is not None
    target = base + pool_load.LATENCY_SLACK * (1.0 - base)
    aim = bed.parts.pool_load.mean_objective_ms
    for _ in range(60):
        for _ in range(6):
            name, acts = bed.ask("post")
            for act in sent(acts):
                bed.end(name, act.server, AttemptResult.OK, 1.5 * target * aim)
        bed.period()
    assert bed.parts.table.cursor > pool_load.FLAT_SLOTS
    assert (bed.parts.table.cursor == len(bed.parts.table.shape) - 1) is locked
