"""The Unix socket between two processes of one node: owner only, its peer checked, descriptors by SCM_RIGHTS."""

from __future__ import annotations

import asyncio
import contextlib
import logging
import os
import socket
import struct
from collections import deque
from collections.abc import Callable, Iterator

from rosewheel.hot_restart.wire import PACKET_BYTES, Message, MessageReader, ProtocolError, encode_packets

log = logging.getLogger("rosewheel.hot_restart")

SOCKET_NAME = "handover.sock"
MOST_FDS = 4
PACKETS = 64  # read at a time, so that the callers' turn comes between

Heard = Callable[["Channel", Message, bytes, list[int]], None]
Lost = Callable[["Channel"], None]


def close_descriptors(fds: list[int]) -> None:
    """Let go of descriptors; what others hold of the same sockets goes on."""
    for fd in fds:
        with contextlib.suppress(OSError):
            os.close(fd)


@contextlib.contextmanager
def _reachable(folder: str) -> Iterator[str]:
    """The folder by a short name: the path of a Unix socket may have no more than some hundred bytes."""
    fd = os.open(folder, os.O_RDONLY | os.O_DIRECTORY | os.O_CLOEXEC)
    try:
        yield f"/proc/self/fd/{fd}"
    finally:
        os.close(fd)


def is_same_user(sock: socket.socket) -> bool:
    """Whether the other end runs under this process's own user."""
    _, uid, _ = struct.unpack("3i", sock.getsockopt(socket.SOL_SOCKET, socket.SO_PEERCRED, 12))
    return bool(uid == os.geteuid())


def listen(folder: str) -> socket.socket:
    """In place of the process that listened here before, whose links stay. OSError where it can't be."""
    sock = socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET)
    name = f"handover.{os.getpid()}.part"
    part = os.path.join(folder, name)
    try:
        with _reachable(folder) as near:
            with contextlib.suppress(FileNotFoundError):
                os.unlink(part)
            sock.bind(f"{near}/{name}")
            os.chmod(part, 0o600)
            sock.listen(4)
            os.replace(part, os.path.join(folder, SOCKET_NAME))
        sock.setblocking(False)
    except BaseException:
        sock.close()
        with contextlib.suppress(OSError):
            os.unlink(part)
        raise
    return sock


def connect(folder: str) -> socket.socket | None:
    """To the process that listens there; None where none does, or it is not of this user."""
    sock = socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET)
    sock.setblocking(False)
    try:
        with _reachable(folder) as near:
            sock.connect(f"{near}/{SOCKET_NAME}")
        if is_same_user(sock):
            return sock
        log.warning("the socket of another user's process is left alone")
    except OSError as error:  # also where its queue is full: then that process hangs
        if not isinstance(error, FileNotFoundError | ConnectionRefusedError):
            log.warning("no word with the process before: %s", error)
    sock.close()
    return None


class Channel:
    """One connection. `heard` gets each message with its bytes and descriptors, which are its own from then on;
    `lost` is called once, when all that the other side had sent has been heard."""

    def __init__(self, sock: socket.socket, heard: Heard, lost: Lost) -> None:
        self.sock, self.heard, self.lost = sock, heard, lost
        self.open = True
        self.loop = asyncio.get_running_loop()
        self._reader = MessageReader()
        self._out: deque[tuple[bytes, tuple[int, ...]]] = deque()
        self._writing = self._mute = False
        sock.setblocking(False)
        self.loop.add_reader(sock, self._readable)

    # ------------------------------------------------------------------- out

    def send(self, message: Message, blob: bytes = b"", fds: tuple[int, ...] = ()) -> None:
        """Behind what waits already. The descriptors must stay open until the other side has told of them."""
        whole = encode_packets(message, blob)
        self._out += [(packet, ()) for packet in whole[:-1]]
        self._out.append((whole[-1], fds))
        if not self._writing:
            self._flush()

    def send_now(self, message: Message) -> bool:
        """Whether it is in the other side's hands, which is so or not so when this returns. BrokenPipeError
        where the other side takes nothing any more."""
        if self._out or self._mute or not self.open:
            return False
        try:
            self.sock.send(encode_packets(message)[-1])
        except BlockingIOError:
            return False
        return True

    def _flush(self) -> None:
        try:
            while self._out:
                packet, fds = self._out[0]
                socket.send_fds(self.sock, [packet], list(fds))
                self._out.popleft()
        except BlockingIOError:
            if not self._writing:
                self._writing = True
                self.loop.add_writer(self.sock, self._flush)
            return
        except OSError:  # the reader finds out what was still sent, and then the end
            self._mute = True
            self._out.clear()
        if self._writing:
            self._writing = False
            self.loop.remove_writer(self.sock)

    # -------------------------------------------------------------------- in

    def _readable(self) -> None:
        self._take(PACKETS)

    def _take(self, most: int) -> None:
        for _ in range(most):
            if not self.open:
                return
            try:
                packet, fds, flags, _ = socket.recv_fds(
                    self.sock, PACKET_BYTES + 1, MOST_FDS, socket.MSG_CMSG_CLOEXEC
                )
            except BlockingIOError:
                return
            except ConnectionResetError:
                continue  # it ended with something unread; what it had said before is still to be read
            except OSError as error:
                log.warning("the link can't be read: %s", error)
                packet, fds, flags = b"", [], 0
            if not packet:
                close_descriptors(fds)
                self.close()
                return
            if flags & (socket.MSG_CTRUNC | socket.MSG_TRUNC):
                close_descriptors(
                    fds
                )  # no room for all of them here: what came without any is refused by who gets it
                fds = []
            self._give(packet, fds)

    def _give(self, packet: bytes, fds: list[int]) -> None:
        try:
            whole = self._reader.feed(packet)
        except ProtocolError as error:
            log.warning("the link ends: %s", error)
            close_descriptors(fds)
            self.close()
            return
        if whole is None:
            close_descriptors(fds)
            return
        try:
            self.heard(self, *whole, fds)
        except Exception:  # Guards the process: what another one says must not end it
            log.exception("a message between processes could not be followed")
            self.close()

    # ------------------------------------------------------------------- end

    def silence(self) -> None:
        """From now on the other side can send nothing more; all that it had sent is heard before this returns."""
        with contextlib.suppress(OSError):
            self.sock.shutdown(socket.SHUT_RD)
        self._take(1 << 20)

    def close(self) -> None:
        if not self.open:
            return
        self.open = False
        self.loop.remove_reader(self.sock)
        if self._writing:
            self.loop.remove_writer(self.sock)
        self._out.clear()
        self.sock.close()
        self.lost(self)
