"""Other settings in a running node: all of them or none, and what is in flight keeps those it was taken under."""

from __future__ import annotations

import dataclasses
import math
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st

from rosewheel.node.core import Node
from rosewheel.node.effects import AbortAttempt, SendResponse, StartAttempt
from rosewheel.node.limits import Limits
from rosewheel.node.statistics import MAX_REMOVED_CLASSES, RequestOutcome, Statistics
from rosewheel.policy import settings_change
from rosewheel.policy.actions import Action, ForwardRequest, StartTimer, WatchEndpoints
from rosewheel.policy.admission import START_UP_MS
from rosewheel.policy.balancer import Balancer
from rosewheel.policy.events import (
    AttemptResult,
    EndpointListForm,
    EndpointListUpdate,
    RequestReceived,
    Server,
    SettingsChanged,
    TimerFired,
)
from rosewheel.policy.learned_state import LearnedState
from rosewheel.policy.pool import SMALL_POOL_SIZE, ServerPool
from rosewheel.policy.pool_load import PoolLoad
from rosewheel.policy.quotas import Quotas
from rosewheel.policy.settings import DedupScope, Idempotency, ServiceClass, Settings, Tenant
from rosewheel.policy.shared_state import SharedState
from rosewheel.policy.slow_start import CAPACITY_SAMPLE, SlowStart
from rosewheel.policy.throughput import Throughput
from tests.node.test_event_orders import KINDS, STEP, World
from tests.support.balancers import KEYED, SAFE, UNSAFE, Bed, kinds, sent, servers, settings

CLASSES: list[tuple[ServiceClass, ...]] = [
    tuple(KINDS.values()),
    (SAFE,),
    (dataclasses.replace(UNSAFE, latency_objective_ms=300.0, deadline_ms=400.0), KINDS["points"]),
    # The other way round: what may be repeated from now on, and what may not, differs from what is in flight.
    (
        dataclasses.replace(SAFE, idempotency=Idempotency.NON_IDEMPOTENT, priority_weight=0.0),
        dataclasses.replace(UNSAFE, idempotency=Idempotency.IDEMPOTENT, late_weight=0.5),
        dataclasses.replace(
            KEYED, dedup_scope=DedupScope.ALL, dedup_window_ms=5000.0, latency_objective_ms=4000.0
        ),
    ),
]
CHANGES: dict[str, st.SearchStrategy[Any]] = {
    "classes": st.sampled_from(CLASSES),
    "balancer_count": st.sampled_from([1, 2, 30]),
    "max_attempts": st.sampled_from([1, 2, 6]),
    "may_cancel": st.booleans(),
    "warm_up_ms": st.sampled_from([0.0, 500.0, 10000.0]),
    "warm_up_initial_share": st.sampled_from([0.05, 1.0]),
    "cross_zone_cost": st.sampled_from([0.0, 0.5]),
    "weight_by_work": st.booleans(),
    "poll_discovery": st.booleans(),
    "tenants": st.sampled_from([(), (Tenant("t", 5.0),), (Tenant("t", 0.0), Tenant("u", 9.0))]),
}
LIMITS = {"hedging_allowed": st.booleans(), "max_open_requests": st.sampled_from([1, 3, 20000])}
CONFIGURE = st.tuples(
    st.just("configure"),
    st.fixed_dictionaries({}, optional=CHANGES),
    st.fixed_dictionaries({}, optional=LIMITS),
)


class Changing(World):
    """As `World`, but its settings change."""

    def step(self, step: tuple[Any, ...]) -> None:
        match step:
            case ("configure", changes, limits):
                cfg = dataclasses.replace(self.node.settings, **changes)
                self.do(self.node.configure(self.now, cfg, dataclasses.replace(self.node.limits, **limits)))
                assert self.node.settings is cfg
            case ("ask", service, _):
                if service in self.node.service_names:  # callers of another class are turned away before
                    super().step(step)
            case _:
                super().step(step)

    def taken(self, service: str) -> tuple[ServiceClass, int, bool]:
        kind = next(kind for kind in self.node.settings.classes if kind.name == service)
        return kind, self.node.settings.max_attempts, self.node.limits.hedging_allowed


@given(st.lists(st.one_of(STEP, CONFIGURE), max_size=60), st.booleans(), st.booleans())
def test_any_order_with_other_settings_leaves_one_answer_no_second_run_and_nothing_open(
    steps: list[tuple[Any, ...]], cancel: bool, copies: bool
):
    world = Changing(cancel, copies)
    for step in steps:
        world.step(step)
    world.finish()
    for id, answers in world.answers.items():
        assert len(answers) == (0 if id in world.left else 1), id
    assert world.node.active_requests == 0
    assert not world.node.requests
    balancer = world.node.balancer
    assert not balancer.parts.shared.requests
    assert all(
        peer.load == 0.0 and not peer.in_flight for peer in balancer.parts.shared.pool.servers.values()
    )
    assert balancer.parts.shared.class_latency_ms.keys() <= balancer.parts.shared.classes.keys()


@given(st.lists(st.one_of(STEP, CONFIGURE), max_size=40), st.integers(1, 5))
def test_the_same_settings_again_change_nothing(steps: list[tuple[Any, ...]], every: int):
    """Guards what was learned against a reload that says nothing new: all that a node does, it does as without it."""
    plain, told = Changing(True, True), Changing(True, True)
    for at, step in enumerate(steps):
        plain.step(step)
        told.step(step)
        if at % every == 0:
            same = dataclasses.replace(told.node.settings)
            parts = vars(told.node.balancer.parts)
            before = {name: dict(vars(part)) for name, part in parts.items()}
            assert told.node.configure(told.now, same, dataclasses.replace(told.node.limits)) == []
            for name, part in parts.items():
                assert all(value is before[name][key] for key, value in vars(part).items())
    for world in (plain, told):
        world.finish()
    assert told.log == plain.log


class FaultError(Exception):
    pass


def fault(*_: object, **__: object) -> Any:
    raise FaultError


STAGES: list[tuple[object, str]] = [
    (Quotas, "take_settings"),
    (settings_change, "objective_ratio"),
    (SharedState, "objectives_ms"),
    (PoolLoad, "rescale"),
    (SlowStart, "pool_capacity"),
    (Throughput, "restart_smoothing"),
    (ServerPool, "restart_slow_start"),
]
# Whatever can follow from settings follows from these.
OTHER = settings(
    classes=(SAFE,), balancer_count=30, warm_up_ms=1.0, poll_discovery=True, tenants=(Tenant("t", 1.0),)
)


@given(
    st.lists(st.one_of(STEP, CONFIGURE), max_size=40),
    st.integers(1, 5),
    st.sampled_from([*STAGES, "zone", "tier"]),
)
def test_what_can_not_be_applied_leaves_everything_as_it_was(
    steps: list[tuple[Any, ...]], every: int, why: tuple[object, str] | str
):
    """Guards against half of a change, also where the module fails in the middle of it."""
    plain, told = Changing(True, True), Changing(True, True)
    for at, step in enumerate(steps):
        plain.step(step)
        told.step(step)
        if at % every == 0:
            node = told.node
            cfg = dataclasses.replace(
                OTHER, balancer_count=30 if not node.balancer.parts.shared.in_large_fleet else 1
            )
            if isinstance(why, str):
                cfg = dataclasses.replace(cfg, **{why: {"zone": "b", "tier": 1}[why]})
            with pytest.MonkeyPatch.context() as patch:
                if not isinstance(why, str):
                    patch.setattr(*why, fault)
                # A strength is looked at only where there come to be many nodes.
                skipped = why == (SlowStart, "pool_capacity") and node.balancer.parts.shared.in_large_fleet
                if not skipped and not _same_cold(why, cfg, node):
                    with pytest.raises(
                        ValueError, match=why if isinstance(why, str) else "settings: .*FaultError"
                    ):
                        node.configure(told.now, cfg, Limits(max_open_requests=1, hedging_allowed=False))
    for world in (plain, told):
        world.finish()
    assert told.log == plain.log
    assert told.node.settings == plain.node.settings
    assert told.node.limits == plain.node.limits
    ours, theirs = told.node.balancer.parts, plain.node.balancer.parts
    assert ours.shared.rng.getstate() == theirs.shared.rng.getstate()
    for part, names in APPLIED.items():
        for name in names:
            assert getattr(getattr(ours, part), name) == getattr(getattr(theirs, part), name), name


# Attributes that a change of settings may replace, by part.
APPLIED = {
    "shared": ("configured_period_ms", "class_latency_ms"),
    "throughput": ("period_ms", "pool_capacity", "completion_rate", "peak_completion_rate"),
    "pool_load": ("baseline_ratio", "smoothed_ratio"),
    "quotas": ("buckets",),
}


def _same_cold(why: object, cfg: Settings, node: Node) -> bool:
    return why == (ServerPool, "restart_slow_start") and cfg.warm_up_ms == node.settings.warm_up_ms


def test_what_was_drawn_for_a_change_that_failed_is_given_back():
    """Of a large pool, whose strength is that of some drawn servers."""
    bed = Bed(0, balancer_count=1)
    bed.give(EndpointListUpdate(EndpointListForm.SNAPSHOT, servers(2 * CAPACITY_SAMPLE)))
    before = bed.parts.shared.rng.getstate()
    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(Throughput, "restart_smoothing", fault)
        with pytest.raises(FaultError):
            configure(bed, balancer_count=30)
    assert bed.parts.shared.rng.getstate() == before
    assert not bed.parts.shared.in_large_fleet


# ------------------------------------------------------------ what is in flight


def made(bounds: Limits | None = None, **changes: Any) -> Node:
    node = Node(settings(warm_up_ms=0.0, **changes), bounds or Limits(), seed=7, now=0.0)
    node.update_endpoints(
        0.0, EndpointListForm.SNAPSHOT, tuple(Server(f"s{at}", zone="a") for at in range(4))
    )
    return node


def change(node: Node, now: float, **changes: Any) -> list[Any]:
    return node.configure(now, dataclasses.replace(node.settings, **changes), node.limits)


def only(effects: list[Any], kind: type) -> Any:
    found = [effect for effect in effects if isinstance(effect, kind)]
    assert len(found) == 1, effects
    return found[0]


def test_a_class_that_is_removed_serves_what_it_has_taken():
    node = made()
    only(node.receive_request(1.0, RequestReceived("r", "read", 2500.0)), StartAttempt)
    change(node, 2.0, classes=(UNSAFE,))
    assert node.service_names == {"post"}
    again = only(
        node.attempt_finished(3.0, "r", 0, AttemptResult.RESET), StartAttempt
    )  # it may be repeated, as when it was taken
    assert only(node.attempt_finished(4.0, "r", again.attempt, AttemptResult.OK), SendResponse).status == 200
    assert node.statistics.classes["read"].ok == 1
    with pytest.raises(ValueError, match="service: 'read'"):
        node.balancer.handle(5.0, RequestReceived("q", "read", 2500.0))
    assert "read" not in node.balancer.parts.shared.class_latency_ms


def test_work_that_was_unsafe_when_it_was_taken_is_not_run_twice():
    node = made()
    only(node.receive_request(1.0, RequestReceived("r", "post", 2500.0)), StartAttempt)
    change(node, 2.0, classes=(dataclasses.replace(UNSAFE, idempotency=Idempotency.IDEMPOTENT),))
    assert only(node.attempt_finished(3.0, "r", 0, AttemptResult.RESET), SendResponse).status == 502


def test_a_deadline_that_is_shortened_holds_for_what_comes_later():
    node = made()
    first = only(node.receive_request(1.0, RequestReceived("r", "read", 2500.0)), StartAttempt)
    change(node, 2.0, classes=(dataclasses.replace(SAFE, latency_objective_ms=100.0, deadline_ms=200.0),))
    second = only(node.receive_request(3.0, RequestReceived("q", "read", 203.0)), StartAttempt)
    assert first.timeout_ms > 900.0
    assert second.timeout_ms < 100.0
    assert not [effect for effect in node.tick(101.0 + 3.0) if effect.id == "r"]  # type: ignore[union-attr]
    assert only(node.attempt_finished(900.0, "r", 0, AttemptResult.OK), SendResponse).status == 200


def test_a_stop_waits_for_what_was_taken_under_a_longer_patience():
    node = made()
    node.receive_request(0.0, RequestReceived("r", "read", 5000.0))
    change(node, 1.0, classes=(dataclasses.replace(SAFE, latency_objective_ms=100.0, deadline_ms=200.0),))
    assert node.longest_remaining_deadline_ms(1000.0) == 4000.0
    node.attempt_finished(1000.0, "r", 0, AttemptResult.OK)
    assert node.longest_remaining_deadline_ms(1000.0) == 200.0


def test_fewer_attempts_hold_for_what_comes_later():
    """Also where an open request has used more than are allowed by now."""
    node = made()
    node.receive_request(1.0, RequestReceived("r", "read", 2500.0))
    only(node.attempt_finished(2.0, "r", 0, AttemptResult.OVERLOADED), StartAttempt)
    change(node, 3.0, max_attempts=1)
    only(node.attempt_finished(4.0, "r", 1, AttemptResult.OVERLOADED), StartAttempt)  # its third, and last
    assert only(node.attempt_finished(5.0, "r", 2, AttemptResult.OVERLOADED), SendResponse).status == 503
    node.receive_request(6.0, RequestReceived("q", "read", 2500.0))
    assert only(node.attempt_finished(7.0, "q", 0, AttemptResult.OVERLOADED), SendResponse).status == 503


@pytest.mark.parametrize("before", [True, False])
def test_whether_an_attempt_may_be_taken_back_holds_as_when_it_was_taken(before: bool):
    node = made(may_cancel=before)
    node.receive_request(1.0, RequestReceived("r", "read", 2500.0))
    change(node, 2.0, may_cancel=not before)
    gone = [effect for effect in node.client_disconnected(3.0, "r") if isinstance(effect, AbortAttempt)]
    assert bool(gone) is before


@pytest.mark.parametrize("before", [True, False])
def test_whether_attempts_may_overlap_holds_as_when_it_was_taken(before: bool):
    node = made(Limits(hedging_allowed=before))
    node.receive_request(1.0, RequestReceived("r", "read", 2500.0))
    node.configure(2.0, node.settings, Limits(hedging_allowed=not before))
    node.driver.apply(3.0, [ForwardRequest("r", "s3")])  # what a module with second copies may decide
    assert (
        bool(
            [
                effect
                for effect in node.tick(3.0) + node.driver.handle(3.0)
                if isinstance(effect, StartAttempt)
            ]
        )
        is before
    )


def test_more_that_are_open_than_are_allowed_by_now_go_on():
    node = made()
    for id in ("a", "b"):
        node.receive_request(1.0, RequestReceived(id, "read", 2500.0))
    node.configure(2.0, node.settings, Limits(max_open_requests=1))
    assert only(node.receive_request(3.0, RequestReceived("c", "read", 2500.0)), SendResponse).status == 503
    for id in ("a", "b"):
        assert only(node.attempt_finished(4.0, id, 0, AttemptResult.OK), SendResponse).status == 200
    only(node.receive_request(5.0, RequestReceived("d", "read", 2500.0)), StartAttempt)


# --------------------------------------------------------------- what is learned


def quiet(bed: Bed, periods: int, latency: float, each: int = 4) -> int:
    """So many periods, in each of which so many requests take so long; how many were sent."""
    count = 0
    for _ in range(periods):
        taken = []
        for _ in range(each):
            name, acts = bed.ask()
            taken += [(name, send.server) for send in sent(acts)]
        for name, server in taken:
            bed.end(name, server, AttemptResult.OK, latency)
        count += len(taken)
        bed.period()
    return count


def configure(bed: Bed, **changes: Any) -> list[Action]:
    return bed.give(SettingsChanged(dataclasses.replace(bed.parts.shared.settings, **changes)))


def test_a_shorter_aim_is_no_overload():
    """Guards against a baseline that stays behind: with half the aim the same answers take twice the share of it."""
    bed = Bed(4, classes=(SAFE,), warm_up_ms=0.0)
    quiet(bed, 30, latency=200.0)
    assert bed.parts.pool_load.baseline_ratio == pytest.approx(0.2, rel=0.01)
    configure(bed, classes=(dataclasses.replace(SAFE, latency_objective_ms=500.0),))
    assert bed.parts.pool_load.baseline_ratio == pytest.approx(0.4, rel=0.01)
    for _ in range(30):
        quiet(bed, 1, latency=200.0)
        assert bed.parts.table.cursor == 0


def test_what_was_taken_under_the_old_aim_teaches_by_the_new_one():
    bed = Bed(4, classes=(SAFE,), warm_up_ms=0.0)
    quiet(bed, 30, latency=200.0)
    name, acts = bed.ask()
    configure(bed, classes=(dataclasses.replace(SAFE, latency_objective_ms=500.0),))
    bed.end(name, sent(acts)[0].server, AttemptResult.OK, 200.0)
    assert bed.parts.pool_load.latency_ratios == [pytest.approx(0.4)]


def test_no_class_in_common_begins_anew():
    bed = Bed(4, classes=(SAFE,), warm_up_ms=0.0)
    quiet(bed, 30, latency=200.0)
    configure(bed, classes=(dataclasses.replace(SAFE, name="other", latency_objective_ms=300.0),))
    one = bed.balancer
    assert (
        one.parts.pool_load.baseline_ratio,
        one.parts.pool_load.smoothed_ratio,
        one.parts.pool_load.baseline_outcomes,
        one.parts.shared.class_latency_ms,
        one.parts.pool_load.mean_objective_ms,
    ) == (None, 0.0, 0, {}, 300.0)
    assert one.parts.throughput.peak_completion_rate > 0.0  # the pool is the same


def test_a_shorter_period_begins_when_the_one_that_runs_has_ended():
    """Guards the rate: what a long period completed is not what a short one does."""
    slow = dataclasses.replace(SAFE, latency_objective_ms=10000.0, deadline_ms=20000.0)
    bed = Bed(4, classes=(slow,), warm_up_ms=0.0)
    quiet(bed, 10, latency=200.0)
    peak = bed.parts.throughput.peak_completion_rate
    for _ in range(4):
        bed.serve(latency=0.0)
    configure(bed, classes=(dataclasses.replace(SAFE, latency_objective_ms=100.0, deadline_ms=200.0),))
    acts = bed.period()
    assert bed.parts.throughput.peak_completion_rate <= peak * 1.05
    assert [act.delay_ms for act in acts if isinstance(act, StartTimer)] == [15.0]
    assert bed.parts.throughput.period_count * bed.balancer.period_ms >= START_UP_MS  # it does not start anew


def rates(bed: Bed) -> tuple[float, float, float | None]:
    """Smoothed and highest completion rate, and the baseline."""
    throughput = bed.parts.throughput
    return throughput.completion_rate, throughput.peak_completion_rate, bed.parts.pool_load.baseline_ratio


def test_one_node_of_thirty_and_back_knows_what_the_pool_does():
    bed = Bed(4, balancer_count=1, warm_up_ms=0.0)
    quiet(bed, 30, latency=200.0)
    before = rates(bed)
    configure(bed, balancer_count=30)
    shared, throughput = bed.parts.shared, bed.parts.throughput
    assert shared.in_large_fleet
    assert throughput.pool_capacity == pytest.approx(4.0)
    assert throughput.completion_rate * throughput.pool_capacity == pytest.approx(before[0])
    quiet(bed, 3, latency=200.0, each=1)
    configure(bed, balancer_count=1)
    assert not shared.in_large_fleet
    assert throughput.pool_capacity == 1.0
    assert throughput.peak_completion_rate == pytest.approx(before[1], rel=0.5)
    twice = Bed(4, balancer_count=1, warm_up_ms=0.0)
    quiet(twice, 30, latency=200.0)
    configure(twice, balancer_count=30)
    configure(twice, balancer_count=1)
    assert rates(twice) == pytest.approx(before)


def test_a_server_that_many_nodes_shun_is_not_shunned_by_one_for_good():
    bed = Bed(1, balancer_count=30, warm_up_ms=0.0)
    for _ in range(3):
        name, acts = bed.ask()
        bed.end(name, sent(acts)[0].server, AttemptResult.OVERLOADED, done=True)
    assert bed.servers["s0"].refusals_in_row == 3
    configure(bed, balancer_count=1)
    peer = bed.servers["s0"]
    assert (peer.refusals_in_row, peer.backoff_until_ms) == (0, -math.inf)


def test_a_tenants_share_follows_and_what_is_left_of_it_stays():
    bed = Bed(4, balancer_count=1, tenants=(Tenant("t", 4.0),), warm_up_ms=0.0)
    for _ in range(3):
        bed.ask(tenant="t")
    assert bed.parts.quotas.buckets["t"].tokens == 1.0
    configure(bed, tenants=(Tenant("t", 8.0), Tenant("u", 2.0)))
    assert {name: one.tokens for name, one in bed.parts.quotas.buckets.items()} == {"t": 1.0, "u": 2.0}
    configure(bed, balancer_count=16)
    assert {name: one.tokens for name, one in bed.parts.quotas.buckets.items()} == {"t": 0.5, "u": 0.125}
    configure(bed, tenants=())
    assert bed.parts.quotas.buckets == {}


@pytest.mark.parametrize("count", [4, SMALL_POOL_SIZE + 6])
def test_servers_that_are_cold_for_longer_owe_nothing_for_their_time_as_warm_ones(count: int):
    bed = Bed(0, warm_up_ms=1000.0, balancer_count=1)
    bed.give(EndpointListUpdate(EndpointListForm.SNAPSHOT, servers(count, launched_ms=bed.now)))
    bed.now += 2000.0
    for _ in range(20):
        quiet(bed, 1, latency=10.0, each=3 * count)
    peers = bed.servers.values()
    assert all(peer.credit < -1.0 for peer in peers)
    configure(bed, warm_up_ms=60000.0)
    assert all(0.0 <= peer.credit <= 1.0 for peer in peers)
    assert len(bed.parts.shared.pool._warm) == 0
    got = sum(len(sent(bed.ask()[1])) for _ in range(count))
    assert got < count  # paced by now
    assert quiet(bed, 20, latency=10.0, each=count) > count  # but not shut out
    configure(bed, warm_up_ms=0.0)
    assert len(bed.parts.shared.pool._warm) == count
    assert all(sent(bed.ask()[1]) for _ in range(count))


@pytest.mark.parametrize("siblings", [1, 30])
def test_a_start_that_the_list_puts_ahead_of_the_clock_is_no_fault_without_cold_ones(siblings: int):
    """Guards against a clock that is behind: a time of zero was divided by."""
    bed = Bed(0, warm_up_ms=0.0, balancer_count=siblings)
    bed.give(EndpointListUpdate(EndpointListForm.SNAPSHOT, servers(2, launched_ms=bed.now + 500.0)))
    bed.period()
    assert sent(bed.ask()[1])


def test_what_a_process_with_other_aims_had_learned_is_scaled():
    """Guards an upgrade that comes with other settings; a file from before aims were kept counts as it is."""
    old = Bed(4, classes=(SAFE,), warm_up_ms=0.0)
    quiet(old, 30, latency=200.0)
    learned = old.balancer.capture_learned_state(old.now)
    for aim, kept, base in [
        (500.0, learned, 0.4),
        (500.0, dataclasses.replace(learned, objectives_ms={}), 0.2),
    ]:
        new = Bed(4, classes=(dataclasses.replace(SAFE, latency_objective_ms=aim),), warm_up_ms=0.0)
        new.balancer.restore_learned_state(new.now, kept, 0.0)
        assert new.balancer.parts.pool_load.baseline_ratio == pytest.approx(base, rel=0.01)
    strange = Bed(4, classes=(dataclasses.replace(SAFE, name="other"),), warm_up_ms=0.0)
    strange.balancer.restore_learned_state(strange.now, learned, 0.0)
    assert strange.balancer.parts.pool_load.baseline_ratio is None
    assert LearnedState().objectives_ms == {}


def test_whether_discovery_is_asked_may_change():
    bed = Bed(2, poll_discovery=False)
    assert kinds(configure(bed, poll_discovery=True)) == [WatchEndpoints]
    bed.give(EndpointListUpdate(EndpointListForm.FAILED))
    assert configure(bed, poll_discovery=False) == []
    assert bed.give(TimerFired("watch")) == [], "an alarm from before asks where nobody is to be asked"


def test_settings_before_the_first_event_are_those_it_starts_with():
    one = Balancer(settings(), seed=1, now_ms=0.0)
    assert one.handle(0.0, SettingsChanged(settings(classes=(SAFE,), poll_discovery=True))) == []
    acts = one.handle(1.0, EndpointListUpdate(EndpointListForm.SNAPSHOT, servers(1)))
    assert kinds(acts) == [StartTimer, WatchEndpoints]
    assert acts[0] == StartTimer(150.0, "period")


# -------------------------------------------------------------------- figures


def test_a_class_that_is_gone_is_counted_to_its_end_and_goes_on_where_it_comes_back():
    figures = Statistics(["read", "post"])
    figures.count_request("read", RequestOutcome.OK)
    figures.configure(["post", "new"])
    assert list(figures.classes) == ["post", "new", "read"]
    figures.count_request("read", RequestOutcome.OK)
    figures.configure(["read"])
    assert figures.classes["read"].ok == 2


def test_names_that_change_all_the_time_do_not_fill_the_memory():
    figures = Statistics(["read"])
    for at in range(5 * MAX_REMOVED_CLASSES):
        figures.configure([f"class-{at}", "read"])
        figures.track_class(f"adopted-{at}")
    assert len(figures.classes) == MAX_REMOVED_CLASSES + 2
    assert {
        "read",
        f"class-{5 * MAX_REMOVED_CLASSES - 1}",
        f"adopted-{5 * MAX_REMOVED_CLASSES - 1}",
    } <= figures.classes.keys()
