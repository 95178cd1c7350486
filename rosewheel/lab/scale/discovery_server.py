"""Discovery of the fleet, which sends each node the endpoint list of its service and the changes to it.

A node is identified by its source address. Changes are published immediately, so that the measurements don't include
the delay of the platform's registry.
"""

from __future__ import annotations

import asyncio

import msgspec

from rosewheel.lab.discovery import HEARTBEAT_S, DiscoveryEntry
from rosewheel.lab.scale.plan import EndpointHealth
from rosewheel.lab.wire import Address, HttpRequest, ServerConnection

LISTEN_BACKLOG = 2048


class ServiceList:
    """The endpoint list of one service. The initial list is version 1, and each change increments the version."""

    def __init__(self, endpoints: list[DiscoveryEntry]) -> None:
        self.endpoints = {endpoint.name: endpoint for endpoint in endpoints}
        self.changes: list[DiscoveryEntry] = []  # index `i` holds the change to version `i + 2`
        self.watch_versions: dict[ServerConnection, int] = {}  # the last version sent on each watch
        self._encoded_updates: dict[int, bytes] = {}  # by the last version sent on the watch

    @property
    def version(self) -> int:
        """The current version."""
        return len(self.changes) + 1

    @property
    def active_endpoints(self) -> int:
        """Number of active endpoints."""
        return sum(endpoint.health == EndpointHealth.ACTIVE for endpoint in self.endpoints.values())

    def apply(self, endpoint: DiscoveryEntry) -> None:
        """Add, update or remove an endpoint."""
        if endpoint.health == EndpointHealth.LEFT:
            self.endpoints.pop(endpoint.name, None)
        else:
            self.endpoints[endpoint.name] = endpoint
        self.changes.append(endpoint)
        self._encoded_updates.clear()

    def update_since(self, version: int) -> bytes:
        """Return the encoded update for a watch with this version.

        It contains the changes since that version, or a snapshot if the version is unknown. It is encoded once for all
        watches.
        """
        line = self._encoded_updates.get(version)
        if line is None:
            is_snapshot = not 0 < version <= self.version
            endpoints = list(self.endpoints.values()) if is_snapshot else self.changes[version - 1 :]
            hosts = [endpoint.wire_record() for endpoint in endpoints]
            line = msgspec.json.encode({"seq": self.version, "whole": is_snapshot, "hosts": hosts})
            self._encoded_updates[version] = line
        return line


class DiscoveryServer:
    """HTTP server for the watches of all nodes.

    Args:
        services: Endpoint lists of the services, by number.
        service_of_address: Numbers of services by the source addresses of their nodes.
    """

    def __init__(self, services: list[ServiceList], service_of_address: dict[str, int]) -> None:
        self.services, self.service_of_address = services, service_of_address
        self.loop = asyncio.get_running_loop()
        self.watches_opened = 0
        self.updates_sent = 0
        self.connections: set[ServerConnection] = set()
        self._server: asyncio.Server | None = None
        self._heartbeat: asyncio.TimerHandle | None = None

    async def start(self) -> Address:
        """Listen on loopback and return the address."""
        self._server = await self.loop.create_server(
            lambda: ServerConnection(self._handle_request, self.connections.add, self._connection_closed),
            "127.0.0.1",
            0,
            backlog=LISTEN_BACKLOG,
        )
        self._heartbeat = self.loop.call_later(HEARTBEAT_S, self._send_heartbeats)
        address: Address = self._server.sockets[0].getsockname()[:2]
        return address

    def publish(self, service: int, endpoint: DiscoveryEntry) -> int:
        """Change the list of a service, send the change on its watches and return the new version."""
        service_list = self.services[service]
        service_list.apply(endpoint)
        for watch, version in service_list.watch_versions.items():
            self._send_update(service_list, watch, version)
        return service_list.version

    def close(self) -> None:
        """Stop listening and close all watches."""
        if self._heartbeat is not None:
            self._heartbeat.cancel()
        if self._server is not None:
            self._server.close()
        for connection in list(self.connections):
            connection.close()

    def _handle_request(self, request: HttpRequest) -> None:
        path, _, query = request.target.decode("latin-1").partition("?")
        parameters = dict(pair.partition("=")[::2] for pair in query.split("&") if pair)
        service = self._service_of(request.connection)
        if path != "/catalog/members" or "follow" not in parameters or service is None:
            request.connection.respond(404)
            return
        since = int(parameters["since"]) if parameters.get("since", "").isdigit() else 0
        service_list = self.services[service]
        self.watches_opened += 1
        request.connection.current_work = service_list
        request.connection.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        self._send_update(service_list, request.connection, since)

    def _service_of(self, connection: ServerConnection) -> int | None:
        if connection.transport is None:
            return None
        return self.service_of_address.get(connection.transport.get_extra_info("peername")[0])

    def _connection_closed(self, connection: ServerConnection) -> None:
        self.connections.discard(connection)
        if connection.current_work is not None:
            connection.current_work.watch_versions.pop(connection, None)

    def _send_update(self, service_list: ServiceList, watch: ServerConnection, since: int) -> None:
        if since != service_list.version:
            self.updates_sent += 1
            _write_line(watch, service_list.update_since(since))
        service_list.watch_versions[watch] = service_list.version

    def _send_heartbeats(self) -> None:
        for service_list in self.services:
            for watch in service_list.watch_versions:
                _write_line(watch, b"")
        self._heartbeat = self.loop.call_later(HEARTBEAT_S, self._send_heartbeats)


def _write_line(watch: ServerConnection, line: bytes) -> None:
    """Write a line as one chunk of the response body."""
    watch.write(b"%x\r\n%b\n\r\n" % (len(line) + 1, line))
