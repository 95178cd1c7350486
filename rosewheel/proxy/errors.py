"""Errors of the files that a node keeps between processes."""

from __future__ import annotations


class StateError(Exception):
    """A file that outlives a process can't be used. The message says why, for the log."""


class StateFileError(StateError):
    """The file of cordons is no valid state file."""


class SnapshotError(StateError):
    """A snapshot of the learned state can't be used by this process."""


class SnapshotDamagedError(SnapshotError):
    """The file is no snapshot, is incomplete, or fails its checksum."""


class SnapshotMismatchError(SnapshotError):
    """The snapshot is intact, but of another format version, another node, or a time in the future."""
