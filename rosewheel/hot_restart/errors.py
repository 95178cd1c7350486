"""Errors in a hot restart."""

from __future__ import annotations


class HotRestartError(Exception):
    """Base class of the errors between the two processes of a hot restart."""


class ProtocolError(HotRestartError):
    """The other process sent an invalid packet or message."""


class MigrationError(HotRestartError):
    """A connection of the other process can't be resumed in this process."""
