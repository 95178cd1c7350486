"""The servers of a node and their idle connections: which connections are reused, and when they are closed."""

from __future__ import annotations

import itertools

from rosewheel.config.address import Address
from rosewheel.http.exchange import PooledConnection, UpstreamEndpoint
from rosewheel.node.idle_timeout import IdleTimeout
from rosewheel.policy.events import Server, ServerState

# Time after a response in which its connection is not reused. A server may send surplus bytes with a response or some
# milliseconds after it (1 to 4 ms were seen), and they would be parsed as the response to the next request.
REUSE_QUIET_PERIOD_S = 0.025
MAX_IDLE_DIVISOR = 4  # the idle connections of one server take at most the descriptors divided by this
MIN_IDLE_CONNECTIONS = 2  # idle connections to one server that are always allowed


def _idle_since_s(connection: PooledConnection) -> float:
    return connection.idle_since_s


class IdleConnectionPool:
    """The servers and their idle connections.

    Attributes:
        endpoints: Servers by host.
        cordoned_hosts: Servers that receive no requests, even if their endpoint is available.
        idle_connections: Idle connections to all servers, the longest idle first. Finds expired connections without
            iterating over the endpoints, of which there may be thousands.
        idle_timeout: Decides how long a connection may be idle.
        max_descriptors: Maximum number of descriptors of the process.
    """

    def __init__(self, idle_timeout: IdleTimeout, max_descriptors: int) -> None:
        self.endpoints: dict[str, UpstreamEndpoint] = {}
        self.cordoned_hosts: set[str] = set()
        self.idle_connections: dict[PooledConnection, None] = {}
        self.idle_timeout = idle_timeout
        self.max_descriptors = max_descriptors

    def update(self, servers: list[tuple[Server, Address]], is_snapshot: bool) -> None:
        """Apply an update of the endpoint list.

        Args:
            servers: The servers, each with the address to connect to.
            is_snapshot: The list is complete; servers that it does not contain are removed.
        """
        if is_snapshot:
            listed = {server.address for server, _ in servers}
            for host in [host for host in self.endpoints if host not in listed]:
                self._mark_unavailable(self.endpoints.pop(host))
        for server, address in servers:
            self._update_server(server, address)

    def _update_server(self, server: Server, address: Address) -> None:
        endpoint = self.endpoints.get(server.address)
        if server.state is ServerState.REMOVED:
            if endpoint is not None:
                self._mark_unavailable(self.endpoints.pop(server.address))
            return
        available = server.state is ServerState.UP
        if endpoint is None:
            endpoint = UpstreamEndpoint(server.address, address, server.launched_ms, available)
            self.endpoints[server.address] = endpoint
            return
        if not available or endpoint.address != address or endpoint.launched_ms != server.launched_ms:
            # A request written to a connection of a process that has ended or is draining would be lost.
            self._mark_unavailable(endpoint)
        endpoint.address, endpoint.launched_ms = address, server.launched_ms
        endpoint.available = available

    def set_cordoned(self, host: str, cordoned: bool) -> None:
        """Stop or resume sending requests to a server; its idle connections are closed when it is cordoned."""
        (self.cordoned_hosts.add if cordoned else self.cordoned_hosts.discard)(host)
        endpoint = self.endpoints.get(host)
        if cordoned and endpoint is not None:
            self.close_idle_of(endpoint)

    def accepts_requests(self, host: str) -> bool:
        """Return whether requests may be sent to a server."""
        endpoint = self.endpoints.get(host)
        return endpoint is not None and endpoint.available and host not in self.cordoned_hosts

    def _mark_unavailable(self, endpoint: UpstreamEndpoint) -> None:
        endpoint.available = False
        self.close_idle_of(endpoint)

    def take_idle(self, host: str, now_s: float) -> PooledConnection | None:
        """Remove and return the most recently used idle connection to a server, so that unneeded ones expire.

        Connections within the quiet period are skipped, and unusable ones closed. Returns None if none is left.
        """
        endpoint = self.endpoints.get(host)
        if endpoint is None or not self.accepts_requests(host):
            return None
        quiet_since_s = now_s - REUSE_QUIET_PERIOD_S
        for connection in reversed(endpoint.idle_connections):
            if connection.idle_since_s > quiet_since_s:
                continue
            self.remove_idle(connection)
            if now_s - connection.idle_since_s < self.idle_timeout.reusable_for_s and connection.is_usable():
                return connection
            connection.close()
        return None

    def take_detachable_idle(self, now_s: float) -> PooledConnection | None:
        """Remove and return the most recently used idle connection that another process could use, if any."""
        for connection in reversed(self.idle_connections):
            if now_s - connection.idle_since_s >= self.idle_timeout.reusable_for_s:
                break
            if self.accepts_requests(connection.endpoint.host) and connection.is_usable():
                self.remove_idle(connection)
                return connection
        return None

    def add_idle(self, connection: PooledConnection, now_s: float) -> None:
        """Add a connection that has become idle, or close it if its server is unavailable, has moved or was restarted.

        If the server then has too many idle connections, the longest idle one is closed.
        """
        endpoint = connection.endpoint
        is_same = endpoint.address == connection.address and endpoint.launched_ms == connection.launched_ms
        if not (self.accepts_requests(endpoint.host) and endpoint.available and is_same):
            connection.close()
            return
        connection.idle_since_s = now_s
        endpoint.idle_connections.append(connection)
        self.idle_connections[connection] = None
        max_idle = max(MIN_IDLE_CONNECTIONS, self.max_descriptors // MAX_IDLE_DIVISOR)
        if len(endpoint.idle_connections) > max_idle:
            oldest = endpoint.idle_connections[0]
            self.remove_idle(oldest)
            oldest.close()

    def insert_idle(self, connection: PooledConnection) -> None:
        """Add a connection that was idle in another process; the order by idle time is preserved."""
        endpoint = connection.endpoint
        endpoint.idle_connections.append(connection)
        endpoint.idle_connections.sort(key=_idle_since_s)
        ordered = sorted((*self.idle_connections, connection), key=_idle_since_s)
        self.idle_connections = dict.fromkeys(ordered)

    def remove_idle(self, connection: PooledConnection) -> None:
        """Remove a connection from the idle ones, if it is idle."""
        if connection in self.idle_connections:
            del self.idle_connections[connection]
            connection.endpoint.idle_connections.remove(connection)

    def close_idle_of(self, endpoint: UpstreamEndpoint) -> None:
        """Close the idle connections of a server."""
        idle, endpoint.idle_connections = endpoint.idle_connections, []
        for connection in idle:
            self.idle_connections.pop(connection, None)
            connection.close()

    def close_longest_idle(self) -> bool:
        """Close the longest idle connection; return whether there was one."""
        oldest = next(iter(self.idle_connections), None)
        if oldest is None:
            return False
        self.remove_idle(oldest)
        oldest.close()
        return True

    def close_expired_idle(self, now_s: float) -> None:
        """Close connections past the idle timeout, before their servers do: a request sent on a closed one is lost."""
        limit_s = now_s - self.idle_timeout.close_after_s
        expired = itertools.takewhile(
            lambda connection: connection.idle_since_s <= limit_s, self.idle_connections
        )
        for connection in list(expired):
            self.remove_idle(connection)
            connection.close()
