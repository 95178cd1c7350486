"""The servers' side: connection pools, attempts, and what became of them."""

from __future__ import annotations

import asyncio
import itertools
import logging
import socket
from collections.abc import Callable
from typing import Any

from rosewheel.config.platform import Address
from rosewheel.http.body import RequestBody
from rosewheel.http.upstream_connection import (
    DetachCallback,
    Exchange,
    LoadReport,
    ResponseSink,
    UpstreamConnection,
    UpstreamEndpoint,
    parse_load_report,
)
from rosewheel.node.idle_timeout import IdleTimeout
from rosewheel.node.limits import Limits
from rosewheel.policy.events import AttemptResult, Server, ServerState

log = logging.getLogger("rosewheel.equipos")

# What belongs to no answer comes right behind one, or some milliseconds later: until then its connection rests. On one
# that was used again meanwhile it would be taken for the answer to the next request. Seen: 1 to 4 ms, of 40.
REUSE_QUIET_PERIOD_S = 0.025
MAX_IDLE_DIVISOR = 4  # one server's idle connections hold no more than this part of the descriptors
SWEEP_INTERVAL_S = 0.5
START_TIME_TOLERANCE_MS = 1000.0  # two processes reckon a server's start from the list to within this
UNRESPONSIVE_AFTER_S = (
    0.5  # a server that says nothing at all for so long, while it owes an answer, may have vanished
)

AttemptEndedCallback = Callable[[str, int, AttemptResult, LoadReport | None, bytes], None]
# A long answer begins, of this length where it is known. Returns its sink, or None where nobody wants it.
ResponseStartedCallback = Callable[[str, int, int | None, Callable[[], None]], ResponseSink | None]
HealthCheckedCallback = Callable[[str, AttemptResult, float, LoadReport | None], None]


def _since(conn: UpstreamConnection) -> float:
    return conn.idle_since_s


class UpstreamPool:
    def __init__(
        self,
        bounds: Limits,
        descriptor_available: Callable[[], bool],
        on_attempt_ended: AttemptEndedCallback,
        on_health_checked: HealthCheckedCallback,
        on_response_started: ResponseStartedCallback,
        on_request_sent: Callable[[], None],
        large_fleet: bool = False,
    ) -> None:
        self.bounds, self.descriptor_available, self.on_attempt_ended, self.on_health_checked = (
            bounds,
            descriptor_available,
            on_attempt_ended,
            on_health_checked,
        )
        self.on_response_started = on_response_started
        self.on_request_sent = on_request_sent  # an attempt was written whole
        self.endpoints: dict[str, UpstreamEndpoint] = {}
        self.cordoned: set[str] = set()  # hosts to which nothing new goes out, whatever their pools say
        self.exchanges: dict[tuple[str, int], Exchange] = {}
        # The idle connections of all pools, the longest idle first: what is too old, or makes room, is found there
        # without a look at pools, of which there may be thousands.
        self.idle_connections: dict[UpstreamConnection, None] = {}
        self.open_count = self.connecting_count = 0  # connections, and those that are coming up
        self.idle_timeout = IdleTimeout(bounds.idle_timeout_ms / 1000.0, large_fleet)
        self.invalid_response_count, self.last_invalid_response = (
            0,
            "",
        )  # answers that were none, since they were last logged; the last one
        self.loop = asyncio.get_running_loop()
        self._sweep_timer = self.loop.call_later(SWEEP_INTERVAL_S, self._sweep)

    def configure(self, bounds: Limits, large_fleet: bool) -> None:
        """These hold from now on; a connection that is coming up keeps the time that it had for that."""
        self.bounds = bounds
        self.idle_timeout.configure(bounds.idle_timeout_ms / 1000.0, large_fleet)

    # ----------------------------------------------------------------- servers

    def update(self, entries: list[tuple[Server, Address]], is_snapshot: bool) -> None:
        if is_snapshot:
            named = {server.address for server, _ in entries}
            for host in [host for host in self.endpoints if host not in named]:
                self._mark_unavailable(self.endpoints.pop(host))
        for server, dial in entries:
            pool = self.endpoints.get(server.address)
            if server.state is ServerState.REMOVED:
                if pool is not None:
                    self._mark_unavailable(self.endpoints.pop(server.address))
                continue
            up = server.state is ServerState.UP
            if pool is None:
                self.endpoints[server.address] = UpstreamEndpoint(
                    server.address, dial, server.launched_ms, up
                )
                continue
            if not up or pool.address != dial or pool.launched_ms != server.launched_ms:
                # Guards against writing to a connection of a process that has ended or is about to.
                self._mark_unavailable(pool)
            pool.address, pool.launched_ms, pool.available = dial, server.launched_ms, up

    def set_cordoned(self, host: str, cordoned: bool) -> None:
        """From now on no attempt's first byte goes there: also not on a connection that is coming up."""
        (self.cordoned.add if cordoned else self.cordoned.discard)(host)
        pool = self.endpoints.get(host)
        if cordoned and pool is not None:
            self._close_idle_connections(pool)

    def _accepts_requests(self, host: str) -> bool:
        pool = self.endpoints.get(host)
        return pool is not None and pool.available and host not in self.cordoned

    def _mark_unavailable(self, pool: UpstreamEndpoint) -> None:
        pool.available = False
        self._close_idle_connections(pool)

    def _close_idle_connections(self, pool: UpstreamEndpoint) -> None:
        idle, pool.idle_connections = pool.idle_connections, []
        for conn in idle:
            self.idle_connections.pop(conn, None)
            conn.close()

    # ---------------------------------------------------------------- attempts

    def start_attempt(
        self,
        id: str,
        attempt: int,
        host: str,
        head: bytes,
        body: RequestBody | None = None,
        chunked: bool = False,
        is_wanted: Callable[[], bool] = lambda: True,
    ) -> None:
        """Send this attempt. Where its connection has to come up first, `wanted` is asked right before the first byte:
        whether its caller is still there."""

        def done(result: AttemptResult, report: LoadReport | None, body: bytes) -> None:
            if self.exchanges.pop((id, attempt), None) is not None:
                self.on_attempt_ended(id, attempt, result, report, body)

        def begin(length: int | None, eased: Callable[[], None]) -> ResponseSink | None:
            return self.on_response_started(id, attempt, length, eased)

        exchange = Exchange(
            head, done, self.loop.time(), self.on_request_sent, begin, is_wanted, body, chunked
        )
        self.exchanges[id, attempt] = exchange
        self._send_or_connect(host, exchange)

    def abort_attempt(self, id: str, attempt: int) -> None:
        """Give an attempt up by closing its connection; nothing more is heard of it."""
        exchange = self.exchanges.pop((id, attempt), None)
        if exchange is None:
            return
        if exchange.connect_task is not None:
            exchange.connect_task.cancel()
        conn = exchange.connection
        if conn is not None:
            conn.release_exchange()
            conn.close()
            # Not `<`: the loop's clock has whole milliseconds, and the two may fall into one.
            if conn.endpoint.last_received_s <= exchange.started_s <= self.loop.time() - UNRESPONSIVE_AFTER_S:
                # Guards against a machine that vanished: its connections stay open and swallow
                # requests, which may then have run. On a new connection, which never comes up, they do not.
                self._close_idle_connections(conn.endpoint)

    def cancel_unsent_attempt(self, id: str, attempt: int) -> bool:
        """Nobody waits for this attempt any more; whether it could still be stopped before its last byte."""
        exchange = self.exchanges.get((id, attempt))
        if exchange is None or exchange.request_sent:
            return False
        self.abort_attempt(id, attempt)
        return True

    def check_health(self, host: str) -> None:
        pool = self.endpoints.get(host)
        if pool is None:
            return
        host_name = f"{pool.address[0]}:{pool.address[1]}".encode()
        head = b"GET /_load HTTP/1.1\r\nHost: %b\r\n\r\n" % host_name
        began = self.loop.time()
        settled = False

        def done(result: AttemptResult, report: LoadReport | None, body: bytes) -> None:
            nonlocal settled
            if not settled:
                settled = True
                timer.cancel()
                report = report or parse_load_report(body.decode("latin-1"))
                self.on_health_checked(host, result, (self.loop.time() - began) * 1000.0, report)

        exchange = Exchange(head, done)

        def expired() -> None:
            if exchange.connect_task is not None:
                exchange.connect_task.cancel()
            if exchange.connection is not None:
                exchange.connection.release_exchange()
                exchange.connection.close()
            done(AttemptResult.TIMEOUT, None, b"")

        timer = self.loop.call_later(self.bounds.health_check_timeout_ms / 1000.0, expired)
        self._send_or_connect(host, exchange)

    def _send_or_connect(self, host: str, exchange: Exchange) -> None:
        pool = self.endpoints.get(host)
        now = self.loop.time()
        rested = now - REUSE_QUIET_PERIOD_S
        idle = pool.idle_connections if pool is not None and self._accepts_requests(host) else ()
        for conn in reversed(idle):  # the latest used: the others age
            if conn.idle_since_s > rested:
                continue
            self.remove_idle(conn)
            if now - conn.idle_since_s < self.idle_timeout.reusable_for_s and conn.is_usable():
                conn.send(exchange)
                return
            conn.close()
        # Told now: when it begins another configuration may hold, under which a repeat might come too late.
        connect_s = self.bounds.connect_timeout_ms / 1000.0
        exchange.connect_task = self.loop.create_task(self._connect_and_send(host, exchange, connect_s))

    async def _connect_and_send(self, host: str, exchange: Exchange, connect_s: float) -> None:
        pool = self.endpoints.get(host)
        if pool is None or not self._accepts_requests(host) or not self.descriptor_available():
            exchange.on_done(AttemptResult.CONNECT_FAILED, None, b"")
            return
        dial, conn, made = pool.address, UpstreamConnection(self, pool), False
        self.connecting_count += 1
        try:
            async with asyncio.timeout(connect_s):
                await self.loop.create_connection(lambda: conn, *dial)
            # Guards the drain: the server may have left, or moved, while the connection came up.
            same = self.endpoints.get(host) is pool and pool.address == dial
            made = same and self._accepts_requests(host) and conn.is_usable()
        except (OSError, TimeoutError) as error:
            log.debug("no connection to %s: %s", host, error or "timed out")
        finally:
            self.connecting_count -= 1
            if not made:  # also where the attempt was given up just as the connection came up
                conn.close()
        exchange.connect_task = None
        if made and exchange.is_wanted():
            conn.send(exchange)
        else:
            conn.close()
            exchange.on_done(AttemptResult.CONNECT_FAILED, None, b"")

    # ------------------------------------------------------------------ moving

    def detach_idle(self, on_detached: DetachCallback) -> bool:
        """Take an idle connection off the loop, the latest used first; False where there is none. How long it has
        rested goes with it, so that the other process lets it settle."""
        now = self.loop.time()
        for conn in reversed(self.idle_connections):
            if now - conn.idle_since_s >= self.idle_timeout.reusable_for_s:
                break
            if self._accepts_requests(conn.endpoint.host) and conn.is_usable():
                self.remove_idle(conn)
                conn.detach(on_detached)
                return True
        return False

    def detach_response(self, id: str, attempt: int, on_detached: DetachCallback) -> bool:
        """The same of the connection on which a long answer comes, if its place in it can be told."""
        exchange = self.exchanges.get((id, attempt))
        conn = exchange.connection if exchange is not None else None
        if conn is None or not conn.detachable:
            return False
        del self.exchanges[id, attempt]
        conn.detach(on_detached)
        return True

    def accepts_idle(self, state: dict[str, Any]) -> bool:
        """Whether an idle connection of another process is of use here."""
        pool = self.endpoints.get(state["host"])
        if pool is None or not self._accepts_requests(pool.host) or list(pool.address) != state["dial"]:
            return False
        theirs, ours = state["launched"], pool.launched_ms
        if (theirs is None) is not (ours is None) or (ours and abs(theirs - ours) > START_TIME_TOLERANCE_MS):
            return False
        return float(state["rested_s"]) < self.idle_timeout.close_after_s

    async def adopt_idle(self, sock: socket.socket, state: dict[str, Any]) -> None:
        pool = self.endpoints.get(state["host"])
        conn = UpstreamConnection(
            self, pool or UpstreamEndpoint(state["host"], tuple(state["dial"]), None, False)
        )
        await self.loop.connect_accepted_socket(lambda: conn, sock)
        if pool is None or not self.accepts_idle(state) or not conn.is_usable():
            conn.close()
            return
        conn.idle_since_s = self.loop.time() - state["rested_s"]
        pool.idle_connections.append(conn)
        pool.idle_connections.sort(key=_since)
        self.idle_connections = dict.fromkeys(sorted((*self.idle_connections, conn), key=_since))

    def adopt_response(self, id: str, state: dict[str, Any], sink: ResponseSink) -> UpstreamConnection:
        """An answer in mid-passage goes on from here, as attempt 0 of its request; `join` follows."""

        def done(result: AttemptResult, report: LoadReport | None, body: bytes) -> None:
            self.exchanges.pop((id, 0), None)
            self.on_attempt_ended(id, 0, result, report, body)

        # Its own pool: the list may no longer name the server, and the connection is not used again.
        conn = UpstreamConnection(self, UpstreamEndpoint(state["host"], tuple(state["dial"]), None, False))
        exchange = Exchange(b"", done, self.loop.time(), request_sent=True)
        conn.restore(exchange, state, sink)
        self.exchanges[id, 0] = exchange
        return conn

    async def attach_socket(self, conn: UpstreamConnection, sock: socket.socket) -> None:
        """Give an adopted connection its socket."""
        await self.loop.connect_accepted_socket(lambda: conn, sock)
        if conn.exchange is None:  # given up meanwhile
            conn.close()

    def record_stale(self, idle_s: float) -> None:
        """A connection that had rested for so long was of no use, and only the request found out."""
        if self.idle_timeout.stale_connection_found(self.loop.time(), idle_s):
            log.info(
                "connections go stale: they may rest for %.3f s from now on", self.idle_timeout.stale_limit_s
            )

    def record_rejection(self) -> None:
        """A new connection's first request was turned away."""
        self.idle_timeout.new_connection_refused(self.loop.time())

    def restore_idle_limit(self, idle_limit_s: float) -> None:
        """What an earlier process had been taught of connections that go stale."""
        self.idle_timeout.restore_stale_limit(self.loop.time(), idle_limit_s)

    @property
    def descriptor_count(self) -> int:
        return self.open_count + self.connecting_count

    def close_longest_idle(self) -> bool:
        """Close the connection that has been idle longest, if one is."""
        oldest = next(iter(self.idle_connections), None)
        if oldest is None:
            return False
        self.remove_idle(oldest)
        oldest.close()
        return True

    # ------------------------------------------------------------- connections

    def remove_idle(self, conn: UpstreamConnection) -> None:
        """It rests no more, if it did."""
        if conn in self.idle_connections:
            del self.idle_connections[conn]
            conn.endpoint.idle_connections.remove(conn)

    def release(self, conn: UpstreamConnection) -> None:
        same = conn.endpoint.address == conn.address and conn.endpoint.launched_ms == conn.launched_ms
        if self._accepts_requests(conn.endpoint.host) and conn.endpoint.available and same:
            conn.idle_since_s = self.loop.time()
            conn.endpoint.idle_connections.append(conn)
            self.idle_connections[conn] = None
            if len(conn.endpoint.idle_connections) > max(2, self.bounds.max_sockets // MAX_IDLE_DIVISOR):
                oldest = conn.endpoint.idle_connections[0]
                self.remove_idle(oldest)
                oldest.close()
        else:
            conn.close()

    def _sweep(self) -> None:
        """Guards against stale connections: a request written to one that its server closes is lost."""
        self._sweep_timer = self.loop.call_later(SWEEP_INTERVAL_S, self._sweep)
        if self.invalid_response_count:
            log.info(
                "%d spoilt answers, the last one from %s",
                self.invalid_response_count,
                self.last_invalid_response,
            )
            self.invalid_response_count = 0
        for exchange in list(self.exchanges.values()):
            if exchange.connection is not None and not exchange.request_sent:
                exchange.connection.fail_if_write_stalled()
        self.idle_timeout.relax(self.loop.time())
        oldest = self.loop.time() - self.idle_timeout.close_after_s
        for conn in list(
            itertools.takewhile(lambda conn: conn.idle_since_s <= oldest, self.idle_connections)
        ):
            self.remove_idle(conn)
            conn.close()

    def close(self) -> None:
        self._sweep_timer.cancel()
        for pool in self.endpoints.values():
            self._mark_unavailable(pool)
