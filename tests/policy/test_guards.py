"""Failures that single rules of the decision module prevent, seen from outside the module."""

from __future__ import annotations

import copy

import pytest

from rosewheel.policy.actions import CancelAttempt, FailRequest, RejectRequest, StartTimer, WatchEndpoints
from rosewheel.policy.events import (
    AttemptResult,
    ClientDisconnected,
    EndpointListForm,
    EndpointListUpdate,
    ResponseStarted,
    Server,
    ServerState,
    TimerFired,
)
from rosewheel.policy.settings import DedupScope, Idempotency, ServiceClass
from tests.support.balancers import BalancerHarness, action_types, forwarded, servers

NOT_EXECUTED = [AttemptResult.OVERLOADED, AttemptResult.CONNECT_FAILED, AttemptResult.NOT_SENT]
POSSIBLY_EXECUTED = [AttemptResult.ERROR, AttemptResult.TIMEOUT, AttemptResult.RESET, AttemptResult.CANCELLED]


# ------------------------------------------------------- no request is executed twice


@pytest.mark.parametrize("result", NOT_EXECUTED)
@pytest.mark.parametrize("service", ["read", "post", "points"])
def test_request_that_was_not_executed_is_retried_on_other_servers_then_rejected(result, service):
    harness = BalancerHarness()
    name, actions = harness.receive_request(service)
    used = []
    for attempt in range(3):
        assert len(forwarded(actions)) == 1
        used.append(forwarded(actions)[0].server)
        actions = harness.finish_attempt(name, used[-1], result, 5.0, attempt)
    assert len(set(used)) == 3
    assert action_types(actions) == [RejectRequest]


@pytest.mark.parametrize("result", POSSIBLY_EXECUTED)
def test_non_idempotent_request_fails_where_it_may_have_been_executed(result):
    harness = BalancerHarness()
    name, actions = harness.receive_request("post")
    assert action_types(harness.finish_attempt(name, forwarded(actions)[0].server, result)) == [FailRequest]


@pytest.mark.parametrize("result", POSSIBLY_EXECUTED)
def test_idempotent_request_is_retried_up_to_max_attempts(result):
    harness = BalancerHarness(count=8, max_attempts=3)
    name, actions = harness.receive_request("read")
    used = []
    for attempt in range(3):
        used.append(forwarded(actions)[0].server)
        actions = harness.finish_attempt(name, used[-1], result, 5.0, attempt)
    assert len(set(used)) == 3
    assert action_types(actions) == [RejectRequest]


@pytest.mark.parametrize("scope", list(DedupScope))
@pytest.mark.parametrize("result", POSSIBLY_EXECUTED)
def test_retry_with_key_stays_in_the_dedup_group(result, scope):
    service_class = ServiceClass(
        "k",
        latency_objective_ms=2000,
        deadline_ms=5000,
        idempotency=Idempotency.IDEMPOTENT_WITH_KEY,
        dedup_scope=scope,
        dedup_window_ms=900,
    )
    endpoints = tuple(Server(f"s{at}", zone="ab"[at % 2], cell=at % 4) for at in range(8))
    endpoint_by_address = {endpoint.address: endpoint for endpoint in endpoints}
    for _ in range(8):
        harness = BalancerHarness(count=0, classes=(service_class,))
        harness.handle(EndpointListUpdate(EndpointListForm.SNAPSHOT, endpoints))
        name, actions = harness.receive_request("k")
        first = endpoint_by_address[forwarded(actions)[0].server]
        second = endpoint_by_address[forwarded(harness.finish_attempt(name, first.address, result))[0].server]
        if scope is not DedupScope.ALL:
            assert second.zone == first.zone
        if scope is DedupScope.CELL:
            assert second.cell == first.cell


def test_no_retry_with_key_after_the_dedup_window():
    harness = BalancerHarness()
    name, actions = harness.receive_request("points")
    harness.now += 900
    assert action_types(harness.finish_attempt(name, forwarded(actions)[0].server, AttemptResult.ERROR)) == [
        FailRequest
    ]


def test_attempts_are_limited():
    harness = BalancerHarness(count=8, max_attempts=2)
    name, actions = harness.receive_request("post")
    actions = harness.finish_attempt(name, forwarded(actions)[0].server, AttemptResult.OVERLOADED)
    assert action_types(
        harness.finish_attempt(name, forwarded(actions)[0].server, AttemptResult.OVERLOADED, attempt=1)
    ) == [RejectRequest]


# ---------------------------------------------------------- one final response


def test_no_actions_after_the_end_of_a_request():
    harness = BalancerHarness()
    name, actions = harness.receive_request("read")
    server = forwarded(actions)[0].server
    actions = harness.handle(ClientDisconnected(name))
    assert action_types(actions) == [CancelAttempt]
    assert harness.finish_attempt(name, server, AttemptResult.CANCELLED, done=True) == []
    assert harness.handle(ClientDisconnected(name)) == []
    assert harness.parts.shared.requests == {}


def test_timeout_at_the_deadline_gets_a_final_response_at_once():
    harness = BalancerHarness()
    name, actions = harness.receive_request("post", timeout_ms=300.0)
    harness.now += 300.0
    assert action_types(
        harness.finish_attempt(name, forwarded(actions)[0].server, AttemptResult.TIMEOUT, 300.0)
    ) == [FailRequest]
    name, actions = harness.receive_request("read", timeout_ms=300.0)
    harness.now += 300.0
    assert action_types(
        harness.finish_attempt(name, forwarded(actions)[0].server, AttemptResult.TIMEOUT, 300.0)
    ) == [RejectRequest]


def test_attempt_is_stopped_at_the_objective_where_late_responses_earn_nothing():
    """Late responses that earn nothing would crowd out other requests."""
    harness = BalancerHarness()
    assert 900.0 < forwarded(harness.receive_request("post", timeout_ms=2000.0)[1])[0].timeout_ms < 1000.0
    assert forwarded(harness.receive_request("post", timeout_ms=500.0)[1])[0].timeout_ms <= 500.0


def test_attempt_runs_to_the_deadline_where_late_responses_earn_something():
    service_class = ServiceClass(
        "slow",
        latency_objective_ms=500,
        deadline_ms=5000,
        late_weight=0.3,
        idempotency=Idempotency.IDEMPOTENT,
    )
    harness = BalancerHarness(classes=(service_class,))
    assert forwarded(harness.receive_request("slow", timeout_ms=2000.0)[1])[0].timeout_ms == 2000.0


def test_streamed_response_keeps_its_attempt():
    service_class = ServiceClass(
        "s", latency_objective_ms=500, deadline_ms=5000, streaming=True, idempotency=Idempotency.IDEMPOTENT
    )
    harness = BalancerHarness(classes=(service_class,))
    name, actions = harness.receive_request("s")
    assert harness.handle(ResponseStarted(name, 0)) == []
    assert forwarded(harness.end_period(2000.0)) == []
    assert harness.finish_attempt(name, forwarded(actions)[0].server, AttemptResult.RESET, done=True) == []


# ---------------------------------------------------------- health of servers


def test_no_hedged_request():
    """Hedged requests would add load to a pool that is already slow."""
    harness = BalancerHarness()
    harness.receive_request("read")
    assert forwarded(harness.end_period(600.0)) == []


def test_hanging_server_is_avoided_before_its_timeout():
    """A server that accepts requests and sends no responses must not keep its rank until its timeouts."""
    harness = BalancerHarness(count=2)
    for _ in range(20):
        harness.serve_request()
    hung = forwarded(harness.receive_request("read")[1])[0].server
    harness.now += 600.0
    chosen = [action.server for _ in range(4) for action in forwarded(harness.receive_request("read")[1])]
    assert len(chosen) == 4
    assert hung not in chosen


def test_server_is_used_again_after_a_response():
    harness = BalancerHarness(count=2)
    for _ in range(20):
        harness.serve_request()
    name, actions = harness.receive_request("read")
    hung = forwarded(actions)[0].server
    harness.now += 900.0
    harness.finish_attempt(name, hung, AttemptResult.OK, 900.0)
    harness.now += 60000.0
    assert hung in {action.server for _ in range(4) for action in forwarded(harness.receive_request()[1])}


def test_fast_errors_do_not_improve_the_rank():
    harness = BalancerHarness(count=4)
    broken_requests = 0
    for _ in range(80):
        name, actions = harness.receive_request("post")
        server = forwarded(actions)[0].server
        broken = server == "s0"
        broken_requests += broken
        harness.now += 5.0 if broken else 100.0
        harness.finish_attempt(
            name, server, AttemptResult.ERROR if broken else AttemptResult.OK, 5.0 if broken else 100.0
        )
        harness.end_period()
    assert broken_requests <= 4


def test_latency_of_an_idle_server_fades():
    harness = BalancerHarness(count=2)
    for _ in range(40):
        name, actions = harness.receive_request()
        server = forwarded(actions)[0].server
        latency = 900.0 if server == "s1" else 100.0
        harness.now += latency
        harness.finish_attempt(name, server, AttemptResult.OK, latency)

    def requests_before_first_use(harness: BalancerHarness) -> int:
        """Return how many requests are sent before the first one to the slow server."""
        sent = [action.server for _ in range(12) for action in forwarded(harness.receive_request()[1])]
        return sent.index("s1") if "s1" in sent else len(sent)

    later = copy.deepcopy(harness)
    later.now += 40000.0
    assert requests_before_first_use(later) < requests_before_first_use(harness)


def test_all_servers_stay_in_use_where_all_are_slow():
    harness = BalancerHarness(count=6)
    for _ in range(6):
        harness.serve_request()
    for _ in range(12):
        harness.serve_request(latency=900.0)
    chosen = [action.server for _ in range(10) for action in forwarded(harness.receive_request("read")[1])]
    assert set(chosen) == {f"s{at}" for at in range(6)}


def test_errors_at_the_first_tier_move_the_cursor():
    """Rejections by a lower tier reach the first tier only as errors, and it must shed."""
    cursors = []
    for tier in (0, 1):
        harness = BalancerHarness(tier=tier)
        for _ in range(4):
            name, actions = harness.receive_request("post")
            harness.finish_attempt(name, forwarded(actions)[0].server, AttemptResult.ERROR, 5.0)
        harness.end_period()
        cursors.append(harness.parts.table.cursor)
    assert cursors == [1, 0]


def test_old_utilisation_is_ignored():
    """A balancer that rejects gets no new reports, and old ones must not keep it rejecting."""
    harness = BalancerHarness(count=2)
    for _ in range(6):
        harness.serve_request(latency=50.0, report={"util": 1.0})
    harness.end_period()
    assert harness.parts.table.cursor == 1
    harness.now += 5000.0
    for _ in range(10):
        harness.end_period()
    assert harness.parts.table.cursor == 0


# ----------------------------------------------------------------- membership


@pytest.mark.parametrize("state", [ServerState.DRAINING, ServerState.REMOVED])
def test_no_request_to_a_draining_or_removed_server(state):
    harness = BalancerHarness(count=3)
    harness.handle(EndpointListUpdate(EndpointListForm.DELTA, (Server("s1", "b", state=state),)))
    assert "s1" not in {harness.serve_request() for _ in range(12)}


def test_snapshot_removes_servers_that_it_does_not_name():
    harness = BalancerHarness(count=3)
    harness.handle(EndpointListUpdate(EndpointListForm.SNAPSHOT, servers(2)))
    assert "s2" not in {harness.serve_request() for _ in range(12)}


def test_discovery_is_polled_at_once_and_with_backoff_after_failures():
    harness = BalancerHarness(count=0, poll_discovery=True)
    first = type(harness.balancer)(harness.parts.shared.settings, 1, 0.0).handle(
        0.0, EndpointListUpdate(EndpointListForm.CACHED)
    )
    assert WatchEndpoints in action_types(first)
    delays_ms = []
    for _ in range(6):
        actions = harness.handle(EndpointListUpdate(EndpointListForm.FAILED))
        assert action_types(actions) == [StartTimer]
        delays_ms.append(actions[0].delay_ms)
        assert action_types(harness.handle(TimerFired("watch"))) == [WatchEndpoints]
    assert delays_ms[0] < delays_ms[-1] <= 4000.0


def test_failed_poll_keeps_the_list():
    harness = BalancerHarness(count=2, poll_discovery=True)
    harness.handle(EndpointListUpdate(EndpointListForm.FAILED))
    assert forwarded(harness.receive_request()[1])


def test_restarted_server_has_new_statistics():
    harness = BalancerHarness(count=2)
    for _ in range(6):
        harness.serve_request()
    harness.handle(EndpointListUpdate(EndpointListForm.DELTA, (Server("s0", "a", launched_ms=harness.now),)))
    assert harness.servers["s0"].relative_latency is None
    assert harness.servers["s1"].relative_latency is not None


# -------------------------------------------------------------------- warm-up


def test_warming_server_gets_its_share_of_capacity():
    harness = BalancerHarness(count=4)
    harness.handle(
        EndpointListUpdate(EndpointListForm.DELTA, (Server("cold", "a", launched_ms=harness.now),))
    )
    counts: dict[str, int] = {}
    for at in range(150):
        server = harness.serve_request(latency=10.0)
        counts[server] = counts.get(server, 0) + 1
        if at % 15 == 0:
            harness.end_period()
    warm = sum(count for name, count in counts.items() if name != "cold") / 4
    assert 0 < counts["cold"] <= 0.5 * warm


def test_pool_of_warming_servers_is_used_gradually():
    harness = BalancerHarness(count=0)
    harness.handle(EndpointListUpdate(EndpointListForm.SNAPSHOT, servers(2, launched_ms=harness.now)))
    used = [0, 0]
    for at in range(400):
        name, actions = harness.receive_request()
        for action in forwarded(actions):
            used[at // 200] += 1
            harness.finish_attempt(name, action.server, AttemptResult.OK, 10.0)
        harness.now += 10.0
        if at % 15 == 0:
            harness.end_period(0.0)
    assert 0 < used[0] < used[1] <= 200


def test_quiet_balancers_do_not_all_send_to_a_warming_server():
    """One request per window from each of many balancers would overload a warming server."""
    warming_requests = 0
    for seed in range(200):
        harness = BalancerHarness(count=9, balancer_count=200, seed=seed)
        for _ in range(20):  # two requests a second
            harness.serve_request(latency=50.0)
            for _ in range(3):
                harness.end_period()
        warming = Server("cold", "a", launched_ms=harness.now)
        harness.handle(EndpointListUpdate(EndpointListForm.DELTA, (warming,)))
        warming_requests += sum(harness.serve_request(latency=50.0) == "cold" for _ in range(2))
    # An even share would be a tenth of the 400 requests; a warming server can do a fifth of that.
    assert warming_requests <= 25


def test_one_heavy_request_does_not_reject_others_at_a_quiet_balancer():
    """T1 must exceed the weight of a single heavy request at a balancer with little traffic."""
    harness = BalancerHarness(count=4, balancer_count=100, weight_by_work=True)
    for _ in range(5):
        name, actions = harness.receive_request(cost_hint_ms=10.0)
        harness.finish_attempt(name, forwarded(actions)[0].server, AttemptResult.OK)
    harness.receive_request(cost_hint_ms=500.0)
    assert all(forwarded(harness.receive_request("post", cost_hint_ms=10.0)[1]) for _ in range(3))


def test_tier_below_the_first_has_a_higher_least_threshold():
    """A rejection below the first tier wastes the work done above it."""
    below, first_tier = (BalancerHarness(balancer_count=100, tier=tier).balancer for tier in (1, 0))
    assert below.parts.admission.threshold(1.0, 40) >= 40.0 > first_tier.parts.admission.threshold(1.0, 40)


@pytest.mark.parametrize(("connect_ms", "retried"), [(0.0, True), (150.0, False)])
def test_connect_time_counts_towards_the_dedup_window(connect_ms: float, retried: bool):
    """A retry chosen within the window may be sent up to the connect timeout later."""
    harness = BalancerHarness(connect_timeout_ms=connect_ms)
    name, actions = harness.receive_request("points", timeout_ms=5000.0)
    harness.now += 800.0  # of a dedup window of 900
    actions = harness.finish_attempt(name, forwarded(actions)[0].server, AttemptResult.ERROR, 800.0)
    assert bool(forwarded(actions)) is retried
