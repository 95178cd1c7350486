"""Hot restart without sockets: the ownership of connections, and resuming the parsing of chunked bodies."""

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
    """A model of a sender, a receiver and the two queues between them.

    Either may be killed at any moment, and the sender may revoke its offers at any moment. Each rule performs the
    steps of `hot_restart` in the same order.
    """

    def __init__(self) -> None:
        super().__init__()
        self.transfers: TransferTracker[int] = TransferTracker(max_pending=3, ack_timeout_s=1.0)
        self.now = 0.0
        self.connections = 0
        self.offers: list[tuple[int, int]] = []  # number and connection, not read by the receiver yet
        self.answers: list[tuple[str, int]] = []  # answer and number, not read by the sender yet
        self.sender_alive = self.receiver_alive = self.channel_open = True
        self.revoked = False  # whether the revocation byte is in the pipe
        self.at_sender: set[int] = set()  # connections that returned to the sender
        self.at_receiver: set[int] = set()

    @precondition(lambda self: self.sender_alive and self.channel_open and self.transfers.may_offer)
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
                self.answers.append(("rejected", number))
            elif not self.sender_alive and not self.revoked:
                self.closed = connection  # neither process serves it any more
        elif self.channel_open and self.sender_alive:
            self.answers.append(("accepted", number))
            self.at_receiver.add(connection)
        elif not self.revoked:
            self.at_receiver.add(connection)  # the sender was killed

    @precondition(lambda self: self.sender_alive and self.answers)
    @rule()
    def read_answer(self) -> None:
        answer, number = self.answers.pop(0)
        if answer == "accepted":
            assert self.transfers.accept(number) is not None
            assert self.transfers.accept(number) is None, "an acknowledgement counts once"
        else:
            connection = self.transfers.reject(number)
            assert connection is not None
            self.at_sender.add(connection)

    @precondition(lambda self: self.sender_alive and self.channel_open)
    @rule()
    def revoke(self) -> None:
        self.revoked = True
        self.channel_open = False
        while self.answers:
            self.read_answer()
        self.at_sender.update(self.transfers.reclaim_pending())

    @precondition(lambda self: self.receiver_alive)
    @rule()
    def kill_receiver(self) -> None:
        self.receiver_alive = False
        self.at_receiver.clear()
        self.offers.clear()
        if self.sender_alive and self.channel_open:
            self.channel_open = False
            while self.answers:
                self.read_answer()
            self.at_sender.update(self.transfers.reclaim_pending())

    @precondition(lambda self: self.sender_alive)
    @rule()
    def kill_sender(self) -> None:
        self.sender_alive = False
        self.at_sender.clear()
        self.answers.clear()

    @rule(passed=st.floats(0.0, 2.0))
    def advance_time(self, passed: float) -> None:
        self.now += passed
        assert self.transfers.is_overdue(self.now) is False or self.transfers.pending_count > 0

    @invariant()
    def no_connection_has_two_owners(self) -> None:
        assert not self.at_sender & self.at_receiver
        assert self.transfers.pending_count <= 3

    def teardown(self) -> None:
        """If both processes are still alive, each connection has an owner at the end."""
        if self.sender_alive and self.receiver_alive and self.channel_open:
            while self.offers:
                number, connection = self.offers.pop(0)
                self.answers.append(("accepted", number))
                self.at_receiver.add(connection)
            while self.answers:
                self.read_answer()
            assert self.transfers.pending_count == 0
            assert self.at_sender | self.at_receiver == set(range(1, self.connections + 1))


TestOwnership = Ownership.TestCase


# ----------------------------------------------------------- chunked bodies

BODIES = st.lists(st.binary(min_size=1, max_size=40), max_size=5)
EXTRA = st.sampled_from([b"", b";a=b", b";x"])
TRAILERS = st.sampled_from([b"", b"A: b\r\n", b"A: b\r\nLong-Name: c\r\n"])


class BodyParser:
    """Collects the body of a message, except while it is `muted`."""

    def __init__(self, parser: Any) -> None:
        self.parser = parser(self)
        self.body, self.complete, self.muted = b"", False, False

    def on_body(self, data: bytes) -> None:
        if not self.muted:
            self.body += data

    def on_message_complete(self) -> None:
        self.complete = True


def _wire(chunks: list[bytes], extra: bytes, trailers: bytes) -> bytes:
    lines = [b"%x%b\r\n%b\r\n" % (len(chunk), extra, chunk) for chunk in chunks]
    return b"".join((*lines, b"0\r\n", trailers, b"\r\n"))


def _feed(tracker: ChunkTracker, data: bytes, cuts: list[int]) -> None:
    start = 0
    for cut in sorted({min(cut, len(data)) for cut in cuts}):
        tracker.feed(data[start:cut])
        start = cut
    tracker.feed(data[start:])


@given(BODIES, EXTRA, TRAILERS, st.booleans(), st.floats(0, 1), st.lists(st.integers(0, 300), max_size=6))
def test_another_parser_resumes_a_response_at_any_position(chunks, extra, trailers, interim, share, cuts):
    head = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
    before = b"HTTP/1.1 103 Early\r\nA: b\r\n\r\n" if interim else b""
    wire = _wire(chunks, extra, trailers)
    cut = min(int(share * len(wire)), len(wire) - 1)
    tracker = ChunkTracker()
    _feed(tracker, before + head + wire[:cut], cuts)
    first, second = BodyParser(httptools.HttpResponseParser), BodyParser(httptools.HttpResponseParser)
    first.parser.feed_data(head + wire[:cut])
    second.muted = True
    second.parser.feed_data(head + tracker.resume_prefix())
    second.muted = False
    assert not second.complete
    second.parser.feed_data(wire[cut:])
    assert second.complete
    assert first.body + second.body == b"".join(chunks)


@given(BODIES, EXTRA, TRAILERS, st.floats(0, 1), st.lists(st.integers(0, 300), max_size=6))
def test_another_parser_resumes_a_chunked_request_at_any_position(chunks, extra, trailers, share, cuts):
    head = b"POST /api HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"
    wire = _wire(chunks, extra, trailers)
    cut = min(int(share * len(wire)), len(wire) - 1)
    tracker, first = ChunkTracker(), BodyParser(httptools.HttpRequestParser)
    _feed(tracker, head + wire[:cut], cuts)
    first.parser.feed_data(head + wire[:cut])
    second = BodyParser(httptools.HttpRequestParser)
    second.parser.feed_data(head + tracker.reencode(first.body))
    assert (second.body, second.complete) == (first.body, False)
    second.parser.feed_data(wire[cut:])
    assert (second.body, second.complete) == (b"".join(chunks), True)


@pytest.mark.parametrize("data", [b"zz\r\n", b"1\r\nabc\r\n", b"1" * 5000])
def test_invalid_chunked_encoding_raises_an_error(data):
    tracker = ChunkTracker()
    tracker.feed(b"HTTP/1.1 200 OK\r\n\r\n")
    with pytest.raises(ChunkedEncodingError):
        tracker.feed(data)
