"""A connection between two processes of a node that carries messages and file descriptors (SCM_RIGHTS)."""

from __future__ import annotations

import asyncio
import contextlib
import logging
import socket
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass

from rosewheel.hot_restart.errors import ProtocolError
from rosewheel.hot_restart.messages import Message
from rosewheel.hot_restart.packets import MAX_PACKET_BYTES, PacketReader, encode_packets
from rosewheel.hot_restart.unix_socket import close_descriptors

log = logging.getLogger("rosewheel.hot_restart")

MAX_DESCRIPTORS_PER_MESSAGE = 4
PACKETS_PER_READ = 64  # limited so that the event loop can serve clients between two reads
UNLIMITED_PACKETS = 1 << 20


@dataclass(slots=True, frozen=True)
class ReceivedMessage:
    """A received message with its attachment and descriptors.

    Attributes:
        message: The message.
        attachment: The bytes attached to it.
        descriptors: The descriptors sent with it, owned by the message's handler.
    """

    message: Message
    attachment: bytes
    descriptors: list[int]


@dataclass(slots=True, frozen=True)
class _QueuedPacket:
    content: bytes
    descriptors: tuple[int, ...]


MessageHandler = Callable[["Channel", ReceivedMessage], None]
ClosedHandler = Callable[["Channel"], None]


class Channel:
    """One connection to the other process.

    Args:
        sock: A connected SOCK_SEQPACKET socket, owned by the channel.
        on_message: Called with each message.
        on_closed: Called once, after `on_message` was called for all messages of the other process.
    """

    def __init__(self, sock: socket.socket, on_message: MessageHandler, on_closed: ClosedHandler) -> None:
        self.is_open = True
        self._sock = sock
        self._on_message = on_message
        self._on_closed = on_closed
        self._loop = asyncio.get_running_loop()
        self._reader = PacketReader()
        self._queue: deque[_QueuedPacket] = deque()
        self._waits_for_write = False
        self._write_failed = False
        sock.setblocking(False)
        self._loop.add_reader(sock, self._readable)

    def send(self, message: Message, attachment: bytes = b"", descriptors: tuple[int, ...] = ()) -> None:
        """Sends a message, or queues it behind earlier ones.

        The descriptors must stay open until the message is sent, which only an answer of the other process confirms.
        """
        *parts, last = encode_packets(message, attachment)
        self._queue += [_QueuedPacket(part, ()) for part in parts]
        self._queue.append(_QueuedPacket(last, descriptors))
        if not self._waits_for_write:
            self._flush()

    def try_send(self, message: Message) -> bool:
        """Sends a message immediately, or not at all.

        Returns:
            Whether the message was sent. It is never queued.

        Raises:
            BrokenPipeError: The other process has closed the connection or stopped receiving.
        """
        if self._queue or self._write_failed or not self.is_open:
            return False
        try:
            self._sock.send(encode_packets(message)[-1])
        except BlockingIOError:
            return False
        return True

    def stop_receiving(self) -> None:
        """Prevents the other process from sending, and handles the messages that it had already sent."""
        with contextlib.suppress(OSError):
            self._sock.shutdown(socket.SHUT_RD)
        self._receive(UNLIMITED_PACKETS)

    def close(self) -> None:
        """Closes the connection; a second call does nothing."""
        if not self.is_open:
            return
        self.is_open = False
        self._loop.remove_reader(self._sock)
        if self._waits_for_write:
            self._loop.remove_writer(self._sock)
        self._queue.clear()
        self._sock.close()
        self._on_closed(self)

    def _flush(self) -> None:
        try:
            while self._queue:
                packet = self._queue[0]
                socket.send_fds(self._sock, [packet.content], list(packet.descriptors))
                self._queue.popleft()
        except BlockingIOError:
            if not self._waits_for_write:
                self._waits_for_write = True
                self._loop.add_writer(self._sock, self._flush)
            return
        except OSError:  # the messages of the other process can still be read
            self._write_failed = True
            self._queue.clear()
        if self._waits_for_write:
            self._waits_for_write = False
            self._loop.remove_writer(self._sock)

    def _readable(self) -> None:
        self._receive(PACKETS_PER_READ)

    def _receive(self, max_packets: int) -> None:
        for _ in range(max_packets):
            if not self.is_open:
                return
            try:
                packet, descriptors, flags, _ = socket.recv_fds(
                    self._sock, MAX_PACKET_BYTES + 1, MAX_DESCRIPTORS_PER_MESSAGE, socket.MSG_CMSG_CLOEXEC
                )
            except BlockingIOError:
                return
            except ConnectionResetError:
                continue  # the other process ended with unread messages; those that it had sent can still be read
            except OSError as error:
                log.warning("channel read failed: error=%s", error)
                packet, descriptors, flags = b"", [], 0
            if not packet:
                close_descriptors(descriptors)
                self.close()
                return
            if flags & (socket.MSG_CTRUNC | socket.MSG_TRUNC):
                # The process has reached its descriptor limit. An offer without its descriptors is rejected.
                close_descriptors(descriptors)
                descriptors = []
            self._handle_packet(packet, descriptors)

    def _handle_packet(self, packet: bytes, descriptors: list[int]) -> None:
        try:
            received = self._reader.feed(packet)
        except ProtocolError as error:
            log.warning("channel closed: error=%s", error)
            close_descriptors(descriptors)
            self.close()
            return
        if received is None:
            close_descriptors(descriptors)
            return
        try:
            self._on_message(self, ReceivedMessage(received.message, received.attachment, descriptors))
        except Exception:  # a message of the other process must not end this one
            log.exception("channel closed: reason=error while handling a message")
            self.close()
