"""A body on its way: what is held, what is dropped, and what can be read again."""

from __future__ import annotations

import pytest

from rosewheel.http import body
from rosewheel.http.body import BufferBudget, RequestBody


def read_from(item: RequestBody, at: int) -> tuple[list[bytes], int]:
    pieces = []
    while (piece := item.segment(at)) is not None:
        pieces.append(piece)
        at += 1
    return pieces, at


def test_buffered_body_can_be_replayed():
    budget = BufferBudget(1000)
    item = RequestBody(budget, lambda: None)
    for piece in (b"a", b"b", b"c"):
        item.append(piece)
    item.finish()
    for _ in range(2):
        assert read_from(item, 0) == ([b"a", b"b", b"c"], 3)
    assert item.replayable
    assert (budget.used_bytes, item.buffered_bytes, item.received_bytes) == (3, 3, 3)
    item.release()
    assert (budget.used_bytes, item.buffered_bytes, item.replayable) == (0, 0, False)


@pytest.mark.parametrize(("hold", "share"), [(4, 1000), (1000, 4)])
def test_body_over_either_limit_is_streamed(monkeypatch: pytest.MonkeyPatch, hold: int, share: int):
    """Guards memory: what has been passed on is let go of, and its writer is told that there is room."""
    monkeypatch.setattr(body, "MAX_BUFFERED_BODY_BYTES", hold)
    eased: list[int] = []
    budget = BufferBudget(share)
    item = RequestBody(budget, lambda: eased.append(item.buffered_bytes))
    item.append(b"abc")
    assert not item.streaming
    item.append(b"def")
    assert item.streaming
    assert item.replayable, "nothing of it has been let go of yet"
    pieces, at = read_from(item, 0)
    assert pieces == [b"abc", b"def"]
    assert (item.buffered_bytes, budget.used_bytes, eased, item.replayable) == (0, 0, [3, 0], False)
    item.append(b"g")
    assert read_from(item, at) == ([b"g"], 3)


def test_reader_is_notified_of_data_and_end():
    heard: list[tuple[int, bool]] = []
    item = RequestBody(BufferBudget(1000), lambda: None)
    item.on_data = lambda: heard.append((item.received_bytes, item.complete))
    item.append(b"ab")
    item.finish()
    assert heard == [(2, False), (2, True)]


def test_released_body_is_counted_and_not_kept():
    """Guards memory after an early answer: the rest of the request still comes, and is read past."""
    budget = BufferBudget(1000)
    item = RequestBody(budget, lambda: None)
    item.append(b"ab")
    item.release()
    item.append(b"cd")
    assert (item.received_bytes, item.buffered_bytes, budget.used_bytes, list(item.segments)) == (4, 0, 0, [])


def test_body_without_reader_is_buffered_up_to_its_share_again():
    """Guards the news of a client's end, which stands behind its body, while the next attempt's connection comes up;
    and memory: what has been dropped does not come back, and who is not there any more is not asked for more."""
    eased: list[int] = []
    body = RequestBody(BufferBudget(1 << 20), lambda: eased.append(1))
    body.append(b"a")
    body.rewind()
    assert not body.reading_started
    assert not eased  # nobody has read
    assert body.segment(0) == b"a"
    assert body.reading_started
    body.rewind()
    assert not body.reading_started
    assert len(eased) == 1
    body.streaming = True
    body.append(b"b")
    assert body.segment(1) == b"b"  # the first is dropped
    body.rewind()
    assert body.reading_started
    assert not body.replayable


def test_connection_share_is_a_part_of_the_budget():
    assert 0 < BufferBudget(64 << 20).connection_share_bytes <= (64 << 20) // 4
