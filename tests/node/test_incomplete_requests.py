"""Requests whose end is still to come, and long answers: what the module and the node count, and when."""

from __future__ import annotations

import pytest

from rosewheel.node.core import Node
from rosewheel.node.effects import AbortAttempt, ResponseStatus, SendResponse, StartAttempt
from rosewheel.node.limits import Limits
from rosewheel.policy.actions import ForwardRequest, RejectRequest
from rosewheel.policy.events import (
    AttemptFinished,
    AttemptResult,
    EndpointListForm,
    Event,
    RequestCompleted,
    RequestReceived,
    ResponseStarted,
    Server,
)
from tests.support.balancers import BalancerHarness, action_types, forwarded, settings


def begun(harness: BalancerHarness, service: str = "post") -> tuple[str, ForwardRequest]:
    name, acts = harness.receive_request(service, complete=False)
    return name, forwarded(acts)[0]


def test_what_is_not_whole_is_no_work_anywhere():
    """Guards other requests: slow callers would have them refused, and their servers shunned."""
    harness = BalancerHarness(1)
    name, _ = begun(harness)
    peer = harness.servers["s0"]
    harness.now += 60_000.0
    assert (peer.load, len(peer.in_flight)) == (0.0, 0)
    harness.handle(RequestCompleted(name, harness.now + 2000.0))
    assert (peer.load, len(peer.in_flight)) == (1.0, 1)
    harness.finish_attempt(name, "s0", AttemptResult.OK)
    assert (peer.load, len(peer.in_flight), len(harness.parts.shared.requests)) == (0.0, 0, 0)


def test_its_time_counts_from_its_end():
    harness = BalancerHarness(2)
    name, first = begun(harness, "read")
    assert first.timeout_ms == pytest.approx(980.0)
    harness.now += 60_000.0
    harness.handle(RequestCompleted(name, harness.now + 2000.0))
    harness.now += 500.0
    again = forwarded(harness.finish_attempt(name, first.server, AttemptResult.ERROR))[0]
    assert again.timeout_ms == pytest.approx(480.0), "what is left to the aim, from its last byte on"


def test_one_that_breaks_before_its_end_goes_elsewhere():
    harness = BalancerHarness(2)
    name, first = begun(harness)
    harness.now += 60_000.0
    again = forwarded(harness.finish_attempt(name, first.server, AttemptResult.CONNECT_FAILED))
    assert len(again) == 1
    assert again[0].server != first.server
    assert action_types(
        harness.finish_attempt(name, again[0].server, AttemptResult.CONNECT_FAILED, attempt=1)
    ) == [RejectRequest]


def test_a_long_answer_is_no_load_while_its_client_takes_it():
    harness = BalancerHarness(1)
    name, _ = harness.receive_request("post")
    peer = harness.servers["s0"]
    assert peer.load == 1.0
    harness.handle(ResponseStarted(name, 0))
    assert (peer.load, len(peer.in_flight)) == (0.0, 0)
    harness.finish_attempt(name, "s0", AttemptResult.OK, latency=50.0)
    assert (peer.load, len(harness.parts.shared.requests)) == (0.0, 0)


def box(**limits: int) -> Node:
    made = Node(settings(), Limits(**limits), seed=1, now=0.0)
    made.update_endpoints(0.0, EndpointListForm.SNAPSHOT, (Server("s", zone="a"), Server("t", zone="a")))
    return made


def test_the_node_has_no_deadline_before_the_end_has_come():
    made = box()
    made.receive_request(1.0, RequestReceived("r", "post", 1001.0, complete=False))
    assert made.tick(50_000.0) == []
    assert made.request_completed(50_000.0, "r", 51_000.0) == []
    assert made.request_completed(50_000.0, "r", 99_000.0) == [], "told once"
    effects = made.tick(51_000.0)
    assert [type(effect) for effect in effects] == [AbortAttempt, SendResponse]


def test_what_is_no_longer_held_is_not_sent_again():
    made = box()
    made.receive_request(1.0, RequestReceived("r", "post", 1001.0, complete=False))
    made.request_body_discarded("r")
    effects = made.attempt_finished(5.0, "r", 0, AttemptResult.CONNECT_FAILED)
    assert not any(isinstance(effect, StartAttempt) for effect in effects)
    assert [effect.status for effect in effects if isinstance(effect, SendResponse)] == [503], "it never ran"


def test_an_answer_that_is_passed_on_has_no_deadline_and_no_second_attempt():
    made = box()
    made.receive_request(1.0, RequestReceived("r", "read", 1001.0))
    assert made.response_started(5.0, "r", 0) == []
    assert made.response_started(5.0, "r", 0) is None, "it begins once"
    assert not any(isinstance(effect, AbortAttempt | SendResponse) for effect in made.tick(60_000.0))
    effects = made.attempt_finished(60_000.0, "r", 0, AttemptResult.RESET)
    assert [effect.status for effect in effects if isinstance(effect, SendResponse)] == [500]
    assert not any(isinstance(effect, StartAttempt) for effect in effects)
    assert made.active_requests == 0


def test_the_latency_of_a_long_answer_is_that_of_its_first_bytes():
    heard: list[Event] = []
    made = box()
    made.receive_request(1.0, RequestReceived("r", "read", 1001.0))
    handle = made.balancer.handle
    made.balancer.handle = lambda now, event: heard.append(event) or handle(now, event)  # type: ignore[assignment,func-returns-value]
    made.response_started(101.0, "r", 0)
    effects = made.attempt_finished(60_000.0, "r", 0, AttemptResult.OK)
    assert [effect.status for effect in effects if isinstance(effect, SendResponse)] == [ResponseStatus.OK]
    outcome = heard[-1]
    assert isinstance(outcome, AttemptFinished)
    assert (outcome.latency_ms, outcome.request_ended) == (100.0, True)


def test_a_caller_that_leaves_a_long_answer_ends_its_attempt():
    made = box()
    made.receive_request(1.0, RequestReceived("r", "read", 1001.0))
    made.response_started(5.0, "r", 0)
    assert made.client_disconnected(9.0, "r") == [AbortAttempt("r", 0)]
    assert (made.active_requests, made.requests, made.balancer.parts.shared.requests) == (0, {}, {})
