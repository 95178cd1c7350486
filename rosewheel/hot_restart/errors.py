"""Errors of a hot restart."""

from __future__ import annotations


class HotRestartError(Exception):
    """Something between the two processes of a hot restart went wrong."""


class ProtocolError(HotRestartError):
    """The other process sent what is no packet or message of this protocol."""


class MigrationError(HotRestartError):
    """A connection of the other process can't be resumed here."""
