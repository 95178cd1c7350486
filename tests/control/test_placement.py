"""Which machine a node goes to: alike on all, only the nodes of a lost one move, and no crowd comes at one moment."""

from __future__ import annotations

from collections import Counter

import pytest
from hypothesis import given
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies as st

from rosewheel.control import streams
from rosewheel.control.placement import (
    BURST,
    CONNECT_S,
    FIRST_S,
    PACE_PER_S,
    RETURN_S,
    SILENCE_S,
    WAIT_S,
    Pace,
    Route,
    order,
)

MACHINES = ["c1", "c2", "c3", "c4"]
NODES = [f"fotos-{at}" for at in range(540)]


def test_nodes_are_spread_over_all_and_those_of_a_lost_one_over_the_others():
    first = {node: order(node, MACHINES)[0] for node in NODES}
    counts = Counter(first.values())
    assert all(100 < counts[machine] < 170 for machine in MACHINES), counts  # 135 +/- 10 where it is even
    for lost in MACHINES:
        others = [machine for machine in MACHINES if machine != lost]
        moved = Counter()
        for node in NODES:
            if first[node] == lost:
                moved[order(node, MACHINES)[1]] += 1
                assert order(node, MACHINES)[1] == order(node, others)[0]
            else:
                assert order(node, others)[0] == first[node], "nobody else moves"
        assert all(22 < moved[machine] < 70 for machine in others), moved


@given(st.text(min_size=1), st.lists(st.text(min_size=1), min_size=1, max_size=6, unique=True), st.randoms())
def test_the_order_is_that_of_the_names_alone(node: str, names: list[str], random):
    shuffled = list(names)
    random.shuffle(shuffled)
    assert order(node, names) == order(node, shuffled)
    assert sorted(order(node, names)) == sorted(names)


def test_each_machine_is_tried_in_turn_with_waits_of_the_nodes_own():
    routes = [Route(node, MACHINES, seed) for seed, node in enumerate(NODES)]
    for route in routes:
        tried = [route.current]
        for _ in range(3):
            assert 0.0 < route.lost() <= WAIT_S
            tried.append(route.current)
        assert sorted(tried) == MACHINES
        route.lost()
        assert route.preferred
    waits = [route.lost() for route in routes]
    assert len(set(waits)) == len(waits)
    returns = [route.return_s() for route in routes]
    assert RETURN_S[0] <= min(returns) < max(returns) <= RETURN_S[1]
    assert Counter(int(wait) for wait in returns).most_common(1)[0][1] < 20, "no second brings a crowd back"
    with pytest.raises(ValueError, match="no control machine"):
        Route("a", [], 1)


def test_the_chain_of_waits_after_a_cut_leaves_half_a_second_of_six():
    one_that_is_lost = CONNECT_S + WAIT_S
    assert SILENCE_S + WAIT_S + one_that_is_lost + FIRST_S <= 5.5
    assert streams.EMPTY_S + 0.7 < SILENCE_S, "one that lives is not taken for silent"


@given(st.lists(st.floats(0.0, 0.1), min_size=1, max_size=600))
@hypothesis_settings(deadline=None)
def test_no_second_takes_on_more_than_the_pace_and_the_burst(gaps: list[float]):
    pace, now, turns = Pace(), 0.0, []
    for gap in gaps:
        now += gap
        wait = pace.turn(now)
        assert wait >= 0.0
        turns.append(now + wait)
    assert turns == sorted(turns)
    start = 0
    for at, turn in enumerate(turns):
        while turns[start] < turn - 1.0:
            start += 1
        assert at - start <= PACE_PER_S + BURST + 1
    alone = Pace()
    assert alone.turn(0.0) == alone.turn(10.0) == 0.0, "one that comes alone does not wait"


def test_all_nodes_on_the_last_machine_are_taken_on_in_time():
    pace = Pace()
    assert max(pace.turn(0.0) for _ in range(540)) <= 2.1
