"""The rules of a hot restart without sockets: who owns a connection, and the position within chunked bodies."""

from __future__ import annotations

from typing import Any

import httptools
import pytest
from hypothesis import given
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from rosewheel.hot_restart.transfers import TransferTracker
from rosewheel.http.chunk_tracker import ChunkTracker
from rosewheel.http.errors import ChunkedEncodingError


class Ownership(RuleBasedStateMachine):
    """A sender, a receiver and the two queues between them.

    Either may be killed at any moment, and the sender may stop waiting at any. Each step is what `hot_restart` does,
    in the same order.
    """

    def __init__(self) -> None:
        super().__init__()
        self.transfers: TransferTracker[int] = TransferTracker(max_pending=3, ack_timeout_s=1.0)
        self.now = 0.0
        self.connections = 0
        self.offers: list[tuple[int, int]] = []  # not read by the receiver yet: number, connection
        self.receipts: list[tuple[str, int]] = []  # not read by the sender yet
        self.sender_alive = self.receiver_alive = self.channel_open = True
        self.revoked = False  # the byte in the pipe
        self.at_sender: set[int] = set()  # connections that the sender serves again
        self.at_receiver: set[int] = set()

    @precondition(lambda self: self.sender_alive and self.channel_open and self.transfers.has_room)
    @rule()
    def offer(self) -> None:
        self.connections += 1
        self.offers.append((self.transfers.offer(self.connections, self.now), self.connections))

    @precondition(lambda self: self.receiver_alive and self.offers)
    @rule(wanted=st.booleans())
    def read_offer(self, wanted: bool) -> None:
        number, connection = self.offers.pop(0)
        if not wanted:
            if self.channel_open and self.sender_alive:
                self.receipts.append(("rejected", number))
            elif not self.sender_alive and not self.revoked:
                self.closed = connection  # the sender is dead and the receiver can't use it: it ends
        elif self.channel_open and self.sender_alive:
            self.receipts.append(("accepted", number))
            self.at_receiver.add(connection)
        elif not self.revoked:
            self.at_receiver.add(connection)  # the sender was killed

    @precondition(lambda self: self.sender_alive and self.receipts)
    @rule()
    def read_receipt(self) -> None:
        receipt, number = self.receipts.pop(0)
        if receipt == "accepted":
            assert self.transfers.accept(number) is not None
            assert self.transfers.accept(number) is None, "a receipt counts once"
        else:
            connection = self.transfers.reject(number)
            assert connection is not None
            self.at_sender.add(connection)

    @precondition(lambda self: self.sender_alive and self.channel_open)
    @rule()
    def revoke(self) -> None:
        self.revoked = True
        self.channel_open = False
        while self.receipts:
            self.read_receipt()
        self.at_sender.update(self.transfers.reclaim_pending())

    @precondition(lambda self: self.receiver_alive)
    @rule()
    def kill_receiver(self) -> None:
        self.receiver_alive = False
        self.at_receiver.clear()
        self.offers.clear()
        if self.sender_alive and self.channel_open:
            self.channel_open = False
            while self.receipts:
                self.read_receipt()
            self.at_sender.update(self.transfers.reclaim_pending())

    @precondition(lambda self: self.sender_alive)
    @rule()
    def kill_sender(self) -> None:
        self.sender_alive = False
        self.at_sender.clear()
        self.receipts.clear()

    @rule(passed=st.floats(0.0, 2.0))
    def advance_time(self, passed: float) -> None:
        self.now += passed
        assert self.transfers.is_overdue(self.now) is False or self.transfers.pending_count > 0

    @invariant()
    def no_connection_has_two_owners(self) -> None:
        assert not self.at_sender & self.at_receiver
        assert self.transfers.pending_count <= 3

    def teardown(self) -> None:
        """At the end nothing is lost while both live: each connection is with one of them."""
        if self.sender_alive and self.receiver_alive and self.channel_open:
            while self.offers:
                number, connection = self.offers.pop(0)
                self.receipts.append(("accepted", number))
                self.at_receiver.add(connection)
            while self.receipts:
                self.read_receipt()
            assert self.transfers.pending_count == 0
            assert self.at_sender | self.at_receiver == set(range(1, self.connections + 1))


TestOwnership = Ownership.TestCase


# ------------------------------------------------------------------ framing

BODIES = st.lists(st.binary(min_size=1, max_size=40), max_size=5)
EXTRA = st.sampled_from([b"", b";a=b", b";x"])
TRAILERS = st.sampled_from([b"", b"A: b\r\n", b"A: b\r\nLong-Name: c\r\n"])


class Parsed:
    def __init__(self, parser: Any) -> None:
        self.parser = parser(self)
        self.body, self.over, self.quiet = b"", False, False

    def on_body(self, data: bytes) -> None:
        if not self.quiet:
            self.body += data

    def on_message_complete(self) -> None:
        self.over = True


def _wire(chunks: list[bytes], extra: bytes, trailers: bytes) -> bytes:
    lines = [b"%x%b\r\n%b\r\n" % (len(chunk), extra, chunk) for chunk in chunks]
    return b"".join((*lines, b"0\r\n", trailers, b"\r\n"))


def _fed(chunks: ChunkTracker, data: bytes, cuts: list[int]) -> None:
    at = 0
    for cut in sorted({min(cut, len(data)) for cut in cuts}):
        chunks.feed(data[at:cut])
        at = cut
    chunks.feed(data[at:])


@given(BODIES, EXTRA, TRAILERS, st.booleans(), st.floats(0, 1), st.lists(st.integers(0, 300), max_size=6))
def test_another_parser_goes_on_with_an_answer_wherever_it_was_cut(
    chunks, extra, trailers, interim, share, cuts
):
    head = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
    before = b"HTTP/1.1 103 Early\r\nA: b\r\n\r\n" if interim else b""
    wire = _wire(chunks, extra, trailers)
    cut = min(int(share * len(wire)), len(wire) - 1)
    place = ChunkTracker()
    _fed(place, before + head + wire[:cut], cuts)
    first, second = Parsed(httptools.HttpResponseParser), Parsed(httptools.HttpResponseParser)
    first.parser.feed_data(head + wire[:cut])
    second.quiet = True
    second.parser.feed_data(head + place.resume_prefix())
    second.quiet = False
    assert not second.over
    second.parser.feed_data(wire[cut:])
    assert second.over
    assert first.body + second.body == b"".join(chunks)


@given(BODIES, EXTRA, TRAILERS, st.floats(0, 1), st.lists(st.integers(0, 300), max_size=6))
def test_half_a_request_in_chunks_reads_the_same_again(chunks, extra, trailers, share, cuts):
    head = b"POST /api HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"
    wire = _wire(chunks, extra, trailers)
    cut = min(int(share * len(wire)), len(wire) - 1)
    place, first = ChunkTracker(), Parsed(httptools.HttpRequestParser)
    _fed(place, head + wire[:cut], cuts)
    first.parser.feed_data(head + wire[:cut])
    again = Parsed(httptools.HttpRequestParser)
    again.parser.feed_data(head + place.reencode(first.body))
    assert (again.body, again.over) == (first.body, False)
    again.parser.feed_data(wire[cut:])
    assert (again.body, again.over) == (b"".join(chunks), True)


@pytest.mark.parametrize("data", [b"zz\r\n", b"1\r\nabc\r\n", b"1" * 5000])
def test_what_is_no_chunk_is_not_followed(data):
    place = ChunkTracker()
    place.feed(b"HTTP/1.1 200 OK\r\n\r\n")
    with pytest.raises(ChunkedEncodingError):
        place.feed(data)
