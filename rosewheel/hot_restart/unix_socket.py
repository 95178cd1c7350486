"""The Unix socket that connects the processes of one node. Only processes of the same user are accepted."""

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
    """Listens in this folder, in place of any process that did so before. Existing connections are not affected.

    Raises:
        OSError: The socket can't be created there.
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
    """Connects to the process of the same user that listens in this folder; returns None if there is none."""
    sock = socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET)
    sock.setblocking(False)
    try:
        with _short_path(folder) as short:
            sock.connect(f"{short}/{SOCKET_NAME}")
        if is_same_user(sock):
            return sock
        log.warning("predecessor ignored: reason=it runs as another user")
    except OSError as error:  # includes a full backlog, if that process hangs
        if not isinstance(error, FileNotFoundError | ConnectionRefusedError):
            log.warning("predecessor unreachable: error=%s", error)
    sock.close()
    return None


def is_same_user(sock: socket.socket) -> bool:
    """Returns whether the process at the other end runs as the same user."""
    credentials = sock.getsockopt(socket.SOL_SOCKET, socket.SO_PEERCRED, PEER_CREDENTIALS.size)
    _, uid, _ = PEER_CREDENTIALS.unpack(credentials)
    return bool(uid == os.geteuid())


def close_descriptors(descriptors: Iterable[int]) -> None:
    """Closes descriptors, ignoring errors. Duplicates of them stay open."""
    for descriptor in descriptors:
        with contextlib.suppress(OSError):
            os.close(descriptor)


@contextlib.contextmanager
def _short_path(folder: str) -> Iterator[str]:
    """Yields a short path of the folder, because the path of a Unix socket is limited to about 100 bytes."""
    descriptor = os.open(folder, os.O_RDONLY | os.O_DIRECTORY | os.O_CLOEXEC)
    try:
        yield f"/proc/self/fd/{descriptor}"
    finally:
        os.close(descriptor)
