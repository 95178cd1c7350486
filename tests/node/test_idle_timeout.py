"""How long connections may rest: what resets and refusals teach, and how it is forgotten."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from rosewheel.node.idle_timeout import MIN_REFUSAL_LIMIT_S, MIN_STALE_LIMIT_S, RELAX_INTERVAL_S, IdleTimeout

SAID = st.lists(st.tuples(st.sampled_from(["stale", "refused", "forget"]), st.floats(0.0, 30.0)), max_size=60)


@given(SAID, st.booleans())
def test_whatever_is_taught_a_connection_may_rest_for_a_while_and_never_for_too_long(
    said: list[tuple[str, float]], crowds: bool
):
    rest, now = IdleTimeout(30.0, crowds), 0.0
    for what, passed in said:
        now += passed
        before = rest.close_after_s
        if what == "stale":
            rest.stale_connection_found(now, passed)
        elif what == "refused":
            rest.new_connection_refused(now)
        else:
            rest.relax(now)
        assert min(MIN_STALE_LIMIT_S, MIN_REFUSAL_LIMIT_S) <= rest.close_after_s <= rest.configured_s
        assert rest.close_after_s >= before if what == "forget" else rest.close_after_s <= before
    for _ in range(20):
        now += RELAX_INTERVAL_S
        rest.relax(now)
    assert rest.close_after_s == rest.configured_s


def test_refusals_at_one_moment_count_once_and_do_not_spoil_what_may_be_used():
    rest = IdleTimeout(30.0, large_fleet=True)
    for at in range(9):
        rest.new_connection_refused(at * 0.01)
    assert rest.refusal_limit_s == rest.configured_s / 2.0
    assert rest.stale_limit_s > rest.configured_s
