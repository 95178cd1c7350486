"""The successor's side of a migration: takes over the connections that the predecessor offers."""

from __future__ import annotations

import logging
import os
from collections import Counter

from rosewheel.hot_restart.channel import Channel
from rosewheel.hot_restart.messages import Accepted, ConnectionKind, Rejected
from rosewheel.hot_restart.migration import MigratedConnection, Migration
from rosewheel.hot_restart.unix_socket import close_descriptors

log = logging.getLogger("rosewheel.hot_restart")


class Receiver:
    """Takes over connections from one channel.

    Args:
        channel: The channel to the predecessor.
        migration: The connections of this process.
        revocation_pipe: The reading end of the pipe of the predecessor's `Sender`.

    Attributes:
        received: How many connections of each kind this process has taken over.
    """

    def __init__(self, channel: Channel, migration: Migration, revocation_pipe: int) -> None:
        self.received: Counter[ConnectionKind] = Counter()
        self._channel = channel
        self._migration = migration
        self._revocation_pipe = revocation_pipe

    def reject(self, number: int, descriptors: list[int], reason: str) -> None:
        """Leaves an offered connection to the predecessor."""
        close_descriptors(descriptors)
        self._channel.send(Rejected(number, reason))

    def offered(self, number: int, connection: MigratedConnection) -> None:
        """Takes over a connection, or rejects it. It is the predecessor's until the receipt is in its queue."""
        reason = self._migration.rejection_reason(connection)
        if reason:
            self.reject(number, connection.descriptors, reason)
            return
        try:
            if not self._channel.try_send(Accepted(number)):
                # A receipt that waits here would be sent at a moment that this process does not know.
                log.warning("migration stopped: reason=the predecessor does not read receipts")
                close_descriptors(connection.descriptors)
                self._channel.close()
                return
        except OSError:
            if self._is_revoked():
                close_descriptors(connection.descriptors)
                return
            # The predecessor was killed: nobody else owns what it had offered.
        self.received[connection.kind] += 1
        self._migration.resume(connection)

    def _is_revoked(self) -> bool:
        """Whether the predecessor keeps what had no receipt.

        It says so before it stops to read receipts. A channel that ended without that byte means that it was killed.
        """
        try:
            return os.read(self._revocation_pipe, 1) != b""
        except OSError:
            return False

    def close(self) -> None:
        """Closes the pipe."""
        close_descriptors([self._revocation_pipe])
