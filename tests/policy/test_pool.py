"""Server pool: choice among many servers by the rules for few, at a bounded cost."""

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

LARGE_POOL = 1000  # servers
SERVER_NAMES = st.sampled_from([f"s{at}" for at in range(SMALL_POOL_SIZE + 12)])


def _server(name: str, launched_ms: float | None, state: ServerState) -> Server:
    at = int(name[1:])
    return Server(name, zone="ab"[at % 2], cell=at % 3, state=state, launched_ms=launched_ms)


class PoolMachine(RuleBasedStateMachine):
    """Runs lists, cordons, requests and time in any order, on both sides of SMALL_POOL_SIZE. The incremental
    state of the pool must equal one computed from all servers."""

    def __init__(self) -> None:
        super().__init__()
        self.now = 50_000.0
        balancer_settings = settings(
            classes=(IDEMPOTENT_WITH_KEY,), warm_up_initial_share=0.2, warm_up_ms=4000.0
        )
        self.balancer = Balancer(balancer_settings, seed=3, now_ms=self.now)
        self.in_flight: list[ForwardRequest] = []
        self.request_count = 0
        endpoints = [_server(f"s{at}", None, ServerState.UP) for at in range(SMALL_POOL_SIZE + 6)]
        self._list(EndpointListForm.SNAPSHOT, endpoints)

    def _list(self, form: EndpointListForm, endpoints: list[Server]) -> None:
        self.balancer.handle(self.now, EndpointListUpdate(form, tuple(endpoints)))

    @rule(
        name=SERVER_NAMES,
        state=st.sampled_from(list(ServerState)),
        age_ms=st.sampled_from([None, 0.0, 9000.0]),
    )
    def change_server(self, name: str, state: ServerState, age_ms: float | None) -> None:
        self._list(
            EndpointListForm.DELTA, [_server(name, None if age_ms is None else self.now - age_ms, state)]
        )

    @rule(names=st.sets(SERVER_NAMES, max_size=SMALL_POOL_SIZE + 12))
    def snapshot(self, names: set[str]) -> None:
        self._list(EndpointListForm.SNAPSHOT, [_server(name, None, ServerState.UP) for name in sorted(names)])

    @rule(name=SERVER_NAMES, cordoned=st.booleans())
    def cordon(self, name: str, cordoned: bool) -> None:
        self.balancer.handle(self.now, CordonChanged(name, cordoned))

    @rule(count=st.integers(1, 12))
    def send_requests(self, count: int) -> None:
        ready_addresses = {
            stats.endpoint.address
            for stats in self.balancer.parts.shared.pool.servers.values()
            if self._is_ready(stats)
        }
        for _ in range(count):
            self.request_count += 1
            request = RequestReceived(f"r{self.request_count}", "points", self.now + 5000.0)
            forwards = forwarded(self.balancer.handle(self.now, request))
            assert all(forward.server in ready_addresses for forward in forwards), (
                "sent to a server that is not ready"
            )
            self.in_flight += forwards

    @rule(
        at=st.integers(0, 50),
        result=st.sampled_from([AttemptResult.OK, AttemptResult.OVERLOADED, AttemptResult.CONNECT_FAILED]),
    )
    def finish_attempt(self, at: int, result: AttemptResult) -> None:
        if not self.in_flight:
            return
        forward = self.in_flight.pop(at % len(self.in_flight))
        state = self.balancer.parts.shared.requests[forward.id]
        attempt = len(state.attempts) - 1
        first = state.attempts[0].server
        done = result is AttemptResult.OK
        retried = forwarded(
            self.balancer.handle(
                self.now, AttemptFinished(forward.id, attempt, forward.server, result, 90.0, done)
            )
        )
        assert not {item.server for item in retried} & {
            item.server.endpoint.address for item in state.attempts[: attempt + 1]
        }
        assert first.endpoint.address in forward.server or attempt > 0
        self.in_flight += retried

    @rule(elapsed_ms=st.floats(1.0, 3000.0))
    def advance_time(self, elapsed_ms: float) -> None:
        self.now += elapsed_ms
        self.balancer.handle(self.now, TimerFired("period"))

    def _is_ready(self, stats: Any) -> bool:
        return (
            stats.endpoint.state is ServerState.UP
            and stats.endpoint.address not in self.balancer.parts.shared.pool.cordoned_since_ms
        )

    @invariant()
    def pool_state_matches_servers(self) -> None:
        pool: ServerPool = self.balancer.parts.shared.pool
        ready = [stats for stats in pool.servers.values() if self._is_ready(stats)]
        assert set(pool.ready) == set(ready)
        assert len(pool.ready) == len(ready)
        if len(pool.servers) <= SMALL_POOL_SIZE:
            assert pool.ready == ready, "a small pool must keep the list order"
        assert pool.load == pytest.approx(sum(stats.load for stats in ready), abs=1e-6)
        for key, group in pool._groups.items():
            assert group.items
            members = {stats for stats in ready if key in ServerPool._group_keys(stats)}
            assert set(group.items) == members
        for stats in ready:
            warming = stats not in pool._warm
            assert not warming or stats in pool._with_credit or stats.credit_check_scheduled, (
                "a warming server without a scheduled credit check"
            )
        assert (
            len(pool._credit_checks) <= 2 * max(len(pool.servers), SMALL_POOL_SIZE + 12) + SMALL_POOL_SIZE + 1
        )


PoolMachine.TestCase.settings = hypothesis_settings(max_examples=40, stateful_step_count=40, deadline=None)
TestPool = PoolMachine.TestCase


def test_server_that_was_listed_again_is_not_retried():
    machine = PoolMachine()
    machine.snapshot({"s0"})
    machine.send_requests(1)
    machine.snapshot(set())
    machine.snapshot({"s0"})
    machine.finish_attempt(0, AttemptResult.OVERLOADED)


def count_ranked(monkeypatch: pytest.MonkeyPatch) -> list[int]:
    rank_calls = [0]
    rank = Ranking.rank

    def counting(self: Ranking, now: float, server: ServerStats) -> float:
        rank_calls[0] += 1
        return rank(self, now, server)

    monkeypatch.setattr(Ranking, "rank", counting)
    return rank_calls


def usable_servers(reason: str, now: float) -> list[Server]:
    """Return a thousand servers of which s0, s1 and s2 may be chosen."""
    endpoints = []
    for at in range(LARGE_POOL):
        usable = at < 3
        draining = reason == "draining" and not usable
        endpoints.append(
            Server(
                f"s{at}",
                zone="a" if usable or reason != "far" else "b",
                state=ServerState.DRAINING if draining else ServerState.UP,
                launched_ms=now if reason == "warming" and not usable else None,
            )
        )
    return endpoints


@pytest.mark.parametrize("reason", ["draining", "warming", "cordoned"])
def test_few_usable_servers_of_a_thousand_are_found_at_a_bounded_cost(
    reason: str, monkeypatch: pytest.MonkeyPatch
):
    harness = BalancerHarness(0, warm_up_initial_share=0.001, warm_up_ms=1e9)
    harness.handle(EndpointListUpdate(EndpointListForm.SNAPSHOT, tuple(usable_servers(reason, harness.now))))
    if reason == "warming":
        for stats in harness.servers.values():
            stats.credit = min(stats.credit, 0.5)
    if reason == "cordoned":
        for at in range(3, LARGE_POOL):
            harness.handle(CordonChanged(f"s{at}", True))
    rank_calls = count_ranked(monkeypatch)
    for at in range(200):
        rank_calls[0] = 0
        assert harness.serve_request() in ("s0", "s1", "s2"), at
        assert rank_calls[0] <= WARM_SAMPLE_SIZE + WARMING_SAMPLE_SIZE


def test_request_is_rejected_at_a_bounded_cost_where_no_server_is_usable(monkeypatch: pytest.MonkeyPatch):
    harness = BalancerHarness(0, warm_up_initial_share=0.001, warm_up_ms=1e9)
    harness.handle(
        EndpointListUpdate(EndpointListForm.SNAPSHOT, tuple(usable_servers("warming", harness.now)[3:]))
    )
    for stats in harness.servers.values():
        stats.credit = 0.0
    rank_calls = count_ranked(monkeypatch)
    _, actions = harness.receive_request()
    assert [type(action) for action in actions if not isinstance(action, StartTimer)] == [RejectRequest]
    assert rank_calls[0] <= WARM_SAMPLE_SIZE + WARMING_SAMPLE_SIZE


def test_retry_with_key_finds_its_group_among_a_thousand(monkeypatch: pytest.MonkeyPatch):
    """Only the three servers of its cell drop a repeated request with a key."""
    service_class = ServiceClass(
        "points",
        latency_objective_ms=2000,
        deadline_ms=5000,
        idempotency=Idempotency.IDEMPOTENT_WITH_KEY,
        dedup_scope=DedupScope.CELL,
        dedup_window_ms=9000,
    )
    harness = BalancerHarness(0, classes=(service_class,))
    endpoints = [Server(f"s{at}", zone="a", cell=at // 3) for at in range(LARGE_POOL)]
    harness.handle(EndpointListUpdate(EndpointListForm.SNAPSHOT, tuple(endpoints)))
    rank_calls = count_ranked(monkeypatch)
    for _ in range(50):
        name, actions = harness.receive_request("points")
        first = forwarded(actions)[0].server
        rank_calls[0] = 0
        retried = forwarded(harness.finish_attempt(name, first, AttemptResult.RESET))
        assert [int(forward.server[1:]) // 3 for forward in retried] == [int(first[1:]) // 3]
        assert retried[0].server != first
        assert rank_calls[0] <= GROUP_SAMPLE_SIZE
        harness.finish_attempt(name, retried[0].server, AttemptResult.OK, attempt=1)


def test_warming_servers_of_a_large_pool_get_their_share():
    """Each gets some requests soon, and no more than its share of capacity allows."""
    harness = BalancerHarness(0, warm_up_initial_share=0.2, warm_up_ms=20_000.0)
    endpoints = [
        Server(f"s{at}", zone="a", launched_ms=harness.now if at < 100 else None) for at in range(500)
    ]
    harness.handle(EndpointListUpdate(EndpointListForm.SNAPSHOT, tuple(endpoints)))
    counts = dict.fromkeys((endpoint.address for endpoint in endpoints), 0)
    next_period_ms = harness.now + harness.balancer.period_ms
    for _ in range(8000):  # two requests per ms, for 4 s
        name, actions = harness.receive_request()
        for forward in forwarded(actions):
            counts[forward.server] += 1
            harness.finish_attempt(name, forward.server, AttemptResult.OK, 50.0)
        harness.now += 0.5
        if harness.now >= next_period_ms:
            harness.handle(TimerFired("period"))
            next_period_ms = harness.now + harness.balancer.period_ms
    warming = [counts[f"s{at}"] for at in range(100)]
    warm = [counts[f"s{at}"] for at in range(100, 500)]
    requests_per_server = 8000 / 500
    capacity_share = 0.2 + 0.8 * 0.1  # mean over the 4 s
    assert max(warming) <= capacity_share * 1.3 * requests_per_server + 3.0
    assert sum(warming) / 100 >= 0.5 * capacity_share * requests_per_server
    assert min(warm) > 0
