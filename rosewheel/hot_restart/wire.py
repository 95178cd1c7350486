"""Packets between two processes of one node, and the versions of what they say.

One packet of a SOCK_SEQPACKET socket is a letter and its content: `M` a message as JSON, `P` a part of the bytes that
the next message carries. Descriptors come with the message that they belong to. A message has its kind under `t`:

    hello    both, first: versions, node, pid            ready    new: it serves from now on
    leaving  old: it has been told to stop               give     old: item `n` with its state
    took no  new: the receipt for item `n`, or none      beside   both: calls in flight, descriptors held
    lend     new: wants the listening socket             lent     old: here it is, or the reason why not

What a process does not know it passes over; so a later version may say more.
"""

from __future__ import annotations

from typing import Any

import orjson

VERSIONS = (1,)
PART_BYTES = 32 * 1024
PACKET_BYTES = 64 * 1024
BLOB_BYTES = 2 << 20  # Guards memory: more is never under way for one item

Message = dict[str, Any]


class ProtocolError(ValueError):
    """What the other side sent is no packet of this protocol."""


def encode_packets(message: Message, blob: bytes = b"") -> list[bytes]:
    """In the order in which they go out."""
    parts = [b"P" + blob[at : at + PART_BYTES] for at in range(0, len(blob), PART_BYTES)]
    text = orjson.dumps(message)
    if len(text) >= PACKET_BYTES:
        raise ProtocolError(f"a message of {len(text)} bytes")
    return [*parts, b"M" + text]


class MessageReader:
    """Puts messages and their bytes together again."""

    def __init__(self) -> None:
        self._blob = bytearray()

    def feed(self, packet: bytes) -> tuple[Message, bytes] | None:
        """A message with its bytes, once it is whole."""
        kind, content = packet[:1], packet[1:]
        if kind == b"P":
            self._blob += content
            if len(self._blob) > BLOB_BYTES:
                raise ProtocolError("too many bytes before a message")
            return None
        if kind != b"M":
            raise ProtocolError(f"a packet that begins with {kind!r}")
        try:
            message = orjson.loads(content)
        except orjson.JSONDecodeError as error:
            raise ProtocolError("a message that is not JSON") from error
        if not isinstance(message, dict) or not isinstance(message.get("t"), str):
            raise ProtocolError("a message without a kind")
        blob = bytes(self._blob)
        self._blob.clear()
        return message, blob


def newest_common_version(theirs: object, ours: tuple[int, ...] = VERSIONS) -> int | None:
    """The newest version that both know."""
    if not isinstance(theirs, list):
        return None
    both = {one for one in theirs if isinstance(one, int)} & set(ours)
    return max(both, default=None)
