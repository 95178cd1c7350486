"""The end of a connection as the operating system knows it, and ways to end one."""

from __future__ import annotations

import asyncio
import select
import socket
import struct

LINGERING_CLOSE_S = 0.5  # how long a connection whose request was rejected stays open for the unread body


def pending_events(transport: asyncio.Transport, event_mask: int) -> int:
    """Which of these poll events the operating system reports for the connection now.

    The event loop may not have read yet what has happened: it is late, or the connection is not being read.
    """
    poller = select.poll()
    poller.register(transport.get_extra_info("socket").fileno(), event_mask)
    found = poller.poll(0)
    return found[0][1] if found else 0


def peer_has_closed(transport: asyncio.Transport) -> bool:
    """Whether the peer has closed or reset the connection, or has closed its sending side."""
    return pending_events(transport, select.POLLRDHUP) != 0


def close_after_lingering(transport: asyncio.Transport, loop: asyncio.AbstractEventLoop) -> None:
    """Close a connection on which the peer is still sending.

    Closing it with unread bytes would reset it, and the peer might lose the response. So the sending side is closed
    now, and the connection after `LINGERING_CLOSE_S`; nothing is read meanwhile.
    """
    transport.write_eof()
    transport.pause_reading()
    loop.call_later(LINGERING_CLOSE_S, transport.abort)


def reset(transport: asyncio.Transport) -> None:
    """Close the connection with a reset, so that a peer can tell the response is incomplete without a length."""
    sock = transport.get_extra_info("socket")
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    transport.abort()
