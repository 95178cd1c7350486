"""The servers' side: connection pools, attempts, and what became of them."""

from __future__ import annotations

import asyncio
import itertools
import logging
import socket
from collections.abc import Callable
from typing import Any

from rosewheel.config.platform import Address
from rosewheel.http.body import Body
from rosewheel.http.connection import Connection, Exchange, Lift, Pool, Report, Sink, report_from
from rosewheel.node.idle_timeout import Rest
from rosewheel.node.limits import Bounds
from rosewheel.policy.events import AttemptResult, Server, ServerState

log = logging.getLogger("rosewheel.equipos")

# What belongs to no answer comes right behind one, or some milliseconds later: until then its connection rests. On one
# that was used again meanwhile it would be taken for the answer to the next request. Seen: 1 to 4 ms, of 40.
SETTLE_S = 0.025
IDLE_PART = 4  # one server's idle connections hold no more than this part of the descriptors
SWEEP_S = 0.5
SAME_START_MS = 1000.0  # two processes reckon a server's start from the list to within this
SILENT_S = 0.5  # a server that says nothing at all for so long, while it owes an answer, may have vanished

Ended = Callable[[str, int, AttemptResult, Report | None, bytes], None]
# A long answer begins, of this length where it is known. Returns its sink, or None where nobody wants it.
Began = Callable[[str, int, int | None, Callable[[], None]], Sink | None]
Probed = Callable[[str, AttemptResult, float, Report | None], None]


def _since(conn: Connection) -> float:
    return conn.idle_since


class Upstream:
    def __init__(
        self,
        bounds: Bounds,
        make_room: Callable[[], bool],
        ended: Ended,
        probed: Probed,
        began: Began,
        tried: Callable[[], None],
        crowds: bool = False,
    ) -> None:
        self.bounds, self.make_room, self.ended, self.probed = bounds, make_room, ended, probed
        self.began = began
        self.tried = tried  # an attempt was written whole
        self.pools: dict[str, Pool] = {}
        self.cordoned: set[str] = set()  # hosts to which nothing new goes out, whatever their pools say
        self.live: dict[tuple[str, int], Exchange] = {}
        # The idle connections of all pools, the longest idle first: what is too old, or makes room, is found there
        # without a look at pools, of which there may be thousands.
        self.resting: dict[Connection, None] = {}
        self.opened = self.coming = 0  # connections, and those that are coming up
        self.rest = Rest(bounds.conn_idle_ms / 1000.0, crowds)
        self.spoilt, self.why = 0, ""  # answers that were none, since they were last logged; the last one
        self.loop = asyncio.get_running_loop()
        self.sweeper = self.loop.call_later(SWEEP_S, self._sweep)

    def configure(self, bounds: Bounds, crowds: bool) -> None:
        """These hold from now on; a connection that is coming up keeps the time that it had for that."""
        self.bounds = bounds
        self.rest.configure(bounds.conn_idle_ms / 1000.0, crowds)

    # ----------------------------------------------------------------- servers

    def update(self, entries: list[tuple[Server, Address]], whole: bool) -> None:
        if whole:
            named = {server.address for server, _ in entries}
            for host in [host for host in self.pools if host not in named]:
                self._drop(self.pools.pop(host))
        for server, dial in entries:
            pool = self.pools.get(server.address)
            if server.state is ServerState.REMOVED:
                if pool is not None:
                    self._drop(self.pools.pop(server.address))
                continue
            up = server.state is ServerState.UP
            if pool is None:
                self.pools[server.address] = Pool(server.address, dial, server.launched_ms, up)
                continue
            if not up or pool.dial != dial or pool.launched_ms != server.launched_ms:
                # Guards against writing to a connection of a process that has ended or is about to.
                self._drop(pool)
            pool.dial, pool.launched_ms, pool.up = dial, server.launched_ms, up

    def cordon(self, host: str, out: bool) -> None:
        """From now on no attempt's first byte goes there: also not on a connection that is coming up."""
        (self.cordoned.add if out else self.cordoned.discard)(host)
        pool = self.pools.get(host)
        if out and pool is not None:
            self._retire(pool)

    def _open_to(self, host: str) -> bool:
        pool = self.pools.get(host)
        return pool is not None and pool.up and host not in self.cordoned

    def _drop(self, pool: Pool) -> None:
        pool.up = False
        self._retire(pool)

    def _retire(self, pool: Pool) -> None:
        idle, pool.idle = pool.idle, []
        for conn in idle:
            self.resting.pop(conn, None)
            conn.close()

    # ---------------------------------------------------------------- attempts

    def start(
        self,
        id: str,
        attempt: int,
        host: str,
        head: bytes,
        body: Body | None = None,
        chunked: bool = False,
        wanted: Callable[[], bool] = lambda: True,
    ) -> None:
        """Send this attempt. Where its connection has to come up first, `wanted` is asked right before the first byte:
        whether its caller is still there."""

        def done(result: AttemptResult, report: Report | None, body: bytes) -> None:
            if self.live.pop((id, attempt), None) is not None:
                self.ended(id, attempt, result, report, body)

        def begin(length: int | None, eased: Callable[[], None]) -> Sink | None:
            return self.began(id, attempt, length, eased)

        exchange = Exchange(head, done, self.loop.time(), self.tried, begin, wanted, body, chunked)
        self.live[id, attempt] = exchange
        self._begin(host, exchange)

    def abort(self, id: str, attempt: int) -> None:
        """Give an attempt up by closing its connection; nothing more is heard of it."""
        exchange = self.live.pop((id, attempt), None)
        if exchange is None:
            return
        if exchange.task is not None:
            exchange.task.cancel()
        conn = exchange.conn
        if conn is not None:
            conn.forget()
            conn.close()
            # Not `<`: the loop's clock has whole milliseconds, and the two may fall into one.
            if conn.pool.heard_s <= exchange.began_s <= self.loop.time() - SILENT_S:
                # Guards against a machine that vanished: its connections stay open and swallow
                # requests, which may then have run. On a new connection, which never comes up, they do not.
                self._retire(conn.pool)

    def withdraw(self, id: str, attempt: int) -> bool:
        """Nobody waits for this attempt any more; whether it could still be stopped before its last byte."""
        exchange = self.live.get((id, attempt))
        if exchange is None or exchange.sent:
            return False
        self.abort(id, attempt)
        return True

    def probe(self, host: str) -> None:
        pool = self.pools.get(host)
        if pool is None:
            return
        host_name = f"{pool.dial[0]}:{pool.dial[1]}".encode()
        head = b"GET /_load HTTP/1.1\r\nHost: %b\r\n\r\n" % host_name
        began = self.loop.time()
        settled = False

        def done(result: AttemptResult, report: Report | None, body: bytes) -> None:
            nonlocal settled
            if not settled:
                settled = True
                timer.cancel()
                report = report or report_from(body.decode("latin-1"))
                self.probed(host, result, (self.loop.time() - began) * 1000.0, report)

        exchange = Exchange(head, done)

        def expired() -> None:
            if exchange.task is not None:
                exchange.task.cancel()
            if exchange.conn is not None:
                exchange.conn.forget()
                exchange.conn.close()
            done(AttemptResult.TIMEOUT, None, b"")

        timer = self.loop.call_later(self.bounds.probe_timeout_ms / 1000.0, expired)
        self._begin(host, exchange)

    def _begin(self, host: str, exchange: Exchange) -> None:
        pool = self.pools.get(host)
        now = self.loop.time()
        rested = now - SETTLE_S
        idle = pool.idle if pool is not None and self._open_to(host) else ()
        for conn in reversed(idle):  # the latest used: the others age
            if conn.idle_since > rested:
                continue
            self.wake(conn)
            if now - conn.idle_since < self.rest.reusable_s and conn.usable():
                conn.send(exchange)
                return
            conn.close()
        # Told now: when it begins another configuration may hold, under which a repeat might come too late.
        connect_s = self.bounds.connect_timeout_ms / 1000.0
        exchange.task = self.loop.create_task(self._open(host, exchange, connect_s))

    async def _open(self, host: str, exchange: Exchange, connect_s: float) -> None:
        pool = self.pools.get(host)
        if pool is None or not self._open_to(host) or not self.make_room():
            exchange.done(AttemptResult.CONNECT_FAILED, None, b"")
            return
        dial, conn, made = pool.dial, Connection(self, pool), False
        self.coming += 1
        try:
            async with asyncio.timeout(connect_s):
                await self.loop.create_connection(lambda: conn, *dial)
            # Guards the drain: the server may have left, or moved, while the connection came up.
            same = self.pools.get(host) is pool and pool.dial == dial
            made = same and self._open_to(host) and conn.usable()
        except (OSError, TimeoutError) as error:
            log.debug("no connection to %s: %s", host, error or "timed out")
        finally:
            self.coming -= 1
            if not made:  # also where the attempt was given up just as the connection came up
                conn.close()
        exchange.task = None
        if made and exchange.wanted():
            conn.send(exchange)
        else:
            conn.close()
            exchange.done(AttemptResult.CONNECT_FAILED, None, b"")

    # ------------------------------------------------------------------ moving

    def lift_idle(self, done: Lift) -> bool:
        """Take an idle connection off the loop, the latest used first; False where there is none. How long it has
        rested goes with it, so that the other process lets it settle."""
        now = self.loop.time()
        for conn in reversed(self.resting):
            if now - conn.idle_since >= self.rest.reusable_s:
                break
            if self._open_to(conn.pool.host) and conn.usable():
                self.wake(conn)
                conn.lift(done)
                return True
        return False

    def lift_passage(self, id: str, attempt: int, done: Lift) -> bool:
        """The same of the connection on which a long answer comes, if its place in it can be told."""
        exchange = self.live.get((id, attempt))
        conn = exchange.conn if exchange is not None else None
        if conn is None or not conn.movable:
            return False
        del self.live[id, attempt]
        conn.lift(done)
        return True

    def wants(self, state: dict[str, Any]) -> bool:
        """Whether an idle connection of another process is of use here."""
        pool = self.pools.get(state["host"])
        if pool is None or not self._open_to(pool.host) or list(pool.dial) != state["dial"]:
            return False
        theirs, ours = state["launched"], pool.launched_ms
        if (theirs is None) is not (ours is None) or (ours and abs(theirs - ours) > SAME_START_MS):
            return False
        return float(state["rested_s"]) < self.rest.limit_s

    async def adopt_idle(self, sock: socket.socket, state: dict[str, Any]) -> None:
        pool = self.pools.get(state["host"])
        conn = Connection(self, pool or Pool(state["host"], tuple(state["dial"]), None, False))
        await self.loop.connect_accepted_socket(lambda: conn, sock)
        if pool is None or not self.wants(state) or not conn.usable():
            conn.close()
            return
        conn.idle_since = self.loop.time() - state["rested_s"]
        pool.idle.append(conn)
        pool.idle.sort(key=_since)
        self.resting = dict.fromkeys(sorted((*self.resting, conn), key=_since))

    def adopt_passage(self, id: str, state: dict[str, Any], sink: Sink) -> Connection:
        """An answer in mid-passage goes on from here, as attempt 0 of its request; `join` follows."""

        def done(result: AttemptResult, report: Report | None, body: bytes) -> None:
            self.live.pop((id, 0), None)
            self.ended(id, 0, result, report, body)

        # Its own pool: the list may no longer name the server, and the connection is not used again.
        conn = Connection(self, Pool(state["host"], tuple(state["dial"]), None, False))
        exchange = Exchange(b"", done, self.loop.time(), sent=True)
        conn.resume(exchange, state, sink)
        self.live[id, 0] = exchange
        return conn

    async def join(self, conn: Connection, sock: socket.socket) -> None:
        """Give an adopted connection its socket."""
        await self.loop.connect_accepted_socket(lambda: conn, sock)
        if conn.exchange is None:  # given up meanwhile
            conn.close()

    def stale(self, rested_s: float) -> None:
        """A connection that had rested for so long was of no use, and only the request found out."""
        if self.rest.stale(self.loop.time(), rested_s):
            log.info("connections go stale: they may rest for %.3f s from now on", self.rest.usable_s)

    def refused(self) -> None:
        """A new connection's first request was turned away."""
        self.rest.refused(self.loop.time())

    def recall(self, rest_s: float) -> None:
        """What an earlier process had been taught of connections that go stale."""
        self.rest.recall(self.loop.time(), rest_s)

    @property
    def descriptors(self) -> int:
        return self.opened + self.coming

    def close_idle(self) -> bool:
        """Close the connection that has been idle longest, if one is."""
        oldest = next(iter(self.resting), None)
        if oldest is None:
            return False
        self.wake(oldest)
        oldest.close()
        return True

    # ------------------------------------------------------------- connections

    def wake(self, conn: Connection) -> None:
        """It rests no more, if it did."""
        if conn in self.resting:
            del self.resting[conn]
            conn.pool.idle.remove(conn)

    def release(self, conn: Connection) -> None:
        same = conn.pool.dial == conn.dial and conn.pool.launched_ms == conn.launched_ms
        if self._open_to(conn.pool.host) and conn.pool.up and same:
            conn.idle_since = self.loop.time()
            conn.pool.idle.append(conn)
            self.resting[conn] = None
            if len(conn.pool.idle) > max(2, self.bounds.sockets // IDLE_PART):
                oldest = conn.pool.idle[0]
                self.wake(oldest)
                oldest.close()
        else:
            conn.close()

    def _sweep(self) -> None:
        """Guards against stale connections: a request written to one that its server closes is lost."""
        self.sweeper = self.loop.call_later(SWEEP_S, self._sweep)
        if self.spoilt:
            log.info("%d spoilt answers, the last one from %s", self.spoilt, self.why)
            self.spoilt = 0
        for exchange in list(self.live.values()):
            if exchange.conn is not None and not exchange.sent:
                exchange.conn.give_up_if_untaken()
        self.rest.forget(self.loop.time())
        oldest = self.loop.time() - self.rest.limit_s
        for conn in list(itertools.takewhile(lambda conn: conn.idle_since <= oldest, self.resting)):
            self.wake(conn)
            conn.close()

    def close(self) -> None:
        self.sweeper.cancel()
        for pool in self.pools.values():
            self._drop(pool)
