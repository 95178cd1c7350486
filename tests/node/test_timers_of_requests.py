"""Timers belong to one request, not to its id; an error in one timer, connection or sweep costs no other its turn."""

from __future__ import annotations

import asyncio
from typing import Any
from unittest.mock import patch

import pytest
from hypothesis import given
from hypothesis import strategies as st

from rosewheel.http.downstream_connection import DownstreamConnection
from rosewheel.node.core import Node
from rosewheel.node.effects import ResponseStatus, SendResponse
from rosewheel.node.limits import Limits
from rosewheel.node.rule_monitor import Rule
from rosewheel.policy.events import AttemptResult, EndpointListForm
from tests.node.test_node import make_node, of_type, request
from tests.support.balancers import servers, settings
from tests.support.sockets import Client, FakeServer, entry, never_respond, node, run, status, until

DEADLINE_MS = 3000.0
POST_HEAD = b"POST /api HTTP/1.1\r\nHost: a\r\n"


def real_node(count: int = 4) -> Node:
    result = Node(settings(), Limits(), seed=7, now=0.0)
    result.update_endpoints(0.0, EndpointListForm.CACHED, servers(count))
    return result


def fail_all_attempts(node: Node, id: str, now: float) -> int:
    """Have each attempt of a request fail until the request has ended; return the number of attempts."""
    count = 0
    while node.attempts_in_flight(id):
        for attempt in node.attempts_in_flight(id):
            node.attempt_finished(now, id, attempt, AttemptResult.ERROR)
            count += 1
    return count


def answered(effects: list[Any]) -> set[str]:
    return {effect.id for effect in of_type(effects, SendResponse)}


def tick_until(node: Node, end_ms: float) -> list[Any]:
    """Fire all timers up to a time, each when it is due."""
    effects: list[Any] = []
    while (due_ms := node.next_timer_ms()) is not None and due_ms <= end_ms:
        effects += node.tick(due_ms)
    return effects


def test_timers_of_an_ended_request_do_not_meet_the_next_one_with_its_id():
    """Guards against timers that stand still, so that no request times out (review case 7)."""
    node = real_node()
    node.receive_request(0.0, request("again", "read", DEADLINE_MS))
    assert fail_all_attempts(node, "again", 1.0) > 1
    node.receive_request(2.0, request("again", "read", DEADLINE_MS + 2.0))
    node.receive_request(3.0, request("other", "read", DEADLINE_MS + 3.0))
    assert {"again", "other"} <= answered(tick_until(node, DEADLINE_MS + 100.0))
    assert not node.rules.monitor.violations


def test_a_timer_of_an_ended_request_does_not_time_out_the_next_one_with_its_id():
    node = real_node()
    node.receive_request(0.0, request("again", "read", 100.0))
    fail_all_attempts(node, "again", 1.0)
    node.receive_request(2.0, request("again", "read", DEADLINE_MS))
    number = node.requests["again"].number
    assert "again" not in answered(tick_until(node, 200.0))
    assert node.requests["again"].number == number


def test_a_response_that_an_upgrade_returns_does_not_meet_earlier_timers():
    """Guards the second way to the fault: a returned response begins again with one attempt."""
    node = real_node()
    node.receive_request(0.0, request("long", "read", DEADLINE_MS))
    node.attempt_finished(1.0, "long", 0, AttemptResult.ERROR)
    (attempt,) = node.attempts_in_flight("long")
    assert attempt > 0
    node.response_started(2.0, "long", attempt)
    node.response_migrated(3.0, "long")
    assert node.adopt_response(4.0, "long", "read", "s1")
    tick_until(node, DEADLINE_MS + 100.0)
    assert node.response_in_progress("long") is not None
    assert not node.rules.monitor.violations


@given(st.lists(st.tuples(st.sampled_from("ab"), st.sampled_from(["come", "fail", "tick"])), max_size=40))
def test_each_request_is_answered_once_however_often_its_id_comes(steps: list[tuple[str, str]]):
    node, now, come, ended = real_node(), 0.0, 0, 0
    for id, step in steps:
        now += 20.0
        effects: list[Any] = []
        if step == "come" and id not in node.requests:
            come += 1
            effects = node.receive_request(now, request(id, "read", now + 200.0))
        elif step == "fail":
            for attempt in node.attempts_in_flight(id):
                effects += node.attempt_finished(now, id, attempt, AttemptResult.ERROR)
        effects += tick_until(node, now)
        ended += len(of_type(effects, SendResponse))
    ended += len(of_type(tick_until(node, now + 1000.0), SendResponse))
    assert (come, node.rules.monitor.violations) == (ended, {})


def test_an_error_in_one_timer_costs_no_other_its_turn():
    node = make_node(lambda _now, _event: [])
    for id in ("first", "second", "third"):
        node.receive_request(0.0, request(id))
    fail_request = node.fail_request

    def fail_for_first(now: float, id: str) -> Any:
        if id == "first":
            raise RuntimeError(id)
        return fail_request(now, id)

    with patch.object(node, "fail_request", fail_for_first):
        effects = node.tick(2000.0)
    assert answered(effects) == {"second", "third"}
    assert {effect.status for effect in of_type(effects, SendResponse)} == {ResponseStatus.REJECTED}
    assert node.rules.monitor.violations == {Rule.NO_UNEXPECTED_ERROR: 1}


def test_timers_go_on_after_an_error_that_leaves_the_node():
    async def main() -> None:
        async with FakeServer(never_respond).up() as server, node([entry("s", server.port)]) as proxy:
            with patch.object(proxy.node, "tick", side_effect=RuntimeError("planted")) as tick:
                await until(lambda: tick.call_count > 1)
            async with Client(proxy) as client:
                assert status(await client.request("read", timeout=200)) >= 500

    run(main())


@pytest.mark.parametrize("step", ["close_if_stalled", "check_queued_deadlines", "update_backpressure"])
def test_an_error_in_the_check_of_one_connection_costs_no_other_its_turn(step: str):
    """Guards against a sweep that ends at the first connection whose check fails (review case 10)."""

    async def main() -> None:
        async with FakeServer(never_respond).up() as server, node([entry("s", server.port)]) as proxy:
            async with Client(proxy) as bad, Client(proxy) as stalled:
                check = getattr(DownstreamConnection, step)
                for client in (bad, stalled):
                    client.writer.write(POST_HEAD)
                await until(lambda: len(proxy.server.partial_connections) == 2)
                first, second = proxy.server.connections
                checked = asyncio.Event()

                def fail_for_first(connection: DownstreamConnection, *arguments: Any) -> Any:
                    if connection is first:
                        raise RuntimeError("planted")
                    if connection is second:
                        checked.set()
                    return check(connection, *arguments)

                with patch.object(DownstreamConnection, step, fail_for_first):
                    for connection in (first, second):
                        proxy.server.connection_paused(connection)
                    await checked.wait()
                    checked.clear()
                    proxy.server.connection_paused(second)
                    await checked.wait()  # the next turn comes, too
                assert proxy.server.monitor.violations[Rule.NO_UNEXPECTED_ERROR] >= 1

    run(main())
