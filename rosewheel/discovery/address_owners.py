"""Which server an address belongs to, where the endpoint list names two.

Discovery is late: a process that has gone may still be listed when another one has started at its address. Requests for
the first would reach the second, which shares neither its name nor its memory of keys.
"""

from __future__ import annotations

import dataclasses
import math

from rosewheel.config.address import Address
from rosewheel.policy.events import EndpointListForm, Server, ServerState

Endpoint = tuple[Server, Address]


class AddressOwners:
    """Passes on endpoint lists in which each address has one server that accepts requests.

    The server that started last owns an address; of two with the same start, the one listed there last. Any other is
    passed on as draining, until it is listed elsewhere or the owner leaves the address.
    """

    def __init__(self) -> None:
        self._listed: dict[str, Endpoint] = {}
        self._hosts: dict[Address, list[str]] = {}  # by address, in the order in which they were listed there

    def resolve(self, form: EndpointListForm, endpoints: list[Endpoint]) -> list[Endpoint]:
        """Apply an update of the endpoint list, and return the update to pass on.

        Args:
            form: Whether the update is the whole list or a change of it.
            endpoints: The servers and their addresses.
        """
        if form is not EndpointListForm.DELTA:
            self._listed.clear()
            self._hosts.clear()
        affected: dict[str, None] = {}
        for server, address in endpoints:
            affected[server.address] = None
            affected.update(self._list(server, address))
        removed = {server.address: (server, address) for server, address in endpoints}
        return [self._passed_on(host) if host in self._listed else removed[host] for host in affected]

    def _list(self, server: Server, address: Address) -> dict[str, None]:
        """Record one entry; return the other hosts at its old and new address."""
        host, old = server.address, self._listed.pop(server.address, None)
        neighbours: dict[str, None] = {}
        if old is not None and (old[1] != address or server.state is ServerState.REMOVED):
            hosts = self._hosts[old[1]]
            hosts.remove(host)
            neighbours.update(dict.fromkeys(hosts))
            if not hosts:
                del self._hosts[old[1]]
        if server.state is ServerState.REMOVED:
            return neighbours
        self._listed[host] = server, address
        hosts = self._hosts.setdefault(address, [])
        if host not in hosts:
            hosts.append(host)
        if len(hosts) > 1:
            neighbours.update(dict.fromkeys(hosts))
        return neighbours

    def _passed_on(self, host: str) -> Endpoint:
        server, address = self._listed[host]
        hosts = self._hosts[address]
        if len(hosts) == 1 or host == self._owner(hosts):
            return server, address
        return dataclasses.replace(server, state=ServerState.DRAINING), address

    def _owner(self, hosts: list[str]) -> str:
        def start(position: int) -> tuple[float, int]:
            launched_ms = self._listed[hosts[position]][0].launched_ms
            return (-math.inf if launched_ms is None else launched_ms), position

        return hosts[max(range(len(hosts)), key=start)]
