"""The listener for clients: accepts their connections, limits their number, and drains them."""

from __future__ import annotations

import asyncio
import logging
import socket
from collections.abc import Callable

from rosewheel.http.body import BufferBudget
from rosewheel.http.downstream_connection import DownstreamConnection
from rosewheel.http.errors import BadRequestError
from rosewheel.http.request import DownstreamRequest
from rosewheel.listener import BACKLOG
from rosewheel.node.rule_monitor import CheckedOperation, Reason, RuleMonitor

log = logging.getLogger("rosewheel.downstream")

SWEEP_INTERVAL_S = 0.25  # between two looks for stalled connections
PAUSED_CHECK_INTERVAL_S = 0.1  # between two looks for the end of connections that are not being read
# To free a descriptor, a connection is closed that was not used within the first time; and, if it has sent no request
# or only a part of a head, one that was silent within the second.
MIN_IDLE_BEFORE_RECLAIM_S = 0.2
MIN_SILENCE_BEFORE_RECLAIM_S = 0.3
ACCEPT_DURING_DRAIN_S = 0.6  # how long after SIGTERM new connections are accepted
# How long after SIGTERM open connections may bring requests, since other nodes may be starting. It ends before the
# longest timeout of a request does, by the margin: the drain ends soon after that, with whatever is still open.
KEEP_OPEN_DURING_DRAIN_S = 2.0
DRAIN_DEADLINE_MARGIN_S = 0.1
NEW_CONNECTION_GRACE_S = 0.2  # a new connection may still bring its first request for this long,
NEW_CONNECTION_GRACE_SHARE = 0.2  # or for this share of the longest timeout, if that is shorter
DRAIN_RESPONSE_GRACE_S = 0.4  # this long after the longest timeout a drain waits only for pending responses
DRAIN_POLL_INTERVAL_S = 0.02
MIGRATION_POLL_INTERVAL_S = 0.005
UNLIMITED_CONNECTIONS = 1 << 20


class DownstreamServer:
    """Accepts clients and passes their requests to the proxy.

    Attributes:
        descriptor_available: Whether the process may open a descriptor; it may close an idle connection for it.
        request_received: Processes a request. Its response is written to its connection.
        request_completed: Called for the last byte of a request that was dispatched before it.
        client_disconnected: Called for a dispatched request whose client has disconnected.
        is_healthy: Whether the node can serve requests.
        buffer_budget: Memory for the bodies of requests.
        monitor: Counts verdicts on connections.
        connections: In the order of their arrival.
        idle_connections: Those without a request, the longest idle first.
        partial_connections: Those with only a part of a head, the longest silent first.
        max_connections: How many clients may be connected.
        max_over_limit: How many more get a response that says so; further ones are only closed.
        over_limit_count: Connections over the limit.
        rejected_count: Invalid requests since the last log line.
        last_rejection: The last of them.
        draining: The process shuts down, or another one continues.
        closing: Connections are closed after their next response.
        hot_restarting: Another process of the node continues.
        drain_started_s: When `draining` was set, on the loop's clock.
    """

    def __init__(
        self,
        descriptor_available: Callable[[], bool],
        on_request: Callable[[DownstreamRequest], None],
        on_request_complete: Callable[[DownstreamRequest], None],
        on_client_disconnected: Callable[[DownstreamRequest], None],
        is_healthy: Callable[[], bool],
        buffer_budget: BufferBudget,
        monitor: RuleMonitor | None = None,
    ) -> None:
        self.descriptor_available = descriptor_available
        self.request_received = on_request
        self.request_completed = on_request_complete
        self.client_disconnected = on_client_disconnected
        self.is_healthy = is_healthy
        self.buffer_budget = buffer_budget
        self.monitor = monitor or RuleMonitor()
        self.connections: dict[DownstreamConnection, None] = {}
        self.idle_connections: dict[DownstreamConnection, None] = {}
        self.partial_connections: dict[DownstreamConnection, None] = {}
        self._paused_connections: dict[DownstreamConnection, None] = {}  # not read now, or at the last check
        self._paused_check_timer: asyncio.TimerHandle | None = None
        self.max_connections = UNLIMITED_CONNECTIONS
        self.max_over_limit = 16
        self.over_limit_count = 0
        self.rejected_count = 0
        self.last_rejection = ""
        self.draining = self.closing = self.hot_restarting = False
        self.drain_started_s = 0.0
        self.loop = asyncio.get_running_loop()
        self._listener: asyncio.Server | None = None
        self._sweep_timer: asyncio.TimerHandle | None = None

    async def start(self, sock: socket.socket) -> None:
        """Accept clients on a bound socket."""
        self._listener = await self.loop.create_server(
            lambda: DownstreamConnection(self), sock=sock, backlog=BACKLOG
        )
        self._sweep()

    @property
    def listening(self) -> bool:
        """Whether clients are accepted, and no drain has begun."""
        return self._listener is not None and not self.draining

    @property
    def listening_socket(self) -> socket.socket | None:
        """The listening socket, for another process to accept from as well."""
        return self._listener.sockets[0] if self._listener is not None and self.listening else None

    @property
    def port(self) -> int:
        """The port of the listening socket.

        Raises:
            RuntimeError: The server was not started.
        """
        if self._listener is None:
            raise RuntimeError("the server was not started")
        return int(self._listener.sockets[0].getsockname()[1])

    # --------------------------------------------------------------------------------------------------- draining

    async def drain(
        self,
        max_request_timeout_s: float = 3.0,
        hot_restart: bool = False,
        migrate: Callable[[], bool] | None = None,
    ) -> None:
        """Respond to requests that still arrive, then close; returns once no client is connected.

        Args:
            max_request_timeout_s: The longest timeout of a request, as far as a drain waits for it.
            hot_restart: Another process accepts from the same socket: this one stops accepting at once, and closes or
                migrates its connections.
            migrate: Hands over the connections that can be by now; whether more will follow.
        """
        self.draining, self.drain_started_s = True, self.loop.time()
        migrating = migrate is not None and migrate()
        self.hot_restarting, self.closing = hot_restart, hot_restart and not migrating
        if self._listener is not None and hot_restart:
            self._listener.close()
        if not migrating:
            await asyncio.sleep(ACCEPT_DURING_DRAIN_S)
        if self._listener is not None:
            self._listener.close()
        if not migrating:
            keep_open_s = min(KEEP_OPEN_DURING_DRAIN_S, max_request_timeout_s - DRAIN_DEADLINE_MARGIN_S)
            await asyncio.sleep(max(0.0, keep_open_s - ACCEPT_DURING_DRAIN_S))
        await self._close_connections(max_request_timeout_s, migrating, migrate)
        self.close()

    async def _close_connections(
        self, max_request_timeout_s: float, migrating: bool, migrate: Callable[[], bool] | None
    ) -> None:
        """Close each connection once it is idle, and abort those without a request when the time is over."""
        new_connection_grace_s = min(
            NEW_CONNECTION_GRACE_S, max_request_timeout_s * NEW_CONNECTION_GRACE_SHARE
        )
        while self.connections or migrating:
            migrating = migrating and migrate is not None and migrate()
            self.closing = not migrating
            drained_s = self.loop.time() - self.drain_started_s
            is_late = drained_s > max_request_timeout_s + DRAIN_RESPONSE_GRACE_S
            for connection in list(self.connections):
                if not migrating or connection.detach_declined:
                    connection.close_if_idle(new_connection_grace_s)
                if is_late and connection.active_request is None:
                    connection.abort()
            await asyncio.sleep(MIGRATION_POLL_INTERVAL_S if migrating else DRAIN_POLL_INTERVAL_S)

    def close(self) -> None:
        """Close the listener, and abort all connections."""
        if self._listener is not None:
            self._listener.close()
        if self._sweep_timer is not None:
            self._sweep_timer.cancel()
        if self._paused_check_timer is not None:
            self._paused_check_timer.cancel()
        for connection in list(self.connections):
            connection.abort()

    # ----------------------------------------------------------------------------------------- periodic checks

    def _sweep(self) -> None:
        self._sweep_timer = self.loop.call_later(SWEEP_INTERVAL_S, self._sweep)
        if self.rejected_count:  # one line for all: clients with invalid requests may send at full speed
            log.info("requests rejected: count=%d, last=%s", self.rejected_count, self.last_rejection)
            self.rejected_count = 0
        now_s = self.loop.time()
        for connection in list(self.connections):
            connection.close_if_stalled(now_s)

    def _check_paused_connections(self) -> None:
        for connection in list(self._paused_connections):
            if not connection.reading_paused or connection.close_if_disconnected():
                self._paused_connections.pop(connection, None)
        self._paused_check_timer = None
        if self._paused_connections:
            self._start_paused_check()

    def _start_paused_check(self) -> None:
        self._paused_check_timer = self.loop.call_later(
            PAUSED_CHECK_INTERVAL_S, self._check_paused_connections
        )

    # ------------------------------------------------------------------------------- reports of the connections

    def connection_opened(self, connection: DownstreamConnection) -> None:
        """Register a connection, and mark it if it exceeds the limit."""
        self.connections[connection] = None
        self.idle_connections[connection] = None
        # Guards the descriptors, and the servers' share of them.
        is_full = len(self.connections) > self.max_connections and not self.close_longest_idle()
        is_full = is_full or not self.descriptor_available()
        reason = Reason.DESCRIPTORS_EXHAUSTED if is_full else Reason.ALLOWED
        connection.over_limit = not self.monitor.is_allowed(CheckedOperation.ACCEPT, reason)
        if connection.over_limit:
            self.over_limit_count += 1
            # Guards the process: past its own limit of descriptors the system accepts nothing for it.
            if self.over_limit_count > self.max_over_limit:
                connection.abort()

    def connection_closed(self, connection: DownstreamConnection) -> None:
        """Forget a connection that has ended, or is about to."""
        if connection in self.connections:
            del self.connections[connection]
            self.idle_connections.pop(connection, None)
            self.partial_connections.pop(connection, None)
            self._paused_connections.pop(connection, None)
            self.over_limit_count -= connection.over_limit

    def connection_paused(self, connection: DownstreamConnection) -> None:
        """Check from now on whether the client has disconnected, since the loop does not read the connection."""
        self._paused_connections[connection] = None
        if self._paused_check_timer is None:
            self._start_paused_check()

    def mark_idle(self, connection: DownstreamConnection) -> None:
        """A connection has no request."""
        self.idle_connections[connection] = None

    def mark_busy(self, connection: DownstreamConnection) -> None:
        """A request begins on a connection."""
        self.idle_connections.pop(connection, None)

    def mark_partial(self, connection: DownstreamConnection, is_partial: bool) -> None:
        """A connection has only a part of a head, as the last that received one; or no longer has one."""
        self.partial_connections.pop(connection, None)
        if is_partial:
            self.partial_connections[connection] = None

    def record_rejection(self, error: BadRequestError) -> None:
        """Count an invalid request for the log."""
        self.rejected_count += 1
        self.last_rejection = f"{error.status}: {error}"

    def close_longest_idle(self) -> bool:
        """Close the connection that has been idle longest, or silent longest within a head; whether one was closed."""
        for connection in self.idle_connections:
            min_idle_s = (
                MIN_IDLE_BEFORE_RECLAIM_S if connection.has_sent_request else MIN_SILENCE_BEFORE_RECLAIM_S
            )
            if connection.close_if_idle(min_idle_s):
                # Not counted from now on, although the loop closes it later, so that it is not closed twice.
                self.connection_closed(connection)
                return True
            if self.loop.time() - connection.last_activity_s < MIN_SILENCE_BEFORE_RECLAIM_S:
                break
        # A slow client continues to send; one that is silent within a head is one of many, or has disconnected.
        partial = next(iter(self.partial_connections), None)
        if partial is not None and self.loop.time() - partial.last_received_s >= MIN_SILENCE_BEFORE_RECLAIM_S:
            partial.reject_incomplete_request()
            self.connection_closed(partial)
            return True
        return False
