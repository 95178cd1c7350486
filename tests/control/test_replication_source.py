"""Selection of the machine that a follower watches."""

from __future__ import annotations

from random import Random

from rosewheel.control.replication_source import LEADER_RETURN_DELAY_S, ReplicationSource, SourceAction

PEERS = ["c1", "c2", "c3"]


def source() -> ReplicationSource:
    return ReplicationSource("c4", PEERS, Random(1))


def test_the_leader_is_watched_and_kept():
    one = source()
    assert one.reconcile("c1", True, 0.0) is SourceAction.OPEN
    assert one.current == "c1"
    assert one.reconcile("c1", True, 100.0) is SourceAction.KEEP


def test_a_new_leader_is_watched_at_once():
    one = source()
    one.reconcile("c1", True, 0.0)
    assert one.reconcile("c2", False, 0.1) is SourceAction.OPEN
    assert one.current == "c2"


def test_a_leader_and_a_machine_that_knows_no_leader_watch_no_machine():
    one = source()
    one.reconcile("c1", True, 0.0)
    for leader in ("c4", ""):
        assert one.reconcile(leader, False, 1.0) is SourceAction.STOP
        assert one.current == ""


def test_a_leader_that_is_no_peer_is_replaced_by_a_peer():
    one = source()
    assert one.reconcile("c9", False, 0.0) is SourceAction.OPEN
    assert one.current == "c1"
    assert one.after_failure("c9", PEERS) in ("c2", "c3")


def test_after_the_leader_fails_another_live_peer_is_tried_and_then_the_leader():
    one = source()
    one.reconcile("c1", True, 0.0)
    assert one.after_failure("c1", ["c1", "c3"]) == "c3"
    assert one.after_failure("c1", []) == "c1"
    one.select("c3", 1.0)
    assert one.after_failure("c1", ["c2", "c3"]) == "c1"


def test_the_leader_is_watched_again_once_it_answers_after_a_minimum_time():
    one = source()
    one.reconcile("c1", True, 0.0)
    one.select("c3", 1.0)
    assert one.reconcile("c1", True, 1.0 + LEADER_RETURN_DELAY_S) is SourceAction.KEEP
    assert one.reconcile("c1", False, 2.1 + LEADER_RETURN_DELAY_S) is SourceAction.KEEP
    assert one.reconcile("c1", True, 2.1 + LEADER_RETURN_DELAY_S) is SourceAction.OPEN
    assert one.current == "c1"
