"""Connections of a simulated node to the servers of its tier.

Models the connection pool of `rosewheel.http` with the same order of operations and the same limits: the most recently
used connection is reused first, idle connections time out, and the number of sockets is limited.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field

from rosewheel.http.idle_connections import MAX_IDLE_DIVISOR, REUSE_QUIET_PERIOD_S
from rosewheel.lab.simulation.events import EventQueue
from rosewheel.lab.simulation.network import Connection
from rosewheel.node.idle_timeout import IdleTimeout
from rosewheel.node.limits import Limits
from rosewheel.policy.events import EndpointListForm, Server, ServerState
from rosewheel.proxy.resources import RESERVED_DESCRIPTORS

MIN_CONNECTIONS = 8
MIN_IDLE_PER_SERVER = 2


@dataclass(slots=True, eq=False)
class ConnectionPool:
    """Connections to one server.

    Attributes:
        accepts_requests: whether the server is listed as up.
        launched_ms: listed start of the server; None if it ran from the beginning.
        last_response_ms: when the last response was received.
        idle: idle connections, the most recently used at the end.
    """

    accepts_requests: bool
    launched_ms: float | None
    last_response_ms: float = float("-inf")
    idle: list[Connection] = field(default_factory=list)


class ConnectionPools:
    """All connections of one node.

    Attributes:
        by_server: pool of each server in the endpoint list.
        idle: idle connections of all pools, the least recently used first.
        open: all open connections.
        connecting: number of connections that are being opened.
        max_connections: limit of open connections.
        max_idle_per_server: limit of idle connections to one server.
    """

    def __init__(self, queue: EventQueue, limits: Limits, large_fleet: bool) -> None:
        self.queue = queue
        self.by_server: dict[str, ConnectionPool] = {}
        self.idle: dict[Connection, None] = {}
        self.open: dict[Connection, None] = {}
        self.connecting = 0
        self.max_connections = max(MIN_CONNECTIONS, limits.max_sockets - RESERVED_DESCRIPTORS)
        self.max_idle_per_server = max(MIN_IDLE_PER_SERVER, limits.max_sockets // MAX_IDLE_DIVISOR)
        self.idle_timeout = IdleTimeout(limits.idle_timeout_ms / 1000.0, large_fleet)

    def update(self, form: EndpointListForm, servers: Iterable[Server]) -> None:
        """Apply an endpoint list. Idle connections to draining, removed and restarted servers are closed."""
        if form is not EndpointListForm.DELTA:
            listed = {server.address for server in servers}
            for address in [address for address in self.by_server if address not in listed]:
                self.close_idle(self.by_server.pop(address))
        for server in servers:
            if server.state is ServerState.REMOVED:
                self._remove(server.address)
            else:
                self._update_server(server)

    def _remove(self, address: str) -> None:
        pool = self.by_server.pop(address, None)
        if pool is not None:
            pool.accepts_requests = False
            self.close_idle(pool)

    def _update_server(self, server: Server) -> None:
        up = server.state is ServerState.UP
        pool = self.by_server.get(server.address)
        if pool is None:
            self.by_server[server.address] = ConnectionPool(up, server.launched_ms)
            return
        if not up or pool.launched_ms != server.launched_ms:
            self.close_idle(pool)
        pool.accepts_requests, pool.launched_ms = up, server.launched_ms

    def take_idle(self, pool: ConnectionPool | None) -> Connection | None:
        """Take the most recently used connection that has been idle for `REUSE_QUIET_PERIOD_S`, if any."""
        if pool is None or not pool.accepts_requests:
            return None
        quiet_since_ms = self.queue.now - REUSE_QUIET_PERIOD_S * 1000.0
        for connection in reversed(pool.idle):
            if connection.idle_since_ms <= quiet_since_ms:
                pool.idle.remove(connection)
                del self.idle[connection]
                return connection
        return None

    def reserve_slot(self) -> bool:
        """Return whether another connection may be opened.

        At the limit, the least recently used idle connection is closed to make room.
        """
        if len(self.open) + self.connecting < self.max_connections:
            return True
        least_recently_used = next(iter(self.idle), None)
        if least_recently_used is None:
            return False
        self.by_server[least_recently_used.host.spec.name].idle.remove(least_recently_used)
        self.close(least_recently_used)
        return True

    def release(self, connection: Connection, keep_open: bool) -> None:
        """Make a connection idle after a response, or close it."""
        pool = self.by_server.get(connection.host.spec.name)
        if pool is not None:
            pool.last_response_ms = self.queue.now
        if not keep_open or connection.reset_by_host or pool is None or not pool.accepts_requests:
            self.close(connection)
            return
        connection.idle_since_ms = self.queue.now
        pool.idle.append(connection)
        self.idle[connection] = None
        if len(pool.idle) > self.max_idle_per_server:
            self.close(pool.idle.pop(0))

    def discard(self, connection: Connection) -> None:
        """Remove a connection that the server has reset."""
        pool = self.by_server.get(connection.host.spec.name)
        if pool is not None and connection in pool.idle:
            pool.idle.remove(connection)
        self.close(connection)

    def close(self, connection: Connection) -> None:
        """Close a connection. The server is notified one network delay later."""
        if connection.closed_by_node:
            return
        connection.closed_by_node = True
        self.idle.pop(connection, None)
        del self.open[connection]
        if not connection.reset_by_host:
            self.queue.call_later(connection.one_way_ms, connection.host.connection_closed, connection)

    def close_idle(self, pool: ConnectionPool) -> None:
        """Close all idle connections of a pool."""
        idle, pool.idle = pool.idle, []
        for connection in idle:
            self.close(connection)

    def sweep(self) -> None:
        """Close connections that have exceeded the idle timeout."""
        self.idle_timeout.relax(self.queue.now / 1000.0)
        expired_before_ms = self.queue.now - self.idle_timeout.close_after_s * 1000.0
        while self.idle and (connection := next(iter(self.idle))).idle_since_ms <= expired_before_ms:
            self.by_server[connection.host.spec.name].idle.remove(connection)
            self.close(connection)

    def close_all(self) -> None:
        """Close all connections."""
        for connection in list(self.open):
            self.close(connection)
