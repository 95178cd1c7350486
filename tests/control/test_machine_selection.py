"""Machine selection and connection pacing: only nodes of a lost machine move, and at a limited rate."""

from __future__ import annotations

from collections import Counter
from random import Random

import pytest
from hypothesis import given
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies as st

from rosewheel.control.connection_pacer import WATCH_BURST, WATCHES_PER_S, ConnectionPacer
from rosewheel.control.machine_selection import RETURN_INTERVAL_S, MachineSelection, rendezvous_order
from rosewheel.control.timing import (
    CONNECT_TIMEOUT_S,
    FIRST_LINE_TIMEOUT_S,
    KEEPALIVE_INTERVAL_S,
    RECONNECT_BACKOFF_S,
    WATCH_IDLE_TIMEOUT_S,
)

MACHINES = ["c1", "c2", "c3", "c4"]
NODES = [f"fotos-{number}" for number in range(540)]


def test_nodes_spread_over_all_machines_and_those_of_a_lost_one_over_the_others():
    preferred = {node: rendezvous_order(node, MACHINES)[0] for node in NODES}
    counts = Counter(preferred.values())
    assert all(100 < counts[machine] < 170 for machine in MACHINES), counts  # an even share is 135
    for lost in MACHINES:
        others = [machine for machine in MACHINES if machine != lost]
        moved: Counter[str] = Counter()
        for node in NODES:
            if preferred[node] == lost:
                moved[rendezvous_order(node, MACHINES)[1]] += 1
                assert rendezvous_order(node, MACHINES)[1] == rendezvous_order(node, others)[0]
            else:
                assert rendezvous_order(node, others)[0] == preferred[node], (
                    "only nodes of the lost machine may move"
                )
        assert all(22 < moved[machine] < 70 for machine in others), moved


@given(st.text(min_size=1), st.lists(st.text(min_size=1), min_size=1, max_size=6, unique=True), st.randoms())
def test_the_order_depends_only_on_the_names(node: str, names: list[str], random: Random):
    shuffled = list(names)
    random.shuffle(shuffled)
    assert rendezvous_order(node, names) == rendezvous_order(node, shuffled)
    assert sorted(rendezvous_order(node, names)) == sorted(names)


def test_machines_are_tried_in_order_with_different_waits_for_each_node():
    selections = [MachineSelection(node, MACHINES, seed) for seed, node in enumerate(NODES)]
    for selection in selections:
        tried = [selection.current]
        for _ in range(3):
            assert 0.0 < selection.fail_over() <= RECONNECT_BACKOFF_S
            tried.append(selection.current)
        assert sorted(tried) == MACHINES
        selection.fail_over()
        assert selection.is_preferred
    waits = [selection.fail_over() for selection in selections]
    assert len(set(waits)) == len(waits)
    returns = [selection.draw_return_wait_s() for selection in selections]
    assert RETURN_INTERVAL_S[0] <= min(returns) < max(returns) <= RETURN_INTERVAL_S[1]
    assert Counter(int(wait) for wait in returns).most_common(1)[0][1] < 20, (
        "returns must be spread over time"
    )
    with pytest.raises(ValueError, match="no control machine"):
        MachineSelection("a", [], 1)


def test_reconnecting_after_a_partition_takes_at_most_five_and_a_half_seconds():
    lost_machine_s = CONNECT_TIMEOUT_S + RECONNECT_BACKOFF_S
    total_s = WATCH_IDLE_TIMEOUT_S + RECONNECT_BACKOFF_S + lost_machine_s + FIRST_LINE_TIMEOUT_S
    assert total_s <= 5.5
    assert KEEPALIVE_INTERVAL_S + 0.7 < WATCH_IDLE_TIMEOUT_S, "a working watch must not time out"


@given(st.lists(st.floats(0.0, 0.1), min_size=1, max_size=600))
@hypothesis_settings(deadline=None)
def test_watches_started_within_a_second_are_limited_by_rate_and_burst(gaps: list[float]):
    pacer, now, starts = ConnectionPacer(), 0.0, []
    for gap in gaps:
        now += gap
        wait = pacer.reserve(now)
        assert wait >= 0.0
        starts.append(now + wait)
    assert starts == sorted(starts)
    first = 0
    for index, start in enumerate(starts):
        while starts[first] < start - 1.0:
            first += 1
        assert index - first <= WATCHES_PER_S + WATCH_BURST + 1
    idle = ConnectionPacer()
    assert idle.reserve(0.0) == idle.reserve(10.0) == 0.0, "a single watch must not wait"


def test_watches_of_540_nodes_start_within_about_two_seconds():
    pacer = ConnectionPacer()
    assert max(pacer.reserve(0.0) for _ in range(540)) <= 2.1
