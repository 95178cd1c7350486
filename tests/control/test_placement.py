"""Which machine a node goes to: alike on all, only the nodes of a lost one move, and no crowd comes at one moment."""

from __future__ import annotations

from collections import Counter

import pytest
from hypothesis import given
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies as st

from rosewheel.control import watches
from rosewheel.control.machine_selection import (
    CONNECT_TIMEOUT_S,
    FIRST_LINE_TIMEOUT_S,
    RECONNECT_BACKOFF_S,
    RETURN_INTERVAL_S,
    WATCH_BURST,
    WATCH_IDLE_TIMEOUT_S,
    WATCHES_PER_S,
    ConnectionPacer,
    MachineSelection,
    rendezvous_order,
)

MACHINES = ["c1", "c2", "c3", "c4"]
NODES = [f"fotos-{at}" for at in range(540)]


def test_nodes_are_spread_over_all_and_those_of_a_lost_one_over_the_others():
    first = {node: rendezvous_order(node, MACHINES)[0] for node in NODES}
    counts = Counter(first.values())
    assert all(100 < counts[machine] < 170 for machine in MACHINES), counts  # 135 +/- 10 where it is even
    for lost in MACHINES:
        others = [machine for machine in MACHINES if machine != lost]
        moved = Counter()
        for node in NODES:
            if first[node] == lost:
                moved[rendezvous_order(node, MACHINES)[1]] += 1
                assert rendezvous_order(node, MACHINES)[1] == rendezvous_order(node, others)[0]
            else:
                assert rendezvous_order(node, others)[0] == first[node], "nobody else moves"
        assert all(22 < moved[machine] < 70 for machine in others), moved


@given(st.text(min_size=1), st.lists(st.text(min_size=1), min_size=1, max_size=6, unique=True), st.randoms())
def test_the_order_is_that_of_the_names_alone(node: str, names: list[str], random):
    shuffled = list(names)
    random.shuffle(shuffled)
    assert rendezvous_order(node, names) == rendezvous_order(node, shuffled)
    assert sorted(rendezvous_order(node, names)) == sorted(names)


def test_each_machine_is_tried_in_turn_with_waits_of_the_nodes_own():
    routes = [MachineSelection(node, MACHINES, seed) for seed, node in enumerate(NODES)]
    for route in routes:
        tried = [route.current]
        for _ in range(3):
            assert 0.0 < route.fail_over() <= RECONNECT_BACKOFF_S
            tried.append(route.current)
        assert sorted(tried) == MACHINES
        route.fail_over()
        assert route.is_preferred
    waits = [route.fail_over() for route in routes]
    assert len(set(waits)) == len(waits)
    returns = [route.draw_return_wait_s() for route in routes]
    assert RETURN_INTERVAL_S[0] <= min(returns) < max(returns) <= RETURN_INTERVAL_S[1]
    assert Counter(int(wait) for wait in returns).most_common(1)[0][1] < 20, "no second brings a crowd back"
    with pytest.raises(ValueError, match="no control machine"):
        MachineSelection("a", [], 1)


def test_the_chain_of_waits_after_a_cut_leaves_half_a_second_of_six():
    one_that_is_lost = CONNECT_TIMEOUT_S + RECONNECT_BACKOFF_S
    assert WATCH_IDLE_TIMEOUT_S + RECONNECT_BACKOFF_S + one_that_is_lost + FIRST_LINE_TIMEOUT_S <= 5.5
    assert watches.KEEPALIVE_INTERVAL_S + 0.7 < WATCH_IDLE_TIMEOUT_S, "one that lives is not taken for silent"


@given(st.lists(st.floats(0.0, 0.1), min_size=1, max_size=600))
@hypothesis_settings(deadline=None)
def test_no_second_takes_on_more_than_the_pace_and_the_burst(gaps: list[float]):
    pace, now, turns = ConnectionPacer(), 0.0, []
    for gap in gaps:
        now += gap
        wait = pace.reserve(now)
        assert wait >= 0.0
        turns.append(now + wait)
    assert turns == sorted(turns)
    start = 0
    for at, turn in enumerate(turns):
        while turns[start] < turn - 1.0:
            start += 1
        assert at - start <= WATCHES_PER_S + WATCH_BURST + 1
    alone = ConnectionPacer()
    assert alone.reserve(0.0) == alone.reserve(10.0) == 0.0, "one that comes alone does not wait"


def test_all_nodes_on_the_last_machine_are_taken_on_in_time():
    pace = ConnectionPacer()
    assert max(pace.reserve(0.0) for _ in range(540)) <= 2.1
