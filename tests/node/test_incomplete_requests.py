"""Tests of incomplete requests and streamed responses: load, deadlines, retries and latency."""

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


def forward_incomplete(harness: BalancerHarness, service: str = "post") -> tuple[str, ForwardRequest]:
    name, actions = harness.receive_request(service, complete=False)
    return name, forwarded(actions)[0]


def test_an_incomplete_request_is_no_load_on_its_server():
    """Slow clients must not make a server appear loaded, which would cause other requests to be rejected."""
    harness = BalancerHarness(1)
    name, _ = forward_incomplete(harness)
    server = harness.servers["s0"]
    harness.now += 60_000.0
    assert (server.load, len(server.in_flight)) == (0.0, 0)
    harness.handle(RequestCompleted(name, harness.now + 2000.0))
    assert (server.load, len(server.in_flight)) == (1.0, 1)
    harness.finish_attempt(name, "s0", AttemptResult.OK)
    assert (server.load, len(server.in_flight), len(harness.parts.shared.requests)) == (0.0, 0, 0)


def test_the_deadline_counts_from_the_last_byte():
    harness = BalancerHarness(2)
    name, first = forward_incomplete(harness, "read")
    assert first.timeout_ms == pytest.approx(980.0)
    harness.now += 60_000.0
    harness.handle(RequestCompleted(name, harness.now + 2000.0))
    harness.now += 500.0
    retry = forwarded(harness.finish_attempt(name, first.server, AttemptResult.ERROR))[0]
    assert retry.timeout_ms == pytest.approx(480.0), (
        "rest of the latency objective, counted from the last byte"
    )


def test_an_incomplete_request_whose_connection_failed_is_retried_elsewhere():
    harness = BalancerHarness(2)
    name, first = forward_incomplete(harness)
    harness.now += 60_000.0
    retries = forwarded(harness.finish_attempt(name, first.server, AttemptResult.CONNECT_FAILED))
    assert len(retries) == 1
    assert retries[0].server != first.server
    assert action_types(
        harness.finish_attempt(name, retries[0].server, AttemptResult.CONNECT_FAILED, attempt=1)
    ) == [RejectRequest]


def test_a_streamed_response_is_no_load_on_its_server():
    harness = BalancerHarness(1)
    name, _ = harness.receive_request("post")
    server = harness.servers["s0"]
    assert server.load == 1.0
    harness.handle(ResponseStarted(name, 0))
    assert (server.load, len(server.in_flight)) == (0.0, 0)
    harness.finish_attempt(name, "s0", AttemptResult.OK, latency=50.0)
    assert (server.load, len(harness.parts.shared.requests)) == (0.0, 0)


def make_node(**limits: int) -> Node:
    node = Node(settings(), Limits(**limits), seed=1, now=0.0)
    node.update_endpoints(0.0, EndpointListForm.SNAPSHOT, (Server("s", zone="a"), Server("t", zone="a")))
    return node


def test_an_incomplete_request_has_no_deadline():
    node = make_node()
    node.receive_request(1.0, RequestReceived("r", "post", 1001.0, complete=False))
    assert node.tick(50_000.0) == []
    assert node.request_completed(50_000.0, "r", 51_000.0) == []
    assert node.request_completed(50_000.0, "r", 99_000.0) == [], "the last byte counts once"
    effects = node.tick(51_000.0)
    assert [type(effect) for effect in effects] == [AbortAttempt, SendResponse]


def test_a_request_with_a_discarded_body_is_not_retried():
    node = make_node()
    node.receive_request(1.0, RequestReceived("r", "post", 1001.0, complete=False))
    node.request_body_discarded("r")
    effects = node.attempt_finished(5.0, "r", 0, AttemptResult.CONNECT_FAILED)
    assert not any(isinstance(effect, StartAttempt) for effect in effects)
    assert [effect.status for effect in effects if isinstance(effect, SendResponse)] == [503], (
        "no server executed it"
    )


def test_a_streamed_response_has_no_deadline_and_no_retry():
    node = make_node()
    node.receive_request(1.0, RequestReceived("r", "read", 1001.0))
    assert node.response_started(5.0, "r", 0) == []
    assert node.response_started(5.0, "r", 0) is None, "a response starts once"
    assert not any(isinstance(effect, AbortAttempt | SendResponse) for effect in node.tick(60_000.0))
    effects = node.attempt_finished(60_000.0, "r", 0, AttemptResult.RESET)
    assert [effect.status for effect in effects if isinstance(effect, SendResponse)] == [500]
    assert not any(isinstance(effect, StartAttempt) for effect in effects)
    assert node.active_requests == 0


def test_the_latency_of_a_streamed_response_is_that_of_its_first_bytes():
    events: list[Event] = []
    node = make_node()
    node.receive_request(1.0, RequestReceived("r", "read", 1001.0))
    handle = node.balancer.handle
    node.balancer.handle = lambda now, event: events.append(event) or handle(now, event)  # type: ignore[assignment,func-returns-value]
    node.response_started(101.0, "r", 0)
    effects = node.attempt_finished(60_000.0, "r", 0, AttemptResult.OK)
    assert [effect.status for effect in effects if isinstance(effect, SendResponse)] == [ResponseStatus.OK]
    finished = events[-1]
    assert isinstance(finished, AttemptFinished)
    assert (finished.latency_ms, finished.request_ended) == (100.0, True)


def test_a_client_that_disconnects_from_a_streamed_response_aborts_its_attempt():
    node = make_node()
    node.receive_request(1.0, RequestReceived("r", "read", 1001.0))
    node.response_started(5.0, "r", 0)
    assert node.client_disconnected(9.0, "r") == [AbortAttempt("r", 0)]
    assert (node.active_requests, node.requests, node.balancer.parts.shared.requests) == (0, {}, {})
