"""Packets between two processes of one node.

One packet of a SOCK_SEQPACKET socket is a letter and its content: `M` a message as JSON, `P` a part of the attachment
of the next message. Descriptors come with the packet of the message that they belong to.
"""

from __future__ import annotations

from dataclasses import dataclass

from rosewheel.hot_restart.errors import ProtocolError
from rosewheel.hot_restart.messages import Message
from rosewheel.hot_restart.messages_codec import decode_message, encode_message

MESSAGE_LETTER = b"M"
PART_LETTER = b"P"
MAX_PART_BYTES = 32 * 1024
MAX_PACKET_BYTES = 64 * 1024
MAX_ATTACHMENT_BYTES = 2 << 20  # bounds memory: one connection never has more on its way


@dataclass(slots=True, frozen=True)
class MessageWithAttachment:
    """A message, and the bytes that came with it."""

    message: Message
    attachment: bytes = b""


def encode_packets(message: Message, attachment: bytes = b"") -> list[bytes]:
    """Returns the packets of a message in the order in which they are sent.

    Raises:
        ProtocolError: The message is too long for one packet.
    """
    offsets = range(0, len(attachment), MAX_PART_BYTES)
    parts = [PART_LETTER + attachment[offset : offset + MAX_PART_BYTES] for offset in offsets]
    content = encode_message(message)
    if len(content) >= MAX_PACKET_BYTES:
        raise ProtocolError(f"a message of {len(content)} bytes")
    return [*parts, MESSAGE_LETTER + content]


class PacketReader:
    """Puts messages and their attachments together from packets."""

    def __init__(self) -> None:
        self._attachment = bytearray()

    def feed(self, packet: bytes) -> MessageWithAttachment | None:
        """Reads one packet, and returns the message that it completes, if it does.

        Raises:
            ProtocolError: The packet is none of this protocol.
        """
        letter, content = packet[:1], packet[1:]
        if letter == PART_LETTER:
            self._attachment += content
            if len(self._attachment) > MAX_ATTACHMENT_BYTES:
                raise ProtocolError("an attachment that is too long")
            return None
        if letter != MESSAGE_LETTER:
            raise ProtocolError(f"a packet that begins with {letter!r}")
        message = decode_message(content)
        attachment = bytes(self._attachment)
        self._attachment.clear()
        return MessageWithAttachment(message, attachment)
