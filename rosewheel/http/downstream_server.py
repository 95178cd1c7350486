"""The callers' side: who is connected, in which order they make room, and how all of that ends."""

from __future__ import annotations

import asyncio
import logging
import socket
from collections.abc import Callable

from rosewheel.http.body import BufferBudget
from rosewheel.http.downstream_connection import DownstreamConnection
from rosewheel.http.request import DownstreamRequest
from rosewheel.listener import BACKLOG

log = logging.getLogger("rosewheel.callers")

SWEEP_INTERVAL_S = 0.25
PAUSED_CHECK_INTERVAL_S = (
    0.1  # how often those that are not read just now are asked of the system whether they are still there
)
MIN_IDLE_BEFORE_RECLAIM_S = 0.2  # a connection that was used this lately is not closed to make room,
MIN_SILENCE_BEFORE_RECLAIM_S = (
    0.3  # nor one that is this new and has not asked yet, or has sent a part of a head this lately
)
ACCEPT_DURING_DRAIN_S = 0.6  # how long after SIGTERM new connections still come, and some more
KEEP_OPEN_DURING_DRAIN_S = (
    2.0  # and how long those that are there may go on asking: other nodes may be starting just now,
)
# but no longer than until so long before the longest patience of a request is over: the end comes not long after that,
# and finds unanswered what it finds on a connection that is still open.
DRAIN_DEADLINE_MARGIN_S = 0.1
NEW_CONNECTION_GRACE_S = 0.2  # a connection that came this lately may still bring its request,
NEW_CONNECTION_GRACE_SHARE = 0.2  # or, where patience is short, within this part of it
DRAIN_RESPONSE_GRACE_S = 0.4  # so long after the longest patience a stop waits only for answers that are owed


class DownstreamServer:
    """Takes calls for `asked`, which answers each through its caller; `arrived` hears of the end of those
    that were asked before it had come, `gone` of callers that left."""

    def __init__(
        self,
        descriptor_available: Callable[[], bool],
        on_request: Callable[[DownstreamRequest], None],
        on_request_complete: Callable[[DownstreamRequest], None],
        on_client_disconnected: Callable[[DownstreamRequest], None],
        is_healthy: Callable[[], bool],
        buffer_budget: BufferBudget,
    ) -> None:
        self.descriptor_available, self.on_request, self.on_request_complete = (
            descriptor_available,
            on_request,
            on_request_complete,
        )
        self.on_client_disconnected, self.is_healthy, self.buffer_budget = (
            on_client_disconnected,
            is_healthy,
            buffer_budget,
        )
        self.connections: dict[DownstreamConnection, None] = {}  # in order of their arrival
        self.idle_connections: dict[
            DownstreamConnection, None
        ] = {}  # those on which nothing is asked, the longest so first
        self._paused_connections: dict[
            DownstreamConnection, None
        ] = {}  # those that are not read just now, or were a moment ago
        self._paused_check_timer: asyncio.TimerHandle | None = None
        self.partial_connections: dict[
            DownstreamConnection, None
        ] = {}  # those with half a head, the longest silent first
        self.max_connections = 1 << 20  # callers that may be connected at a time
        self.max_over_limit = 16  # callers past the descriptors that are told so; the others are just closed
        self.over_limit_count = 0  # of the callers, those past the descriptors
        self.rejected_count = 0  # requests that can't be taken, since they were last logged
        self.last_rejection = ""  # the last one of them
        self.draining = self.closing = self.hot_restarting = False
        self.drain_started_s = 0.0  # since when
        self.loop = asyncio.get_running_loop()
        self._listener: asyncio.Server | None = None
        self._sweep_timer: asyncio.TimerHandle | None = None

    async def start(self, sock: socket.socket) -> None:
        self._listener = await self.loop.create_server(
            lambda: DownstreamConnection(self), sock=sock, backlog=BACKLOG
        )
        self._sweep()

    @property
    def listening(self) -> bool:
        return self._listener is not None and not self.draining

    @property
    def listening_socket(self) -> socket.socket | None:
        """For another process to accept from as well."""
        return self._listener.sockets[0] if self._listener is not None and self.listening else None

    @property
    def port(self) -> int:
        assert self._listener is not None
        return int(self._listener.sockets[0].getsockname()[1])

    async def drain(
        self,
        max_request_timeout_s: float = 3.0,
        hot_restart: bool = False,
        migrate: Callable[[], bool] | None = None,
    ) -> None:
        """Answer what still comes, then close; returns when no caller is left. `longest_s` is the longest patience of a
        request, as far as a stop waits for it. At a handover another process
        accepts from the same socket: this one lets go of it at once, and sends its callers over there, or
        `give`s them: which does what can be done by now, and says whether that goes on."""
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
            await asyncio.sleep(
                max(
                    0.0,
                    min(KEEP_OPEN_DURING_DRAIN_S, max_request_timeout_s - DRAIN_DEADLINE_MARGIN_S)
                    - ACCEPT_DURING_DRAIN_S,
                )
            )
        fresh_s = min(NEW_CONNECTION_GRACE_S, max_request_timeout_s * NEW_CONNECTION_GRACE_SHARE)
        while self.connections or migrating:
            migrating = migrating and migrate is not None and migrate()
            self.closing = not migrating
            late = self.loop.time() - self.drain_started_s > max_request_timeout_s + DRAIN_RESPONSE_GRACE_S
            for caller in list(self.connections):
                if not migrating or caller.detach_declined:
                    caller.close_if_idle(fresh_s)
                if late and caller.active_request is None:
                    caller.abort()
            await asyncio.sleep(0.005 if migrating else 0.02)
        self.close()

    def close(self) -> None:
        """End at once whatever is still open."""
        if self._listener is not None:
            self._listener.close()
        if self._sweep_timer is not None:
            self._sweep_timer.cancel()
        if self._paused_check_timer is not None:
            self._paused_check_timer.cancel()
        for caller in list(self.connections):
            caller.abort()

    def _sweep(self) -> None:
        self._sweep_timer = self.loop.call_later(SWEEP_INTERVAL_S, self._sweep)
        if self.rejected_count:  # one line for all, since bad callers send at full speed
            log.info("%d turned away, the last one: %s", self.rejected_count, self.last_rejection)
            self.rejected_count = 0
        now = self.loop.time()
        for caller in list(self.connections):
            caller.close_if_stalled(now)

    def connection_paused(self, connection: DownstreamConnection) -> None:
        """It is not read from now on, so that the loop will not tell when it leaves."""
        self._paused_connections[connection] = None
        if self._paused_check_timer is None:
            self._paused_check_timer = self.loop.call_later(
                PAUSED_CHECK_INTERVAL_S, self._check_paused_connections
            )

    def _check_paused_connections(self) -> None:
        for caller in list(self._paused_connections):
            if not caller.reading_paused or caller.close_if_disconnected():
                self._paused_connections.pop(caller, None)
        self._paused_check_timer = (
            self.loop.call_later(PAUSED_CHECK_INTERVAL_S, self._check_paused_connections)
            if self._paused_connections
            else None
        )

    def connection_opened(self, connection: DownstreamConnection) -> None:
        self.connections[connection] = None
        self.idle_connections[connection] = None
        # Guards the descriptors, and the servers' share of them: a caller past their number is not kept.
        crowded = len(self.connections) > self.max_connections and not self.close_longest_idle()
        connection.over_limit = crowded or not self.descriptor_available()
        if connection.over_limit:
            self.over_limit_count += 1
            if (
                self.over_limit_count > self.max_over_limit
            ):  # Guards the process: past its own limit the system accepts no more
                connection.abort()

    def connection_closed(self, connection: DownstreamConnection) -> None:
        if connection in self.connections:
            del self.connections[connection]
            self.idle_connections.pop(connection, None)
            self.partial_connections.pop(connection, None)
            self._paused_connections.pop(connection, None)
            self.over_limit_count -= connection.over_limit

    def close_longest_idle(self) -> bool:
        """Close the connection on which nothing has been asked for longest, if it may be."""
        for caller in self.idle_connections:
            if caller.close_if_idle(
                MIN_IDLE_BEFORE_RECLAIM_S if caller.has_sent_request else MIN_SILENCE_BEFORE_RECLAIM_S
            ):
                # Out of the count at once: it is as good as gone, and the next one must not rely on it again.
                self.connection_closed(caller)
                return True
            if self.loop.time() - caller.last_activity_s < MIN_SILENCE_BEFORE_RECLAIM_S:
                break
        # A slow caller goes on sending; who says no more is one of a crowd, or as good as gone.
        half = next(iter(self.partial_connections), None)
        if half is not None and self.loop.time() - half.last_received_s >= MIN_SILENCE_BEFORE_RECLAIM_S:
            half.reject_incomplete_request()
            self.connection_closed(half)
            return True
        return False
