"""A node of a simulated run: the real `node` and `decide`, with connections that only exist here.

What the program's HTTP side does with attempts is done here in the same order and by the same limits: pools that use
the latest connection first, connections that come up, time out or are refused, servers that vanish, descriptors.
"""

from __future__ import annotations

import math
from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from rosewheel.http.upstream_pool import (
    MAX_IDLE_DIVISOR,
    REUSE_QUIET_PERIOD_S,
    SWEEP_INTERVAL_S,
    UNRESPONSIVE_AFTER_S,
)
from rosewheel.lab.retry import AttemptOutcome
from rosewheel.lab.simulation.events import EventQueue
from rosewheel.lab.simulation.host import Report, SimulatedServerHost
from rosewheel.lab.simulation.network import ONE_WAY_MS, Attempt, Connection, ConnectionPool
from rosewheel.lab.simulation.topology import Topology
from rosewheel.node.core import Node
from rosewheel.node.effects import (
    AbortAttempt,
    NodeEffect,
    OpenEndpointWatch,
    SendResponse,
    StartAttempt,
    StartHealthCheck,
)
from rosewheel.node.idle_timeout import IdleTimeout
from rosewheel.node.limits import Limits
from rosewheel.policy.balancer import FEW
from rosewheel.policy.events import AttemptResult, EndpointListForm, RequestReceived, Server, ServerState
from rosewheel.policy.learned_state import Learned
from rosewheel.policy.settings import Settings
from rosewheel.proxy.proxy import DEADLINE_MARGIN_MS, RESERVED_DESCRIPTORS


@dataclass(slots=True, eq=False)
class NodeRequest:
    """A request at a node, and who waits for its answer."""

    request_id: str
    class_name: str
    operation_id: str
    work_ms: float
    dedup_key: str
    timeout_ms: float
    on_done: Callable[[AttemptOutcome], None]
    abandoned: bool = False


class NodeEnvironment(Protocol):
    """What a node needs of its world."""

    queue: EventQueue
    hosts: dict[str, SimulatedServerHost]
    topology: Topology

    def attempt_finished(self, node: SimulatedNode, exchange: Attempt, result: AttemptResult) -> None:
        """How an attempt ended, as its node sees it."""


class SimulatedNode:
    def __init__(
        self, world: NodeEnvironment, name: str, tier: int, settings: Settings, bounds: Limits, seed: int
    ) -> None:
        self.environment, self.name, self.tier, self.bounds = world, name, tier, bounds
        self.queue, self.zone = world.queue, settings.zone
        self.node = Node(settings, bounds, seed, self.queue.now)
        self.requests: dict[str, NodeRequest] = {}
        self.pools: dict[str, ConnectionPool] = {}
        self.idle_connections: dict[Connection, None] = {}  # of all pools, the longest idle first
        self.connections: dict[Connection, None] = {}
        self.attempts: dict[tuple[str, int], Attempt] = {}
        self.connecting = 0  # connections that are coming up
        self.max_connections = max(8, bounds.max_sockets - RESERVED_DESCRIPTORS)
        self.idle_timeout = IdleTimeout(bounds.idle_timeout_ms / 1000.0, settings.balancer_count > FEW)
        self.dead = False
        self._armed = math.inf
        self.queue.call_later(SWEEP_INTERVAL_S * 1000.0, self._sweep)

    # ----------------------------------------------------------------- callers

    def submit(self, call: NodeRequest) -> None:
        """A request of which the last byte has just been sent."""
        self.queue.call_later(ONE_WAY_MS, self._asked, call)

    def _asked(self, call: NodeRequest) -> None:
        if self.dead:
            self.queue.call_later(ONE_WAY_MS, call.on_done, AttemptOutcome(failure="unreachable"))
            return
        if call.abandoned:
            return
        give_up = self.queue.now + max(1.0, call.timeout_ms - DEADLINE_MARGIN_MS)
        self.requests[call.request_id] = call
        self.apply(
            self.node.receive_request(
                self.queue.now, RequestReceived(call.request_id, call.class_name, give_up)
            )
        )

    def abandon(self, call: NodeRequest) -> None:
        """Whoever asked has closed the connection."""
        call.abandoned = True
        self.queue.call_later(ONE_WAY_MS, self._gone, call)

    def _gone(self, call: NodeRequest) -> None:
        if not self.dead and self.requests.get(call.request_id) is call:
            del self.requests[call.request_id]
            self.apply(self.node.client_disconnected(self.queue.now, call.request_id))

    # --------------------------------------------------------------- discovery

    def receive_endpoint_list(self, form: EndpointListForm, servers: tuple[Server, ...]) -> None:
        if self.dead:
            return
        if form is not EndpointListForm.DELTA:
            named = {server.address for server in servers}
            for host in [host for host in self.pools if host not in named]:
                self._retire(self.pools.pop(host))
        for server in servers:
            pool = self.pools.get(server.address)
            if server.state is ServerState.REMOVED:
                if pool is not None:
                    pool.accepts_requests = False
                    self._retire(self.pools.pop(server.address))
                continue
            up = server.state is ServerState.UP
            if pool is None:
                self.pools[server.address] = ConnectionPool(up, server.launched_ms)
                continue
            if not up or pool.launched_ms != server.launched_ms:
                self._retire(pool)
            pool.accepts_requests, pool.launched_ms = up, server.launched_ms
        self.apply(self.node.update_endpoints(self.queue.now, form, servers))

    # ---------------------------------------------------------------- attempts

    def apply(self, effects: list[NodeEffect]) -> None:
        for effect in effects:
            match effect:
                case StartAttempt():
                    self._start(effect)
                case AbortAttempt():
                    self._abort(effect.id, effect.attempt)
                case SendResponse():
                    self._answer(effect)
                case StartHealthCheck():
                    self._probe(effect.server)
                case OpenEndpointWatch():
                    pass  # the watch on discovery is its agent's to keep
        due = self.node.next_timer_ms()
        if due is not None and due < self._armed:
            self._armed = due
            self.queue.call_at(due, self._tick, due)

    def _tick(self, meant: float) -> None:
        if self.dead or meant != self._armed:
            return
        self._armed = math.inf
        self.apply(self.node.tick(self.queue.now))

    def _answer(self, answer: SendResponse) -> None:
        call = self.requests.pop(answer.id, None)
        if call is None or call.abandoned:
            return
        # To the millisecond, as the program writes it.
        retry_s = round(answer.retry_after_ms / 1000.0, 3) if answer.retry_after_ms > 0.0 else None
        self.queue.call_later(ONE_WAY_MS, call.on_done, AttemptOutcome(answer.status, "", retry_s))

    def _start(self, effect: StartAttempt) -> None:
        call = self.requests.get(effect.id)
        if call is None:
            self.queue.call_later(0.0, self._ended, effect.id, effect.attempt, AttemptResult.CANCELLED, None)
            return
        exchange = Attempt(call, effect.attempt, effect.timeout_ms, self.queue.now)
        self.attempts[effect.id, effect.attempt] = exchange
        pool = self.pools.get(effect.server)
        if pool is not None and pool.accepts_requests:
            rested = self.queue.now - REUSE_QUIET_PERIOD_S * 1000.0
            for link in reversed(pool.idle):
                if link.idle_since <= rested:
                    pool.idle.remove(link)
                    del self.idle_connections[link]
                    self._send(link, exchange)
                    return
        self._open(effect.server, pool, exchange)

    def _open(self, server: str, pool: ConnectionPool | None, exchange: Attempt) -> None:
        host = self.environment.hosts.get(server)
        if pool is None or not pool.accepts_requests or host is None or not self._room():
            self.queue.call_later(0.0, self._failed, exchange)
            return
        self.connecting += 1
        silent = host.isolated or self._apart(host)
        wait = self.bounds.connect_timeout_ms if silent else 2.0 * self._way_ms(host)
        self.queue.call_later(wait, self._opened, server, pool, host, exchange)

    def _way_ms(self, host: SimulatedServerHost) -> float:
        return self.environment.topology.one_way_ms(self.zone, host.spec.zone)

    def _apart(self, host: SimulatedServerHost) -> bool:
        return self.environment.topology.separated(self.zone, host.spec.zone)

    def _opened(
        self, server: str, pool: ConnectionPool, host: SimulatedServerHost, exchange: Attempt
    ) -> None:
        self.connecting -= 1
        if self.dead or exchange.finished:
            return
        # The server may have left, or moved, while the connection came up.
        there = not host.isolated and host.listening and not self._apart(host)
        if not there or self.pools.get(server) is not pool or not pool.accepts_requests:
            self._failed(exchange)
            return
        link = Connection(host, self, one_way_ms=self._way_ms(host))
        self.connections[link] = None
        host.connection_opened(link)
        self._send(link, exchange)

    def _failed(self, exchange: Attempt) -> None:
        if not exchange.finished:
            exchange.finished = True
            self._settled(exchange, AttemptResult.CONNECT_FAILED, None)

    def _send(self, link: Connection, exchange: Attempt) -> None:
        self.node.statistics.count_attempt()
        link.attempt, exchange.connection = exchange, link
        link.use_count += 1
        self.queue.call_later(link.one_way_ms, link.host.receive, link, exchange)

    def attempt_answered(
        self, exchange: Attempt, result: AttemptResult, report: Report | None, keep: bool
    ) -> None:
        """An answer has come, or a connection has ended in its stead."""
        link = exchange.connection
        if self.dead or exchange.finished or link is None:
            return
        exchange.finished, link.attempt = True, None
        if result is AttemptResult.OVERLOADED and link.use_count == 1:
            self.idle_timeout.new_connection_refused(self.queue.now / 1000.0)
        pool = self.pools.get(link.host.spec.name)
        if pool is not None:
            pool.last_response_ms = self.queue.now
        if keep and not link.reset_by_host and pool is not None and pool.accepts_requests:
            link.idle_since = self.queue.now
            pool.idle.append(link)
            self.idle_connections[link] = None
            if len(pool.idle) > max(2, self.bounds.max_sockets // MAX_IDLE_DIVISOR):
                self._close(pool.idle.pop(0))
        else:
            self._close(link)
        self._settled(exchange, result, report)

    def connection_reset(self, link: Connection) -> None:
        """Its server has reset it."""
        if self.dead or link.closed_by_node:
            return
        pool = self.pools.get(link.host.spec.name)
        if pool is not None and link in pool.idle:
            pool.idle.remove(link)
        self._close(link)
        exchange, link.attempt = link.attempt, None
        if exchange is not None and not exchange.finished:
            exchange.finished = True
            self._settled(exchange, AttemptResult.RESET, None)

    def _settled(self, exchange: Attempt, result: AttemptResult, report: Report | None) -> None:
        del self.attempts[exchange.request.request_id, exchange.number]
        self.environment.attempt_finished(self, exchange, result)
        self._ended(exchange.request.request_id, exchange.number, result, report)

    def _ended(self, rid: str, attempt: int, result: AttemptResult, report: Report | None) -> None:
        if not self.dead:
            self.apply(self.node.attempt_finished(self.queue.now, rid, attempt, result, report))

    def _abort(self, rid: str, attempt: int) -> None:
        """Give an attempt up by closing its connection; nothing more is heard of it."""
        exchange = self.attempts.pop((rid, attempt), None)
        if exchange is None or exchange.finished:
            return
        exchange.finished = True
        self.environment.attempt_finished(self, exchange, AttemptResult.CANCELLED)
        link = exchange.connection
        if link is None:  # its connection is still coming up
            return
        link.attempt = None
        pool = self.pools.get(link.host.spec.name)
        self._close(link)
        silent = self.queue.now - UNRESPONSIVE_AFTER_S * 1000.0
        if pool is not None and pool.last_response_ms <= exchange.started_ms <= silent:
            self._retire(pool)  # as the program does: its machine may have vanished

    # ------------------------------------------------------------- connections

    def _room(self) -> bool:
        if len(self.connections) + self.connecting < self.max_connections:
            return True
        oldest = next(iter(self.idle_connections), None)
        if oldest is None:
            return False
        self.pools[oldest.host.spec.name].idle.remove(oldest)
        self._close(oldest)
        return True

    def _close(self, link: Connection) -> None:
        if link.closed_by_node:
            return
        link.closed_by_node = True
        self.idle_connections.pop(link, None)
        del self.connections[link]
        if not link.reset_by_host:
            self.queue.call_later(link.one_way_ms, link.host.connection_closed, link)

    def _retire(self, pool: ConnectionPool) -> None:
        idle, pool.idle = pool.idle, []
        for link in idle:
            self._close(link)

    def _sweep(self) -> None:
        if self.dead:
            return
        self.idle_timeout.relax(self.queue.now / 1000.0)
        oldest = self.queue.now - self.idle_timeout.close_after_s * 1000.0
        while self.idle_connections and (link := next(iter(self.idle_connections))).idle_since <= oldest:
            self.pools[link.host.spec.name].idle.remove(link)
            self._close(link)
        self.queue.call_later(SWEEP_INTERVAL_S * 1000.0, self._sweep)

    # ------------------------------------------------------------------ probes

    def _probe(self, server: str) -> None:
        host = self.environment.hosts.get(server)
        way = ONE_WAY_MS if host is None else self._way_ms(host)
        self.queue.call_later(way, self._probes, server, self.queue.now)

    def _probes(self, server: str, began: float) -> None:
        host = self.environment.hosts.get(server)
        result, report, wait = (
            AttemptResult.CONNECT_FAILED,
            None,
            ONE_WAY_MS if host is None else self._way_ms(host),
        )
        if host is not None and (host.isolated or self._apart(host)):
            result, wait = AttemptResult.TIMEOUT, self.bounds.health_check_timeout_ms
        elif host is not None and host.listening:
            result, report = host.check_health()
        self.queue.call_later(wait, self._probed, server, began, result, report)

    def _probed(self, server: str, began: float, result: AttemptResult, report: Report | None) -> None:
        if not self.dead:
            self.apply(
                self.node.health_check_finished(
                    self.queue.now, server, result, self.queue.now - began, report
                )
            )

    # ------------------------------------------------------------ life and end

    def restore(self, learned: Learned, age_ms: float) -> None:
        self.node.restore_learned_state(self.queue.now, learned, age_ms)

    def kill(self) -> None:
        """The process is gone: its callers' connections and its own end with it."""
        self.dead = True
        for call in self.requests.values():
            if not call.abandoned:
                self.queue.call_later(ONE_WAY_MS, call.on_done, AttemptOutcome(failure="broken"))
        self.requests.clear()
        for link in list(self.connections):
            self._close(link)
