"""Packets between two processes of one node, over a SOCK_SEQPACKET socket.

A packet starts with a type byte: `M` for a message as JSON, `P` for a part of the attachment of the next message. The
descriptors of a message come with its `M` packet.
"""

from __future__ import annotations

from dataclasses import dataclass

from rosewheel.hot_restart.errors import ProtocolError
from rosewheel.hot_restart.messages import Message
from rosewheel.hot_restart.messages_codec import decode_message, encode_message

MESSAGE_TYPE = b"M"
ATTACHMENT_PART_TYPE = b"P"
MAX_PART_BYTES = 32 * 1024
MAX_PACKET_BYTES = 64 * 1024
MAX_ATTACHMENT_BYTES = 2 << 20  # above the buffered data of any connection; limits memory


@dataclass(slots=True, frozen=True)
class MessageWithAttachment:
    """A message and the bytes attached to it."""

    message: Message
    attachment: bytes = b""


def encode_packets(message: Message, attachment: bytes = b"") -> list[bytes]:
    """Returns the packets of a message, in sending order.

    Raises:
        ProtocolError: The message is too long for one packet.
    """
    offsets = range(0, len(attachment), MAX_PART_BYTES)
    parts = [ATTACHMENT_PART_TYPE + attachment[offset : offset + MAX_PART_BYTES] for offset in offsets]
    content = encode_message(message)
    if len(content) >= MAX_PACKET_BYTES:
        raise ProtocolError(f"message too long for one packet: {len(content)} bytes")
    return [*parts, MESSAGE_TYPE + content]


class PacketReader:
    """Reassembles messages and their attachments from packets."""

    def __init__(self) -> None:
        self._attachment = bytearray()

    def feed(self, packet: bytes) -> MessageWithAttachment | None:
        """Reads a packet, and returns the message that it completes, or None.

        Raises:
            ProtocolError: The packet is invalid, or the attachment is too long.
        """
        packet_type, content = packet[:1], packet[1:]
        if packet_type == ATTACHMENT_PART_TYPE:
            self._attachment += content
            if len(self._attachment) > MAX_ATTACHMENT_BYTES:
                raise ProtocolError(f"attachment longer than {MAX_ATTACHMENT_BYTES} bytes")
            return None
        if packet_type != MESSAGE_TYPE:
            raise ProtocolError(f"unknown packet type {packet_type!r}")
        message = decode_message(content)
        attachment = bytes(self._attachment)
        self._attachment.clear()
        return MessageWithAttachment(message, attachment)
