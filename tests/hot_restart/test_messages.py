"""Messages between two processes of one node: the wire format and packets."""

from __future__ import annotations

from typing import Any

import orjson
import pytest
from hypothesis import given
from hypothesis import strategies as st

from rosewheel.hot_restart.errors import MigrationError, ProtocolError
from rosewheel.hot_restart.messages import (
    Accepted,
    ConnectionKind,
    Hello,
    InFlight,
    ListenersRequest,
    ListenersResponse,
    Message,
    Offer,
    Rejected,
    Serving,
    ShuttingDown,
    UnknownMessage,
)
from rosewheel.hot_restart.messages_codec import (
    ResponseState,
    decode_message,
    decode_response_state,
    encode_message,
    encode_response_state,
)
from rosewheel.hot_restart.packets import (
    MAX_PACKET_BYTES,
    MessageWithAttachment,
    PacketReader,
    encode_packets,
)

WIRE_MESSAGES: list[tuple[Message, dict[str, Any]]] = [
    (Hello((1, 2), "n0", 41), {"t": "hello", "versions": [1, 2], "node": "n0", "pid": 41}),
    (Serving(), {"t": "ready"}),
    (ShuttingDown(12), {"t": "leaving", "held": 12}),
    (
        Offer(3, ConnectionKind.CLIENT, {"old": False}, 7),
        {"t": "give", "n": 3, "kind": "caller", "state": {"old": False}, "held": 7},
    ),
    (
        Offer(4, ConnectionKind.UPSTREAM, {"host": "s"}, 6),
        {"t": "give", "n": 4, "kind": "equipo", "state": {"host": "s"}, "held": 6},
    ),
    (
        Offer(5, ConnectionKind.RESPONSE, {"id": "r"}, 5),
        {"t": "give", "n": 5, "kind": "passage", "state": {"id": "r"}, "held": 5},
    ),
    (Accepted(3), {"t": "took", "n": 3}),
    (Rejected(3, "no use"), {"t": "no", "n": 3, "why": "no use"}),
    (InFlight({"s": 1.5}), {"t": "beside", "loads": {"s": 1.5}}),
    (ListenersRequest(), {"t": "lend"}),
    (ListenersResponse(), {"t": "lent"}),
]


@pytest.mark.parametrize(("message", "fields"), WIRE_MESSAGES, ids=lambda value: type(value).__name__)
def test_wire_format_of_each_message(message: Message, fields: dict[str, Any]):
    """Processes of different releases exchange these messages, so the format must not change."""
    assert orjson.loads(encode_message(message)) == fields
    assert decode_message(orjson.dumps(fields)) == message


@pytest.mark.parametrize(
    ("fields", "message"),
    [
        ({"t": "later"}, UnknownMessage("later")),
        ({"t": "took", "n": "3"}, UnknownMessage("took")),
        ({"t": "no"}, UnknownMessage("no")),
        ({"t": "beside", "loads": 1}, UnknownMessage("beside")),
        ({"t": "beside", "loads": {"a": 1, "b": "x"}}, InFlight({"a": 1.0})),
        ({"t": "leaving", "held": -1}, ShuttingDown(None)),
        ({"t": "leaving"}, ShuttingDown(None)),
        ({"t": "give", "n": 1, "kind": "parcel"}, Offer(1, None, {}, None)),
        ({"t": "hello", "versions": [1, "2"], "node": 7, "pid": "x"}, Hello((1,), "", None)),
    ],
)
def test_unknown_kinds_and_invalid_fields_are_ignored(fields: dict[str, Any], message: Message):
    assert decode_message(orjson.dumps(fields)) == message


@pytest.mark.parametrize(
    "content", [b"", b"{", b"[]", b"{}", b'{"t":1}', b'{"t":"give"}', b'{"t":"give","n":1,"state":[1]}']
)
def test_invalid_content_raises_a_protocol_error(content: bytes):
    with pytest.raises(ProtocolError):
        decode_message(content)


def test_wire_format_of_the_state_of_a_response():
    state = ResponseState("r", "read", "s", {"unsent": 0}, {"host": "s"})
    fields = {"id": "r", "service": "read", "server": "s", "caller": {"unsent": 0}, "equipo": {"host": "s"}}
    assert encode_response_state(state) == fields
    assert decode_response_state(fields) == state
    with pytest.raises(MigrationError, match="equipo"):
        decode_response_state({name: value for name, value in fields.items() if name != "equipo"})


@given(st.binary(max_size=100_000), st.dictionaries(st.text(max_size=5), st.integers(0, 9), max_size=4))
def test_a_message_and_its_attachment_round_trip(attachment: bytes, state: dict[str, int]):
    reader = PacketReader()
    offer = Offer(1, ConnectionKind.CLIENT, state, 0)
    packets = encode_packets(offer, attachment)
    assert all(len(packet) <= MAX_PACKET_BYTES for packet in packets)
    received = [message for packet in packets if (message := reader.feed(packet)) is not None]
    assert received == [MessageWithAttachment(offer, attachment)]


@given(st.binary(max_size=200))
def test_an_arbitrary_packet_is_decoded_or_raises_a_protocol_error(packet: bytes):
    try:
        received = PacketReader().feed(packet)
    except ProtocolError:
        return
    assert received is None or isinstance(received, MessageWithAttachment)
