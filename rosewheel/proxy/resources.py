"""Limits of this process on descriptors and memory, and which idle connections are closed to stay within them."""

from __future__ import annotations

from rosewheel.hot_restart.transfers import MAX_PENDING_OFFERS
from rosewheel.node.memory_account import REQUEST_ID_SHARE
from rosewheel.proxy.context import ProxyContext

# Descriptors reserved for uses other than connections of clients or to servers: all descriptors of the process divided
# by RESERVED_DIVISOR, but at least MIN_RESERVED_DESCRIPTORS and at most RESERVED_DESCRIPTORS.
RESERVED_DESCRIPTORS = 40
MIN_RESERVED_DESCRIPTORS = 24
RESERVED_DIVISOR = 8
MIN_DESCRIPTORS = 8
# Connections over the limit that get an error response: all descriptors divided by the divisor, within these bounds.
# Any other connections over the limit are closed at once.
MAX_CLIENTS_OVER_LIMIT = 16
MIN_CLIENTS_OVER_LIMIT = 2
CLIENTS_OVER_LIMIT_DIVISOR = 32
MIN_REQUEST_ID_BYTES = 256 * 1024  # for the ids of ended requests, however little memory is available
CLIENT_SHARE = 0.85  # share of the descriptors that clients may hold
MIN_CLIENTS = 6


class Resources:
    """The limits of one process. During a hot restart it shares its node's limits with another process.

    Attributes:
        max_descriptors: Maximum number of descriptors for connections of clients and to servers.
        process_count: Number of running processes of this node.
        predecessor_descriptors: Number of descriptors that a predecessor that is shutting down still holds, or None
            if there is no such predecessor.
    """

    def __init__(self, context: ProxyContext) -> None:
        self.max_descriptors = 0
        self.process_count = 1
        self.predecessor_descriptors: int | None = None
        self._context = context

    @property
    def descriptor_count(self) -> int:
        """The number of descriptors that connections of clients and to servers hold."""
        return len(self._context.server.connections) + self._context.upstream.descriptor_count

    def divide(self, max_sockets: int) -> None:
        """Sets the limits of this process to its part of the node's limits.

        Args:
            max_sockets: Maximum number of descriptors of the node, for all of its processes together.
        """
        context = self._context
        sockets = max_sockets // self.process_count
        if self.process_count > 1 and self.predecessor_descriptors is not None:
            # The descriptors of an offered connection are open in both processes until the offer is answered.
            unused = max_sockets - self.predecessor_descriptors - 2 * MAX_PENDING_OFFERS
            sockets = max(sockets, unused)
        memory_bytes = int(context.config.limits.memory_limit_mb * (1 << 20))
        context.memory.divide(memory_bytes, self.process_count)
        id_bytes = int(context.memory.available_bytes * REQUEST_ID_SHARE)
        context.request_ids.ended.limit_bytes = max(MIN_REQUEST_ID_BYTES, id_bytes)
        reserved = min(RESERVED_DESCRIPTORS, max(MIN_RESERVED_DESCRIPTORS, sockets // RESERVED_DIVISOR))
        if context.admin is not None:
            # Reserved, so that clients can't use up the descriptors for connections of operators.
            reserved += context.admin.max_connections
        self.max_descriptors = max(MIN_DESCRIPTORS, sockets - reserved)
        over_limit = min(MAX_CLIENTS_OVER_LIMIT, sockets // CLIENTS_OVER_LIMIT_DIVISOR)
        context.server.max_over_limit = max(MIN_CLIENTS_OVER_LIMIT, over_limit)
        max_connections = min(int(self.max_descriptors * CLIENT_SHARE), context.memory.max_connections)
        context.server.max_connections = max(MIN_CLIENTS, max_connections)

    def can_hold(self, descriptors: int, idle: bool) -> bool:
        """Returns whether this process may open more descriptors, if need be by closing an idle connection.

        Args:
            descriptors: Number of additional descriptors.
            idle: Whether they are for an idle connection to a server. No other connection is closed for one.
        """
        server = self._context.server
        if len(server.connections) >= server.max_connections and not idle:
            return False
        in_use = self.descriptor_count + self._context.migration.arriving_count
        return in_use + descriptors <= self.max_descriptors or (not idle and self.free_descriptor())

    def free_descriptor(self) -> bool:
        """Frees one descriptor, if need be by closing an idle connection; returns whether one is available."""
        if self.descriptor_count < self.max_descriptors:
            return True
        return self._close_longest_idle()

    def close_excess_idle(self) -> None:
        """Closes idle connections until this process is within its limit; connections in use stay open."""
        while self.descriptor_count > self.max_descriptors:
            if not self._close_longest_idle():
                break

    def _close_longest_idle(self) -> bool:
        # Connections of clients are closed first: a new connection to a server costs the server work.
        return self._context.server.close_longest_idle() or self._context.upstream.close_longest_idle()
