"""The interfaces that hot restart needs from its process. `rosewheel.proxy` implements them."""

from __future__ import annotations

import random
import socket
from collections.abc import Iterable, Mapping
from typing import Protocol

from rosewheel.http.downstream_server import DownstreamServer
from rosewheel.http.request import DownstreamRequest
from rosewheel.http.upstream_pool import UpstreamPool
from rosewheel.node.core import Node
from rosewheel.node.effects import NodeEffect


class MigrationHost(Protocol):
    """The process whose connections are detached, or on whose event loop connections are resumed.

    Attributes:
        server: The connections of clients.
        upstream: The connections to servers.
        node: The requests in flight.
        client_requests: The client side of the requests in flight, by id.
        random: A seeded random number generator.
        stopped: Whether the process has finished its drain.
    """

    server: DownstreamServer
    upstream: UpstreamPool
    node: Node
    client_requests: dict[str, DownstreamRequest]
    random: random.Random
    stopped: bool

    def apply(self, effects: list[NodeEffect]) -> None:
        """Executes effects that the node has decided on."""

    def can_hold(self, descriptors: int, idle: bool) -> bool:
        """Returns whether this process may open more descriptors.

        Args:
            descriptors: Number of additional descriptors.
            idle: Whether they are for an idle connection to a server.
        """


class SiblingHost(Protocol):
    """The process that reacts to events of a sibling: its predecessor or its successor."""

    @property
    def descriptor_count(self) -> int:
        """The number of descriptors that connections of clients and to servers hold."""

    @property
    def loads_in_flight(self) -> dict[str, float]:
        """The weighted number of this process's requests in flight, by server."""

    @property
    def listening_sockets(self) -> list[socket.socket]:
        """The listening sockets of this process, which a successor shares."""

    def sibling_connected(self) -> None:
        """Called when a sibling has connected."""

    def successor_connected(self) -> None:
        """Called when a successor has connected, before it is answered. It accepts clients only after the answer."""

    def sibling_loads_changed(self, loads: Mapping[str, float]) -> None:
        """Called with the sibling's requests in flight, by server; empty if there is no sibling any more."""

    def take_ended_ids(self, count: int) -> list[str]:
        """Return up to `count` ids of ended requests that a sibling does not know yet."""

    def sibling_requests_ended(self, ids: Iterable[str]) -> None:
        """Called with ids of requests that have ended in the sibling and must not be executed again."""

    def predecessor_descriptors_reported(self, descriptors: int | None) -> None:
        """Called with the number of descriptors that a predecessor in shutdown still holds; None if not reported."""

    def predecessor_shutting_down(self, descriptors: int | None) -> None:
        """Called when the predecessor starts no new requests any more, with the descriptors that it still holds."""
