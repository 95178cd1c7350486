"""The network between nodes and control machines: TCP relays that can lose machines and partition regions.

A caller is known by its source address within 127/8, or by the listener that it connects to.
"""

from __future__ import annotations

import asyncio
from collections.abc import Iterable, Mapping

from rosewheel.lab.scale.messages import ListenerSetup, NetworkStatistics
from rosewheel.lab.scale.reachability import Reachability
from rosewheel.lab.scale.relay import RelayedConnection, RelayState
from rosewheel.lab.wire import Address

REGION_DELAY_S = 0.015  # one way between regions
LISTEN_BACKLOG = 2048


class Network:
    """Listens for callers and relays their connections.

    Args:
        regions: Region of each machine and control machine, by name.
        machines: Name of each machine, by address.
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
        """Open this port on loopback; its address."""
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
        """Let these machines communicate again; their connections are reset."""
        self.state.reachability.lost.difference_update(names)
        self._update_connections()

    def set_partition(self, partitioned: bool) -> None:
        """Separate the regions, or join them again."""
        self.state.reachability.partitioned = partitioned
        self._update_connections()

    def _update_connections(self) -> None:
        for connection in list(self.connections):
            connection.update_reachability()

    def statistics(self) -> NetworkStatistics:
        """Traffic since the start."""
        return NetworkStatistics(self.state.callers, self.state.targets)

    def close(self) -> None:
        """Close the ports and reset all connections."""
        for server in self._servers:
            server.close()
        for connection in list(self.connections):
            connection.reset()
