"""Tests of the node without sockets: limits, the response backstop, and failures of the policy."""

from __future__ import annotations

from collections.abc import Callable

from rosewheel.node.core import Node
from rosewheel.node.effects import AbortAttempt, NodeEffect, ResponseStatus, SendResponse, StartAttempt
from rosewheel.node.limits import Limits
from rosewheel.node.rule_monitor import CheckedOperation, Reason
from rosewheel.policy.actions import Action, ForwardRequest
from rosewheel.policy.events import (
    AttemptFinished,
    AttemptResult,
    EndpointListForm,
    Event,
    RequestReceived,
    Server,
    ServerState,
)
from tests.support.balancers import servers, settings

Script = Callable[[float, Event], list[Action]]


def make_node(script: Script | None = None, limits: Limits | None = None, count: int = 4) -> Node:
    """Return a node with an endpoint list. A script replaces the policy."""
    node = Node(settings(), limits or Limits(), seed=7, now=0.0)
    node.update_endpoints(0.0, EndpointListForm.CACHED, servers(count))
    if script is not None:
        node.balancer.handle = script  # type: ignore[method-assign]
    return node


def request(id: str = "r", service: str = "post", deadline_at_ms: float = 1000.0) -> RequestReceived:
    return RequestReceived(id, service, deadline_at_ms)


def of_type(effects: list[NodeEffect], kind: type) -> list[NodeEffect]:
    return [effect for effect in effects if isinstance(effect, kind)]


def forwarding(count: int, events: list[Event]) -> Script:
    """Return a script that forwards each request `count` times at once, and records all events."""

    def script(_now: float, event: Event) -> list[Action]:
        events.append(event)
        if not isinstance(event, RequestReceived):
            return []
        return [ForwardRequest(event.id, f"s{at % 4}") for at in range(count)]

    return script


def test_a_request_without_a_response_fails_after_its_deadline():
    """A request that the policy leaves unanswered is not rejected, because its attempt may have been executed."""
    node = make_node(forwarding(1, []))
    assert len(of_type(node.receive_request(0.0, request()), StartAttempt)) == 1
    assert node.tick(999.0) == []
    assert of_type(node.tick(1000.0), SendResponse) == []  # until the backstop, only the policy responds
    assert node.tick(1015.0) == [SendResponse("r", ResponseStatus.INTERNAL_ERROR)]
    assert not node.requests
    assert node.active_requests == 0


def test_a_request_that_was_never_sent_is_rejected_after_its_deadline():
    """No server executed the request, so a rejection lets the client retry."""
    node = make_node(forwarding(0, []))
    node.receive_request(0.0, request())
    assert node.tick(1015.0) == [SendResponse("r", ResponseStatus.REJECTED)]


def test_attempts_over_the_limit_are_not_sent():
    """The policy must not exceed the limit of attempts; it is told NOT_SENT for each further one."""
    events: list[Event] = []
    node = make_node(forwarding(5, events))
    started = of_type(node.receive_request(0.0, request(service="read")), StartAttempt)
    assert [effect.attempt for effect in started] == [0, 1, 2]
    not_sent = [event for event in events if isinstance(event, AttemptFinished)]
    assert [(event.attempt, event.result, event.request_ended) for event in not_sent] == [
        (3, AttemptResult.NOT_SENT, False),
        (4, AttemptResult.NOT_SENT, False),
    ]


def test_hedging_only_where_allowed():
    """No request may have two attempts in flight if the limits forbid hedging."""
    node = make_node(forwarding(2, []), Limits(hedging_allowed=False))
    assert len(of_type(node.receive_request(0.0, request(service="read")), StartAttempt)) == 1


def test_a_non_idempotent_request_that_may_have_been_executed_is_not_sent_again():
    """The policy must not cause a second execution, neither by a hedge nor by a retry."""
    events: list[Event] = []
    node = make_node(forwarding(2, events))
    assert len(of_type(node.receive_request(0.0, request(service="post")), StartAttempt)) == 1
    assert node.rules.monitor.count(CheckedOperation.HEDGE, Reason.MAY_HAVE_BEEN_EXECUTED) == 1

    def retry(_now: float, event: Event) -> list[Action]:
        again = isinstance(event, RequestReceived)
        if isinstance(event, AttemptFinished):  # retries once, because the result NOT_SENT follows at once
            again = event.attempt == 0
        return [ForwardRequest("r", "s1", 500.0)] if again else []

    for result in AttemptResult:
        node = make_node(retry)
        node.receive_request(0.0, request(service="post"))
        if result is not AttemptResult.OK:
            retries = of_type(node.attempt_finished(5.0, "r", 0, result), StartAttempt)
            assert len(retries) == result.not_executed


def test_an_attempt_to_a_draining_server_is_not_sent():
    """The policy must not send requests to a draining server."""
    events: list[Event] = []
    node = make_node(forwarding(1, events))
    node.update_endpoints(0.0, EndpointListForm.DELTA, (Server("s0", state=ServerState.DRAINING),))
    assert of_type(node.receive_request(1.0, request()), StartAttempt) == []
    assert [event.result for event in events if isinstance(event, AttemptFinished)] == [
        AttemptResult.NOT_SENT
    ]


def test_requests_over_the_limit_never_reach_the_policy():
    """A request over the limit of open requests must be rejected without an attempt."""
    events: list[Event] = []
    node = make_node(forwarding(1, events), Limits(max_open_requests=1))
    node.receive_request(0.0, request("a"))
    assert node.receive_request(0.0, request("b")) == [SendResponse("b", ResponseStatus.REJECTED)]
    assert [event.id for event in events if isinstance(event, RequestReceived)] == ["a"]


def test_the_first_response_ends_a_request_and_later_results_are_reported_as_ended():
    """A client must not receive two responses, but the policy needs the result of every attempt."""
    events: list[Event] = []
    node = make_node(forwarding(2, events))
    node.receive_request(0.0, request(service="read"))
    assert node.attempt_finished(5.0, "r", 1, AttemptResult.OK, None, b"body") == [
        SendResponse("r", ResponseStatus.OK, b"body")
    ]
    assert node.attempt_finished(6.0, "r", 1, AttemptResult.RESET) == []  # the attempt already has a result
    assert node.attempt_finished(7.0, "r", 0, AttemptResult.OK, None, b"other") == []
    outcomes = [event for event in events if isinstance(event, AttemptFinished)]
    assert [(event.attempt, event.latency_ms, event.request_ended) for event in outcomes] == [
        (1, 5.0, True),
        (0, 7.0, True),
    ]
    assert not node.requests


def test_a_timed_out_attempt_is_aborted_before_the_retry():
    """A retry must not be sent while the timed-out attempt is still in flight."""
    node = make_node()
    node.receive_request(0.0, request(service="read", deadline_at_ms=2000.0))
    effects = node.tick(981.0)
    assert effects[0] == AbortAttempt("r", 0)
    assert all(not isinstance(effect, StartAttempt) for effect in effects[:1])


def test_a_policy_failure_on_a_timer_does_not_stop_periodic_work():
    """A periodic timer must be started again if the policy fails to handle it."""
    node = make_node()
    handle, calls = node.balancer.handle, 0

    def faulty(now: float, event: Event) -> list[Action]:
        nonlocal calls
        calls += 1
        if calls == 1:
            raise RuntimeError("policy bug")
        return handle(now, event)

    node.balancer.handle = faulty  # type: ignore[method-assign]
    period = node.balancer.period_ms
    node.tick(period)
    node.tick(2 * period)
    assert (calls, node.balancer.parts.throughput.period_count) == (2, 1)
    node.tick(3 * period)
    assert node.balancer.parts.throughput.period_count == 2


def test_timers_of_finished_requests_do_not_accumulate():
    """Timers of finished requests must not use memory until their deadlines."""
    node = make_node(forwarding(1, []))
    for at in range(5000):
        node.receive_request(0.0, request(f"r{at}", deadline_at_ms=3_600_000.0))
        node.attempt_finished(1.0, f"r{at}", 0, AttemptResult.OK)
    node.receive_request(2.0, request("open"))
    assert len(node.timers) < 600
    assert node.tick(1000.0) == [AbortAttempt("open", 0)]  # the timer of the open request is kept
    assert of_type(node.tick(1015.0), SendResponse) == [SendResponse("open", ResponseStatus.INTERNAL_ERROR)]
