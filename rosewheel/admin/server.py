"""The admin server: one small HTTP/1.1 request per connection, on an address of its own.

It decides nothing: it reads a request, has the `AdminBackend` carry it out, and writes the response. Guards operators
against clients that connect and send nothing: each has a deadline, and where there are too many connections, the
oldest one without a request is closed.
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

MAX_CONNECTIONS = 12  # their descriptors are kept free of connections of clients and servers
HANDLER_TIMEOUT_S = 0.9  # how long the backend may take
LISTEN_BACKLOG = 256
LIMITS = ConnectionLimits(max_request_bytes=16 * 1024, receive_timeout_s=2.0, send_timeout_s=2.0)


class AdminBackend(Protocol):
    """The process that the admin server is about."""

    def serving(self) -> bool:
        """Whether this process accepts requests of clients."""

    def statistics(self) -> StatisticsSnapshot:
        """The statistics of this process at this moment."""

    async def cordon(self, server: str, /) -> bool:
        """Cordon a server by hand.

        Returns:
            False where no such server is known.

        Raises:
            OSError: the cordon is in force here, but would not outlive this process.
        """

    async def uncordon(self, server: str, /) -> bool:
        """Lift the cordon of a server by hand; returns and raises like `cordon`."""

    def cordoned_by_fleet(self, server: str, /) -> bool:
        """Whether the fleet's configuration cordons a server, whatever was done by hand."""


async def respond_to(backend: AdminBackend, method: str, target: str) -> JsonResponse:
    """Carry out a request of the admin API; errors become responses."""
    try:
        request = decode_request(method, target)
        try:
            async with asyncio.timeout(HANDLER_TIMEOUT_S):
                return encode_response(await _carry_out(backend, request))
        except OSError as error:  # includes TimeoutError
            reason = str(error) or "timed out"
            log.error("request failed: method=%s, target=%.200s, reason=%s", method, target, reason)
            raise CordonNotSavedError(reason) from error
    except AdminError as error:
        return encode_error(error)


async def _carry_out(
    backend: AdminBackend, request: AdminRequest
) -> Health | StatisticsSnapshot | CordonState:
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
        max_connections: How many it holds at most.
        connections: The open connections, the oldest first.
    """

    max_connections = MAX_CONNECTIONS

    def __init__(self, backend: AdminBackend, limits: ConnectionLimits = LIMITS) -> None:
        self.connections: dict[JsonConnection, None] = {}
        self._backend, self._limits = backend, limits
        self._loop = asyncio.get_running_loop()
        self._listener: asyncio.Server | None = None

    async def start(self, sock: socket.socket) -> None:
        """Accept connections on this bound socket."""
        self._listener = await self._loop.create_server(
            lambda: JsonConnection(self, self._limits, self._loop), sock=sock, backlog=LISTEN_BACKLOG
        )

    @property
    def listening_socket(self) -> socket.socket | None:
        """The socket, for another process to accept from as well; None before the start."""
        return self._listener.sockets[0] if self._listener is not None else None

    @property
    def port(self) -> int:
        """The port that it listens at.

        Raises:
            RuntimeError: it has not started.
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
        """Part of `RequestHandler`."""
        self.connections[connection] = None
        if len(self.connections) > MAX_CONNECTIONS:
            silent = (one for one in self.connections if not one.request_received)
            dropped = next(silent, next(iter(self.connections)))
            dropped.abort()
            # At once, before it is reported as closed: the next connection must not drop the same one.
            self.connections.pop(dropped, None)

    def connection_closed(self, connection: JsonConnection) -> None:
        """Part of `RequestHandler`."""
        self.connections.pop(connection, None)

    async def handle(self, request: JsonRequest, connection: JsonConnection) -> JsonResponse:
        """Part of `RequestHandler`."""
        return await respond_to(self._backend, request.method, request.target)
