"""Reacts to events of the other process of this node during a hot restart."""

from __future__ import annotations

import socket
from collections.abc import Iterable, Mapping

from rosewheel.proxy import clock
from rosewheel.proxy.context import ProxyContext
from rosewheel.proxy.resources import Resources


class Siblings:
    """Applies events of the sibling process (the predecessor or the successor) to this process.

    Implements `hot_restart.host.SiblingHost`.
    """

    def __init__(self, context: ProxyContext, resources: Resources) -> None:
        self._context = context
        self._resources = resources

    @property
    def descriptor_count(self) -> int:
        """The number of descriptors that connections of clients and to servers hold."""
        return self._resources.descriptor_count

    @property
    def loads_in_flight(self) -> dict[str, float]:
        """The weighted number of this process's requests in flight, by server."""
        return self._context.node.server_loads

    @property
    def listening_sockets(self) -> list[socket.socket]:
        """The listening sockets of this process, which a successor shares."""
        admin = self._context.admin
        sockets = (
            self._context.server.listening_socket,
            admin.listening_socket if admin is not None else None,
        )
        return [sock for sock in sockets if sock is not None]

    def process_count_changed(self, processes: int) -> None:
        """Divides the node's descriptors, memory and pacing among its running processes."""
        resources, context = self._resources, self._context
        if processes > 1:
            context.request_id_sharing.start()
        resources.process_count = processes
        if processes == 1:
            resources.predecessor_descriptors = None
        # A predecessor that is shutting down still runs, but starts no requests.
        active = processes if resources.predecessor_descriptors is None else 1
        context.apply(context.node.process_count_changed(clock.now_ms(), active))
        resources.divide(context.config.limits.max_sockets)
        resources.close_excess_idle()

    def sibling_connected(self) -> None:
        """Handles the connection of a sibling process: starts to poll the shared state."""
        self._context.shared_state.start_polling()

    def successor_connected(self) -> None:
        """Handles the connection of a successor, before it is answered.

        The successor accepts clients only after that, so that it can't forward a copy of a request in this process.
        The descriptors of an earlier predecessor no longer count.
        """
        self._resources.predecessor_descriptors = None
        self._context.request_id_sharing.start()

    def sibling_loads_changed(self, loads: Mapping[str, float]) -> None:
        """Applies the sibling's report of its requests in flight, by server."""
        context = self._context
        context.apply(context.node.sibling_process_load(clock.now_ms(), dict(loads)))

    def take_ended_ids(self, count: int) -> list[str]:
        """Returns up to `count` ids of ended requests that the sibling does not know yet."""
        return self._context.request_ids.ended.take_unshared(count)

    def sibling_requests_ended(self, ids: Iterable[str]) -> None:
        """Keeps ids of requests that have ended in the sibling, so that they are not executed again here."""
        for id in ids:
            self._context.request_ids.ended.add_shared(id)

    def predecessor_descriptors_reported(self, descriptors: int | None) -> None:
        """Applies the descriptor count of a predecessor in shutdown: this process may use the remaining ones."""
        if descriptors is not None:
            self._resources.predecessor_descriptors = descriptors
            self._resources.divide(self._context.config.limits.max_sockets)

    def predecessor_shutting_down(self, descriptors: int | None) -> None:
        """Handles the start of the predecessor's shutdown: from now on only this process starts requests."""
        self.predecessor_descriptors_reported(descriptors)
        self._context.apply(self._context.node.process_count_changed(clock.now_ms(), 1))
