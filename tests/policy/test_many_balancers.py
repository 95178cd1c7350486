"""Many balancers before one pool: together they overload neither warm nor warming servers."""

from __future__ import annotations

import pytest

from rosewheel.policy import pool_load
from rosewheel.policy.events import AttemptResult, EndpointListForm, EndpointListUpdate, Server
from tests.support.balancers import BalancerHarness, forwarded, servers

OVERLOAD_FACTOR = 4.0  # multiple of its capacity that overloads a warming server


def loaded_harness(
    balancer_count: int, tier: int = 0, seed: int = 7, requests_per_period: int = 3
) -> BalancerHarness:
    """Return a balancer after some ordinary load on ten warm servers."""
    harness = BalancerHarness(count=10, balancer_count=balancer_count, tier=tier, seed=seed)
    for _ in range(60):
        for _ in range(requests_per_period):
            harness.serve_request(latency=harness.balancer.period_ms / requests_per_period)
        harness.end_period(0.0)
    return harness


def replace_servers(harness: BalancerHarness, count: int) -> None:
    new_servers = tuple(Server(f"new{at}", "a", launched_ms=harness.now) for at in range(count))
    harness.handle(EndpointListUpdate(EndpointListForm.SNAPSHOT, servers(10)[count:] + new_servers))
    harness.end_period()


@pytest.mark.parametrize(("balancer_count", "tier", "falls"), [(10, 0, True), (4, 0, False), (10, 1, False)])
def test_threshold_falls_at_once_where_most_servers_are_replaced(balancer_count: int, tier: int, falls: bool):
    """Latency shows the loss only seconds later, when the remaining warm servers are overloaded."""
    harness = loaded_harness(balancer_count, tier, requests_per_period=6)
    before = harness.parts.admission.threshold(1.0, 10)
    assert harness.parts.table.cursor == 0
    replace_servers(harness, 6)
    after = harness.parts.admission.threshold(1.0, 10)
    assert after < 0.8 * before if falls else after > 0.9 * before


def test_completions_of_a_stronger_pool_do_not_raise_the_peak_rate():
    """Responses to requests sent before a loss must not count as capacity of the remaining servers."""
    harness = loaded_harness(10)
    before = harness.parts.throughput.peak_completion_rate
    requests = [harness.receive_request()[0:2] for _ in range(6)]
    replace_servers(harness, 6)
    for name, actions in requests:
        for action in forwarded(actions):
            harness.finish_attempt(name, action.server, AttemptResult.OK, 100.0)
    harness.end_period()
    assert harness.parts.throughput.peak_completion_rate < 1.5 * before


def test_failing_server_lowers_the_pool_capacity():
    harness = loaded_harness(10)
    capacity = harness.parts.throughput.pool_capacity
    for _ in range(40):
        name, actions = harness.receive_request("post")
        for action in forwarded(actions):
            result = AttemptResult.ERROR if action.server == "s3" else AttemptResult.OK
            harness.finish_attempt(name, action.server, result, 100.0)
    harness.end_period()
    assert harness.parts.throughput.pool_capacity < capacity - 0.15


def test_completion_rate_is_known_after_start_up_in_a_large_fleet():
    """A rate that rises slowly from 0 would be too low when thresholds begin to depend on it."""
    harness = BalancerHarness(count=10, balancer_count=10)
    for _ in range(20):  # 3 s, after which thresholds have the lower minimum
        for _ in range(3):
            harness.serve_request(latency=harness.balancer.period_ms / 3)
        harness.end_period(0.0)
    assert harness.parts.throughput.peak_completion_rate * 10 > 0.9 * 3 / harness.balancer.period_ms


def test_low_priority_is_rejected_first_in_a_large_fleet():
    """Rows less than one request apart would shed both classes alike."""
    harness = loaded_harness(10, requests_per_period=6)
    replace_servers(harness, 6)
    high, low = (harness.parts.admission.threshold(priority, 10) for priority in (1.0, 3.0 / 8.0))
    assert high - low > 1.5


def requests_to_warming_server(balancer_count: int, seed: int) -> int:
    """Return how many requests a balancer sends a new server in 2 s while all others report a queue."""
    harness, count = loaded_harness(balancer_count, seed=seed), 0
    harness.handle(
        EndpointListUpdate(EndpointListForm.DELTA, (Server("cold", "a", launched_ms=harness.now),))
    )
    for _ in range(int(2000.0 / harness.balancer.period_ms)):
        for _ in range(3):
            harness.now += harness.balancer.period_ms / 3
            name, actions = harness.receive_request()
            server = forwarded(actions)[0].server
            queue = 0.0 if server == "cold" else 9.0
            harness.finish_attempt(
                name, server, AttemptResult.OK, harness.balancer.period_ms / 3, report={"queue": queue}
            )
            count += server == "cold"
        harness.end_period(0.0)
    return count


def test_warming_server_gets_more_in_a_large_fleet():
    """Paced by the configured share, warming servers would idle while the few warm ones are overloaded."""
    assert requests_to_warming_server(10, 7) >= 1.5 * requests_to_warming_server(4, 7) > 0


@pytest.mark.parametrize("balancer_count", [10, 30])
def test_warming_server_gets_more_than_its_configured_share_in_a_large_fleet(balancer_count: int):
    """As above, compared with the share in the settings."""
    settings = BalancerHarness().balancer.parts.shared.settings
    share = (
        settings.warm_up_initial_share + (1.0 - settings.warm_up_initial_share) * 1000.0 / settings.warm_up_ms
    )  # mean over the 2 s
    least = 2000.0 * share * 3.0 / BalancerHarness().balancer.period_ms / 10.0
    assert sum(requests_to_warming_server(balancer_count, seed) for seed in range(20)) >= 20 * 1.2 * least


@pytest.mark.parametrize("seed", range(3))
def test_large_fleet_does_not_overload_a_warming_server(seed: int):
    """Ten balancers see six of ten servers replaced at once. Together they must not overload a new server
    in any window."""
    harnesses = [loaded_harness(10, seed=seed * 100 + at) for at in range(10)]
    interval_ms, start_ms = harnesses[0].balancer.period_ms / 3, max(harness.now for harness in harnesses)
    for harness in harnesses:
        harness.now = start_ms
        replace_servers(harness, 6)
    send_times_ms: dict[str, list[float]] = {}
    in_flight: list[tuple[BalancerHarness, str, str]] = []
    for step in range(1, 90):
        for at, harness in enumerate(harnesses):
            harness.now = start_ms + 3 * interval_ms + step * interval_ms + at
            for attempt in [attempt for attempt in in_flight if attempt[0] is harness]:
                in_flight.remove(attempt)
                harness.finish_attempt(attempt[1], attempt[2], AttemptResult.OK, interval_ms)
            if step % 3 == 0:
                harness.end_period(0.0)
            name, actions = harness.receive_request()
            for action in forwarded(actions):
                send_times_ms.setdefault(action.server, []).append(harness.now - start_ms)
                in_flight.append((harness, name, action.server))
    rate, window = 1.0 / interval_ms, 1500.0  # requests per ms to each server when all are warm
    assert {f"new{at}" for at in range(6)} <= send_times_ms.keys()
    for server, times in send_times_ms.items():
        for start in times if server.startswith("new") else ():
            capacity = rate * (0.2 + 0.8 * start / 10000.0)
            assert (
                sum(start <= time < start + window for time in times) <= OVERLOAD_FACTOR * capacity * window
            )


@pytest.mark.parametrize("result", [AttemptResult.OVERLOADED, AttemptResult.CONNECT_FAILED])
def test_rejecting_server_neither_attracts_all_requests_nor_causes_shedding(result: AttemptResult):
    """A draining server that is not listed as draining yet rejects at once and has nothing in flight. It must
    neither rank best nor make all balancers shed."""
    harness = loaded_harness(10)
    attempts_at_s3 = 0
    for at in range(180):
        harness.now += harness.balancer.period_ms / 3
        name, actions = harness.receive_request()
        attempt = 0
        while actions := forwarded(actions):
            rejected = actions[0].server == "s3"
            attempts_at_s3 += rejected
            outcome = result if rejected else AttemptResult.OK
            actions = harness.finish_attempt(
                name, actions[0].server, outcome, 1.0 if rejected else 100.0, attempt, done=not rejected
            )
            attempt += 1
        if at % 3 == 2:
            harness.end_period(0.0)
        assert harness.parts.table.cursor <= 1
    assert 0 < attempts_at_s3 < 18  # an even share would be a tenth


def test_rejection_is_no_error_of_its_server():
    """A server at its connection limit rejects new requests and still serves others."""
    harness = loaded_harness(10)
    server_stats = harness.servers["s3"]
    for _ in range(30):
        name, actions = harness.receive_request("post")
        server = forwarded(actions)[0].server
        harness.finish_attempt(
            name,
            server,
            AttemptResult.OVERLOADED if server == "s3" else AttemptResult.OK,
            1.0,
            done=server != "s3",
        )
    assert server_stats.consecutive_refusals == 1
    assert server_stats.error_rate == 0.0


def test_server_is_used_again_after_its_backoff():
    harness = loaded_harness(10, requests_per_period=6)
    server_stats = harness.servers["s3"]
    server_stats.consecutive_refusals, server_stats.backoff_until_ms = 5, harness.now + 3000.0
    chosen = [forwarded(harness.receive_request()[1])[0].server for _ in range(9)]
    assert "s3" not in chosen
    harness.now += 3000.0
    name, actions = harness.receive_request()
    assert forwarded(actions)[0].server == "s3"  # the only server with nothing in flight
    harness.finish_attempt(name, "s3", AttemptResult.OK)
    assert server_stats.consecutive_refusals == 0


def test_pool_of_warming_servers_is_used_in_a_large_fleet():
    """Paced by completions alone, a balancer that starts with warming servers would never send a request."""
    harness = BalancerHarness(count=0, balancer_count=10)
    harness.handle(EndpointListUpdate(EndpointListForm.SNAPSHOT, servers(10, launched_ms=harness.now)))
    served = 0
    for at in range(200):
        harness.now += 50.0
        name, actions = harness.receive_request()
        for action in forwarded(actions):
            served += 1
            harness.finish_attempt(name, action.server, AttemptResult.OK, 10.0)
        if at % 3 == 2:
            harness.end_period(0.0)
    assert served > 20


@pytest.mark.parametrize(("balancer_count", "keeps_rising"), [(10, False), (4, True)])
def test_lasting_errors_become_the_baseline_in_a_large_fleet(balancer_count: int, keeps_rising: bool):
    """Errors of a lower tier or of a few servers must not keep all balancers rejecting."""
    harness, cursors = loaded_harness(balancer_count, requests_per_period=6), []
    for _ in range(30):
        for at in range(6):
            name, actions = harness.receive_request("post")
            for action in forwarded(actions):
                result = AttemptResult.ERROR if at < 2 else AttemptResult.OK
                harness.finish_attempt(name, action.server, result, harness.balancer.period_ms / 6)
        harness.end_period(0.0)
        cursors.append(harness.parts.table.cursor)
    assert max(cursors) >= 3, "errors may be rejections by a lower tier, so they count at first"
    assert (cursors[-1] > 6) is keeps_rising


def test_restored_rate_outlasts_the_first_period():
    """A single period with few completions must not replace a restored rate."""
    old = loaded_harness(10, requests_per_period=6)
    new = BalancerHarness(count=10, balancer_count=10)
    new.now = old.now
    new.balancer.restore_learned_state(new.now, old.balancer.capture_learned_state(old.now), 50.0)
    before = new.balancer.parts.throughput.completion_rate
    new.serve_request(latency=100.0)
    new.end_period()
    assert before * 0.7 < new.balancer.parts.throughput.completion_rate <= before


@pytest.mark.parametrize(("balancer_count", "at_end"), [(10, False), (4, True)])
def test_latency_target_grows_with_shedding_in_a_large_fleet(balancer_count: int, at_end: bool):
    """Of balancers that see one latency, the one with the lowest baseline must not shed for all others."""
    harness = loaded_harness(balancer_count, requests_per_period=6)
    baseline = harness.parts.pool_load.baseline_ratio
    assert baseline is not None
    target = baseline + pool_load.LATENCY_SLACK * (1.0 - baseline)
    objective_ms = harness.parts.pool_load.mean_objective_ms
    for _ in range(60):
        for _ in range(6):
            name, actions = harness.receive_request("post")
            for action in forwarded(actions):
                harness.finish_attempt(name, action.server, AttemptResult.OK, 1.5 * target * objective_ms)
        harness.end_period()
    assert harness.parts.table.cursor > pool_load.FLAT_SLOTS
    assert (harness.parts.table.cursor == len(harness.parts.table.entries) - 1) is at_end
