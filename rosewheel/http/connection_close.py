"""Detects that a peer has closed a connection, and closes connections with a delay or with a reset."""

from __future__ import annotations

import array
import asyncio
import fcntl
import os
import select
import socket
import struct
import termios

LINGERING_CLOSE_S = 0.5  # time between closing the sending side and closing the connection
MAX_DISCARDED_BYTES = 256 * 1024  # unread bytes that are discarded before a close
DISCARD_PIECE_BYTES = 64 * 1024


def pending_events(transport: asyncio.Transport, event_mask: int) -> int:
    """Return which of the poll events the operating system reports for the connection.

    The event loop reports them late while it is busy, and not at all while reading is paused.
    """
    poller = select.poll()
    poller.register(transport.get_extra_info("socket").fileno(), event_mask)
    ready = poller.poll(0)
    return ready[0][1] if ready else 0


def unread_bytes(transport: asyncio.Transport) -> int:
    """Return how many received bytes the event loop has not read; 0 if the connection has failed."""
    size = array.array("i", [0])
    try:
        fcntl.ioctl(transport.get_extra_info("socket").fileno(), termios.FIONREAD, size)
    except OSError:
        return 0
    return size[0]


def peer_has_closed(transport: asyncio.Transport) -> bool:
    """Return whether the peer has closed or reset the connection, or has closed its sending side."""
    return pending_events(transport, select.POLLRDHUP) != 0


def close_after_discarding(transport: asyncio.Transport) -> None:
    """Close a connection on which the peer may still be sending, at once: its memory is needed.

    What has arrived unread is discarded, since closing with unread bytes would reset the connection.
    """
    descriptor = transport.get_extra_info("socket").fileno()
    try:
        for _ in range(0, MAX_DISCARDED_BYTES, DISCARD_PIECE_BYTES):
            if len(os.read(descriptor, DISCARD_PIECE_BYTES)) < DISCARD_PIECE_BYTES:
                break
    except OSError:  # nothing is unread, or the connection has failed
        pass
    transport.close()


def close_after_lingering(transport: asyncio.Transport, loop: asyncio.AbstractEventLoop) -> None:
    """Close a connection on which the peer is still sending.

    Closing it with unread bytes would reset it, and the peer could lose the response. The sending side is therefore
    closed now, and the connection after `LINGERING_CLOSE_S`; nothing is read in between.
    """
    transport.write_eof()
    transport.pause_reading()
    loop.call_later(LINGERING_CLOSE_S, transport.abort)


def reset(transport: asyncio.Transport) -> None:
    """Reset the connection, so that the peer recognizes a response as incomplete even if it has no declared length."""
    sock = transport.get_extra_info("socket")
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    transport.abort()
