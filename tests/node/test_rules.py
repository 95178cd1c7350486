"""Tests of the rules: verdicts before an operation, and violations that are detected despite the verdict."""

from __future__ import annotations

import logging

import pytest

from rosewheel.node.core import Node
from rosewheel.node.limits import Limits
from rosewheel.node.rule_monitor import CheckedOperation, Reason, Rule, RuleMonitor
from rosewheel.node.rules import adoption_reason, idle_close_reason
from rosewheel.policy.events import AttemptResult, EndpointListForm, RequestReceived, Server, ServerState
from tests.support.balancers import IDEMPOTENT_WITH_KEY, servers, settings

SERVER = "s0"
TOLERANCE_MS = 150.0


def node_with_attempt(service: str, deadline_at_ms: float = 5000.0) -> Node:
    """Return a node whose request "r" has its first attempt in flight at the only server."""
    node = Node(settings(), Limits(), seed=7, now=0.0)
    node.update_endpoints(0.0, EndpointListForm.CACHED, servers(1))
    node.receive_request(0.0, RequestReceived("r", service, deadline_at_ms))
    assert node.attempts_in_flight("r") == [0]
    return node


@pytest.mark.parametrize(
    ("now", "is_connected", "state", "reason"),
    [
        (1.0, True, ServerState.UP, Reason.ALLOWED),
        (1.0, False, ServerState.UP, Reason.CLIENT_DISCONNECTED),
        (6000.0, True, ServerState.UP, Reason.TIME_OVER),
        (1.0, True, ServerState.DRAINING, Reason.SERVER_NOT_ACCEPTING),
        (1.0, True, ServerState.REMOVED, Reason.SERVER_NOT_ACCEPTING),
    ],
)
def test_changes_while_a_connection_is_opened_affect_the_verdict(
    now: float, is_connected: bool, state: ServerState, reason: Reason
):
    node = node_with_attempt("read")
    node.update_endpoints(0.5, EndpointListForm.DELTA, (Server(SERVER, state=state),))
    assert node.rules.may_send(now, "r", 0, is_connected) is (reason is Reason.ALLOWED)
    assert node.rules.monitor.count(CheckedOperation.SEND, reason) == 1


def test_a_finished_or_unknown_request_may_not_be_sent():
    node = node_with_attempt("read")
    node.client_disconnected(1.0, "r")
    assert not node.rules.may_send(1.0, "r", 0, True)
    assert not node.rules.may_send(1.0, "unknown", 0, True)
    assert node.rules.time_left_ms(1.0, "r", 0) <= 0.0


def test_a_retry_with_a_key_is_not_sent_after_the_deduplication_window():
    """The policy expects a connection to open in time, but it may take longer."""
    window_ms = IDEMPOTENT_WITH_KEY.dedup_window_ms
    node = Node(settings(), Limits(), seed=7, now=0.0)
    node.update_endpoints(0.0, EndpointListForm.CACHED, servers(8))
    node.receive_request(0.0, RequestReceived("r", "points", 5000.0))
    node.attempt_finished(1.0, "r", 0, AttemptResult.RESET)
    assert node.attempts_in_flight("r") == [1]
    assert node.rules.may_send(window_ms - 1.0, "r", 1, True)
    assert not node.rules.may_send(window_ms, "r", 1, True)
    assert node.rules.monitor.count(CheckedOperation.SEND, Reason.DEDUP_WINDOW_OVER) == 1


@pytest.mark.parametrize(
    ("is_waiting", "left_ms", "state", "rule"),
    [
        (True, 1000.0, ServerState.UP, None),
        (True, 1000.0 - TOLERANCE_MS, ServerState.UP, None),
        (True, 1000.0 - TOLERANCE_MS - 1.0, ServerState.UP, Rule.DEADLINE_TOLD_IN_TIME),
        (False, 1000.0, ServerState.UP, Rule.NO_ATTEMPT_FOR_DISCONNECTED_CLIENT),
        (True, None, ServerState.DRAINING, Rule.NO_SEND_TO_DRAINING_SERVER),
    ],
)
def test_a_broken_rule_is_counted_and_logged_once(
    is_waiting: bool,
    left_ms: float | None,
    state: ServerState,
    rule: Rule | None,
    caplog: pytest.LogCaptureFixture,
):
    node = node_with_attempt("post")
    node.update_endpoints(0.5, EndpointListForm.DELTA, (Server(SERVER, state=state),))
    with caplog.at_level(logging.ERROR, "rosewheel.rules"):
        for _ in range(3):
            node.rules.record_send_violations("r", 0, is_waiting, 1000.0, left_ms)
    assert node.rules.monitor.violations == ({} if rule is None else {rule: 3})
    assert len(caplog.records) == (rule is not None)
    expected = {} if rule is None else {rule.name.lower(): 3}
    assert node.statistics_snapshot().rules.violations == expected


def test_a_second_execution_is_counted_although_it_was_allowed():
    node = node_with_attempt("post")
    request = node.requests["r"]
    request.attempts.append(request.attempts[0])
    node.rules.record_send_violations("r", 1, True, 1.0, None)
    assert node.rules.monitor.violations == {Rule.NO_SECOND_EXECUTION: 1}


def test_a_snapshot_contains_only_verdicts_that_occurred():
    monitor = RuleMonitor()
    assert monitor.is_allowed(CheckedOperation.ACCEPT, Reason.ALLOWED)
    assert not monitor.is_allowed(CheckedOperation.ACCEPT, Reason.DESCRIPTORS_EXHAUSTED)
    assert monitor.snapshot().verdicts == {"accept": {"allowed": 1, "descriptors_exhausted": 1}}


@pytest.mark.parametrize(
    ("arguments", "reason"),
    [
        ((True, 1.0, 1.0, False), Reason.ALLOWED),
        ((True, 0.9, 1.0, False), Reason.CONNECTION_BUSY),
        ((False, 2.0, 1.0, False), Reason.CONNECTION_BUSY),
        ((True, 1.0, 1.0, True), Reason.REQUEST_UNREAD),
    ],
)
def test_idle_connections_are_closed_only_without_a_request(
    arguments: tuple[bool, float, float, bool], reason: Reason
):
    assert idle_close_reason(*arguments) is reason


@pytest.mark.parametrize(
    ("arguments", "reason"),
    [
        ((True, True, 1.0, 2.0), Reason.ALLOWED),
        ((False, True, 1.0, 2.0), Reason.SERVER_NOT_ACCEPTING),
        ((True, False, 1.0, 2.0), Reason.SERVER_CHANGED),
        ((True, True, 2.0, 2.0), Reason.CONNECTION_STALE),
    ],
)
def test_connections_are_adopted_only_to_the_same_server(
    arguments: tuple[bool, bool, float, float], reason: Reason
):
    assert adoption_reason(*arguments) is reason
