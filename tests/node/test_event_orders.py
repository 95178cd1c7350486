"""The node under events in any order: responses, resets, timeouts, disconnects, endpoint lists and timers."""

from __future__ import annotations

import dataclasses
from random import Random
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st

from rosewheel.node.core import Node
from rosewheel.node.effects import AbortAttempt, NodeEffect, SendResponse, StartAttempt
from rosewheel.node.limits import Limits
from rosewheel.policy.actions import Action, CancelAttempt, FailRequest, ForwardRequest, RejectRequest
from rosewheel.policy.events import (
    AttemptFinished,
    AttemptResult,
    EndpointListForm,
    Event,
    RequestReceived,
    Server,
    ServerState,
)
from rosewheel.policy.settings import DedupScope, Idempotency, ServiceClass
from tests.support.balancers import IDEMPOTENT, IDEMPOTENT_WITH_KEY, NON_IDEMPOTENT, settings

KINDS = {
    kind.name: kind
    for kind in (
        IDEMPOTENT,
        NON_IDEMPOTENT,
        dataclasses.replace(IDEMPOTENT_WITH_KEY, dedup_scope=DedupScope.CELL),
    )
}
RESULTS = [result for result in AttemptResult if result is not AttemptResult.NOT_SENT]
STATES = list(ServerState)

STEP = st.one_of(
    st.tuples(st.just("ask"), st.sampled_from(sorted(KINDS)), st.booleans()),
    st.tuples(st.just("arrive"), st.integers(0, 5)),
    st.tuples(st.just("end"), st.integers(0, 9), st.sampled_from(RESULTS)),
    st.tuples(
        st.just("again"), st.integers(0, 9), st.sampled_from(RESULTS)
    ),  # of an attempt that has a result
    st.tuples(st.just("leave"), st.integers(0, 5)),
    st.tuples(st.just("list"), st.integers(0, 3), st.sampled_from(STATES), st.booleans()),
    st.tuples(st.just("cordon"), st.integers(0, 3), st.booleans()),
    st.tuples(st.just("pass"), st.sampled_from([0.0, 1.0, 60.0, 900.0, 1000.0, 2600.0])),
)


class World:
    """Carries out the node's effects, and checks the rules that can be seen from outside."""

    def __init__(self, cancel: bool, copies: bool, attempts: int = 3) -> None:
        self.now = 0.0
        self.log: list[NodeEffect] = []
        cfg = settings(
            classes=tuple(KINDS.values()), may_cancel=cancel, warm_up_ms=0.0, max_attempts=attempts
        )
        self.node = Node(cfg, Limits(hedging_allowed=copies), seed=3, now=0.0)
        self.servers = {f"s{at}": Server(f"s{at}", zone="a", cell=at // 2) for at in range(4)}
        self.kinds: dict[str, str] = {}
        self.rules: dict[
            str, tuple[ServiceClass, int, bool]
        ] = {}  # class, attempts, copies when it was taken
        self.answers: dict[str, list[int]] = {}
        self.left: set[str] = set()
        self.out: dict[tuple[str, int], str] = {}  # attempts in flight
        self.ended: list[tuple[str, int]] = []
        self.sent: dict[str, list[tuple[int, str, float]]] = {}
        self.results: dict[tuple[str, int], AttemptResult] = {}
        self.halves: list[str] = []
        self.do(self.node.update_endpoints(0.0, EndpointListForm.SNAPSHOT, tuple(self.servers.values())))

    def do(self, effects: list[NodeEffect]) -> None:
        self.log += effects
        for effect in effects:
            match effect:
                case StartAttempt():
                    self.dispatched(effect)
                case AbortAttempt():
                    assert self.out.pop((effect.id, effect.attempt), None), "nothing to abort"
                    self.results[effect.id, effect.attempt] = AttemptResult.TIMEOUT  # it may have run
                    self.ended.append((effect.id, effect.attempt))
                case SendResponse():
                    self.answers[effect.id].append(effect.status)
                    assert effect.id not in self.left, "a response after the client disconnected"

    def dispatched(self, effect: StartAttempt) -> None:
        id = effect.id
        kind, most, copies = self.rules[id]
        assert not self.answers[id], "forwarded after its response"
        assert id not in self.left, "forwarded after its client disconnected"
        server = self.servers[effect.server]
        assert server.state is ServerState.UP, "sent to a draining server"
        assert server.address not in self.node.cordoned, "sent to a cordoned server"
        earlier = self.sent.setdefault(id, [])
        still_out = any((id, attempt) in self.out for attempt, _, _ in earlier)
        assert copies or not still_out, "hedged"
        ran = [
            row for row in earlier if (id, row[0]) in self.out or not self.results[id, row[0]].not_executed
        ]
        if ran and kind.idempotency is Idempotency.NON_IDEMPOTENT:
            raise AssertionError("non-idempotent work repeated, though it may have run")
        if ran and kind.idempotency is Idempotency.IDEMPOTENT_WITH_KEY:
            if kind.dedup_scope is DedupScope.CELL:
                assert {self.servers[row[1]].cell for row in ran} == {server.cell}, (
                    "outside its deduplication scope"
                )
            assert self.now - ran[0][2] < kind.dedup_window_ms, "after its deduplication window"
        earlier.append((effect.attempt, effect.server, self.now))
        assert len(earlier) <= most
        self.out[id, effect.attempt] = effect.server

    def step(self, step: tuple[Any, ...]) -> None:
        node, now = self.node, self.now
        match step:
            case ("ask", service, whole):
                id = f"r{len(self.kinds)}"
                self.kinds[id], self.answers[id] = service, []
                self.rules[id] = self.taken(service)
                if not whole:
                    self.halves.append(id)
                self.do(node.receive_request(now, RequestReceived(id, service, now + 2500.0, complete=whole)))
            case ("arrive", at) if self.halves:
                id = self.halves.pop(at % len(self.halves))
                # An attempt counts once its last byte has come.
                for number, row in enumerate(self.sent.get(id, [])):
                    if (id, row[0]) in self.out:
                        self.sent[id][number] = (*row[:2], now)
                self.do(node.request_completed(now, id, now + 2500.0))
            case ("end", at, result) if self.out:
                key = sorted(self.out)[at % len(self.out)]
                half = key[0] in self.halves
                if half and not result.not_executed:
                    result = AttemptResult.CONNECT_FAILED  # no server executes an incomplete request
                del self.out[key]
                self.results[key] = result
                self.ended.append(key)
                if half:
                    node.request_body_discarded(key[0])
                self.do(node.attempt_finished(now, *key, result))
            case ("again", at, result) if self.ended:
                effects = node.attempt_finished(now, *self.ended[at % len(self.ended)], result)
                assert not effects, "a finished attempt had effects"
            case ("leave", at) if self.kinds:
                id = sorted(self.kinds)[at % len(self.kinds)]
                if not self.answers[id] and id not in self.left:
                    self.left.add(id)
                    self.leave(id)
            case ("list", at, state, restarted):
                host = f"s{at}"
                born = now if restarted else self.servers[host].launched_ms
                self.servers[host] = dataclasses.replace(self.servers[host], state=state, launched_ms=born)
                self.do(node.update_endpoints(now, EndpointListForm.DELTA, (self.servers[host],)))
            case ("cordon", at, out):
                self.do(node.set_cordon(now, f"s{at}", out))
            case ("pass", by):
                self.now += by
                self.do(node.tick(self.now))

    def taken(self, service: str) -> tuple[ServiceClass, int, bool]:
        return KINDS[service], self.node.settings.max_attempts, self.node.limits.hedging_allowed

    def leave(self, id: str) -> None:
        """As the proxy does it: attempts that were not sent completely are withdrawn."""
        self.do(self.node.client_disconnected(self.now, id))
        for attempt in self.node.attempts_in_flight(id):
            if id in self.halves:
                self.out.pop((id, attempt), None)
                self.results[id, attempt] = AttemptResult.CONNECT_FAILED
                self.do(self.node.attempt_finished(self.now, id, attempt, AttemptResult.CONNECT_FAILED))

    def finish(self) -> None:
        """Clients of incomplete requests disconnect, and all deadlines pass."""
        for id in self.halves:
            if not self.answers[id] and id not in self.left:
                self.left.add(id)
                self.leave(id)
        for _ in range(40):
            self.now += 100.0
            self.do(self.node.tick(self.now))
        for key in list(self.out):  # those that the settings do not allow to cancel
            if key in self.out:
                del self.out[key]
                self.results[key] = AttemptResult.RESET
                self.do(self.node.attempt_finished(self.now, *key, AttemptResult.RESET))


@given(st.lists(STEP, max_size=60), st.booleans(), st.booleans())
def test_any_order_leaves_one_response_no_second_execution_and_nothing_in_flight(
    steps: list[tuple[Any, ...]], cancel: bool, copies: bool
):
    world = World(cancel, copies)
    for step in steps:
        world.step(step)
    world.finish()
    for id, answers in world.answers.items():
        assert len(answers) == (0 if id in world.left else 1), id
    assert world.node.active_requests == 0
    assert not world.node.requests
    assert not world.node.balancer.parts.shared.requests
    assert all(
        peer.load == 0.0 and not peer.in_flight
        for peer in world.node.balancer.parts.shared.pool.servers.values()
    )


@given(st.lists(STEP, min_size=10, max_size=60), st.integers(0, 2**32), st.booleans())
def test_a_policy_that_decides_at_random_breaks_no_rule_of_the_node(
    steps: list[tuple[Any, ...]], seed: int, copies: bool
):
    """Guards clients against a fault in the decisions: one response, nothing forwarded after it, no hedging where
    it is not allowed, no more attempts than are allowed, and none to a draining server."""
    world, rng = World(cancel=True, copies=copies, attempts=2), Random(seed)
    kinds = {
        name: dataclasses.replace(kind, idempotency=Idempotency.IDEMPOTENT) for name, kind in KINDS.items()
    }

    def random_actions(_now: float, event: Event) -> list[Action]:
        actions: list[Action] = []
        for _ in range(rng.randrange(4) if not isinstance(event, AttemptFinished) else rng.randrange(2)):
            id = f"r{rng.randrange(len(world.kinds) + 1)}"
            send = ForwardRequest(id, f"s{rng.randrange(4)}", 0.0)
            actions.append(
                rng.choice(
                    [
                        send,
                        send,
                        send,
                        RejectRequest(id),
                        FailRequest(id),
                        CancelAttempt(id, rng.randrange(2)),
                    ]
                )
            )
        return actions

    world.node.balancer.handle = random_actions  # type: ignore[method-assign]
    with pytest.MonkeyPatch.context() as patch:
        patch.setitem(globals(), "KINDS", kinds)  # only the policy knows which work may be repeated
        for step in steps:
            world.step(step)
        world.finish()
    for id, answers in world.answers.items():
        assert len(answers) == (0 if id in world.left else 1), id
    assert world.node.active_requests == 0
    assert not world.node.requests
