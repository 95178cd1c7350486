"""What decides at a handover, without sockets: the ledger of offers, the place in a framing, packets."""

from __future__ import annotations

from typing import Any

import httptools
import pytest
from hypothesis import given
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from rosewheel.hot_restart.transfers import TransferLedger
from rosewheel.hot_restart.wire import PACKET_BYTES, MessageReader, ProtocolError, encode_packets
from rosewheel.http.chunk_tracker import ChunkTracker
from rosewheel.http.errors import ChunkedEncodingError


class Ownership(RuleBasedStateMachine):
    """A giver, a taker and the two queues between them. Either may die at any moment, the giver may lose patience at
    any; what each does is what `handover` does, in the same order."""

    def __init__(self) -> None:
        super().__init__()
        self.transfers: TransferLedger[int] = TransferLedger(window=3, patience_s=1.0)
        self.now = 0.0
        self.items = 0
        self.sent: list[tuple[int, int]] = []  # offers that the taker has not read: number, item
        self.receipts: list[tuple[str, int]] = []  # words that the giver has not read
        self.giver = self.taker = self.link = True
        self.flag = False  # the byte in the pipe
        self.at_giver: set[int] = set()  # items that the giver serves again
        self.at_taker: set[int] = set()

    @precondition(lambda self: self.giver and self.link and self.transfers.has_room)
    @rule()
    def offer(self) -> None:
        self.items += 1
        self.sent.append((self.transfers.offer(self.items, self.now), self.items))

    @precondition(lambda self: self.taker and self.sent)
    @rule(wanted=st.booleans())
    def read_offer(self, wanted: bool) -> None:
        number, item = self.sent.pop(0)
        if not wanted:
            if self.link and self.giver:
                self.receipts.append(("no", number))
            elif not self.giver and not self.flag:
                self.dropped = item  # the giver is dead and nobody wants it: it ends
        elif self.link and self.giver:
            self.receipts.append(("took", number))
            self.at_taker.add(item)
        elif not self.flag:
            self.at_taker.add(item)  # the giver has died without a word

    @precondition(lambda self: self.giver and self.receipts)
    @rule()
    def read_receipt(self) -> None:
        word, number = self.receipts.pop(0)
        if word == "took":
            assert self.transfers.accept(number) is not None
            assert self.transfers.accept(number) is None, "a receipt counts once"
        else:
            item = self.transfers.reject(number)
            assert item is not None
            self.at_giver.add(item)

    @precondition(lambda self: self.giver and self.link)
    @rule()
    def revoke(self) -> None:
        self.flag = True
        self.link = False
        while self.receipts:
            self.read_receipt()
        self.at_giver.update(self.transfers.take_back())

    @precondition(lambda self: self.taker)
    @rule()
    def taker_dies(self) -> None:
        self.taker = False
        self.at_taker.clear()
        self.sent.clear()
        if self.giver and self.link:
            self.link = False
            while self.receipts:
                self.read_receipt()
            self.at_giver.update(self.transfers.take_back())

    @precondition(lambda self: self.giver)
    @rule()
    def giver_dies(self) -> None:
        self.giver = False
        self.at_giver.clear()
        self.receipts.clear()

    @rule(passed=st.floats(0.0, 2.0))
    def time(self, passed: float) -> None:
        self.now += passed
        assert self.transfers.overdue(self.now) is False or self.transfers.pending_count > 0

    @invariant()
    def one_owner(self) -> None:
        assert not self.at_giver & self.at_taker
        assert self.transfers.pending_count <= 3

    def teardown(self) -> None:
        """At the end nothing is lost while both live: each item is with one of them."""
        if self.giver and self.taker and self.link:
            while self.sent:
                number, item = self.sent.pop(0)
                self.receipts.append(("took", number))
                self.at_taker.add(item)
            while self.receipts:
                self.read_receipt()
            assert self.transfers.pending_count == 0
            assert self.at_giver | self.at_taker == set(range(1, self.items + 1))


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


# ------------------------------------------------------------------- packets


@given(st.binary(max_size=100_000), st.dictionaries(st.text(max_size=5), st.integers(0, 9), max_size=4))
def test_a_message_and_its_bytes_come_back(blob, content):
    reader = MessageReader()
    sent = encode_packets({**content, "t": "give"}, blob)
    assert all(len(packet) <= PACKET_BYTES for packet in sent)
    heard = [whole for packet in sent if (whole := reader.feed(packet)) is not None]
    assert heard == [({**content, "t": "give"}, blob)]


@given(st.binary(max_size=200))
def test_what_is_no_packet_is_told_so(data):
    try:
        whole = MessageReader().feed(data)
    except ProtocolError:
        return
    assert whole is None or isinstance(whole[0]["t"], str)
