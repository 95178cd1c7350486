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
        migration: Resumes connections in this process.
        revocation_pipe: The read end of the revocation pipe of the predecessor's `Sender`.

    Attributes:
        received: Number of connections that this process has taken over, by kind.
    """

    def __init__(self, channel: Channel, migration: Migration, revocation_pipe: int) -> None:
        self.received: Counter[ConnectionKind] = Counter()
        self._channel = channel
        self._migration = migration
        self._revocation_pipe = revocation_pipe

    def reject(self, number: int, descriptors: list[int], reason: str) -> None:
        """Rejects an offer, and closes its descriptors in this process."""
        close_descriptors(descriptors)
        self._channel.send(Rejected(number, reason))

    def offered(self, number: int, connection: MigratedConnection) -> None:
        """Takes over a connection, or rejects it. The predecessor owns it until the acknowledgement is sent."""
        reason = self._migration.rejection_reason(connection)
        if reason:
            self.reject(number, connection.descriptors, reason)
            return
        try:
            if not self._channel.try_send(Accepted(number)):
                # With a queued acknowledgement this process could not know when it owns the connection.
                log.warning("migration stopped: reason=the predecessor does not read acknowledgements")
                close_descriptors(connection.descriptors)
                self._channel.close()
                return
        except OSError:
            if self._is_revoked():
                close_descriptors(connection.descriptors)
                return
            # The predecessor was killed, so this process owns the connection.
        self.received[connection.kind] += 1
        self._migration.resume(connection)

    def _is_revoked(self) -> bool:
        """Returns whether the predecessor has revoked the offers that were not acknowledged.

        It writes the revocation byte before it stops reading acknowledgements. If the channel ends without that byte,
        the predecessor was killed.
        """
        try:
            return os.read(self._revocation_pipe, 1) != b""
        except OSError:
            return False

    def close(self) -> None:
        """Closes the revocation pipe."""
        close_descriptors([self._revocation_pipe])
