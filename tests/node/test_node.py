"""The node without sockets, on a clock of the test's own: limits, backstops and faults."""

from __future__ import annotations

from collections.abc import Callable

from rosewheel.node.core import Node
from rosewheel.node.effects import AbortAttempt, NodeEffect, SendResponse, StartAttempt
from rosewheel.node.limits import Limits
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


def made(script: Script | None = None, bounds: Limits | None = None, count: int = 4) -> Node:
    """A node with a list; where a script is given, it stands in for the module's decisions."""
    node = Node(settings(), bounds or Limits(), seed=7, now=0.0)
    node.update_endpoints(0.0, EndpointListForm.CACHED, servers(count))
    if script is not None:
        node.balancer.handle = script  # type: ignore[method-assign]
    return node


def request(id: str = "r", service: str = "post", give_up: float = 1000.0) -> RequestReceived:
    return RequestReceived(id, service, give_up)


def of(effects: list[NodeEffect], kind: type) -> list[NodeEffect]:
    return [effect for effect in effects if isinstance(effect, kind)]


def sends(count: int, heard: list[Event]) -> Script:
    """Sends each request to the first servers, so many times at once, and notes what it is told."""

    def script(_now: float, event: Event) -> list[Action]:
        heard.append(event)
        if not isinstance(event, RequestReceived):
            return []
        return [ForwardRequest(event.id, f"s{at % 4}") for at in range(count)]

    return script


def test_a_request_left_open_is_failed_after_its_deadline():
    """Guards the one final answer where the module gives none; no refusal, for the attempt may have run."""
    node = made(sends(1, []))
    assert len(of(node.receive_request(0.0, request()), StartAttempt)) == 1
    assert node.tick(999.0) == []
    assert of(node.tick(1000.0), SendResponse) == []  # the time-out is the module's to answer
    assert node.tick(1015.0) == [SendResponse("r", 500)]
    assert not node.requests
    assert node.active_requests == 0


def test_a_request_never_sent_is_refused_after_its_deadline():
    """A refusal is true here, and lets the client try again."""
    node = made(sends(0, []))
    node.receive_request(0.0, request())
    assert node.tick(1015.0) == [SendResponse("r", 503)]


def test_attempts_past_the_limit_are_moot():
    """Guards the limit on attempts: what is past it is told as never sent, and never sent."""
    heard: list[Event] = []
    node = made(sends(5, heard))
    assert [effect.attempt for effect in of(node.receive_request(0.0, request()), StartAttempt)] == [0, 1, 2]
    moot = [event for event in heard if isinstance(event, AttemptFinished)]
    assert [(event.attempt, event.result, event.request_ended) for event in moot] == [
        (3, AttemptResult.NOT_SENT, False),
        (4, AttemptResult.NOT_SENT, False),
    ]


def test_second_copies_only_where_allowed():
    """Guards the rule that no request has two attempts out where the settings forbid it."""
    node = made(sends(2, []), Limits(hedging_allowed=False))
    assert len(of(node.receive_request(0.0, request()), StartAttempt)) == 1


def test_a_send_to_a_server_that_is_leaving_is_moot():
    """Guards the drain, whatever the module says."""
    heard: list[Event] = []
    node = made(sends(1, heard))
    node.update_endpoints(0.0, EndpointListForm.DELTA, (Server("s0", state=ServerState.DRAINING),))
    assert of(node.receive_request(1.0, request()), StartAttempt) == []
    assert [event.result for event in heard if isinstance(event, AttemptFinished)] == [AttemptResult.NOT_SENT]


def test_requests_past_the_limit_never_reach_the_module():
    """Guards the limit on open requests; the refusal is true, since nothing was sent."""
    heard: list[Event] = []
    node = made(sends(1, heard), Limits(max_open_requests=1))
    node.receive_request(0.0, request("a"))
    assert node.receive_request(0.0, request("b")) == [SendResponse("b", 503)]
    assert [event.id for event in heard if isinstance(event, RequestReceived)] == ["a"]


def test_the_first_answer_ends_a_request_and_later_ones_are_told_as_done():
    """Guards against a second answer; the module hears of every attempt all the same."""
    heard: list[Event] = []
    node = made(sends(2, heard))
    node.receive_request(0.0, request())
    assert node.attempt_finished(5.0, "r", 1, AttemptResult.OK, None, b"body") == [
        SendResponse("r", 200, b"body")
    ]
    assert node.attempt_finished(6.0, "r", 1, AttemptResult.RESET) == []  # that attempt has its outcome
    assert node.attempt_finished(7.0, "r", 0, AttemptResult.OK, None, b"other") == []
    outcomes = [event for event in heard if isinstance(event, AttemptFinished)]
    assert [(event.attempt, event.latency_ms, event.request_ended) for event in outcomes] == [
        (1, 5.0, True),
        (0, 7.0, True),
    ]
    assert not node.requests


def test_an_expired_attempt_is_closed_before_the_next_is_sent():
    """Guards against two copies out at once: the time-out's connection goes before the retry."""
    node = made()
    node.receive_request(0.0, request(service="read", give_up=2000.0))
    effects = node.tick(981.0)
    assert effects[0] == AbortAttempt("r", 0)
    assert all(not isinstance(effect, StartAttempt) for effect in effects[:1])


def test_a_fault_in_an_alarm_does_not_stop_the_clockwork():
    """Guards the cursor: an alarm that is lost with an exception comes again."""
    node = made()
    handle, calls = node.balancer.handle, 0

    def faulty(now: float, event: Event) -> list[Action]:
        nonlocal calls
        calls += 1
        if calls == 1:
            raise RuntimeError("a fault")
        return handle(now, event)

    node.balancer.handle = faulty  # type: ignore[method-assign]
    period = node.balancer.period_ms
    node.tick(period)
    node.tick(2 * period)
    assert (calls, node.balancer.parts.throughput.period_count) == (2, 1)
    node.tick(3 * period)
    assert node.balancer.parts.throughput.period_count == 2


def test_timers_of_what_is_over_do_not_pile_up():
    """Guards memory: a far deadline's timers stay no longer than the request does."""
    node = made(sends(1, []))
    for at in range(5000):
        node.receive_request(0.0, request(f"r{at}", give_up=3_600_000.0))
        node.attempt_finished(1.0, f"r{at}", 0, AttemptResult.OK)
    node.receive_request(2.0, request("open"))
    assert len(node.timers) < 600
    assert node.tick(1000.0) == [AbortAttempt("open", 0)]  # those that are needed are still there
    assert of(node.tick(1015.0), SendResponse) == [SendResponse("open", 500)]
