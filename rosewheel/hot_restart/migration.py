"""Detaches open connections from the event loop of one process, and resumes them in the same or another process."""

from __future__ import annotations

import asyncio
import functools
import logging
import socket
import time
from collections.abc import Callable
from dataclasses import dataclass

from rosewheel.hot_restart.errors import MigrationError
from rosewheel.hot_restart.host import MigrationHost
from rosewheel.hot_restart.messages import ConnectionKind, WireState
from rosewheel.hot_restart.messages_codec import (
    ResponseState,
    decode_response_state,
    encode_response_state,
    request_id_of,
)
from rosewheel.hot_restart.unix_socket import close_descriptors
from rosewheel.http.downstream_connection import DownstreamConnection
from rosewheel.http.downstream_detach import DetachedDownstream
from rosewheel.http.upstream_connection import UpstreamConnection
from rosewheel.http.upstream_detach import DetachedUpstream

log = logging.getLogger("rosewheel.hot_restart")

# Probability that an idle connection to a server is migrated before the next client. Clients that have migrated need
# some of these connections for their next requests.
IDLE_UPSTREAM_PROBABILITY = 0.5


@dataclass(slots=True, eq=False)
class MigratedConnection:
    """A detached connection, or both connections of a response in progress.

    Attributes:
        kind: The kind of the connection.
        state: The protocol state of the connection.
        descriptors: Its sockets, owned by the holder of this object.
        pending_bytes: Unsent bytes for the client, followed by unprocessed bytes from it. The state contains the
            number of unsent bytes.
    """

    kind: ConnectionKind
    state: WireState
    descriptors: list[int]
    pending_bytes: bytes = b""


DetachedHandler = Callable[[MigratedConnection | None], None]
"""Receives a detached connection, or None if the connection ended during the detachment."""


class Migration:
    """Migrates the connections of one process to and from other processes."""

    def __init__(self, host: MigrationHost) -> None:
        self._host = host
        self._loop = asyncio.get_running_loop()
        self._arriving: set[asyncio.Task[None]] = set()

    @property
    def arriving_count(self) -> int:
        """The number of connections that this process owns but has not attached to its event loop yet."""
        return len(self._arriving)

    def detach_next(self, on_detached: DetachedHandler) -> bool:
        """Starts to detach one connection.

        Responses in progress come first, since they would fail if they were not migrated. Clients and idle connections
        to servers follow in random order.

        Returns:
            Whether there was a connection that can be migrated now.
        """
        host = self._host
        for client in host.server.connections:
            if (
                client.active_request is not None
                and client.detachable
                and self._detach_response(client, on_detached)
            ):
                return True
        if host.random.random() < IDLE_UPSTREAM_PROBABILITY and self._detach_idle_upstream(on_detached):
            return True
        for client in host.server.connections:
            if client.active_request is None and client.detachable:
                client.detach(functools.partial(_deliver_client, on_detached))
                return True
        return self._detach_idle_upstream(on_detached)

    def _detach_idle_upstream(self, on_detached: DetachedHandler) -> bool:
        return self._host.upstream.detach_idle(functools.partial(_deliver_upstream, on_detached))

    def _detach_response(self, client: DownstreamConnection, on_detached: DetachedHandler) -> bool:
        """Starts to detach both connections of a response in progress; returns whether that is possible.

        Neither connection is read or written from then on.
        """
        request = client.active_request
        in_progress = self._host.node.response_in_progress(request.id) if request is not None else None
        if request is None or in_progress is None:
            return False
        class_name, server, attempt = in_progress
        detachment = _ResponseDetachment(self._host, request.id, class_name, server, on_detached)
        if not self._host.upstream.detach_response(request.id, attempt, detachment.upstream_detached):
            return False
        client.detach(detachment.client_detached)
        return True

    def rejection_reason(self, connection: MigratedConnection) -> str:
        """Returns why this process can't resume the connection, or an empty string if it can."""
        host, kind = self._host, connection.kind
        if len(connection.descriptors) != kind.descriptor_count:
            return "descriptors are missing"
        if host.server.draining or host.stopped:
            return "this process is shutting down"
        if not host.can_hold(kind.descriptor_count, idle=kind is ConnectionKind.UPSTREAM):
            return "this process has reached its descriptor limit"
        if kind is ConnectionKind.UPSTREAM and not host.upstream.accepts_idle(connection.state):
            return "the idle connection or its server is not usable in this process"
        if kind is ConnectionKind.RESPONSE and request_id_of(connection.state) in host.node.requests:
            return "the request is already in flight in this process"
        return ""

    def resume(self, connection: MigratedConnection, returned: bool = False) -> None:
        """Resumes a connection on the event loop of this process.

        Args:
            connection: The connection, owned by this process.
            returned: Whether this process had detached it and the successor did not accept it. It is then closed after
                its next response.
        """
        task = self._loop.create_task(self._resume(connection, returned))
        self._arriving.add(task)
        task.add_done_callback(self._arriving.discard)

    async def _resume(self, connection: MigratedConnection, returned: bool) -> None:
        sockets = [socket.socket(fileno=descriptor) for descriptor in connection.descriptors]
        try:
            for sock in sockets:
                sock.setblocking(False)
            match connection.kind:
                case ConnectionKind.UPSTREAM:
                    await self._host.upstream.adopt_idle(sockets[0], connection.state)
                case ConnectionKind.CLIENT:
                    client = self._resumed_client(connection.state, connection.pending_bytes, returned)
                    await self._loop.connect_accepted_socket(lambda: client, sockets[0])
                case ConnectionKind.RESPONSE:
                    await self._resume_response(connection, sockets, returned)
        except Exception:  # an error in one connection must not affect the others
            log.exception("connection not resumed: kind=%s", connection.kind.label)
            for sock in sockets:
                sock.close()

    def _resumed_client(self, state: WireState, pending_bytes: bytes, returned: bool) -> DownstreamConnection:
        client = DownstreamConnection(self._host.server)
        client.restore(state, pending_bytes)
        if returned:
            client.detach_declined = client.close_after_response = True
        return client

    async def _resume_response(
        self, connection: MigratedConnection, sockets: list[socket.socket], returned: bool
    ) -> None:
        host, state = self._host, decode_response_state(connection.state)
        client = self._resumed_client(state.client, connection.pending_bytes, returned)
        if returned:
            host.server.request_ids.response_returned(state.request_id)
        if not host.node.adopt_response(_now_ms(), state.request_id, state.class_name, state.server):
            raise MigrationError(f"request {state.request_id} is already in flight")
        upstream: UpstreamConnection | None = None

        def resume_upstream() -> None:
            if upstream is not None:
                upstream.resume_response()

        request = client.restore_response(state.request_id, resume_upstream)
        host.client_requests[state.request_id] = request
        upstream = host.upstream.adopt_response(
            state.request_id, state.upstream, functools.partial(client.send_response_data, request)
        )
        client_socket, upstream_socket = sockets
        await self._loop.connect_accepted_socket(lambda: client, client_socket)
        if host.client_requests.get(state.request_id) is not request:  # the client has disconnected
            upstream_socket.close()
            return
        await host.upstream.attach_socket(upstream, upstream_socket)
        if client.write_blocked:
            upstream.pause_response()


class _ResponseDetachment:
    """Waits until both connections of a response in progress are detached, and delivers them together."""

    def __init__(
        self,
        host: MigrationHost,
        request_id: str,
        class_name: str,
        server: str,
        on_detached: DetachedHandler,
    ) -> None:
        self._host = host
        self._request_id = request_id
        self._class_name = class_name
        self._server = server
        self._on_detached = on_detached
        self._client: DetachedDownstream | None = None
        self._upstream: DetachedUpstream | None = None
        self._detached_count = 0

    def client_detached(self, client: DetachedDownstream | None) -> None:
        """Handles the detached connection of the client; None if it ended."""
        self._client = client
        self._one_detached()

    def upstream_detached(self, upstream: DetachedUpstream | None) -> None:
        """Handles the detached connection to the server; None if it ended."""
        self._upstream = upstream
        self._one_detached()

    def _one_detached(self) -> None:
        self._detached_count += 1
        if self._detached_count < 2:
            return
        if self._client is not None and self._upstream is not None:
            self._deliver(self._client, self._upstream)
        else:
            self._abort()

    def _deliver(self, client: DetachedDownstream, upstream: DetachedUpstream) -> None:
        host = self._host
        host.client_requests.pop(self._request_id, None)
        host.server.request_ids.response_migrated(self._request_id)
        host.apply(host.node.response_migrated(_now_ms(), self._request_id))
        state = ResponseState(self._request_id, self._class_name, self._server, client.state, upstream.state)
        descriptors = [client.fd, upstream.fd]
        wire_state = encode_response_state(state)
        self._on_detached(
            MigratedConnection(ConnectionKind.RESPONSE, wire_state, descriptors, client.pending_bytes)
        )

    def _abort(self) -> None:
        """Ends the request after one of its connections has ended, and closes the other one."""
        host = self._host
        close_descriptors(end.fd for end in (self._client, self._upstream) if end is not None)
        request = host.client_requests.pop(self._request_id, None)
        if request is not None:
            host.apply(host.node.client_disconnected(_now_ms(), self._request_id))
        self._on_detached(None)


def _deliver_client(on_detached: DetachedHandler, client: DetachedDownstream | None) -> None:
    if client is None:
        on_detached(None)
    else:
        on_detached(
            MigratedConnection(ConnectionKind.CLIENT, client.state, [client.fd], client.pending_bytes)
        )


def _deliver_upstream(on_detached: DetachedHandler, upstream: DetachedUpstream | None) -> None:
    if upstream is None:
        on_detached(None)
    else:
        on_detached(MigratedConnection(ConnectionKind.UPSTREAM, upstream.state, [upstream.fd]))


def _now_ms() -> float:
    return time.monotonic() * 1000.0
