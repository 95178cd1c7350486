"""A body on its way: what is held, what is dropped, and what can be read again."""

from __future__ import annotations

import pytest

from rosewheel.http import body
from rosewheel.http.body import Body, Budget


def read_from(item: Body, at: int) -> tuple[list[bytes], int]:
    pieces = []
    while (piece := item.piece(at)) is not None:
        pieces.append(piece)
        at += 1
    return pieces, at


def test_a_small_body_can_be_read_again():
    budget = Budget(1000)
    item = Body(budget, lambda: None)
    for piece in (b"a", b"b", b"c"):
        item.add(piece)
    item.end()
    for _ in range(2):
        assert read_from(item, 0) == ([b"a", b"b", b"c"], 3)
    assert item.resendable
    assert (budget.used, item.held, item.size) == (3, 3, 3)
    item.release()
    assert (budget.used, item.held, item.resendable) == (0, 0, False)


@pytest.mark.parametrize(("hold", "share"), [(4, 1000), (1000, 4)])
def test_past_either_bound_a_body_passes_through(monkeypatch: pytest.MonkeyPatch, hold: int, share: int):
    """Guards memory: what has been passed on is let go of, and its writer is told that there is room."""
    monkeypatch.setattr(body, "HOLD_BYTES", hold)
    eased: list[int] = []
    budget = Budget(share)
    item = Body(budget, lambda: eased.append(item.held))
    item.add(b"abc")
    assert not item.streamed
    item.add(b"def")
    assert item.streamed
    assert item.resendable, "nothing of it has been let go of yet"
    pieces, at = read_from(item, 0)
    assert pieces == [b"abc", b"def"]
    assert (item.held, budget.used, eased, item.resendable) == (0, 0, [3, 0], False)
    item.add(b"g")
    assert read_from(item, at) == ([b"g"], 3)


def test_its_reader_hears_of_more_and_of_the_end():
    heard: list[tuple[int, bool]] = []
    item = Body(Budget(1000), lambda: None)
    item.reader = lambda: heard.append((item.size, item.complete))
    item.add(b"ab")
    item.end()
    assert heard == [(2, False), (2, True)]


def test_what_nobody_wants_is_counted_and_not_kept():
    """Guards memory after an early answer: the rest of the request still comes, and is read past."""
    budget = Budget(1000)
    item = Body(budget, lambda: None)
    item.add(b"ab")
    item.release()
    item.add(b"cd")
    assert (item.size, item.held, budget.used, list(item.pieces)) == (4, 0, 0, [])


def test_a_body_whose_reader_is_gone_is_read_up_to_its_share_again():
    """Guards the news of a caller's end, which stands behind its body, while the next attempt's connection comes up;
    and memory: what has been dropped does not come back, and who is not there any more is not asked for more."""
    eased: list[int] = []
    body = Body(Budget(1 << 20), lambda: eased.append(1))
    body.add(b"a")
    body.again()
    assert not body.read
    assert not eased  # nobody has read
    assert body.piece(0) == b"a"
    assert body.read
    body.again()
    assert not body.read
    assert len(eased) == 1
    body.streamed = True
    body.add(b"b")
    assert body.piece(1) == b"b"  # the first is dropped
    body.again()
    assert body.read
    assert not body.resendable


def test_no_body_holds_more_than_a_part_of_what_all_may():
    assert 0 < Budget(64 << 20).share <= (64 << 20) // 4
