"""Worker process of discovery: `python -m rosewheel.lab.scale.discovery_worker SETUP.json`."""

from __future__ import annotations

import asyncio
import contextlib

import msgspec

from rosewheel.lab.discovery import DiscoveryEntry
from rosewheel.lab.scale.discovery_server import DiscoveryServer, ServiceList
from rosewheel.lab.scale.messages import (
    ChangeLists,
    DiscoveryCommand,
    DiscoveryReady,
    DiscoverySetup,
    DiscoveryStatistics,
    EndpointChange,
    ListsChanged,
    PublishedList,
    ReadStatistics,
)
from rosewheel.lab.scale.plan import EndpointHealth
from rosewheel.lab.scale.worker import run_worker, serve_commands
from rosewheel.lab.wire import now_ms


class FleetDiscovery:
    """Applies the run's commands to the discovery server."""

    def __init__(self, setup: DiscoverySetup) -> None:
        self.services = [
            ServiceList([DiscoveryEntry(row.host, row.dial, row.site, row.block) for row in rows])
            for rows in setup.services
        ]
        self.server = DiscoveryServer(self.services, setup.service_of_address)
        self._initial_endpoints = {
            endpoint.name: endpoint for service in self.services for endpoint in service.endpoints.values()
        }
        self._lost_hosts: set[str] = set()

    async def start(self) -> DiscoveryReady:
        """Start the server."""
        return DiscoveryReady(await self.server.start())

    def handle(self, command: DiscoveryCommand) -> ListsChanged | DiscoveryStatistics:
        """Carry out a command."""
        match command:
            case ChangeLists(changes=changes, returning=returning):
                published = [self._publish(change) for change in changes if self._accept(change, returning)]
                return ListsChanged(published)
            case ReadStatistics():
                return self._statistics()

    def _accept(self, change: EndpointChange, returning: bool) -> bool:
        """Update the set of lost hosts, and return whether the change is published.

        After a host has left, its changes are not published until its machine returns.
        """
        if change.health == EndpointHealth.LEFT:
            self._lost_hosts.add(change.host)
        elif returning:
            self._lost_hosts.discard(change.host)
        return change.health == EndpointHealth.LEFT or change.host not in self._lost_hosts

    def _publish(self, change: EndpointChange) -> PublishedList:
        initial = self._initial_endpoints[change.host]
        at_ms = now_ms()
        endpoint = DiscoveryEntry(change.host, initial.address, initial.zone, initial.cell, change.health)
        return PublishedList(change.service, self.server.publish(change.service, endpoint), at_ms)

    def _statistics(self) -> DiscoveryStatistics:
        return DiscoveryStatistics(
            versions=[service.version for service in self.services],
            active_endpoints=[service.active_endpoints for service in self.services],
            watches_opened=self.server.watches_opened,
            connections=len(self.server.connections),
            updates_sent=self.server.updates_sent,
        )


async def main(setup: DiscoverySetup) -> None:
    """Serve the fleet's watches until standard input ends."""
    discovery = FleetDiscovery(setup)
    decoder: msgspec.json.Decoder[DiscoveryCommand] = msgspec.json.Decoder(DiscoveryCommand)
    with contextlib.suppress(asyncio.CancelledError):
        await serve_commands(decoder, discovery.handle, discovery.start)
    discovery.server.close()


if __name__ == "__main__":
    run_worker(main, DiscoverySetup)
