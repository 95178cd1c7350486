"""Servers in a node's endpoint list, and servers that operators have cordoned."""

from __future__ import annotations

from rosewheel.policy.events import EndpointListForm, Server, ServerState


class Endpoints:
    """State of each server in the endpoint list, and the set of cordoned servers.

    Attributes:
        servers: State of each server in the list, by address.
        cordoned: Addresses of cordoned servers, including any that are not in the list.
    """

    __slots__ = ("cordoned", "servers")

    def __init__(self) -> None:
        self.servers: dict[str, ServerState] = {}
        self.cordoned: set[str] = set()

    @property
    def any_accepts_requests(self) -> bool:
        """True if at least one server is up and not cordoned."""
        return any(self.accepts_requests(server) for server in self.servers)

    @property
    def cordoned_count(self) -> int:
        """Number of servers in the list that are cordoned."""
        return sum(1 for server in self.servers if server in self.cordoned)

    def accepts_requests(self, server: str) -> bool:
        """Return True if the server is up and not cordoned."""
        return self.servers.get(server) is ServerState.UP and server not in self.cordoned

    def is_listed_or_cordoned(self, server: str) -> bool:
        """Return True if the server is in the list or cordoned."""
        return server in self.servers or server in self.cordoned

    def update(self, form: EndpointListForm, servers: tuple[Server, ...]) -> None:
        """Replace the list, or apply changes to it."""
        if form in (EndpointListForm.SNAPSHOT, EndpointListForm.CACHED):
            self.servers = {}
        for server in servers:
            if server.state is ServerState.REMOVED:
                self.servers.pop(server.address, None)
            else:
                self.servers[server.address] = server.state

    def set_cordon(self, server: str, cordoned: bool) -> bool:
        """Cordon a server, or lift its cordon; return whether its state changed."""
        if cordoned is (server in self.cordoned):
            return False
        (self.cordoned.add if cordoned else self.cordoned.discard)(server)
        return True
