"""Choosing among many servers: the same rules as among few, at a cost that does not grow with the pool."""

from __future__ import annotations

from typing import Any

import pytest
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from rosewheel.policy.actions import ForwardRequest, RejectRequest, StartTimer
from rosewheel.policy.balancer import Balancer
from rosewheel.policy.events import (
    AttemptFinished,
    AttemptResult,
    CordonChanged,
    EndpointListForm,
    EndpointListUpdate,
    RequestReceived,
    Server,
    ServerState,
    TimerFired,
)
from rosewheel.policy.pool import (
    GROUP_SAMPLE_SIZE,
    SMALL_POOL_SIZE,
    WARM_SAMPLE_SIZE,
    WARMING_SAMPLE_SIZE,
    ServerPool,
)
from rosewheel.policy.ranking import Ranking
from rosewheel.policy.server_stats import ServerStats
from rosewheel.policy.settings import DedupScope, Idempotency, ServiceClass
from tests.support.balancers import IDEMPOTENT_WITH_KEY, BalancerHarness, forwarded, settings

MANY = 1000
NAMES = st.sampled_from([f"s{at}" for at in range(SMALL_POOL_SIZE + 12)])


def _server(name: str, launched: float | None, state: ServerState) -> Server:
    at = int(name[1:])
    return Server(name, zone="ab"[at % 2], cell=at % 3, state=state, launched_ms=launched)


class PoolMachine(RuleBasedStateMachine):
    """Lists, changes, cordons, calls and time in any order, on both sides of the size from which it samples. What is
    kept as it goes must equal what a look at everything gives."""

    def __init__(self) -> None:
        super().__init__()
        self.now = 50_000.0
        given = settings(classes=(IDEMPOTENT_WITH_KEY,), warm_up_initial_share=0.2, warm_up_ms=4000.0)
        self.balancer = Balancer(given, seed=3, now_ms=self.now)
        self.open: list[ForwardRequest] = []
        self.number = 0
        everything = [_server(f"s{at}", None, ServerState.UP) for at in range(SMALL_POOL_SIZE + 6)]
        self._list(EndpointListForm.SNAPSHOT, everything)

    def _list(self, form: EndpointListForm, rows: list[Server]) -> None:
        self.balancer.handle(self.now, EndpointListUpdate(form, tuple(rows)))

    @rule(name=NAMES, state=st.sampled_from(list(ServerState)), ago=st.sampled_from([None, 0.0, 9000.0]))
    def change(self, name: str, state: ServerState, ago: float | None) -> None:
        self._list(EndpointListForm.DELTA, [_server(name, None if ago is None else self.now - ago, state)])

    @rule(names=st.sets(NAMES, max_size=SMALL_POOL_SIZE + 12))
    def whole(self, names: set[str]) -> None:
        self._list(EndpointListForm.SNAPSHOT, [_server(name, None, ServerState.UP) for name in sorted(names)])

    @rule(name=NAMES, out=st.booleans())
    def cordon(self, name: str, out: bool) -> None:
        self.balancer.handle(self.now, CordonChanged(name, out))

    @rule(count=st.integers(1, 12))
    def ask(self, count: int) -> None:
        may = {
            stats.endpoint.address
            for stats in self.balancer.parts.shared.pool.servers.values()
            if self._may(stats)
        }
        for _ in range(count):
            self.number += 1
            request = RequestReceived(f"r{self.number}", "points", self.now + 5000.0)
            sends = forwarded(self.balancer.handle(self.now, request))
            assert all(one.server in may for one in sends), "sent to one that is out"
            self.open += sends

    @rule(
        at=st.integers(0, 50),
        result=st.sampled_from([AttemptResult.OK, AttemptResult.OVERLOADED, AttemptResult.CONNECT_FAILED]),
    )
    def end(self, at: int, result: AttemptResult) -> None:
        if not self.open:
            return
        one = self.open.pop(at % len(self.open))
        job = self.balancer.parts.shared.requests[one.id]
        attempt = len(job.attempts) - 1
        first = job.attempts[0].server
        done = result is AttemptResult.OK
        again = forwarded(
            self.balancer.handle(self.now, AttemptFinished(one.id, attempt, one.server, result, 90.0, done))
        )
        assert not {item.server for item in again} & {
            item.server.endpoint.address for item in job.attempts[: attempt + 1]
        }
        assert first.endpoint.address in one.server or attempt > 0
        self.open += again

    @rule(passed=st.floats(1.0, 3000.0))
    def time(self, passed: float) -> None:
        self.now += passed
        self.balancer.handle(self.now, TimerFired("period"))

    def _may(self, stats: Any) -> bool:
        return (
            stats.endpoint.state is ServerState.UP
            and stats.endpoint.address not in self.balancer.parts.shared.pool.cordoned_since_ms
        )

    @invariant()
    def kept_as_it_is(self) -> None:
        pool: ServerPool = self.balancer.parts.shared.pool
        ready = [stats for stats in pool.servers.values() if self._may(stats)]
        assert set(pool.ready) == set(ready)
        assert len(pool.ready) == len(ready)
        if len(pool.servers) <= SMALL_POOL_SIZE:
            assert pool.ready == ready, "a small pool keeps the order of its list"
        assert pool.load == pytest.approx(sum(stats.load for stats in ready), abs=1e-6)
        for key, bag in pool._groups.items():
            assert bag.items
            members = {stats for stats in ready if key in ServerPool._group_keys(stats)}
            assert set(bag.items) == members
        for stats in ready:
            cold = stats not in pool._warm
            assert not cold or stats in pool._with_credit or stats.credit_check_scheduled, (
                "a cold one that nobody would look at again"
            )
        assert (
            len(pool._credit_checks) <= 2 * max(len(pool.servers), SMALL_POOL_SIZE + 12) + SMALL_POOL_SIZE + 1
        )


PoolMachine.TestCase.settings = hypothesis_settings(max_examples=40, stateful_step_count=40, deadline=None)
TestPool = PoolMachine.TestCase


def test_server_that_was_listed_again_is_not_retried():
    machine = PoolMachine()
    machine.whole({"s0"})
    machine.ask(1)
    machine.whole(set())
    machine.whole({"s0"})
    machine.end(0, AttemptResult.OVERLOADED)


def count_ranked(monkeypatch: pytest.MonkeyPatch) -> list[int]:
    looks = [0]
    rank = Ranking.rank

    def counting(self: Ranking, now: float, server: ServerStats) -> float:
        looks[0] += 1
        return rank(self, now, server)

    monkeypatch.setattr(Ranking, "rank", counting)
    return looks


def usable_servers(why: str, now: float) -> list[Server]:
    """A thousand servers of which three may be picked: s0, s1, s2."""
    rows = []
    for at in range(MANY):
        few = at < 3
        down = why == "down" and not few
        rows.append(
            Server(
                f"s{at}",
                zone="a" if few or why != "far" else "b",
                state=ServerState.DRAINING if down else ServerState.UP,
                launched_ms=now if why == "cold" and not few else None,
            )
        )
    return rows


@pytest.mark.parametrize("why", ["down", "cold", "cordoned"])
def test_few_usable_servers_of_a_thousand_are_found_at_a_bounded_cost(
    why: str, monkeypatch: pytest.MonkeyPatch
):
    harness = BalancerHarness(0, warm_up_initial_share=0.001, warm_up_ms=1e9)
    harness.handle(EndpointListUpdate(EndpointListForm.SNAPSHOT, tuple(usable_servers(why, harness.now))))
    if why == "cold":
        for stats in harness.servers.values():
            stats.credit = min(stats.credit, 0.5)
    if why == "cordoned":
        for at in range(3, MANY):
            harness.handle(CordonChanged(f"s{at}", True))
    looks = count_ranked(monkeypatch)
    for at in range(200):
        looks[0] = 0
        assert harness.serve_request() in ("s0", "s1", "s2"), at
        assert looks[0] <= WARM_SAMPLE_SIZE + WARMING_SAMPLE_SIZE


def test_request_is_rejected_at_a_bounded_cost_where_no_server_is_usable(monkeypatch: pytest.MonkeyPatch):
    harness = BalancerHarness(0, warm_up_initial_share=0.001, warm_up_ms=1e9)
    harness.handle(
        EndpointListUpdate(EndpointListForm.SNAPSHOT, tuple(usable_servers("cold", harness.now)[3:]))
    )
    for stats in harness.servers.values():
        stats.credit = 0.0
    looks = count_ranked(monkeypatch)
    _, acts = harness.receive_request()
    assert [type(act) for act in acts if not isinstance(act, StartTimer)] == [RejectRequest]
    assert looks[0] <= WARM_SAMPLE_SIZE + WARMING_SAMPLE_SIZE


def test_retry_with_key_finds_its_group_among_a_thousand(monkeypatch: pytest.MonkeyPatch):
    """Guards the key: only the three servers of its cell drop the repeat."""
    kind = ServiceClass(
        "points",
        latency_objective_ms=2000,
        deadline_ms=5000,
        idempotency=Idempotency.IDEMPOTENT_WITH_KEY,
        dedup_scope=DedupScope.CELL,
        dedup_window_ms=9000,
    )
    harness = BalancerHarness(0, classes=(kind,))
    rows = [Server(f"s{at}", zone="a", cell=at // 3) for at in range(MANY)]
    harness.handle(EndpointListUpdate(EndpointListForm.SNAPSHOT, tuple(rows)))
    looks = count_ranked(monkeypatch)
    for _ in range(50):
        name, acts = harness.receive_request("points")
        first = forwarded(acts)[0].server
        looks[0] = 0
        again = forwarded(harness.finish_attempt(name, first, AttemptResult.RESET))
        assert [int(one.server[1:]) // 3 for one in again] == [int(first[1:]) // 3]
        assert again[0].server != first
        assert looks[0] <= GROUP_SAMPLE_SIZE
        harness.finish_attempt(name, again[0].server, AttemptResult.OK, attempt=1)


def test_warming_servers_of_a_large_pool_get_their_share():
    """Each may be sent what its warmth allows of what one server is asked, and gets some of it soon."""
    harness = BalancerHarness(0, warm_up_initial_share=0.2, warm_up_ms=20_000.0)
    rows = [Server(f"s{at}", zone="a", launched_ms=harness.now if at < 100 else None) for at in range(500)]
    harness.handle(EndpointListUpdate(EndpointListForm.SNAPSHOT, tuple(rows)))
    counts = dict.fromkeys((row.address for row in rows), 0)
    due = harness.now + harness.balancer.period_ms
    for _ in range(8000):  # two a millisecond, for 4 s
        name, acts = harness.receive_request()
        for one in forwarded(acts):
            counts[one.server] += 1
            harness.finish_attempt(name, one.server, AttemptResult.OK, 50.0)
        harness.now += 0.5
        if harness.now >= due:
            harness.handle(TimerFired("period"))
            due = harness.now + harness.balancer.period_ms
    cold = [counts[f"s{at}"] for at in range(100)]
    warm = [counts[f"s{at}"] for at in range(100, 500)]
    each = 8000 / 500
    warmth = 0.2 + 0.8 * 0.1  # on average over the 4 s
    assert max(cold) <= warmth * 1.3 * each + 3.0
    assert sum(cold) / 100 >= 0.5 * warmth * each
    assert min(warm) > 0
