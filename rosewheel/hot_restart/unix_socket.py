"""The Unix socket by which the processes of one node find each other: for their own user only."""

from __future__ import annotations

import contextlib
import logging
import os
import socket
import struct
from collections.abc import Iterable, Iterator

log = logging.getLogger("rosewheel.hot_restart")

SOCKET_NAME = "handover.sock"
SOCKET_MODE = 0o600
BACKLOG = 4
PEER_CREDENTIALS = struct.Struct("3i")  # pid, uid, gid; see unix(7), SO_PEERCRED


def listen(folder: str) -> socket.socket:
    """Listens in place of the process that listened in this folder before; that one keeps its connections.

    Raises:
        OSError: The socket can't be made there.
    """
    sock = socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET)
    part_name = f"handover.{os.getpid()}.part"
    part = os.path.join(folder, part_name)
    try:
        with _short_path(folder) as short:
            with contextlib.suppress(FileNotFoundError):
                os.unlink(part)
            sock.bind(f"{short}/{part_name}")
            os.chmod(part, SOCKET_MODE)
            sock.listen(BACKLOG)
            os.replace(part, os.path.join(folder, SOCKET_NAME))
        sock.setblocking(False)
    except BaseException:
        sock.close()
        with contextlib.suppress(OSError):
            os.unlink(part)
        raise
    return sock


def connect(folder: str) -> socket.socket | None:
    """Connects to the process that listens in this folder; None where none of this user does."""
    sock = socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET)
    sock.setblocking(False)
    try:
        with _short_path(folder) as short:
            sock.connect(f"{short}/{SOCKET_NAME}")
        if is_same_user(sock):
            return sock
        log.warning("predecessor ignored: reason=its process is another user's")
    except OSError as error:  # also where the backlog is full: that process hangs
        if not isinstance(error, FileNotFoundError | ConnectionRefusedError):
            log.warning("predecessor unreachable: error=%s", error)
    sock.close()
    return None


def is_same_user(sock: socket.socket) -> bool:
    """Whether the process at the other end runs under the user of this one."""
    credentials = sock.getsockopt(socket.SOL_SOCKET, socket.SO_PEERCRED, PEER_CREDENTIALS.size)
    _, uid, _ = PEER_CREDENTIALS.unpack(credentials)
    return bool(uid == os.geteuid())


def close_descriptors(descriptors: Iterable[int]) -> None:
    """Closes descriptors. Others that refer to the same sockets are not affected."""
    for descriptor in descriptors:
        with contextlib.suppress(OSError):
            os.close(descriptor)


@contextlib.contextmanager
def _short_path(folder: str) -> Iterator[str]:
    """A short name of the folder: the path of a Unix socket is limited to about a hundred bytes."""
    descriptor = os.open(folder, os.O_RDONLY | os.O_DIRECTORY | os.O_CLOEXEC)
    try:
        yield f"/proc/self/fd/{descriptor}"
    finally:
        os.close(descriptor)
