"""How long connections may rest: what resets and refusals teach, and how it is forgotten."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from rosewheel.node.idle_timeout import CROWDED_LEAST_S, FORGET_S, STALE_LEAST_S, Rest

SAID = st.lists(st.tuples(st.sampled_from(["stale", "refused", "forget"]), st.floats(0.0, 30.0)), max_size=60)


@given(SAID, st.booleans())
def test_whatever_is_taught_a_connection_may_rest_for_a_while_and_never_for_too_long(
    said: list[tuple[str, float]], crowds: bool
):
    rest, now = Rest(30.0, crowds), 0.0
    for what, passed in said:
        now += passed
        before = rest.limit_s
        if what == "stale":
            rest.stale(now, passed)
        elif what == "refused":
            rest.refused(now)
        else:
            rest.forget(now)
        assert min(STALE_LEAST_S, CROWDED_LEAST_S) <= rest.limit_s <= rest.longest_s
        assert rest.limit_s >= before if what == "forget" else rest.limit_s <= before
    for _ in range(20):
        now += FORGET_S
        rest.forget(now)
    assert rest.limit_s == rest.longest_s


def test_refusals_at_one_moment_count_once_and_do_not_spoil_what_may_be_used():
    rest = Rest(30.0, crowds=True)
    for at in range(9):
        rest.refused(at * 0.01)
    assert rest.kept_s == rest.longest_s / 2.0
    assert rest.usable_s > rest.longest_s
