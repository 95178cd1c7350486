"""Joins the node to its sockets: what they report goes in, what the node decides is carried out."""

from __future__ import annotations

import asyncio
import contextlib
import dataclasses
import functools
import logging
import math
import random
import time
from collections.abc import Callable
from typing import TYPE_CHECKING, Any

from rosewheel.config.errors import ConfigError
from rosewheel.config.node_config import NodeConfig
from rosewheel.discovery.backoff import WatchBackoff
from rosewheel.discovery.endpoint_list import DiscoveryWatch, Endpoint, parse_endpoints
from rosewheel.hot_restart.migration import Migration
from rosewheel.hot_restart.service import HotRestart
from rosewheel.hot_restart.transfers import TRANSFER_WINDOW
from rosewheel.http.body import BufferBudget
from rosewheel.http.downstream_server import DownstreamServer
from rosewheel.http.errors import BadRequestError
from rosewheel.http.request import DownstreamRequest
from rosewheel.http.response_reader import ResponseSink
from rosewheel.http.upstream_pool import UpstreamPool
from rosewheel.listener import bind, open_listener
from rosewheel.node.core import Node
from rosewheel.node.effects import (
    AbortAttempt,
    NodeEffect,
    OpenEndpointWatch,
    ResponseStatus,
    SendResponse,
    StartAttempt,
    StartHealthCheck,
)
from rosewheel.node.errors import DuplicateRequestError
from rosewheel.node.limits import Limits
from rosewheel.node.statistics import RequestOutcome
from rosewheel.policy.events import AttemptResult, EndpointListForm, RequestReceived
from rosewheel.policy.learned_state import LearnedState
from rosewheel.policy.settings import Settings
from rosewheel.policy.shared_state import is_large_fleet
from rosewheel.proxy.cordons import Cordons
from rosewheel.proxy.headers import DECIMAL, WHOLE, figure
from rosewheel.proxy.snapshots import SnapshotWriter
from rosewheel.proxy.state import SharedState

if TYPE_CHECKING:
    from rosewheel.admin.server import AdminServer

log = logging.getLogger("rosewheel.proxy")

RESERVED_DESCRIPTORS = (
    40  # descriptors kept for everything but callers and servers, or a part of them where there are few
)
SPARE_PART = 8
SURPLUS, SURPLUS_PART = 16, 32  # callers past the descriptors that are told so; the others are just closed
BODIES_PART = 0.15  # of the memory, what the bodies of requests may hold together
CALLERS = 0.85  # what callers may hold of the others; those that are idle make room for servers too
# A stop takes at least the longest patience of a request, or 3 s, and some more. What comes during it has
# until then, and is refused where that is too little to be worth the try.
LONGEST_MS, STOP_MS, LEAST_MS = 3000.0, 500.0, 1000.0
# What a deadline loses on the ways there and back. Measured: up to 1 ms each way, and at the 99th percentile
# 1.7 ms from a request's arrival to its first attempt and 1.4 ms from an answer to the caller.
DEADLINE_MARGIN_MS = 5.0
TAKEOVER_LIST_WAIT_S = (
    1.5  # how long a process that takes over waits for discovery; then the known list has to do
)
# What the agent has counts as told to a new process from its first moment, so that it begins with what the agent
# says, where lists are pushed. A silent one is waited for in vain, and may be so for many seconds.
PUSHED_LIST_WAIT_S = 0.5
METHODS = (b"GET", b"POST")
# Fields of NodeConfig that were bound and named at the start, by their keys in the configuration file.
FIXED = {"name": "name", "listen": "listen_address", "ops": "admin_address", "state": "state_folder"}


def now_ms() -> float:
    return time.monotonic() * 1000.0


class Proxy:
    def __init__(self, config: NodeConfig) -> None:
        self.config = config
        self.loop = asyncio.get_running_loop()
        self.max_descriptors = 0
        self.process_count = 1  # of this node, while one takes over from another
        self.predecessor_descriptors: int | None = (
            None  # descriptors that an old process still holds, which gives them up
        )
        self.shares_listener = (
            config.inherited_descriptor is not None
        )  # callers come by a socket that another has too
        self.cordons = Cordons(self._cordon)
        self.shared_state = SharedState(
            config.state_folder,
            self.cordons.hand,
            self._process_count_changed,
            config.inherited_descriptor is not None,
        )
        self.node = Node(config.settings, config.limits, config.seed, now_ms())
        self.upstream = UpstreamPool(
            config.limits,
            self._make_room,
            self._ended,
            self._probed,
            self._began,
            self.node.statistics.count_attempt,
            large_fleet=is_large_fleet(config.settings),
        )
        self.budget = BufferBudget(0)
        self.server = DownstreamServer(
            self._make_room,
            self._asked,
            self._arrived,
            self._gone,
            lambda: self.node.can_serve,
            self.budget,
        )
        self.admin: AdminServer | None = None
        if config.admin_address is not None:  # imported where it is asked for: each start would pay for it
            from rosewheel.admin.server import AdminServer

            self.admin = AdminServer(self)
        self.snapshots = SnapshotWriter(config.state_folder, config.name, self._learned, config.state_on_disk)
        self.random = random.Random(config.seed)
        self.watch_backoff = WatchBackoff(self.random)
        self.migration = Migration(self)
        self.hot_restart = HotRestart(
            config.state_folder if config.hot_restart_allowed else None, config.name, self.migration
        )
        self._list_received = asyncio.Event()  # discovery has said something
        known = [server.address for server, _ in parse_endpoints(config.initial_endpoints.entries)]
        self.discovery = DiscoveryWatch(
            config.discovery_address,
            config.initial_endpoints.revision,
            self._endpoint_list_updated,
            known,
            on_first_line=self._spoke,
        )
        self.calls: dict[str, DownstreamRequest] = {}
        self.longest_ms = 0.0  # of the requests so far, how long a caller waits at most
        self._share(config.limits.max_sockets)
        self.stopped = False
        self._timer: asyncio.TimerHandle | None = None
        self._armed = 0.0

    async def start(self) -> None:
        """Begin with the list as last known, and with what the agent says where lists are pushed; then listen.
        Where another process serves meanwhile, callers are taken once discovery has answered."""
        # First, so that a bad address ends the node before it has asked anything.
        inherited, door = self.config.inherited_descriptor, None
        if self.hot_restart.connect_to_predecessor() and inherited is None:
            lent, door = await self.hot_restart.borrow_listeners(
                self.config.listen_address, self.config.admin_address
            )
            self.shares_listener = lent is not None
            inherited = None if lent is None else lent.detach()
        sock = open_listener(self.config.listen_address, inherited)
        self.shared_state.start()  # before anything can be sent: what is out by hand stays out
        if self.admin is not None and self.config.admin_address is not None:
            await self.admin.start(door or bind(self.config.admin_address, "LB_OPS"))
        self._endpoint_list_updated(
            EndpointListForm.CACHED, parse_endpoints(self.config.initial_endpoints.entries)
        )
        self._recall()
        if not self.config.settings.poll_discovery:
            self.discovery.start()
        first_s = self._list_wait_s()
        if first_s > 0.0:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(first_s):
                    await self._list_received.wait()
        await self.server.start(sock)
        self.hot_restart.serve()

    def _list_wait_s(self) -> float:
        """How long callers wait for the first word of discovery."""
        if self.shares_listener:
            return TAKEOVER_LIST_WAIT_S
        return 0.0 if self.config.settings.poll_discovery else PUSHED_LIST_WAIT_S

    def _recall(self) -> None:
        """Begin with what an earlier process of this node had learned, as far as its age allows."""
        kept = self.snapshots.read()
        if kept is not None:
            known = self.node.restore_learned_state(now_ms(), kept.learned, kept.age_ms)
            self.upstream.restore_idle_limit(kept.rest_s)
            log.info("what was learned %.1f s ago is taken back, of %d equipos", kept.age_ms / 1e3, known)
        self.snapshots.start()

    def _learned(self) -> tuple[LearnedState, float]:
        return self.node.learned_state(now_ms()), self.upstream.idle_timeout.stale_limit_s

    def reload(self, config: NodeConfig) -> None:
        """Take over what may change while the node runs: the address of discovery, settings and bounds. Raises
        ConfigError where something else would have to; all stays as it was then."""
        try:
            self.configure(config.settings, config.limits)
        except ValueError as error:
            raise ConfigError(str(error)) from error
        fixed = [key for key, name in FIXED.items() if getattr(config, name) != getattr(self.config, name)]
        if fixed:
            log.warning("%s: only a new start of this node takes that over", ", ".join(fixed))
        moved = config.discovery_address != self.config.discovery_address
        self.config = dataclasses.replace(self.config, discovery_address=config.discovery_address)
        log.info("the configuration was read again, discovery at %s:%d", *config.discovery_address)
        if not moved or self.stopped:
            return
        self.discovery.change_address(config.discovery_address)
        self.apply(self.node.discovery_address_changed(now_ms()))
        if not self.config.settings.poll_discovery:
            self.discovery.start()

    def configure(self, settings: Settings, bounds: Limits) -> None:
        """These hold from now on, but for requests that are taken already. Raises ValueError that names the key where
        they can't; all stays as it was then. The same ones again change nothing."""
        was = self.config
        if settings == was.settings and bounds == was.limits:
            return
        effects = self.node.configure(now_ms(), settings, bounds)  # before anything else: it alone may refuse
        self.config = dataclasses.replace(was, settings=settings, limits=bounds)
        self.upstream.configure(bounds, large_fleet=is_large_fleet(settings))
        self._share(bounds.max_sockets)
        self._shrink()
        self.apply(effects)
        log.info("another configuration holds from now on, %d classes", len(settings.classes))
        pushed = was.settings.poll_discovery and not settings.poll_discovery
        if pushed and not self.discovery.is_open and not self.stopped:  # the module asks no more
            self.discovery.start()

    async def drain(self) -> None:
        self.snapshots.close()  # a process that follows writes its own from now on
        given = self.hot_restart.begin_shutdown()
        longest_ms = min(LONGEST_MS, self.node.longest_remaining_deadline_ms(now_ms()))
        await self.server.drain(
            longest_ms / 1000.0, self.shares_listener or given, self._give if given else None
        )
        self.stopped = True
        self.hot_restart.close()
        if self.admin is not None:
            self.admin.close()
        self.shared_state.close()
        self.discovery.close()
        self.discovery.endpoint_list.close()
        self.upstream.close()
        if self._timer is not None:
            self._timer.cancel()

    def _give(self) -> bool:
        """Hand over what can be by now; whether that goes on."""
        going = self.hot_restart.migrate_next()
        return self.migration.busy or (
            going and (bool(self.server.connections) or not self.hot_restart.migration_finished)
        )

    # -------------------------------------------------- another process of the node

    @property
    def descriptors(self) -> int:
        """Those of callers and servers."""
        return len(self.server.connections) + self.upstream.descriptor_count

    def room_for(self, count: int, idle: bool) -> bool:
        """Whether this process may hold so many more; an idle connection to a server makes no other one give way."""
        if len(self.server.connections) >= self.server.max_connections and not idle:
            return False
        return self.descriptors + self.migration.arriving + count <= self.max_descriptors or (
            not idle and self._make_room()
        )

    def predecessor_holds(self, held: object) -> None:
        """An old process gives up what it has: what it no longer holds is this one's to use."""
        if isinstance(held, int) and held >= 0:
            self.predecessor_descriptors = held
            self._share(self.config.limits.max_sockets)

    def predecessor_leaves(self, held: object) -> None:
        """It takes nothing new from now on, so this one paces servers by itself."""
        self.predecessor_holds(held)
        self.apply(self.node.process_count_changed(now_ms(), 1))

    def sibling_loads(self, loads: object) -> None:
        """What the other process has in flight, by server."""
        if isinstance(loads, dict):
            good = {name: float(load) for name, load in loads.items() if isinstance(load, int | float)}
            self.apply(self.node.sibling_process_load(now_ms(), good))

    def _share(self, sockets: int) -> None:
        half = sockets // self.process_count
        if self.process_count > 1 and self.predecessor_descriptors is not None:
            half = max(half, sockets - self.predecessor_descriptors - 2 * TRANSFER_WINDOW)
        sockets = half
        self.budget.limit_bytes = (
            int(self.config.limits.memory_limit_mb / self.process_count * BODIES_PART) << 20
        )
        spare = min(RESERVED_DESCRIPTORS, max(24, sockets // SPARE_PART))
        if self.admin is not None:
            spare += self.admin.max_connections  # so that no crowd can keep operators out
        self.max_descriptors = max(8, sockets - spare)
        self.server.max_over_limit = max(2, min(SURPLUS, sockets // SURPLUS_PART))
        self.server.max_connections = max(6, int(self.max_descriptors * CALLERS))

    def _make_room(self) -> bool:
        """Room for the descriptor that has come or is about to, if need be that of an idle connection."""
        if self.descriptors < self.max_descriptors:
            return True
        # Callers first: they connect again at no cost, while a new connection costs a server work.
        return self.server.close_longest_idle() or self.upstream.close_longest_idle()

    # --------------------------------------------------------------- operators

    def serving(self) -> bool:
        return self.server.listening and self.node.can_serve

    def statistics(self) -> dict[str, Any]:
        return self.node.statistics.report(
            self.node.active_requests, len(self.node.servers), self.node.cordoned_endpoint_count
        )

    def set_fleet_cordons(self, members: frozenset[str]) -> None:
        """The fleet has taken these out, and no others. What is out by hand stays so, whatever the fleet says."""
        self.cordons.fleet(members)

    def cordoned_by_fleet(self, member: str) -> bool:
        return member in self.cordons.by_fleet

    async def cordon(self, member: str) -> bool:
        return await self._by_hand(member, out=True)

    async def uncordon(self, member: str) -> bool:
        return await self._by_hand(member, out=False)

    async def _by_hand(self, member: str, out: bool) -> bool:
        if not self.node.is_known_server(member):
            return False
        await self.cordons.put(member, out, self.shared_state)
        return True

    def _cordon(self, member: str, out: bool) -> None:
        self.upstream.set_cordoned(member, out)
        self.apply(self.node.set_cordon(now_ms(), member, out))

    def _process_count_changed(self, processes: int) -> None:
        """While an old and a new process of one node overlap, they share its descriptors."""
        self.process_count = processes
        if processes == 1:
            self.predecessor_descriptors = None
        # One that leaves is still here, but sends nothing new.
        self.apply(
            self.node.process_count_changed(
                now_ms(), processes if self.predecessor_descriptors is None else 1
            )
        )
        self._share(self.config.limits.max_sockets)
        self._shrink()

    def _shrink(self) -> None:
        """Give up what is idle past what this process may hold; what is in use stays until it is not."""
        while self.descriptors > self.max_descriptors:
            if not (self.server.close_longest_idle() or self.upstream.close_longest_idle()):
                break

    # ------------------------------------------------------------------ events

    def _asked(self, call: DownstreamRequest) -> None:
        request = self._request(call)
        call.id = request.id
        try:
            effects = self.node.receive_request(now_ms(), request)
        except DuplicateRequestError as error:
            raise BadRequestError(409, "this Request-Id is being served already") from error
        self.calls[request.id] = call
        self.apply(effects)

    def _request(self, call: DownstreamRequest) -> RequestReceived:
        if call.method not in METHODS:
            raise BadRequestError(405, "GET and POST only")
        id, service = call.header(b"request-id"), call.header(b"request-class")
        if not id or len(id) > 256:
            raise BadRequestError(400, "Request-Id is missing or too long")
        if service not in self.node.service_names:
            raise BadRequestError(400, "Request-Class is missing or unknown")
        timeout = figure(call.header(b"request-timeout-ms"), "Request-Timeout-Ms", WHOLE)
        if timeout is None or timeout <= 0:
            raise BadRequestError(400, "Request-Timeout-Ms is missing or not positive")
        self.longest_ms = max(self.longest_ms, min(timeout, LONGEST_MS))
        if self.server.draining and self._left_ms() < min(timeout, LEAST_MS):
            self.node.statistics.count_request(service, RequestOutcome.SHED)
            raise BadRequestError(503, "this node stops before the answer could be there")
        call.timeout_ms = timeout
        hint = figure(call.header(b"work-hint"), "Work-Hint", DECIMAL)
        return RequestReceived(
            id=id,
            service=service,
            deadline_at_ms=now_ms() + self._wait_ms(timeout),
            tenant=call.header(b"tenant") or None,
            cost_hint_ms=None if hint is None else hint / 1000.0,
            is_retry=call.header(b"client-retry") == "1",
            complete=call.body.complete,
        )

    def _wait_ms(self, patience_ms: float) -> float:
        """How long a caller of this patience waits from its request's last byte on, as seen from here."""
        if self.server.draining:
            patience_ms = min(patience_ms, self._left_ms())
        return max(1.0, patience_ms - DEADLINE_MARGIN_MS)

    def _left_ms(self) -> float:
        """How long this process still has for answers, once it has been told to stop."""
        return (self.server.drain_started_s - self.loop.time()) * 1000.0 + self.longest_ms + STOP_MS

    def _arrived(self, call: DownstreamRequest) -> None:
        if self.calls.get(call.id) is call:
            now = now_ms()
            self.apply(self.node.request_completed(now, call.id, now + self._wait_ms(call.timeout_ms)))

    def _began(
        self, id: str, attempt: int, length: int | None, eased: Callable[[], None]
    ) -> ResponseSink | None:
        call = self.calls.get(id)
        effects = self.node.response_started(now_ms(), id, attempt) if call is not None else None
        if call is None or effects is None:
            return None
        call.connection.start_response(call, length, eased)
        self.apply(effects)
        return functools.partial(call.connection.send_response_data, call)

    def _gone(self, call: DownstreamRequest) -> None:
        if self.calls.get(call.id) is call:
            del self.calls[call.id]
            self.apply(self.node.client_disconnected(now_ms(), call.id))
            for attempt in self.node.attempts_in_flight(call.id):
                # Guards servers, also where the settings allow no cancel: what is not written yet is none.
                if self.upstream.cancel_unsent_attempt(call.id, attempt):
                    self.apply(
                        self.node.attempt_finished(now_ms(), call.id, attempt, AttemptResult.CONNECT_FAILED)
                    )

    def _ended(
        self, id: str, attempt: int, result: AttemptResult, report: dict[str, float] | None, body: bytes
    ) -> None:
        call = self.calls.get(id)
        if call is not None and not call.body.replayable:
            self.node.request_body_discarded(id)
        self.apply(self.node.attempt_finished(now_ms(), id, attempt, result, report, body))

    def _probed(
        self, server: str, result: AttemptResult, latency_ms: float, report: dict[str, float] | None
    ) -> None:
        self.apply(self.node.health_check_finished(now_ms(), server, result, latency_ms, report))

    def _endpoint_list_updated(self, form: EndpointListForm, entries: list[Endpoint]) -> None:
        if form is EndpointListForm.FAILED:
            if self.config.settings.poll_discovery:
                self.apply(self.node.update_endpoints(now_ms(), form))
            else:
                lasted = self.loop.time() - self.discovery.started_s
                wait = self.watch_backoff.next_delay_s(lasted, self.config.limits.drain_notice_ms / 1000.0)
                self.loop.call_later(wait, self._reopen_watch)
            return
        if form is not EndpointListForm.CACHED:
            self._list_received.set()
            self.watch_backoff.reset()
        self.upstream.update(entries, is_snapshot=form is not EndpointListForm.DELTA)
        servers = tuple(server for server, _ in entries)
        self.apply(self.node.update_endpoints(now_ms(), form, servers))

    def _spoke(self) -> None:
        """A watch is open on a discovery that works, though it may have no change to tell."""
        self.watch_backoff.reset()
        if self.config.settings.poll_discovery:
            self.apply(self.node.update_endpoints(now_ms(), EndpointListForm.DELTA))

    def _reopen_watch(self) -> None:
        if self.config.settings.poll_discovery:  # they were pushed when this was set; now the module asks
            return
        if not self.discovery.is_open and not self.stopped:  # a move may have been quicker
            self.discovery.start()

    def _tick(self) -> None:
        self._timer = None
        self.apply(self.node.tick(now_ms()))

    # ----------------------------------------------------------------- effects

    def apply(self, effects: list[NodeEffect]) -> None:
        for effect in effects:
            try:
                self._carry_out(effect)
            except Exception:  # Guards the other requests against a fault in one
                log.exception("%s could not be carried out", type(effect).__name__)
        self._arm()

    def _carry_out(self, effect: NodeEffect) -> None:
        match effect:
            case StartAttempt():
                call = self.calls.get(effect.id)
                # Asked again at each attempt: a loop that is late reads of a caller's end after that of an attempt.
                if call is None or call.connection.close_if_disconnected():
                    self.loop.call_soon(
                        self._ended, effect.id, effect.attempt, AttemptResult.CANCELLED, None, b""
                    )
                    return
                head, chunked = call.upstream_head(effect.timeout_ms)
                wanted = call.connection.is_connected
                self.upstream.start_attempt(
                    effect.id, effect.attempt, effect.server, head, call.body, chunked, wanted
                )
            case AbortAttempt():
                self.upstream.abort_attempt(effect.id, effect.attempt)
            case SendResponse():
                call = self.calls.pop(effect.id, None)
                if call is None:
                    return
                if not call.response_started:
                    call.connection.respond(call, effect.status, effect.body, effect.retry_after_ms)
                elif effect.status == ResponseStatus.OK:
                    call.connection.finish_response(call)
                else:
                    call.connection.abort_response(call)
            case OpenEndpointWatch():
                self.discovery.start()
            case StartHealthCheck():
                self.upstream.check_health(effect.server)

    def _arm(self) -> None:
        """One timer of the loop stands for all of the node's."""
        due = self.node.next_timer_ms()
        if due is None or (self._timer is not None and self._armed <= due):
            return
        if self._timer is not None:
            self._timer.cancel()
        self._armed = due
        # Upward to the loop's whole milliseconds: a timer that is early would only come again at once.
        self._timer = self.loop.call_later(max(0, math.ceil(due - now_ms())) / 1000.0, self._tick)
