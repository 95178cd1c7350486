"""The simulated network between nodes and control machines: a TCP relay that can cut off machines and regions.

A caller is identified by its source address within 127/8, or by the listener that it connects to.
"""

from __future__ import annotations

import asyncio
from collections.abc import Iterable, Mapping

from rosewheel.lab.scale.messages import ListenerSetup, NetworkStatistics
from rosewheel.lab.scale.reachability import Reachability
from rosewheel.lab.scale.relay import RelayedConnection, RelayState
from rosewheel.lab.wire import Address

REGION_DELAY_S = 0.015  # one way
LISTEN_BACKLOG = 2048


class Network:
    """Relays connections from callers to control machines.

    Args:
        regions: Regions of all machines and control machines, by name.
        machines: Names of the machines, by address.
        region_delay_s: One-way delay between regions, in seconds.
    """

    def __init__(
        self, regions: Mapping[str, int], machines: Mapping[str, str], region_delay_s: float = REGION_DELAY_S
    ) -> None:
        self.state = RelayState(Reachability(regions), machines, region_delay_s)
        self._servers: list[asyncio.Server] = []

    @property
    def connections(self) -> set[RelayedConnection]:
        """The open connections."""
        return self.state.connections

    async def listen(self, listener: ListenerSetup) -> Address:
        """Open a listening port on loopback and return its address."""
        server = await asyncio.get_running_loop().create_server(
            lambda: RelayedConnection(self.state, listener).downstream, "127.0.0.1", 0, backlog=LISTEN_BACKLOG
        )
        self._servers.append(server)
        address: Address = server.sockets[0].getsockname()[:2]
        return address

    def lose_machines(self, names: Iterable[str]) -> None:
        """Drop all packets of these machines."""
        self.state.reachability.lost.update(names)
        self._update_connections()

    def restore_machines(self, names: Iterable[str]) -> None:
        """Pass the packets of these machines again, and reset the connections that they had."""
        self.state.reachability.lost.difference_update(names)
        self._update_connections()

    def set_partition(self, partitioned: bool) -> None:
        """Start or end a partition between the regions."""
        self.state.reachability.partitioned = partitioned
        self._update_connections()

    def _update_connections(self) -> None:
        for connection in list(self.connections):
            connection.update_reachability()

    def statistics(self) -> NetworkStatistics:
        """Return the traffic since the start."""
        return NetworkStatistics(self.state.callers, self.state.targets)

    def close(self) -> None:
        """Close the listening ports and reset all connections."""
        for server in self._servers:
            server.close()
        for connection in list(self.connections):
            connection.reset()
