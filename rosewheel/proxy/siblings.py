"""What this process does about another process of its node, while a hot restart lasts."""

from __future__ import annotations

import socket
from collections.abc import Mapping

from rosewheel.proxy import clock
from rosewheel.proxy.parts import ProxyParts
from rosewheel.proxy.resources import Resources


class Siblings:
    """The other process of this node, the predecessor or the successor. Implements `hot_restart.host.SiblingHost`."""

    def __init__(self, parts: ProxyParts, resources: Resources) -> None:
        self._parts = parts
        self._resources = resources

    @property
    def descriptor_count(self) -> int:
        """How many descriptors the connections of clients and to servers hold."""
        return self._resources.descriptor_count

    @property
    def loads_in_flight(self) -> dict[str, float]:
        """The weight of the requests in flight from here, at each server that has any."""
        return self._parts.node.server_loads

    @property
    def listening_sockets(self) -> list[socket.socket]:
        """The sockets on which this process listens, for a successor to listen on as well."""
        admin = self._parts.admin
        sockets = (self._parts.server.listening_socket, admin.listening_socket if admin is not None else None)
        return [sock for sock in sockets if sock is not None]

    def process_count_changed(self, processes: int) -> None:
        """So many processes of this node live now: they share its descriptors, memory and pacing."""
        resources, parts = self._resources, self._parts
        resources.process_count = processes
        if processes == 1:
            resources.predecessor_descriptors = None
        # A predecessor that gives up its connections still lives, but starts no requests.
        deciding = processes if resources.predecessor_descriptors is None else 1
        parts.apply(parts.node.process_count_changed(clock.now_ms(), deciding))
        resources.divide(parts.config.limits.max_sockets)
        resources.close_excess_idle()

    def sibling_connected(self) -> None:
        """Another process of this node exists."""
        self._parts.shared_state.follow()

    def successor_connected(self) -> None:
        """A successor has connected: what an earlier predecessor held no longer counts."""
        self._resources.predecessor_descriptors = None

    def sibling_loads_changed(self, loads: Mapping[str, float]) -> None:
        """The other process has these requests in flight, by server."""
        parts = self._parts
        parts.apply(parts.node.sibling_process_load(clock.now_ms(), dict(loads)))

    def predecessor_holds(self, descriptors: int | None) -> None:
        """The predecessor gives up its connections: what it no longer holds is this process's to use."""
        if descriptors is not None:
            self._resources.predecessor_descriptors = descriptors
            self._resources.divide(self._parts.config.limits.max_sockets)

    def predecessor_leaves(self, descriptors: int | None) -> None:
        """The predecessor starts no requests from now on, so this process paces servers by itself."""
        self.predecessor_holds(descriptors)
        self._parts.apply(self._parts.node.process_count_changed(clock.now_ms(), 1))
