"""The predecessor's side of a migration: offers connections, and resumes those that are not accepted."""

from __future__ import annotations

import asyncio
import contextlib
import logging
import os
from collections import Counter
from collections.abc import Callable

from rosewheel.hot_restart.channel import Channel
from rosewheel.hot_restart.messages import ConnectionKind, Offer
from rosewheel.hot_restart.migration import MigratedConnection, Migration
from rosewheel.hot_restart.transfers import TransferTracker
from rosewheel.hot_restart.unix_socket import close_descriptors

log = logging.getLogger("rosewheel.hot_restart")


class Sender:
    """Offers the connections of this process over one channel.

    Args:
        channel: The channel to the successor.
        migration: Detaches and resumes the connections of this process.
        revocation_pipe: The write end of a pipe whose read end the successor has. A byte in it revokes all offers that
            were not acknowledged.
        count_descriptors: Returns the number of descriptors that this process holds.

    Attributes:
        transfers: The offers and their answers.
        migrated: Number of connections that the successor has accepted, by kind.
        ended: Whether the channel is closed or being closed.
    """

    def __init__(
        self,
        channel: Channel,
        migration: Migration,
        revocation_pipe: int,
        count_descriptors: Callable[[], int],
    ) -> None:
        self.transfers: TransferTracker[MigratedConnection] = TransferTracker()
        self.migrated: Counter[ConnectionKind] = Counter()
        self.ended = False
        self._channel = channel
        self._migration = migration
        self._revocation_pipe = revocation_pipe
        self._count_descriptors = count_descriptors
        self._loop = asyncio.get_running_loop()
        self._detaching_count = 0

    @property
    def is_busy(self) -> bool:
        """Whether connections are being detached or offers are unanswered."""
        return bool(self._detaching_count or self.transfers.pending_count)

    def offer_next(self) -> bool:
        """Offers connections until the limit of pending offers is reached.

        Returns:
            Whether the channel is still in use.
        """
        if self.ended:
            return False
        if self.transfers.is_overdue(self._loop.time()):
            log.warning("migration stopped: reason=the successor did not answer an offer in time")
            self.revoke()
        while not self.ended and self._may_offer():
            self._detaching_count += 1
            if not self._migration.detach_next(self._detached):
                self._detaching_count -= 1
                break
        return not self.ended

    def _may_offer(self) -> bool:
        return self.transfers.pending_count + self._detaching_count < self.transfers.max_pending

    def _detached(self, connection: MigratedConnection | None) -> None:
        self._detaching_count -= 1
        if connection is None:
            return
        if self.ended:
            self._migration.resume(connection, returned=True)
            return
        number = self.transfers.offer(connection, self._loop.time())
        offer = Offer(number, connection.kind, connection.state, self._count_descriptors())
        self._channel.send(offer, connection.pending_bytes, tuple(connection.descriptors))

    def accepted(self, number: int) -> None:
        """Handles the acknowledgement of an offer: the successor owns the connection."""
        connection = self.transfers.accept(number)
        if connection is None:
            return
        close_descriptors(connection.descriptors)
        self.migrated[connection.kind] += 1
        if not self.ended:
            self.offer_next()

    def rejected(self, number: int, reason: str) -> None:
        """Handles the rejection of an offer."""
        connection = self.transfers.reject(number)
        if connection is None:
            return
        log.debug("connection rejected by successor: kind=%s, reason=%s", connection.kind.label, reason)
        if connection.kind is ConnectionKind.UPSTREAM:  # this process no longer needs it either
            close_descriptors(connection.descriptors)
        else:
            self._migration.resume(connection, returned=True)
        if not self.ended:
            self.offer_next()

    def revoke(self) -> None:
        """Ends the migration, and revokes all offers that were not acknowledged: this process keeps their connections.

        The order matters: it writes the revocation byte, then prevents further acknowledgements, then reads those
        already sent.
        """
        self.ended = True
        with contextlib.suppress(OSError):
            os.write(self._revocation_pipe, b"1")
        self._channel.stop_receiving()
        self._channel.close()

    def channel_closed(self) -> None:
        """Handles the end of the channel, after all messages of the successor. Called once."""
        self.ended = True
        close_descriptors([self._revocation_pipe])
        for connection in self.transfers.reclaim_pending():
            self._migration.resume(connection, returned=True)
