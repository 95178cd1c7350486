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
from rosewheel.node.core import (
    Abort,
    Answer,
    Dispatch,
    Effect,
    Node,
    StartProbe,
    StartWatch,
)
from rosewheel.node.idle_timeout import Rest
from rosewheel.node.limits import Bounds
from rosewheel.policy.balancer import FEW
from rosewheel.policy.events import AttemptResult, EndpointListForm, RequestReceived, Server, ServerState
from rosewheel.policy.learned_state import Learned
from rosewheel.policy.settings import Settings
from rosewheel.proxy.proxy import DEADLINE_MARGIN_MS, RESERVED_DESCRIPTORS


@dataclass(slots=True, eq=False)
class NodeRequest:
    """A request at a node, and who waits for its answer."""

    rid: str
    service: str
    op: str
    work_ms: float
    key: str
    patience_ms: float
    done: Callable[[AttemptOutcome], None]
    abandoned: bool = False


class NodeEnvironment(Protocol):
    """What a node needs of its world."""

    queue: EventQueue
    hosts: dict[str, SimulatedServerHost]
    areas: Topology

    def answered_by(self, node: SimulatedNode, exchange: Attempt, result: AttemptResult) -> None:
        """How an attempt ended, as its node sees it."""


class SimulatedNode:
    def __init__(
        self, world: NodeEnvironment, name: str, tier: int, settings: Settings, bounds: Bounds, seed: int
    ) -> None:
        self.world, self.name, self.tier, self.bounds = world, name, tier, bounds
        self.queue, self.zone = world.queue, settings.zone
        self.node = Node(settings, bounds, seed, self.queue.now)
        self.calls: dict[str, NodeRequest] = {}
        self.pools: dict[str, ConnectionPool] = {}
        self.idle: dict[Connection, None] = {}  # of all pools, the longest idle first
        self.links: dict[Connection, None] = {}
        self.out: dict[tuple[str, int], Attempt] = {}
        self.coming = 0  # connections that are coming up
        self.most = max(8, bounds.sockets - RESERVED_DESCRIPTORS)
        self.rest = Rest(bounds.conn_idle_ms / 1000.0, settings.balancer_count > FEW)
        self.dead = False
        self._armed = math.inf
        self.queue.after(SWEEP_INTERVAL_S * 1000.0, self._sweep)

    # ----------------------------------------------------------------- callers

    def ask(self, call: NodeRequest) -> None:
        """A request of which the last byte has just been sent."""
        self.queue.after(ONE_WAY_MS, self._asked, call)

    def _asked(self, call: NodeRequest) -> None:
        if self.dead:
            self.queue.after(ONE_WAY_MS, call.done, AttemptOutcome(why="unreachable"))
            return
        if call.abandoned:
            return
        give_up = self.queue.now + max(1.0, call.patience_ms - DEADLINE_MARGIN_MS)
        self.calls[call.rid] = call
        self.apply(self.node.request(self.queue.now, RequestReceived(call.rid, call.service, give_up)))

    def abandon(self, call: NodeRequest) -> None:
        """Whoever asked has closed the connection."""
        call.abandoned = True
        self.queue.after(ONE_WAY_MS, self._gone, call)

    def _gone(self, call: NodeRequest) -> None:
        if not self.dead and self.calls.get(call.rid) is call:
            del self.calls[call.rid]
            self.apply(self.node.client_gone(self.queue.now, call.rid))

    # --------------------------------------------------------------- discovery

    def heard(self, form: EndpointListForm, servers: tuple[Server, ...]) -> None:
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
                    pool.up = False
                    self._retire(self.pools.pop(server.address))
                continue
            up = server.state is ServerState.UP
            if pool is None:
                self.pools[server.address] = ConnectionPool(up, server.launched_ms)
                continue
            if not up or pool.launched_ms != server.launched_ms:
                self._retire(pool)
            pool.up, pool.launched_ms = up, server.launched_ms
        self.apply(self.node.members(self.queue.now, form, servers))

    # ---------------------------------------------------------------- attempts

    def apply(self, effects: list[Effect]) -> None:
        for effect in effects:
            match effect:
                case Dispatch():
                    self._start(effect)
                case Abort():
                    self._abort(effect.id, effect.attempt)
                case Answer():
                    self._answer(effect)
                case StartProbe():
                    self._probe(effect.server)
                case StartWatch():
                    pass  # the watch on discovery is its agent's to keep
        due = self.node.next_due()
        if due is not None and due < self._armed:
            self._armed = due
            self.queue.at(due, self._tick, due)

    def _tick(self, meant: float) -> None:
        if self.dead or meant != self._armed:
            return
        self._armed = math.inf
        self.apply(self.node.tick(self.queue.now))

    def _answer(self, answer: Answer) -> None:
        call = self.calls.pop(answer.id, None)
        if call is None or call.abandoned:
            return
        # To the millisecond, as the program writes it.
        retry_s = round(answer.retry_after_ms / 1000.0, 3) if answer.retry_after_ms > 0.0 else None
        self.queue.after(ONE_WAY_MS, call.done, AttemptOutcome(answer.status, "", retry_s))

    def _start(self, effect: Dispatch) -> None:
        call = self.calls.get(effect.id)
        if call is None:
            self.queue.after(0.0, self._ended, effect.id, effect.attempt, AttemptResult.CANCELLED, None)
            return
        exchange = Attempt(call, effect.attempt, effect.timeout_ms, self.queue.now)
        self.out[effect.id, effect.attempt] = exchange
        pool = self.pools.get(effect.server)
        if pool is not None and pool.up:
            rested = self.queue.now - REUSE_QUIET_PERIOD_S * 1000.0
            for link in reversed(pool.idle):
                if link.idle_since <= rested:
                    pool.idle.remove(link)
                    del self.idle[link]
                    self._send(link, exchange)
                    return
        self._open(effect.server, pool, exchange)

    def _open(self, server: str, pool: ConnectionPool | None, exchange: Attempt) -> None:
        host = self.world.hosts.get(server)
        if pool is None or not pool.up or host is None or not self._room():
            self.queue.after(0.0, self._failed, exchange)
            return
        self.coming += 1
        silent = host.vanished or self._apart(host)
        wait = self.bounds.connect_timeout_ms if silent else 2.0 * self._way_ms(host)
        self.queue.after(wait, self._opened, server, pool, host, exchange)

    def _way_ms(self, host: SimulatedServerHost) -> float:
        return self.world.areas.way_ms(self.zone, host.spec.zone)

    def _apart(self, host: SimulatedServerHost) -> bool:
        return self.world.areas.apart(self.zone, host.spec.zone)

    def _opened(
        self, server: str, pool: ConnectionPool, host: SimulatedServerHost, exchange: Attempt
    ) -> None:
        self.coming -= 1
        if self.dead or exchange.over:
            return
        # The server may have left, or moved, while the connection came up.
        there = not host.vanished and host.listening and not self._apart(host)
        if not there or self.pools.get(server) is not pool or not pool.up:
            self._failed(exchange)
            return
        link = Connection(host, self, way_ms=self._way_ms(host))
        self.links[link] = None
        host.made(link)
        self._send(link, exchange)

    def _failed(self, exchange: Attempt) -> None:
        if not exchange.over:
            exchange.over = True
            self._settled(exchange, AttemptResult.CONNECT_FAILED, None)

    def _send(self, link: Connection, exchange: Attempt) -> None:
        self.node.figures.tried()
        link.exchange, exchange.link = exchange, link
        link.used += 1
        self.queue.after(link.way_ms, link.host.asked, link, exchange)

    def returned(self, exchange: Attempt, result: AttemptResult, report: Report | None, keep: bool) -> None:
        """An answer has come, or a connection has ended in its stead."""
        link = exchange.link
        if self.dead or exchange.over or link is None:
            return
        exchange.over, link.exchange = True, None
        if result is AttemptResult.OVERLOADED and link.used == 1:
            self.rest.refused(self.queue.now / 1000.0)
        pool = self.pools.get(link.host.spec.name)
        if pool is not None:
            pool.heard_ms = self.queue.now
        if keep and not link.dead and pool is not None and pool.up:
            link.idle_since = self.queue.now
            pool.idle.append(link)
            self.idle[link] = None
            if len(pool.idle) > max(2, self.bounds.sockets // MAX_IDLE_DIVISOR):
                self._close(pool.idle.pop(0))
        else:
            self._close(link)
        self._settled(exchange, result, report)

    def broken(self, link: Connection) -> None:
        """Its server has reset it."""
        if self.dead or link.closed:
            return
        pool = self.pools.get(link.host.spec.name)
        if pool is not None and link in pool.idle:
            pool.idle.remove(link)
        self._close(link)
        exchange, link.exchange = link.exchange, None
        if exchange is not None and not exchange.over:
            exchange.over = True
            self._settled(exchange, AttemptResult.RESET, None)

    def _settled(self, exchange: Attempt, result: AttemptResult, report: Report | None) -> None:
        del self.out[exchange.call.rid, exchange.number]
        self.world.answered_by(self, exchange, result)
        self._ended(exchange.call.rid, exchange.number, result, report)

    def _ended(self, rid: str, attempt: int, result: AttemptResult, report: Report | None) -> None:
        if not self.dead:
            self.apply(self.node.ended(self.queue.now, rid, attempt, result, report))

    def _abort(self, rid: str, attempt: int) -> None:
        """Give an attempt up by closing its connection; nothing more is heard of it."""
        exchange = self.out.pop((rid, attempt), None)
        if exchange is None or exchange.over:
            return
        exchange.over = True
        self.world.answered_by(self, exchange, AttemptResult.CANCELLED)
        link = exchange.link
        if link is None:  # its connection is still coming up
            return
        link.exchange = None
        pool = self.pools.get(link.host.spec.name)
        self._close(link)
        silent = self.queue.now - UNRESPONSIVE_AFTER_S * 1000.0
        if pool is not None and pool.heard_ms <= exchange.began_ms <= silent:
            self._retire(pool)  # as the program does: its machine may have vanished

    # ------------------------------------------------------------- connections

    def _room(self) -> bool:
        if len(self.links) + self.coming < self.most:
            return True
        oldest = next(iter(self.idle), None)
        if oldest is None:
            return False
        self.pools[oldest.host.spec.name].idle.remove(oldest)
        self._close(oldest)
        return True

    def _close(self, link: Connection) -> None:
        if link.closed:
            return
        link.closed = True
        self.idle.pop(link, None)
        del self.links[link]
        if not link.dead:
            self.queue.after(link.way_ms, link.host.lost, link)

    def _retire(self, pool: ConnectionPool) -> None:
        idle, pool.idle = pool.idle, []
        for link in idle:
            self._close(link)

    def _sweep(self) -> None:
        if self.dead:
            return
        self.rest.forget(self.queue.now / 1000.0)
        oldest = self.queue.now - self.rest.limit_s * 1000.0
        while self.idle and (link := next(iter(self.idle))).idle_since <= oldest:
            self.pools[link.host.spec.name].idle.remove(link)
            self._close(link)
        self.queue.after(SWEEP_INTERVAL_S * 1000.0, self._sweep)

    # ------------------------------------------------------------------ probes

    def _probe(self, server: str) -> None:
        host = self.world.hosts.get(server)
        way = ONE_WAY_MS if host is None else self._way_ms(host)
        self.queue.after(way, self._probes, server, self.queue.now)

    def _probes(self, server: str, began: float) -> None:
        host = self.world.hosts.get(server)
        result, report, wait = (
            AttemptResult.CONNECT_FAILED,
            None,
            ONE_WAY_MS if host is None else self._way_ms(host),
        )
        if host is not None and (host.vanished or self._apart(host)):
            result, wait = AttemptResult.TIMEOUT, self.bounds.probe_timeout_ms
        elif host is not None and host.listening:
            result, report = host.probe()
        self.queue.after(wait, self._probed, server, began, result, report)

    def _probed(self, server: str, began: float, result: AttemptResult, report: Report | None) -> None:
        if not self.dead:
            self.apply(self.node.probed(self.queue.now, server, result, self.queue.now - began, report))

    # ------------------------------------------------------------ life and end

    def recall(self, learned: Learned, age_ms: float) -> None:
        self.node.recall(self.queue.now, learned, age_ms)

    def kill(self) -> None:
        """The process is gone: its callers' connections and its own end with it."""
        self.dead = True
        for call in self.calls.values():
            if not call.abandoned:
                self.queue.after(ONE_WAY_MS, call.done, AttemptOutcome(why="broken"))
        self.calls.clear()
        for link in list(self.links):
            self._close(link)
