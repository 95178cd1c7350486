"""The admin server: one small HTTP/1.1 request per connection, on a separate address.

Requests are executed by an `AdminBackend`. So that clients that connect and send nothing can't keep operators out, each
request has a deadline, and the oldest connection without a request is closed if there are too many.
"""

from __future__ import annotations

import asyncio
import logging
import socket
from typing import Protocol

from rosewheel.admin.codec import decode_request, encode_error, encode_response
from rosewheel.admin.json_http import ConnectionLimits, JsonConnection, JsonRequest, JsonResponse
from rosewheel.admin.messages import (
    AdminError,
    AdminRequest,
    CordonNotSavedError,
    CordonServer,
    CordonState,
    GetHealth,
    GetStatistics,
    Health,
    UncordonServer,
    UnknownServerError,
)
from rosewheel.node.statistics import StatisticsSnapshot

log = logging.getLogger("rosewheel.admin")

MAX_CONNECTIONS = 12  # the process reserves a descriptor for each
HANDLER_TIMEOUT_S = 0.9  # time limit of the backend for a request
LISTEN_BACKLOG = 256
LIMITS = ConnectionLimits(max_request_bytes=16 * 1024, receive_timeout_s=2.0, send_timeout_s=2.0)


class AdminBackend(Protocol):
    """The process that the admin server reports on and controls."""

    def serving(self) -> bool:
        """Return whether this process serves clients."""

    def statistics(self) -> StatisticsSnapshot:
        """Return a snapshot of the statistics of this process."""

    async def cordon(self, server: str, /) -> bool:
        """Cordon a server on behalf of an operator.

        Returns:
            Whether the server is known.

        Raises:
            OSError: The cordon is in force in this process, but could not be saved for later ones.
        """

    async def uncordon(self, server: str, /) -> bool:
        """Lift an operator's cordon of a server. The result and exceptions are those of `cordon`."""

    def cordoned_by_fleet(self, server: str, /) -> bool:
        """Return whether the fleet's configuration cordons a server."""


async def respond_to(backend: AdminBackend, method: str, target: str) -> JsonResponse:
    """Execute a request of the admin API; errors become error responses."""
    try:
        request = decode_request(method, target)
        try:
            async with asyncio.timeout(HANDLER_TIMEOUT_S):
                return encode_response(await _execute(backend, request))
        except OSError as error:  # includes TimeoutError
            reason = str(error) or "timed out"
            log.error("request failed: method=%s, target=%.200s, reason=%s", method, target, reason)
            raise CordonNotSavedError(reason) from error
    except AdminError as error:
        return encode_error(error)


async def _execute(backend: AdminBackend, request: AdminRequest) -> Health | StatisticsSnapshot | CordonState:
    match request:
        case GetHealth():
            return Health(backend.serving())
        case GetStatistics():
            return backend.statistics()
        case CordonServer(server=server):
            if not await backend.cordon(server):
                raise UnknownServerError(server)
            return CordonState(server, cordoned=True)
        case UncordonServer(server=server):
            if not await backend.uncordon(server):
                raise UnknownServerError(server)
            by_fleet = backend.cordoned_by_fleet(server)
            return CordonState(server, cordoned=by_fleet, by_fleet=by_fleet)


class AdminServer:
    """Accepts connections of operators.

    Attributes:
        max_connections: Maximum number of open connections.
        connections: The open connections, the oldest first.
    """

    max_connections = MAX_CONNECTIONS

    def __init__(self, backend: AdminBackend, limits: ConnectionLimits = LIMITS) -> None:
        self.connections: dict[JsonConnection, None] = {}
        self._backend, self._limits = backend, limits
        self._loop = asyncio.get_running_loop()
        self._listener: asyncio.Server | None = None

    async def start(self, sock: socket.socket) -> None:
        """Start to accept connections on a bound socket."""
        self._listener = await self._loop.create_server(
            lambda: JsonConnection(self, self._limits, self._loop), sock=sock, backlog=LISTEN_BACKLOG
        )

    @property
    def listening_socket(self) -> socket.socket | None:
        """The listening socket, which a successor shares; None before the start."""
        return self._listener.sockets[0] if self._listener is not None else None

    @property
    def port(self) -> int:
        """The port of the listening socket.

        Raises:
            RuntimeError: The server has not started.
        """
        sock = self.listening_socket
        if sock is None:
            raise RuntimeError("the admin server has not started")
        return int(sock.getsockname()[1])

    def close(self) -> None:
        """Stop accepting, and close all connections."""
        if self._listener is not None:
            self._listener.close()
        for connection in list(self.connections):
            connection.abort()

    def connection_opened(self, connection: JsonConnection) -> None:
        """Track a connection, and close another one if there are too many. Implements `RequestHandler`."""
        self.connections[connection] = None
        if len(self.connections) > MAX_CONNECTIONS:
            without_request = (one for one in self.connections if not one.request_received)
            closed = next(without_request, next(iter(self.connections)))
            closed.abort()
            # Removed before its end is reported, so that the next connection does not close the same one.
            self.connections.pop(closed, None)

    def connection_closed(self, connection: JsonConnection) -> None:
        """Stop tracking a connection. Implements `RequestHandler`."""
        self.connections.pop(connection, None)

    async def handle(self, request: JsonRequest, connection: JsonConnection) -> JsonResponse:
        """Execute a request. Implements `RequestHandler`."""
        return await respond_to(self._backend, request.method, request.target)
