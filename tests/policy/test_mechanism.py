"""Normal operation: cursor table, admission, ranking, and measurement of the pool's load."""

from __future__ import annotations

from itertools import pairwise

import pytest

from rosewheel.policy.actions import Action, RejectRequest, StartTimer
from rosewheel.policy.balancer import Balancer
from rosewheel.policy.events import (
    AttemptFinished,
    AttemptResult,
    EndpointListForm,
    EndpointListUpdate,
    RequestReceived,
    Server,
    ServerState,
    TimerFired,
)
from rosewheel.policy.request_state import Attempt, RequestState
from rosewheel.policy.settings import ServiceClass, Settings, Tenant
from tests.support.balancers import IDEMPOTENT, BalancerHarness, action_types, forwarded


def load_period(harness: BalancerHarness, latency: float, count: int = 30) -> None:
    for _ in range(count):
        name, actions = harness.receive_request()
        if forwarded(actions):
            harness.finish_attempt(name, forwarded(actions)[0].server, AttemptResult.OK, latency)
    harness.end_period()


def test_cursor_moves_one_step_a_period_and_back():
    harness = BalancerHarness()
    load_period(harness, 200.0)
    assert harness.parts.table.cursor == 0
    seen = []
    for _ in range(4):
        load_period(harness, 950.0)
        seen.append(harness.parts.table.cursor)
    assert seen == [1, 2, 3, 4]
    for _ in range(8):
        load_period(harness, 100.0)
    assert harness.parts.table.cursor == 0


def test_table_is_flat_then_falls_and_stays_positive():
    balancer = BalancerHarness().balancer
    entries = []
    for cursor in range(len(balancer.parts.table.entries)):
        balancer.parts.table.cursor = cursor
        entries.append(balancer.parts.admission.threshold(1.0, 20))
    assert entries[0] == entries[1]
    assert all(left > right for left, right in pairwise(entries[1:]))
    balancer.parts.table.cursor = len(balancer.parts.table.entries) - 1
    assert 0.0 < balancer.parts.admission.threshold(1e-9, 1) < 1.0


def test_fractional_threshold_admits_a_proportion():
    """With few requests in flight, whole-numbered thresholds would admit all requests or none."""
    harness = BalancerHarness(balancer_count=100)
    harness.parts.table.cursor = len(harness.parts.table.entries) - 1
    entry = harness.parts.admission.threshold(1 / 12, 4)
    assert 0.1 < entry < 0.9
    admitted = 0
    for _ in range(1000):
        name, actions = harness.receive_request("post")
        for action in forwarded(actions):
            admitted += 1
            harness.finish_attempt(name, action.server, AttemptResult.OK)
    assert abs(admitted / 1000 - entry) < 0.05


def test_low_priority_is_shed_first_and_falls_further():
    balancer = BalancerHarness().balancer
    high, low = balancer.parts.admission.threshold(1.0, 20), balancer.parts.admission.threshold(1 / 12, 20)
    assert low < high
    balancer.parts.table.cursor = len(balancer.parts.table.entries) - 1
    assert (
        balancer.parts.admission.threshold(1 / 12, 20) / low
        < balancer.parts.admission.threshold(1.0, 20) / high
    )


def test_request_at_the_threshold_is_rejected_at_once():
    harness = BalancerHarness(count=4)
    load_at_rejection = {}
    for service in ("post", "read"):
        for _ in range(40):
            _, actions = harness.receive_request(service)
            if not forwarded(actions):
                break
        load_at_rejection[service] = sum(stats.load for stats in harness.servers.values())
        assert action_types(actions) == [RejectRequest]
    assert load_at_rejection["post"] < load_at_rejection["read"]


def test_marked_retries_and_over_quota_tenants_fall_to_lower_rows():
    harness = BalancerHarness(tenants=(Tenant("t", 4.0),), over_quota_weight=0.2)
    first_attempt = RequestReceived("a", "read", 9e9)
    priority = harness.parts.admission.priority(harness.now, first_attempt, IDEMPOTENT)
    assert (
        harness.parts.admission.priority(
            harness.now, RequestReceived("b", "read", 9e9, is_retry=True), IDEMPOTENT
        )
        < priority
    )
    tenant_priorities = [
        harness.parts.admission.priority(
            harness.now, RequestReceived("c", "read", 9e9, tenant="t"), IDEMPOTENT
        )
        for _ in range(4)
    ]
    assert tenant_priorities[:2] == [priority, priority]  # 4 per second over 2 balancers
    assert tenant_priorities[2] == tenant_priorities[3] == pytest.approx(0.2 * priority)
    assert (
        harness.parts.admission.priority(
            harness.now + 1000, RequestReceived("d", "read", 9e9, tenant="t"), IDEMPOTENT
        )
        == priority
    )


def test_quotas_count_at_the_first_tier_only():
    harness = BalancerHarness(tenants=(Tenant("t", 0.0),), over_quota_weight=0.2, tier=1)
    assert (
        harness.parts.admission.priority(
            harness.now, RequestReceived("c", "read", 9e9, tenant="t"), IDEMPOTENT
        )
        == 1.0
    )


def test_threshold_grows_with_the_completion_rate():
    harness = BalancerHarness()
    before = harness.parts.admission.threshold(1.0, 4)
    for _ in range(20):
        load_period(harness, 100.0)
    assert harness.parts.admission.threshold(1.0, 4) > before


def test_requests_spread_by_queue_and_prefer_the_faster_server():
    harness = BalancerHarness(count=2)
    first = {forwarded(harness.receive_request()[1])[0].server for _ in range(2)}
    assert first == {"s0", "s1"}
    harness = BalancerHarness(count=2)
    for _ in range(30):
        for server, latency in (("s0", 300.0), ("s1", 100.0)):
            harness.parts.pool_load.record_outcome(
                harness.now, *request_and_outcome(harness, server, latency)
            )
    chosen = [harness.serve_request() for _ in range(10)]
    assert chosen.count("s1") == 10


def request_and_outcome(harness: BalancerHarness, server: str, latency: float):
    request = RequestReceived("x", "read", 9e9)
    attempt = Attempt(harness.servers[server], harness.now - latency)
    state = RequestState(request, IDEMPOTENT, harness.parts.shared.settings, harness.now, 1.0, [attempt])
    return state, AttemptFinished("x", 0, server, AttemptResult.OK, latency, True)


def test_crossing_of_zones_worsens_the_rank():
    unpriced, priced = BalancerHarness(count=2), BalancerHarness(count=2, cross_zone_cost=0.1)
    assert {unpriced.serve_request() for _ in range(12)} == {"s0", "s1"}
    assert {priced.serve_request() for _ in range(12)} == {"s0"}


def test_requests_leave_a_busy_zone():
    harness = BalancerHarness(count=2, cross_zone_cost=0.03)
    chosen = []
    for _ in range(6):
        _, actions = harness.receive_request()
        chosen += [action.server for action in forwarded(actions)]
    assert chosen[0] == "s0"
    assert "s1" in chosen


def test_reported_queue_counts_and_fades():
    harness = BalancerHarness(count=2)
    name, actions = harness.receive_request()
    server = forwarded(actions)[0].server
    harness.finish_attempt(name, server, AttemptResult.OK, 100.0, report={"queue": 8.0})
    other_server = ({"s0", "s1"} - {server}).pop()
    assert [harness.serve_request() for _ in range(5)] == [other_server] * 5
    harness.now += 5000
    assert server in {harness.serve_request() for _ in range(10)}


def test_reported_utilisation_over_target_moves_the_cursor():
    harness = BalancerHarness(count=2)
    for _ in range(12):
        harness.serve_request(latency=50.0, report={"util": 1.0})
    harness.end_period()
    assert harness.parts.table.cursor == 1


def test_overloaded_results_move_the_cursor():
    harness = BalancerHarness()
    name, actions = harness.receive_request()
    harness.finish_attempt(name, forwarded(actions)[0].server, AttemptResult.OVERLOADED, 1.0)
    harness.end_period()
    assert harness.parts.table.cursor == 1


def test_few_outcomes_of_a_period_do_not_move_the_cursor():
    """With little traffic a single slow response must not cause rejections."""
    harness = BalancerHarness()
    for _ in range(3):
        load_period(harness, 200.0)
    load_period(harness, 900.0, count=1)
    assert harness.parts.table.cursor == 0


def test_cursor_returns_soon_where_few_requests_are_left_in_flight():
    """Shedding leaves few outcomes a period. The smoothed latency must still fall once servers have recovered,
    or the cursor moves to its end."""
    harness = BalancerHarness()
    for _ in range(3):
        load_period(harness, 200.0)
    for _ in range(3):
        load_period(harness, 900.0)
    for _ in range(6):
        load_period(harness, 200.0, count=2)
    assert harness.parts.table.cursor <= 5  # 9 if each period moved it right


def test_ordinary_load_is_admitted_at_start_up():
    """Before any rate is learned, thresholds must not reject ordinary load."""
    harness = BalancerHarness(count=10)
    assert all(forwarded(harness.receive_request("post")[1]) for _ in range(8))


def test_estimated_work_weighs_requests():
    harness = BalancerHarness(weight_by_work=True)
    harness.receive_request(cost_hint_ms=10.0)
    harness.receive_request(cost_hint_ms=100.0)
    loads = sorted(stats.load for stats in harness.servers.values())
    assert loads[-1] > loads[-2] > 0


def test_request_is_rejected_without_servers():
    harness = BalancerHarness(count=0)
    assert action_types(harness.receive_request("post")[1]) == [RejectRequest]


def test_rejections_have_a_retry_delay_at_the_first_tier_only():
    for tier, expected in ((0, True), (1, False)):
        harness = BalancerHarness(count=0, tier=tier, retry_after=True, max_retry_after_ms=1000.0)
        harness.parts.table.cursor = 3
        rejection = harness.receive_request()[1][-1]
        assert isinstance(rejection, RejectRequest)
        assert (rejection.retry_after_ms > 0) is expected


def test_invalid_setting_is_named_by_its_key():
    with pytest.raises(ValueError, match="balancer_count"):
        Settings(classes=(IDEMPOTENT,), balancer_count=0)
    with pytest.raises(ValueError, match="classes"):
        Settings(classes=())
    with pytest.raises(ValueError, match=r"classes\[0\].latency_objective_ms"):
        Settings(classes=(ServiceClass("x", latency_objective_ms=-1, deadline_ms=1),))
    with pytest.raises(ValueError, match="warm_up_ms"):
        Settings(classes=(IDEMPOTENT,), warm_up_ms=float("nan"))


def test_same_events_same_actions():
    def run() -> list[list[Action]]:
        harness = BalancerHarness(count=6)
        actions = []
        for at in range(60):
            name, new_actions = harness.receive_request(("read", "post", "points")[at % 3])
            actions.append(new_actions)
            if forwarded(new_actions):
                actions.append(
                    harness.finish_attempt(
                        name, forwarded(new_actions)[0].server, list(AttemptResult)[at % 8], 50.0 + at
                    )
                )
            actions.append(harness.end_period(20.0))
        return actions

    assert run() == run()


def test_cursor_stays_in_an_idle_period_and_returns_after_many():
    """With little traffic, counting idle periods as load 0 would undo every step of the cursor."""
    harness = BalancerHarness()
    load_period(harness, 200.0)
    for _ in range(3):
        load_period(harness, 950.0)
    before = harness.parts.table.cursor
    assert before > 0
    for _ in range(4):
        harness.end_period()
    assert harness.parts.table.cursor == before
    for _ in range(20):
        harness.end_period()
    assert harness.parts.table.cursor == 0


@pytest.mark.parametrize(
    ("class_name", "name", "field"), [("unheard of", "new", "class_name"), ("read", "held", "id")]
)
def test_invalid_request_raises_and_changes_nothing(class_name, name, field):
    harness, unchanged = BalancerHarness(), BalancerHarness()
    for each in (harness, unchanged):
        each.handle(RequestReceived("held", "read", each.now + 1000.0))
    with pytest.raises(ValueError, match=field):
        harness.handle(RequestReceived(name, class_name, harness.now + 1000.0))
    assert list(harness.parts.shared.requests) == ["held"]
    assert harness.receive_request("read") == unchanged.receive_request("read")


def test_invalid_first_event_does_not_lose_the_first_timer():
    balancer = Balancer(BalancerHarness().balancer.parts.shared.settings, 1, 0.0)
    with pytest.raises(ValueError, match="class_name"):
        balancer.handle(0.0, RequestReceived("x", "unheard of", 1000.0))
    assert StartTimer in action_types(balancer.handle(0.0, TimerFired("other")))


@pytest.mark.parametrize("value", [float("nan"), float("inf"), -5.0, 1e300])
def test_absurd_load_report_is_ignored(value):
    """A reported queue that is not a finite number would make its server always or never the best."""
    harness = BalancerHarness(count=2)
    for _ in range(4):
        harness.serve_request(report={"queue": value, "util": value, "unheard of": value})
    harness.now += 2_000_000.0
    assert {action.server for _ in range(4) for action in forwarded(harness.receive_request()[1])} == {
        "s0",
        "s1",
    }
    harness.end_period()
    assert harness.parts.table.cursor in (0, 1)


def test_requests_are_sent_as_soon_as_a_server_is_listed():
    harness = BalancerHarness(count=0)
    assert action_types(harness.receive_request("post")[1]) == [RejectRequest]
    harness.handle(EndpointListUpdate(EndpointListForm.DELTA, (Server("s0", "a"),)))
    assert forwarded(harness.receive_request("post")[1])
    harness.handle(
        EndpointListUpdate(EndpointListForm.DELTA, (Server("s0", "a", state=ServerState.DRAINING),))
    )
    assert action_types(harness.receive_request("post")[1]) == [RejectRequest]


def test_baseline_needs_more_than_one_period():
    """Only fast responses arrive in the first period; a baseline of these would be too low."""
    harness = BalancerHarness()
    load_period(harness, 50.0, count=2)
    load_period(harness, 500.0, count=6)
    assert harness.parts.table.cursor == 0


def test_cursor_settles_at_the_same_slot_from_both_ends():
    """One balancer must not shed for all: others take what it sheds, and its latency stays over target."""

    def settles_at(start: int) -> int:
        harness = BalancerHarness()
        balancer = harness.balancer
        for _ in range(12):
            for _ in range(5):
                harness.serve_request(latency=200.0)
            harness.end_period(0.0)
        balancer.parts.table.cursor = start
        for _ in range(60):
            for _ in range(5):
                # 1.14 of the target at the left end of the table, 0.9 at the right one.
                harness.serve_request(latency=320.0)
            harness.end_period(0.0)
        return balancer.parts.table.cursor

    assert settles_at(14) == settles_at(0)
    assert 2 <= settles_at(0) <= 9
