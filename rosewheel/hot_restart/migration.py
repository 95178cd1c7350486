"""Detaches open connections from the event loop of one process, and resumes them in another, or in the same one."""

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

# The share of migrations that begin with an idle connection to a server: the clients that were migrated so far need
# some of these for their next requests.
IDLE_UPSTREAM_SHARE = 0.5


@dataclass(slots=True, eq=False)
class MigratedConnection:
    """A connection, or the two ends of a response in progress, on no event loop.

    Attributes:
        kind: What it is.
        state: Where it stands.
        descriptors: Its sockets; they belong to whoever holds this.
        pending_bytes: Bytes to be sent to the client, and behind them bytes read from it; the state says how many
            are to be sent.
    """

    kind: ConnectionKind
    state: WireState
    descriptors: list[int]
    pending_bytes: bytes = b""


DetachedHandler = Callable[[MigratedConnection | None], None]
"""Gets a detached connection; None where the connection ended while it was being detached."""


class Migration:
    """The connections of one process that leave it or arrive."""

    def __init__(self, host: MigrationHost) -> None:
        self._host = host
        self._loop = asyncio.get_running_loop()
        self._arriving: set[asyncio.Task[None]] = set()

    @property
    def arriving_count(self) -> int:
        """The number of connections that this process owns and that are not on its event loop yet."""
        return len(self._arriving)

    # ------------------------------------------------------------ detaching

    def detach_next(self, on_detached: DetachedHandler) -> bool:
        """Starts to detach one connection.

        Responses in progress come first, since their loss would be the greatest; then clients, and among these idle
        connections to servers.

        Returns:
            Whether there was one that can be migrated now.
        """
        host = self._host
        for client in host.server.connections:
            if (
                client.active_request is not None
                and client.detachable
                and self._detach_response(client, on_detached)
            ):
                return True
        if host.random.random() < IDLE_UPSTREAM_SHARE and self._detach_idle_upstream(on_detached):
            return True
        for client in host.server.connections:
            if client.active_request is None and client.detachable:
                client.detach(functools.partial(_pass_on_client, on_detached))
                return True
        return self._detach_idle_upstream(on_detached)

    def _detach_idle_upstream(self, on_detached: DetachedHandler) -> bool:
        return self._host.upstream.detach_idle(functools.partial(_pass_on_upstream, on_detached))

    def _detach_response(self, client: DownstreamConnection, on_detached: DetachedHandler) -> bool:
        """Detaches both ends of a response at once: neither is read or written from here on."""
        call = client.active_request
        in_progress = self._host.node.response_in_progress(call.id) if call is not None else None
        if call is None or in_progress is None:
            return False
        service, server, attempt = in_progress
        detachment = _ResponseDetachment(self._host, call.id, service, server, on_detached)
        if not self._host.upstream.detach_response(call.id, attempt, detachment.upstream_detached):
            return False
        client.detach(detachment.client_detached)
        return True

    # ------------------------------------------------------------- resuming

    def rejection_reason(self, connection: MigratedConnection) -> str:
        """Returns why this process can't resume the connection; empty where it can."""
        host, kind = self._host, connection.kind
        if len(connection.descriptors) != kind.descriptor_count:
            return "descriptors are missing"
        if host.server.draining or host.stopped:
            return "this process shuts down too"
        if not host.can_hold(kind.descriptor_count, idle=kind is ConnectionKind.UPSTREAM):
            return "no descriptors left"
        if kind is ConnectionKind.UPSTREAM and not host.upstream.accepts_idle(connection.state):
            return "its server is not in use here"
        if kind is ConnectionKind.RESPONSE and request_id_of(connection.state) in host.node.requests:
            return "its request id is in flight here"
        return ""

    def resume(self, connection: MigratedConnection, returned: bool = False) -> None:
        """Serves a connection on this process's event loop from here on.

        Args:
            connection: The connection; it belongs to this process.
            returned: Whether it was detached here, and the successor did not take it. It ends here then.
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
        except Exception:  # a fault in one connection must not end the others
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
        if not host.node.adopt_response(_now_ms(), state.request_id, state.service, state.server):
            raise MigrationError(f"request {state.request_id} is in flight here")
        upstream: UpstreamConnection | None = None

        def client_can_receive() -> None:
            if upstream is not None:
                upstream.resume_response()

        call = client.restore_response(state.request_id, client_can_receive)
        host.calls[state.request_id] = call
        upstream = host.upstream.adopt_response(
            state.request_id, state.upstream, functools.partial(client.send_response_data, call)
        )
        client_socket, upstream_socket = sockets
        await self._loop.connect_accepted_socket(lambda: client, client_socket)
        if host.calls.get(state.request_id) is not call:  # the client has disconnected meanwhile
            upstream_socket.close()
            return
        await host.upstream.attach_socket(upstream, upstream_socket)
        if client.write_blocked:
            upstream.pause_response()


class _ResponseDetachment:
    """Waits until both ends of a response in progress are detached, and passes them on together."""

    def __init__(
        self,
        host: MigrationHost,
        request_id: str,
        service: str,
        server: str,
        on_detached: DetachedHandler,
    ) -> None:
        self._host = host
        self._request_id = request_id
        self._service = service
        self._server = server
        self._on_detached = on_detached
        self._client: DetachedDownstream | None = None
        self._upstream: DetachedUpstream | None = None
        self._ends_detached = 0

    def client_detached(self, client: DetachedDownstream | None) -> None:
        """The client's connection is off the loop; None where it ended."""
        self._client = client
        self._end_detached()

    def upstream_detached(self, upstream: DetachedUpstream | None) -> None:
        """The connection to the server is off the loop; None where it ended."""
        self._upstream = upstream
        self._end_detached()

    def _end_detached(self) -> None:
        self._ends_detached += 1
        if self._ends_detached < 2:
            return
        if self._client is not None and self._upstream is not None:
            self._pass_on(self._client, self._upstream)
        else:
            self._cut_off()

    def _pass_on(self, client: DetachedDownstream, upstream: DetachedUpstream) -> None:
        host = self._host
        host.calls.pop(self._request_id, None)
        host.apply(host.node.response_migrated(_now_ms(), self._request_id))
        state = ResponseState(self._request_id, self._service, self._server, client.state, upstream.state)
        descriptors = [client.fd, upstream.fd]
        wire_state = encode_response_state(state)
        self._on_detached(
            MigratedConnection(ConnectionKind.RESPONSE, wire_state, descriptors, client.pending_bytes)
        )

    def _cut_off(self) -> None:
        """One end has ended: a client that is still there learns it by the end of its connection."""
        host = self._host
        close_descriptors(end.fd for end in (self._client, self._upstream) if end is not None)
        call = host.calls.pop(self._request_id, None)
        if call is not None:
            host.apply(host.node.client_disconnected(_now_ms(), self._request_id))
        self._on_detached(None)


def _pass_on_client(on_detached: DetachedHandler, client: DetachedDownstream | None) -> None:
    if client is None:
        on_detached(None)
    else:
        on_detached(
            MigratedConnection(ConnectionKind.CLIENT, client.state, [client.fd], client.pending_bytes)
        )


def _pass_on_upstream(on_detached: DetachedHandler, upstream: DetachedUpstream | None) -> None:
    if upstream is None:
        on_detached(None)
    else:
        on_detached(MigratedConnection(ConnectionKind.UPSTREAM, upstream.state, [upstream.fd]))


def _now_ms() -> float:
    return time.monotonic() * 1000.0
