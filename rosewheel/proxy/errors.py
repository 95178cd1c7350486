"""Errors in the files through which a process of a node passes state to the next one."""

from __future__ import annotations


class StateError(Exception):
    """A persistent file can't be used. The message states the reason for the log."""


class StateFileError(StateError):
    """The state file with the cordons is invalid."""


class SnapshotError(StateError):
    """A snapshot of the learned state can't be used by this process."""


class SnapshotDamagedError(SnapshotError):
    """The file is not a snapshot, is truncated, or does not match its checksum."""


class SnapshotMismatchError(SnapshotError):
    """The snapshot is intact, but has another format version, another node, or a time in the future."""
