"""The node registry, forwarding of statuses to the leader, and the fleet report."""

from __future__ import annotations

from dataclasses import replace
from random import Random
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st

from rosewheel.control.codec.watch import decode_node_status, encode_node_status
from rosewheel.control.errors import MalformedMessageError
from rosewheel.control.fleet_report import FleetReporter
from rosewheel.control.messages import NodeStatus
from rosewheel.control.node_registry import NODE_EXPIRY_S, NodeRegistry
from rosewheel.control.revisions import INITIAL_REVISION, Revision


def revision(number: int, epoch_number: int = 1) -> Revision:
    return Revision(epoch_number, "c1", number)


def node_status(
    node: str = "n1", machine: str = "c2", stamp: int = 1, applied: int = 1, **fields: Any
) -> NodeStatus:
    return NodeStatus(node, "fotos", machine, stamp, revision(applied), **fields)


def age_s(number: int) -> float:
    return 100.0 - number


STATUSES = st.lists(
    st.builds(
        lambda node, machine, stamp, applied: node_status(f"n{node}", f"c{machine}", stamp, applied),
        st.integers(0, 3),
        st.integers(1, 3),
        st.integers(1, 30),
        st.integers(0, 5),
    ),
    max_size=30,
    unique_by=lambda status: (status.node, status.stamp),
)


def statuses_by_node(registry: NodeRegistry) -> dict[str, NodeStatus]:
    return {node: entry.status for node, entry in registry.entries.items()}


@given(STATUSES, st.randoms())
def test_the_status_with_the_highest_stamp_wins_in_any_order_of_arrival(
    statuses: list[NodeStatus], random: Random
):
    registry, other = NodeRegistry(), NodeRegistry()
    for status in statuses:
        registry.record(status, 0.0)
    random.shuffle(statuses)
    for status in statuses:
        other.record(status, 0.0)
    latest = {status.node: status for status in sorted(statuses, key=lambda status: status.stamp)}
    for one in (registry, other):
        assert statuses_by_node(one) == latest


@given(STATUSES)
def test_forwarded_batches_give_the_leader_the_statuses_of_the_machine(statuses: list[NodeStatus]):
    machine, leader = NodeRegistry(), NodeRegistry()

    def forward_changes() -> None:
        for status in machine.take_changes():
            leader.record(decode_node_status(encode_node_status(status)), 0.0)

    for index, status in enumerate(statuses):
        machine.record(status, 0.0)
        if index % 3 == 0:
            forward_changes()
    forward_changes()
    assert machine.take_changes() == []
    assert statuses_by_node(leader) == statuses_by_node(machine)


def test_a_late_report_of_the_previous_machine_does_not_disconnect_a_node_that_moved():
    registry = NodeRegistry()
    registry.record(node_status(machine="c1", stamp=5), 0.0)
    registry.record(node_status(machine="c2", stamp=6), 1.0)
    registry.disconnected("n1", "c1", 2.0)
    assert not registry.record(replace(node_status(machine="c1", stamp=5), connected=False), 2.0)
    assert registry.entries["n1"].status.connected
    registry.disconnected("n1", "c2", 3.0)
    assert not registry.entries["n1"].status.connected


def test_the_report_lists_behind_rejecting_and_disconnected_nodes():
    registry = NodeRegistry()
    registry.record(node_status("good", applied=9), 0.0)
    registry.record(node_status("late", applied=7), 0.0)
    reason = "class[0].aim_ms: too long"
    registry.record(node_status("cannot", applied=8, rejected=revision(9), reason=reason), 0.0)
    registry.record(node_status("away", applied=3), 0.0)
    registry.disconnected("away", "c2", 5.0)
    registry.record(NodeStatus("new", "fotos", "c1", 1, INITIAL_REVISION), 40.0)
    report = FleetReporter(revision(9), 50.0, age_s).report(registry, include_all=True)
    counts = (
        *(report.nodes, report.up_to_date, report.behind_count),
        *(report.rejected_count, report.disconnected_count),
    )
    assert counts == (5, 1, 3, 1, 1)
    behind = {node.status.node: node.behind_for_s for node in report.behind}
    assert behind == {"late": 100.0 - 8, "cannot": 100.0 - 9, "new": 10.0}
    assert report.longest_behind_s == 92.0
    assert [(node.status.node, node.status.rejected, node.status.reason) for node in report.rejected] == [
        ("cannot", revision(9), reason)
    ]
    assert [node.status.node for node in report.disconnected] == ["away"]
    assert {count.revision.number: count.nodes for count in report.revisions} == {
        **{9: 1, 8: 1, 7: 1},
        **{3: 1, 0: 1},
    }
    assert report.all_nodes is not None
    assert len(report.all_nodes) == 5


def test_only_nodes_that_have_been_disconnected_for_the_expiry_time_expire():
    registry = NodeRegistry()
    for node in ("here", "gone", "lost"):
        registry.record(node_status(node, machine="c3" if node == "lost" else "c2"), 0.0)
    registry.disconnected("gone", "c2", 10.0)
    registry.machine_lost("c3", 20.0)
    assert registry.expire(NODE_EXPIRY_S + 15.0) == 1
    assert registry.expire(NODE_EXPIRY_S + 25.0) == 1
    assert set(registry.entries) == {"here"}


@pytest.mark.parametrize(
    "row",
    [
        [],
        ["", "s", "c1", 1, [1, "c1", 1], None, "", True],
        ["n", "s", "c1", "1", [1, "c1", 1], None, "", True],
        ["n", "s", "c1", 1, [1, "c1"], None, "", True],
        ["n" * 500, "s", "c1", 1, [1, "c1", 1], None, "", True],
        None,
    ],
)
def test_a_malformed_status_is_refused(row: object):
    with pytest.raises(MalformedMessageError):
        decode_node_status(row)


def test_each_changed_status_of_540_nodes_is_forwarded_once():
    """The number of forwarded statuses is the number of changed nodes, regardless of the size of the fleet."""
    registry = NodeRegistry()
    for number in range(540):
        registry.record(node_status(f"n{number}", applied=1), 0.0)
    assert len(registry.take_changes()) == 540
    for number in range(135):
        registry.record(node_status(f"n{number}", stamp=2, applied=2), 1.0)
        registry.record(node_status(f"n{number}", stamp=3, applied=3), 1.0)
    assert len(registry.take_changes()) == 135
