"""The state file on disk, and the two locks by which the processes of one node share its folder."""

from __future__ import annotations

import contextlib
import fcntl
import os
from collections.abc import Iterator
from typing import NamedTuple

from rosewheel.proxy.state_codec import MAX_FILE_BYTES, StateRecord, decode_state, encode_state

STATE_NAME = "state.json"
CHANGE_LOCK_NAME = "state.lock"
PRESENCE_LOCK_NAME = "present.lock"
LOCK_FLAGS = os.O_RDWR | os.O_CREAT | os.O_CLOEXEC
LOCK_MODE = 0o600


class FileVersion(NamedTuple):
    """Identifies a version of the state file, which each change replaces."""

    inode: int
    modified_ns: int
    size: int


class StateFile:
    """The state file of one folder."""

    def __init__(self, folder: str) -> None:
        self._folder = folder
        self._path = os.path.join(folder, STATE_NAME)

    def version(self) -> FileVersion | None:
        """Returns the current version, or None if there is no file."""
        try:
            status = os.stat(self._path)
        except OSError:
            return None
        return FileVersion(status.st_ino, status.st_mtime_ns, status.st_size)

    def read(self) -> StateRecord | None:
        """Returns the content, or None if there is no file.

        Raises:
            StateFileError: The file is damaged or has another version.
            OSError: The file can't be read.
        """
        try:
            with open(self._path, "rb") as file:
                return decode_state(file.read(MAX_FILE_BYTES + 1))
        except FileNotFoundError:
            return None

    def replace(self, record: StateRecord) -> None:
        """Replaces the file atomically.

        Raises:
            OSError: The file can't be written. The old one stays in place.
        """
        temporary = os.path.join(self._folder, f"state.{os.getpid()}.part")
        try:
            with open(temporary, "wb") as file:
                file.write(encode_state(record))
            os.replace(temporary, self._path)
        except OSError:
            with contextlib.suppress(FileNotFoundError):
                os.unlink(temporary)
            raise

    @contextlib.contextmanager
    def locked(self) -> Iterator[None]:
        """Holds the lock for a read-modify-write of the file.

        Raises:
            BlockingIOError: The other process holds the lock.
            OSError: The lock file can't be opened.
        """
        descriptor = os.open(os.path.join(self._folder, CHANGE_LOCK_NAME), LOCK_FLAGS, LOCK_MODE)
        try:
            fcntl.flock(descriptor, fcntl.LOCK_EX | fcntl.LOCK_NB)
            yield
        finally:
            os.close(descriptor)


class PresenceLock:
    """A lock that all running processes of a node share. A process that can lock it exclusively runs alone.

    The kernel releases the lock of a process that was killed.
    """

    def __init__(self, folder: str) -> None:
        self._path = os.path.join(folder, PRESENCE_LOCK_NAME)
        self._descriptor: int | None = None

    def acquire(self) -> None:
        """Acquires the shared lock.

        Raises:
            OSError: The lock file can't be opened or locked.
        """
        if self._descriptor is None:
            self._descriptor = os.open(self._path, LOCK_FLAGS, LOCK_MODE)
        fcntl.flock(self._descriptor, fcntl.LOCK_SH | fcntl.LOCK_NB)

    @property
    def is_open(self) -> bool:
        """Whether the lock file is open. It is then locked, or will be by the next `has_others`."""
        return self._descriptor is not None

    def has_others(self) -> bool | None:
        """Returns whether another process of this node runs, or None if the lock file is not open."""
        if self._descriptor is None:
            return None
        try:
            fcntl.flock(self._descriptor, fcntl.LOCK_EX | fcntl.LOCK_NB)
            has_others = False
        except OSError:
            has_others = True
        with contextlib.suppress(OSError):
            fcntl.flock(self._descriptor, fcntl.LOCK_SH | fcntl.LOCK_NB)
        return has_others

    def release(self) -> None:
        """Releases the lock; a second call does nothing."""
        if self._descriptor is not None:
            os.close(self._descriptor)
            self._descriptor = None
