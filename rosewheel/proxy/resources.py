"""Descriptors and memory: what this process may use of the node's, and what gives way where it holds too much."""

from __future__ import annotations

from rosewheel.hot_restart.transfers import MAX_PENDING_OFFERS
from rosewheel.proxy.parts import ProxyParts

# Descriptors for everything but clients and servers: a share of all where there are few, within these bounds.
RESERVED_DESCRIPTORS = 40
MIN_RESERVED_DESCRIPTORS = 24
RESERVED_DIVISOR = 8
MIN_DESCRIPTORS = 8
# Clients past the limit that get a response saying so; the others are closed at once.
MAX_CLIENTS_OVER_LIMIT = 16
MIN_CLIENTS_OVER_LIMIT = 2
CLIENTS_OVER_LIMIT_DIVISOR = 32
BODY_MEMORY_SHARE = 0.15  # of the memory limit, for the bodies of requests
CLIENT_SHARE = 0.85  # of the descriptors; idle clients give way to connections to servers too
MIN_CLIENTS = 6


class Resources:
    """The limits of one process, which shares those of its node while a hot restart lasts.

    Attributes:
        max_descriptors: How many descriptors the connections of clients and to servers may hold.
        process_count: How many processes of this node live.
        predecessor_descriptors: How many descriptors a predecessor still holds that gives them up.
    """

    def __init__(self, parts: ProxyParts) -> None:
        self.max_descriptors = 0
        self.process_count = 1
        self.predecessor_descriptors: int | None = None
        self._parts = parts

    @property
    def descriptor_count(self) -> int:
        """How many descriptors the connections of clients and to servers hold."""
        return len(self._parts.server.connections) + self._parts.upstream.descriptor_count

    def divide(self, max_sockets: int) -> None:
        """Sets this process's limits from the node's.

        Args:
            max_sockets: The descriptors of the node, for all of its processes.
        """
        parts = self._parts
        sockets = max_sockets // self.process_count
        if self.process_count > 1 and self.predecessor_descriptors is not None:
            # An offered connection holds its descriptors twice, so the window counts for both processes.
            unused = max_sockets - self.predecessor_descriptors - 2 * MAX_PENDING_OFFERS
            sockets = max(sockets, unused)
        memory_mb = int(parts.config.limits.memory_limit_mb / self.process_count * BODY_MEMORY_SHARE)
        parts.budget.limit_bytes = memory_mb << 20
        reserved = min(RESERVED_DESCRIPTORS, max(MIN_RESERVED_DESCRIPTORS, sockets // RESERVED_DIVISOR))
        if parts.admin is not None:
            reserved += parts.admin.max_connections  # so that clients can't keep operators out
        self.max_descriptors = max(MIN_DESCRIPTORS, sockets - reserved)
        over_limit = min(MAX_CLIENTS_OVER_LIMIT, sockets // CLIENTS_OVER_LIMIT_DIVISOR)
        parts.server.max_over_limit = max(MIN_CLIENTS_OVER_LIMIT, over_limit)
        parts.server.max_connections = max(MIN_CLIENTS, int(self.max_descriptors * CLIENT_SHARE))

    def can_hold(self, descriptors: int, idle: bool) -> bool:
        """Whether this process may hold so many more descriptors.

        Args:
            descriptors: How many.
            idle: Whether they are of an idle connection to a server: no other connection gives way to that.
        """
        server = self._parts.server
        if len(server.connections) >= server.max_connections and not idle:
            return False
        held = self.descriptor_count + self._parts.migration.arriving_count
        return held + descriptors <= self.max_descriptors or (not idle and self.free_descriptor())

    def free_descriptor(self) -> bool:
        """Makes room for one descriptor, if need be by closing an idle connection; returns whether there is room."""
        if self.descriptor_count < self.max_descriptors:
            return True
        return self._close_longest_idle()

    def close_excess_idle(self) -> None:
        """Closes idle connections while this process holds too many descriptors; connections in use stay."""
        while self.descriptor_count > self.max_descriptors:
            if not self._close_longest_idle():
                break

    def _close_longest_idle(self) -> bool:
        # Clients first: they connect again at no cost, while a new connection costs a server work.
        return self._parts.server.close_longest_idle() or self._parts.upstream.close_longest_idle()
