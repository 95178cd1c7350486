"""Which node has which version in force, as nodes, machines and the writer tell one another."""

from __future__ import annotations

from dataclasses import replace

import pytest
from hypothesis import given
from hypothesis import strategies as st

from rosewheel.control.node_registry import NODE_EXPIRY_S, NodeRegistry, NodeStatus, decode_node_status
from rosewheel.control.revisions import INITIAL_REVISION, Revision


def at(version: int, epoch: int = 1) -> Revision:
    return Revision(epoch, "c1", version)


def told(node: str = "n1", machine: str = "c2", stamp: int = 1, held: int = 1, **more) -> NodeStatus:
    return NodeStatus(node, "fotos", machine, stamp, at(held), **more)


def ages(version: int) -> float:
    return 100.0 - version


WORDS = st.lists(
    st.builds(
        lambda node, machine, stamp, held: told(f"n{node}", f"c{machine}", stamp, held),
        st.integers(0, 3),
        st.integers(1, 3),
        st.integers(1, 30),
        st.integers(0, 5),
    ),
    max_size=30,
    unique_by=lambda word: (word.node, word.stamp),
)


@given(WORDS, st.randoms())
def test_the_last_word_of_a_node_counts_in_whichever_order_it_comes(words: list[NodeStatus], random):
    fleet, other = NodeRegistry(), NodeRegistry()
    for word in words:
        fleet.record(word, 0.0)
    random.shuffle(words)
    for word in words:
        other.record(word, 0.0)
    last = {word.node: word for word in sorted(words, key=lambda word: word.stamp)}
    for one in (fleet, other):
        assert {node: entry.status for node, entry in one.entries.items()} == last


@given(WORDS)
def test_the_writer_knows_by_batches_what_the_machines_know(words: list[NodeStatus]):
    machine, writer = NodeRegistry(), NodeRegistry()
    for index, word in enumerate(words):
        machine.record(word, 0.0)
        if index % 3 == 0:
            for row in machine.take_changes():
                writer.record(decode_node_status(row), 0.0)
    for row in machine.take_changes():
        writer.record(decode_node_status(row), 0.0)
    assert machine.take_changes() == []
    assert {node: entry.status for node, entry in writer.entries.items()} == {
        node: entry.status for node, entry in machine.entries.items()
    }


def test_a_node_that_moved_is_not_gone_when_the_machine_it_left_says_so_late():
    fleet = NodeRegistry()
    fleet.record(told(machine="c1", stamp=5), 0.0)
    fleet.record(told(machine="c2", stamp=6), 1.0)
    fleet.disconnected("n1", "c1", 2.0)
    assert not fleet.record(replace(told(machine="c1", stamp=5), connected=False), 2.0)
    assert fleet.entries["n1"].status.connected
    fleet.disconnected("n1", "c2", 3.0)
    assert not fleet.entries["n1"].status.connected


def test_status_tells_who_is_behind_for_how_long_who_refused_why_and_who_is_away():
    fleet = NodeRegistry()
    fleet.record(told("good", held=9), 0.0)
    fleet.record(told("late", held=7), 0.0)
    why = "class[0].aim_ms: too long"
    fleet.record(told("cannot", held=8, rejected=at(9), reason=why), 0.0)
    fleet.record(told("away", held=3), 0.0)
    fleet.disconnected("away", "c2", 5.0)
    fleet.record(NodeStatus("new", "fotos", "c1", 1, INITIAL_REVISION), 40.0)
    row = fleet.report(at(9), 50.0, ages, whole=True)
    assert (row["nodes"], row["in_force"], row["behind"], row["refused"], row["away"]) == (5, 1, 3, 1, 1)
    behind = {node["node"]: node["behind_s"] for node in row["behind_nodes"]}
    assert behind == {"late": 100.0 - 8, "cannot": 100.0 - 9, "new": 10.0}
    assert row["longest_behind_s"] == 92.0
    assert [(node["node"], node["refused"], node["why"]) for node in row["refused_nodes"]] == [
        ("cannot", 9, why)
    ]
    assert [node["node"] for node in row["away_nodes"]] == ["away"]
    assert {entry["version"]: entry["nodes"] for entry in row["versions"]} == {9: 1, 8: 1, 7: 1, 3: 1, 0: 1}
    assert len(row["all"]) == 5


def test_a_node_that_is_gone_for_long_is_forgotten_and_one_that_is_there_is_not():
    fleet = NodeRegistry()
    for node in ("here", "gone", "lost"):
        fleet.record(told(node, machine="c3" if node == "lost" else "c2"), 0.0)
    fleet.disconnected("gone", "c2", 10.0)
    fleet.machine_lost("c3", 20.0)
    assert fleet.expire(NODE_EXPIRY_S + 15.0) == 1
    assert fleet.expire(NODE_EXPIRY_S + 25.0) == 1
    assert set(fleet.entries) == {"here"}


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
def test_a_malformed_word_is_none(row: object):
    with pytest.raises((TypeError, ValueError)):
        decode_node_status(row)


def test_what_540_nodes_say_costs_each_word_once():
    """Linear: as many rows are passed on as nodes have something new, whatever the size of the fleet."""
    fleet = NodeRegistry()
    for number in range(540):
        fleet.record(told(f"n{number}", held=1), 0.0)
    assert len(fleet.take_changes()) == 540
    for number in range(135):
        fleet.record(told(f"n{number}", stamp=2, held=2), 1.0)
        fleet.record(told(f"n{number}", stamp=3, held=3), 1.0)
    assert len(fleet.take_changes()) == 135
