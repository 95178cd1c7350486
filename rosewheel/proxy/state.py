"""What outlives a process: the servers that operators have taken out by hand.

A tiny file in the folder that the processes of one node share, replaced as a whole, so that a reader sees the
old one or the new one and never half of either. During an upgrade two processes follow it, and each acts on
what the other was told. A store of another kind could stand here: all that the node asks of it is `start`,
`put`, `close`, and to be told what there is.
"""

from __future__ import annotations

import asyncio
import contextlib
import fcntl
import logging
import os
from collections.abc import Callable, Iterator
from typing import Any

import orjson

log = logging.getLogger("rosewheel.state")

VERSION = 1
FILE_BYTES = 1 << 20  # Guards memory: a file larger than this was not written here
POLL_S = 0.05  # how soon a process acts on what the other one was told; a drain allows some hundred ms
COMPANY_POLLS = 4  # how many of these between two looks for another process
LOCK_S = 0.3  # how long a change waits for one that the other process is making

LOCK_FLAGS = os.O_RDWR | os.O_CREAT | os.O_CLOEXEC

Shared = Callable[[frozenset[str]], None]
Company = Callable[[int], None]
Stamp = tuple[int, int, int]


class SharedState:
    """Tells `shared` of the set whenever it is another, and `company` of how many processes there are.
    Without a folder it holds nothing beyond this process."""

    def __init__(self, folder: str | None, shared: Shared, company: Company, follow: bool = True) -> None:
        self.folder = folder or None
        self.shared, self.company = shared, company
        self.follow = follow  # whether another process can be there, now or later
        self.cordoned: frozenset[str] = frozenset()
        self.others = False
        self._stamp: Stamp | None = None
        self._presence: int | None = None
        self._timer: asyncio.TimerHandle | None = None
        self._polls = 0

    def start(self) -> None:
        if self.folder is None:
            return
        try:
            self._presence = os.open(os.path.join(self.folder, "present.lock"), LOCK_FLAGS, 0o600)
            fcntl.flock(self._presence, fcntl.LOCK_SH | fcntl.LOCK_NB)
        except OSError as error:
            log.error("no state is kept: %s", error)
        if self.follow:
            self._poll()
        else:
            self._catch_up()

    def follow_now(self) -> None:
        """Another process is there after all."""
        if not self.follow and self.folder is not None:
            self.follow = True
            self._poll()

    def close(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
        if self._presence is not None:
            os.close(self._presence)
            self._presence = None

    # ----------------------------------------------------------------- change

    async def put(self, member: str, out: bool) -> None:
        """Take down that this server is out, or no longer. OSError where that can't be kept. Returns once
        another process that serves this node has had the time to act on it."""
        if self.folder is None:
            self.cordoned = changed(self.cordoned, member, out)
            return
        deadline = asyncio.get_running_loop().time() + LOCK_S
        while True:
            try:
                with _locked(os.path.join(self.folder, "state.lock")):
                    held = self._read()
                    # Where the file is damaged or gone, what this process knows is the best there is.
                    cordoned = changed(self.cordoned if held is None else held, member, out)
                    self._write(cordoned)
                    self.cordoned, self._stamp = cordoned, self._look()
                break
            except BlockingIOError:
                if asyncio.get_running_loop().time() > deadline:
                    raise
            await asyncio.sleep(0.01)
        self._count()
        if self.others:
            await asyncio.sleep(2 * POLL_S)

    def _write(self, cordoned: frozenset[str]) -> None:
        assert self.folder is not None
        part = os.path.join(self.folder, f"state.{os.getpid()}.part")
        try:
            with open(part, "wb") as file:
                file.write(orjson.dumps({"version": VERSION, "cordoned": sorted(cordoned)}))
            os.replace(part, os.path.join(self.folder, "state.json"))
        except OSError:
            with contextlib.suppress(FileNotFoundError):
                os.unlink(part)
            raise

    # ------------------------------------------------------------------ follow

    def _poll(self) -> None:
        self._timer = asyncio.get_running_loop().call_later(POLL_S, self._poll)
        if self._polls % COMPANY_POLLS == 0:
            self._count()
        self._polls += 1
        self._catch_up()

    def _catch_up(self) -> None:
        stamp = self._look()
        if stamp is None or stamp == self._stamp:
            return
        self._stamp = stamp
        held = self._read()
        if held is not None and held != self.cordoned:
            self.cordoned = held
            self.shared(held)

    def _look(self) -> Stamp | None:
        assert self.folder is not None
        try:
            found = os.stat(os.path.join(self.folder, "state.json"))
        except OSError:
            return None
        return found.st_ino, found.st_mtime_ns, found.st_size

    def _read(self) -> frozenset[str] | None:
        """The set in the file; None, with a line in the log, where there is no good one."""
        assert self.folder is not None
        try:
            with open(os.path.join(self.folder, "state.json"), "rb") as file:
                return _parsed(file.read(FILE_BYTES + 1))
        except FileNotFoundError:
            return None
        except (OSError, ValueError) as error:
            log.error("the state file is left as it is and not used: %s", error)
            return None

    def _count(self) -> None:
        """Whether another process of this node lives: all hold one lock together, so alone is who can have it
        for itself. The system lets go of it for a process that was killed."""
        if self._presence is None or not self.follow:
            return
        try:
            fcntl.flock(self._presence, fcntl.LOCK_EX | fcntl.LOCK_NB)
            others = False
        except OSError:
            others = True
        with contextlib.suppress(OSError):
            fcntl.flock(self._presence, fcntl.LOCK_SH | fcntl.LOCK_NB)
        if others is not self.others:
            self.others = others
            log.info("another process of this node is %s", "here" if others else "gone")
            self.company(2 if others else 1)


@contextlib.contextmanager
def _locked(path: str) -> Iterator[None]:
    """Guards a change against one that the other process makes between its reading and its writing."""
    descriptor = os.open(path, LOCK_FLAGS, 0o600)
    try:
        fcntl.flock(descriptor, fcntl.LOCK_EX | fcntl.LOCK_NB)
        yield
    finally:
        os.close(descriptor)


def changed(cordoned: frozenset[str], member: str, out: bool) -> frozenset[str]:
    return cordoned | {member} if out else cordoned - {member}


def _parsed(text: bytes) -> frozenset[str]:
    if len(text) > FILE_BYTES:
        raise ValueError("it is too long")
    row: Any = orjson.loads(text)
    if not isinstance(row, dict) or row.get("version") != VERSION:
        raise ValueError(f"not a state of version {VERSION}")
    members = row.get("cordoned")
    if not isinstance(members, list) or not all(isinstance(member, str) for member in members):
        raise ValueError("cordoned is not a list of ids")
    return frozenset(members)
