"""Accepts the connections of clients, limits their number, closes stalled ones, and drains them at shutdown."""

from __future__ import annotations

import asyncio
import functools
import logging
import socket
from collections.abc import Callable, Iterable

from rosewheel.http.downstream_connection import DownstreamConnection
from rosewheel.http.errors import BadRequestError
from rosewheel.http.request import DownstreamRequest
from rosewheel.http.request_ids import RequestIds
from rosewheel.http.turns import Turns
from rosewheel.listener import BACKLOG
from rosewheel.node.event_log import EventKind
from rosewheel.node.memory_account import MemoryAccount
from rosewheel.node.rule_monitor import CheckedOperation, Reason, RuleMonitor

log = logging.getLogger("rosewheel.downstream")

SWEEP_INTERVAL_S = 0.25  # time between two checks for stalled connections
PAUSED_CHECK_INTERVAL_S = 0.1  # time between two checks of connections with paused reading for a disconnect
MIN_IDLE_BEFORE_RECLAIM_S = 0.2  # idle time after which a connection may be closed to free a descriptor
# Time without received bytes after which a connection that has sent no complete request, or only a part of a head, may
# be closed to free a descriptor.
MIN_INACTIVITY_BEFORE_RECLAIM_S = 0.3
ACCEPT_DURING_DRAIN_S = 0.6  # time after SIGTERM during which new connections are accepted
# Time after SIGTERM during which open connections may send requests, since other nodes may still be starting. It ends
# at the latest by the margin before the longest request timeout, as the drain ends soon after that timeout.
KEEP_OPEN_DURING_DRAIN_S = 2.0
DRAIN_DEADLINE_MARGIN_S = 0.1
# Time that a new connection has for its first request during a drain. SIGKILL comes 0.7 s after the longest deadline,
# so there is time for it with the shortest deadlines too.
NEW_CONNECTION_GRACE_S = 0.3
# Time after the longest request timeout at which a drain aborts connections without a request.
DRAIN_RESPONSE_GRACE_S = 0.4
DRAIN_POLL_INTERVAL_S = 0.02
MIGRATION_POLL_INTERVAL_S = 0.005
UNLIMITED_CONNECTIONS = 1 << 20


class DownstreamServer:
    """Accepts connections and passes their requests to the proxy.

    Attributes:
        descriptor_available: Returns whether the process may open a descriptor, closing an idle connection if needed.
        request_received: Processes a request, whose response is written to its connection.
        request_completed: Called for the last byte of a request that was dispatched before it was complete.
        request_overdue: Called for a dispatched request whose body is incomplete when its client's time may be over.
        request_blocking: Called for an active request behind which another one has no time left.
        client_disconnected: Called for a dispatched request whose client has disconnected.
        is_healthy: Returns whether the node can serve requests.
        memory: The memory of the process.
        request_ids: The Request-Ids that are in use.
        turns: Shares the event loop between expensive input and other connections.
        monitor: Decides whether connections may be accepted and closed, and counts the verdicts.
        connections: All connections, in the order of their arrival.
        idle_connections: Connections without a request, the longest idle first.
        partial_connections: Connections with only a part of a head, ordered by when they last received bytes, oldest
            first.
        max_connections: Maximum number of connections.
        max_over_limit: Maximum number of connections over the limit that get a 503; any others are closed without a
            response.
        over_limit_count: Number of connections that exceed `max_connections` or the available descriptors.
        rejected_count: Number of rejected requests since the last log line.
        last_rejection: Status and message of the last rejected request.
        draining: The process is shutting down.
        closing: Connections are closed after their next response.
        hot_restarting: Another process of the node is taking over (hot restart).
        drain_started_s: When `draining` was set, on the loop's clock.
    """

    def __init__(
        self,
        descriptor_available: Callable[[], bool],
        on_request: Callable[[DownstreamRequest], None],
        on_request_complete: Callable[[DownstreamRequest], None],
        on_request_overdue: Callable[[DownstreamRequest], None],
        on_request_blocking: Callable[[DownstreamRequest], None],
        on_client_disconnected: Callable[[DownstreamRequest], None],
        is_healthy: Callable[[], bool],
        memory: MemoryAccount,
        request_ids: RequestIds,
        monitor: RuleMonitor | None = None,
    ) -> None:
        self.descriptor_available = descriptor_available
        self.request_received = on_request
        self.request_completed = on_request_complete
        self.request_overdue = on_request_overdue
        self.request_blocking = on_request_blocking
        self.client_disconnected = on_client_disconnected
        self.is_healthy = is_healthy
        self.memory = memory
        self.request_ids = request_ids
        self.monitor = monitor or RuleMonitor()
        self.connections: dict[DownstreamConnection, None] = {}
        self.idle_connections: dict[DownstreamConnection, None] = {}
        self.partial_connections: dict[DownstreamConnection, None] = {}
        self._paused_connections: dict[DownstreamConnection, None] = {}  # paused now or at the last check
        self._paused_check_timer: asyncio.TimerHandle | None = None
        self.max_connections = UNLIMITED_CONNECTIONS
        self.max_over_limit = 16
        self.over_limit_count = 0
        self.rejected_count = 0
        self.last_rejection = ""
        self.draining = self.closing = self.hot_restarting = False
        self.drain_started_s = 0.0
        self.loop = asyncio.get_running_loop()
        self.turns = Turns(self.loop)
        self._listener: asyncio.Server | None = None
        self._sweep_timer: asyncio.TimerHandle | None = None

    async def start(self, sock: socket.socket) -> None:
        """Accept connections on a bound socket."""
        self._listener = await self.loop.create_server(
            lambda: DownstreamConnection(self), sock=sock, backlog=BACKLOG
        )
        self._sweep()

    @property
    def listening(self) -> bool:
        """True if connections are accepted and no drain has begun."""
        return self._listener is not None and not self.draining

    @property
    def listening_socket(self) -> socket.socket | None:
        """The listening socket, which another process may share; None if not listening."""
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

    @property
    def migrating(self) -> bool:
        """True while connections are migrated to another process (hot restart)."""
        return self.hot_restarting and not self.closing

    async def drain(
        self,
        max_request_timeout_s: float = 3.0,
        hot_restart: bool = False,
        migrate: Callable[[], bool] | None = None,
        on_time_over: Callable[[], None] = lambda: None,
    ) -> None:
        """Serve requests for a limited time, then close all connections; return once none is open.

        Args:
            max_request_timeout_s: The longest request timeout, up to the limit for which a drain waits.
            hot_restart: Another process accepts from the same socket; stop accepting at once, and close or migrate
                all connections.
            migrate: Migrates the connections that are detachable now; returns whether to call it again.
            on_time_over: Called repeatedly after the time limit; ends the requests that have no response yet.
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
        await self._close_connections(max_request_timeout_s, migrating, migrate, on_time_over)
        self.close()

    async def _close_connections(
        self,
        max_request_timeout_s: float,
        migrating: bool,
        migrate: Callable[[], bool] | None,
        on_time_over: Callable[[], None],
    ) -> None:
        """Close or migrate each connection once it is idle; after the time limit, abort those without a request."""
        while self.connections or migrating:
            migrating = migrating and migrate is not None and migrate()
            self.closing = not migrating
            drained_s = self.loop.time() - self.drain_started_s
            late_s = drained_s - max_request_timeout_s - DRAIN_RESPONSE_GRACE_S
            if late_s > 0.0:
                on_time_over()
            drain = functools.partial(self._drain_connection, migrating=migrating, late_s=late_s)
            self._for_each("drain of connections", self.connections, drain)
            await asyncio.sleep(MIGRATION_POLL_INTERVAL_S if migrating else DRAIN_POLL_INTERVAL_S)

    def _drain_connection(self, connection: DownstreamConnection, migrating: bool, late_s: float) -> None:
        if not migrating or connection.detach_declined:
            connection.close_if_idle(NEW_CONNECTION_GRACE_S)
        if late_s > 0.0 and connection.active_request is None:
            connection.abort_if_sent(late_s)

    def close(self) -> None:
        """Close the listener and abort all connections."""
        if self._listener is not None:
            self._listener.close()
        if self._sweep_timer is not None:
            self._sweep_timer.cancel()
        if self._paused_check_timer is not None:
            self._paused_check_timer.cancel()
        self._for_each("close of connections", self.connections, lambda each: each.abort())

    def _sweep(self) -> None:
        self._sweep_timer = self.loop.call_later(SWEEP_INTERVAL_S, self._sweep)
        if self.rejected_count:  # one line per sweep, since invalid requests may arrive at a high rate
            log.info("requests rejected: count=%d, last=%s", self.rejected_count, self.last_rejection)
            self.rejected_count = 0
        self.monitor.events.flush()
        now_s = self.loop.time()
        self._for_each("sweep of connections", self.connections, lambda each: self._check(each, now_s))

    def _for_each(
        self,
        step: str,
        connections: Iterable[DownstreamConnection],
        action: Callable[[DownstreamConnection], None],
    ) -> None:
        """Take a step for each connection; an error in one is counted, and costs no other one its turn.

        Args:
            step: Name of the step, for the log.
            connections: The connections, which the step may change.
            action: The step.
        """
        for connection in list(connections):
            try:
                action(connection)
            except Exception:
                self.monitor.record_error(step)

    def _check(self, connection: DownstreamConnection, now_s: float) -> None:
        connection.count_unsent()
        connection.check_upload_deadline(now_s)
        connection.check_queued_deadlines(now_s)
        connection.close_if_stalled(now_s)

    def _check_paused_connections(self) -> None:
        now_s = self.loop.time()
        paused = self._paused_connections
        self._for_each("check of paused connections", paused, lambda each: self._check_paused(each, now_s))
        self._paused_check_timer = None
        if self._paused_connections:
            self._start_paused_check()

    def _check_paused(self, connection: DownstreamConnection, now_s: float) -> None:
        connection.check_upload_deadline(now_s)
        connection.update_backpressure()
        if not connection.reading_paused or connection.close_if_disconnected():
            self._paused_connections.pop(connection, None)

    def shed(self) -> None:
        """Reject incomplete requests while too much memory is held, those without progress for longest first.

        Requests that were received completely are never rejected for this.
        """
        excess_bytes = self.memory.excess_bytes
        if excess_bytes <= 0:
            return
        incomplete = [connection for connection in self.connections if connection.held_incomplete_bytes]

        def reject(connection: DownstreamConnection) -> None:
            nonlocal excess_bytes
            held_bytes = connection.held_incomplete_bytes
            if excess_bytes > 0 and connection.reject_for_memory():
                excess_bytes -= held_bytes

        self._for_each("shedding", sorted(incomplete, key=lambda each: each.last_received_s), reject)

    def _start_paused_check(self) -> None:
        self._paused_check_timer = self.loop.call_later(
            PAUSED_CHECK_INTERVAL_S, self._check_paused_connections
        )

    def connection_opened(self, connection: DownstreamConnection) -> None:
        """Register a connection; mark it if it exceeds the connection limit, or abort it if too many do."""
        self.connections[connection] = None
        self.idle_connections[connection] = None
        self.memory.connection_count = len(self.connections)
        # Connections of clients must not take the descriptors that are reserved for connections to servers.
        is_full = len(self.connections) > self.max_connections and not self._make_room()
        is_full = is_full or not self.descriptor_available()
        reason = Reason.DESCRIPTORS_EXHAUSTED if is_full else Reason.ALLOWED
        connection.over_limit = not self.monitor.is_allowed(CheckedOperation.ACCEPT, reason)
        if connection.over_limit:
            self.over_limit_count += 1
            # Too many of them would use up the descriptors, and no connection could be accepted.
            if self.over_limit_count > self.max_over_limit:
                connection.abort()

    def connection_closed(self, connection: DownstreamConnection) -> None:
        """Remove a connection that is closed or about to close."""
        if connection in self.connections:
            del self.connections[connection]
            self.memory.connection_count = len(self.connections)
            self.idle_connections.pop(connection, None)
            self.partial_connections.pop(connection, None)
            self._paused_connections.pop(connection, None)
            self.over_limit_count -= connection.over_limit

    def connection_paused(self, connection: DownstreamConnection) -> None:
        """Poll a connection for a disconnect while its reading is paused, as the event loop does not report it."""
        self._paused_connections[connection] = None
        if self._paused_check_timer is None:
            self._start_paused_check()

    def mark_idle(self, connection: DownstreamConnection) -> None:
        """Record that a connection has no request."""
        self.idle_connections[connection] = None

    def mark_busy(self, connection: DownstreamConnection) -> None:
        """Record the start of a request on a connection."""
        self.idle_connections.pop(connection, None)

    def mark_partial(self, connection: DownstreamConnection, is_partial: bool) -> None:
        """Record that a connection has just received a part of a head, or that its head is no longer incomplete."""
        self.partial_connections.pop(connection, None)
        if is_partial:
            self.partial_connections[connection] = None

    def record_close(self, reason: str, request: DownstreamRequest | None) -> None:
        """Record that the node closes a client's connection, for the log."""
        subject = "no request" if request is None else request.id or "no id"
        self.monitor.events.record(EventKind.CONNECTION_CLOSED, reason, subject)

    def record_rejection(self, error: BadRequestError) -> None:
        """Count a rejected request for the log."""
        self.rejected_count += 1
        self.last_rejection = f"{error.status}: {error}"

    def close_longest_idle(self) -> bool:
        """Close the longest idle connection, or else one with an incomplete head; return whether one was closed."""
        for connection in self.idle_connections:
            min_idle_s = (
                MIN_IDLE_BEFORE_RECLAIM_S if connection.has_sent_request else MIN_INACTIVITY_BEFORE_RECLAIM_S
            )
            if connection.close_if_idle(min_idle_s):
                # Removed now, since the event loop reports the close later; it must not be selected again until then.
                self.connection_closed(connection)
                return True
            if self.loop.time() - connection.last_activity_s < MIN_INACTIVITY_BEFORE_RECLAIM_S:
                break
        # The first one has been inactive longest: a slow client still sends parts of its head from time to time.
        partial = next(iter(self.partial_connections), None)
        if (
            partial is not None
            and self.loop.time() - partial.last_received_s >= MIN_INACTIVITY_BEFORE_RECLAIM_S
        ):
            partial.reject_incomplete_request()
            self.connection_closed(partial)
            return True
        return False

    def _make_room(self) -> bool:
        """Close an idle connection, or else one whose client has stopped within a body; return whether one was."""
        if self.close_longest_idle():
            return True
        now_s = self.loop.time()
        for connection in self.connections:
            if connection.close_if_upload_stalled(now_s, MIN_INACTIVITY_BEFORE_RECLAIM_S):
                self.connection_closed(connection)
                return True
        return False
