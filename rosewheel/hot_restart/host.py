"""What hot restart needs of the process that it runs in. `proxy` implements it."""

from __future__ import annotations

import random
import socket
from collections.abc import Mapping
from typing import Protocol

from rosewheel.http.downstream_server import DownstreamServer
from rosewheel.http.request import DownstreamRequest
from rosewheel.http.upstream_pool import UpstreamPool
from rosewheel.node.core import Node
from rosewheel.node.effects import NodeEffect


class MigrationHost(Protocol):
    """The process whose connections a migration detaches, or on whose event loop it resumes them.

    Attributes:
        server: The connections of clients.
        upstream: The connections to servers.
        node: The requests in flight.
        calls: The same requests by id, as their clients' connections know them.
        random: A generator for choices that need no more than to differ.
        stopped: Whether the process has ended its work.
    """

    server: DownstreamServer
    upstream: UpstreamPool
    node: Node
    calls: dict[str, DownstreamRequest]
    random: random.Random
    stopped: bool

    def apply(self, effects: list[NodeEffect]) -> None:
        """Carries out what the node has decided."""

    def can_hold(self, descriptors: int, idle: bool) -> bool:
        """Whether this process may hold so many more descriptors, those of an idle connection or of one in use."""


class SiblingHost(Protocol):
    """What the process does about another process of its node, its sibling: the predecessor or the successor."""

    @property
    def descriptor_count(self) -> int:
        """How many descriptors the connections of clients and to servers hold."""

    @property
    def loads_in_flight(self) -> dict[str, float]:
        """The weight of the requests in flight from here, at each server that has any."""

    @property
    def listening_sockets(self) -> list[socket.socket]:
        """The sockets on which this process listens, for a successor to listen on as well."""

    def sibling_connected(self) -> None:
        """Another process of the node exists."""

    def successor_connected(self) -> None:
        """A successor has connected; a predecessor's descriptors are no concern from now on."""

    def sibling_loads_changed(self, loads: Mapping[str, float]) -> None:
        """The sibling has these requests in flight; none where there is no sibling any more."""

    def predecessor_holds(self, descriptors: int | None) -> None:
        """The predecessor, which gives up its connections, still holds this many descriptors, if it said so."""

    def predecessor_leaves(self, descriptors: int | None) -> None:
        """The predecessor starts no new requests from now on."""
