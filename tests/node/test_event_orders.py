"""The node under events in any order: answers, resets, time-outs, leavers, lists, timers, each at any moment."""

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
    st.tuples(st.just("again"), st.integers(0, 9), st.sampled_from(RESULTS)),  # of one that has ended already
    st.tuples(st.just("leave"), st.integers(0, 5)),
    st.tuples(st.just("list"), st.integers(0, 3), st.sampled_from(STATES), st.booleans()),
    st.tuples(st.just("cordon"), st.integers(0, 3), st.booleans()),
    st.tuples(st.just("pass"), st.sampled_from([0.0, 1.0, 60.0, 900.0, 1000.0, 2600.0])),
)


class World:
    """Carries out what the node decides, and holds it to the rules that can be seen from here."""

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
        self.out: dict[tuple[str, int], str] = {}  # attempts whose sockets have said nothing yet
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
                    assert self.out.pop((effect.id, effect.attempt), None), "nothing to give up"
                    self.results[effect.id, effect.attempt] = AttemptResult.TIMEOUT  # it may have run
                    self.ended.append((effect.id, effect.attempt))
                case SendResponse():
                    self.answers[effect.id].append(effect.status)
                    assert effect.id not in self.left, "an answer for one that has left"

    def dispatched(self, effect: StartAttempt) -> None:
        id = effect.id
        kind, most, copies = self.rules[id]
        assert not self.answers[id], "sent on after its answer"
        assert id not in self.left, "sent on after its caller has left"
        server = self.servers[effect.server]
        assert server.state is ServerState.UP, "sent to one that leaves"
        assert server.address not in self.node.cordoned, "sent to one that is out by hand"
        earlier = self.sent.setdefault(id, [])
        still_out = any((id, attempt) in self.out for attempt, _, _ in earlier)
        assert copies or not still_out, "a second copy"
        ran = [
            row for row in earlier if (id, row[0]) in self.out or not self.results[id, row[0]].not_executed
        ]
        if ran and kind.idempotency is Idempotency.NON_IDEMPOTENT:
            raise AssertionError("unsafe work again, though it may have run")
        if ran and kind.idempotency is Idempotency.IDEMPOTENT_WITH_KEY:
            if kind.dedup_scope is DedupScope.CELL:
                assert {self.servers[row[1]].cell for row in ran} == {server.cell}, "outside its group"
            assert self.now - ran[0][2] < kind.dedup_window_ms, "behind its window"
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
                    result = AttemptResult.CONNECT_FAILED  # no server begins half a request
                del self.out[key]
                self.results[key] = result
                self.ended.append(key)
                if half:
                    node.request_body_discarded(key[0])
                self.do(node.attempt_finished(now, *key, result))
            case ("again", at, result) if self.ended:
                effects = node.attempt_finished(now, *self.ended[at % len(self.ended)], result)
                assert not effects, "an attempt that was settled has said something"
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
        """As the relay has it: what is not written whole is withdrawn."""
        self.do(self.node.client_disconnected(self.now, id))
        for attempt in self.node.attempts_in_flight(id):
            if id in self.halves:
                self.out.pop((id, attempt), None)
                self.results[id, attempt] = AttemptResult.CONNECT_FAILED
                self.do(self.node.attempt_finished(self.now, id, attempt, AttemptResult.CONNECT_FAILED))

    def finish(self) -> None:
        """Whatever is still half read ends with its caller, and all deadlines pass."""
        for id in self.halves:
            if not self.answers[id] and id not in self.left:
                self.left.add(id)
                self.leave(id)
        for _ in range(40):
            self.now += 100.0
            self.do(self.node.tick(self.now))
        for key in list(self.out):  # those that the settings do not let the module take back
            if key in self.out:
                del self.out[key]
                self.results[key] = AttemptResult.RESET
                self.do(self.node.attempt_finished(self.now, *key, AttemptResult.RESET))


@given(st.lists(STEP, max_size=60), st.booleans(), st.booleans())
def test_any_order_leaves_one_answer_no_second_run_and_nothing_open(
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
def test_a_module_that_decides_anything_breaks_none_of_what_the_node_keeps(
    steps: list[tuple[Any, ...]], seed: int, copies: bool
):
    """Guards callers against a fault in the decisions: one answer, nothing sent on after it, no second copy where
    there may be none, no more attempts than are allowed, and nothing to one that leaves."""
    world, rng = World(cancel=True, copies=copies, attempts=2), Random(seed)
    kinds = {
        name: dataclasses.replace(kind, idempotency=Idempotency.IDEMPOTENT) for name, kind in KINDS.items()
    }

    def whim(_now: float, event: Event) -> list[Action]:
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

    world.node.balancer.handle = whim  # type: ignore[method-assign]
    with pytest.MonkeyPatch.context() as patch:
        patch.setitem(globals(), "KINDS", kinds)  # which work may be repeated is the module's to know
        for step in steps:
            world.step(step)
        world.finish()
    for id, answers in world.answers.items():
        assert len(answers) == (0 if id in world.left else 1), id
    assert world.node.active_requests == 0
    assert not world.node.requests
