"""Tests of the idle timeout: stale connections and rejections shorten it, and it is relaxed afterwards."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from rosewheel.node.idle_timeout import (
    MIN_REJECTION_LIMIT_S,
    MIN_STALE_LIMIT_S,
    RELAX_INTERVAL_S,
    IdleTimeout,
)

OBSERVATIONS = st.lists(
    st.tuples(st.sampled_from(["stale", "rejected", "relax"]), st.floats(0.0, 30.0)), max_size=60
)


@given(OBSERVATIONS, st.booleans())
def test_the_limit_stays_in_its_range_and_returns_to_the_configured_one(
    observations: list[tuple[str, float]], large_fleet: bool
):
    idle_timeout, now = IdleTimeout(30.0, large_fleet), 0.0
    for observation, elapsed_s in observations:
        now += elapsed_s
        before = idle_timeout.close_after_s
        if observation == "stale":
            idle_timeout.stale_connection_found(now, elapsed_s)
        elif observation == "rejected":
            idle_timeout.new_connection_rejected(now)
        else:
            idle_timeout.relax(now)
        assert (
            min(MIN_STALE_LIMIT_S, MIN_REJECTION_LIMIT_S)
            <= idle_timeout.close_after_s
            <= idle_timeout.configured_s
        )
        assert (
            idle_timeout.close_after_s >= before
            if observation == "relax"
            else idle_timeout.close_after_s <= before
        )
    for _ in range(20):
        now += RELAX_INTERVAL_S
        idle_timeout.relax(now)
    assert idle_timeout.close_after_s == idle_timeout.configured_s


def test_rejections_at_one_moment_count_once_and_do_not_shorten_reuse():
    idle_timeout = IdleTimeout(30.0, large_fleet=True)
    for index in range(9):
        idle_timeout.new_connection_rejected(index * 0.01)
    assert idle_timeout.rejection_limit_s == idle_timeout.configured_s / 2.0
    assert idle_timeout.stale_limit_s > idle_timeout.configured_s
