"""A node process in a simulated run: the production request handling and policy over simulated connections."""

from __future__ import annotations

import math
from collections.abc import Mapping
from typing import Protocol

from rosewheel.http.upstream_pool import SWEEP_INTERVAL_S, UNRESPONSIVE_AFTER_S
from rosewheel.lab.outcomes import AttemptFailure, AttemptOutcome
from rosewheel.lab.simulation.connection_pools import ConnectionPool, ConnectionPools
from rosewheel.lab.simulation.events import EventQueue
from rosewheel.lab.simulation.host import SimulatedServerHost
from rosewheel.lab.simulation.network import Attempt, Connection, LoadReport, NodeRequest
from rosewheel.lab.simulation.topology import ONE_WAY_MS, Topology
from rosewheel.node.core import Node
from rosewheel.node.effects import (
    AbortAttempt,
    NodeEffect,
    OpenEndpointWatch,
    SendResponse,
    StartAttempt,
    StartHealthCheck,
)
from rosewheel.node.limits import Limits
from rosewheel.policy.events import AttemptResult, EndpointListForm, RequestReceived, Server
from rosewheel.policy.learned_state import LearnedState
from rosewheel.policy.settings import Settings
from rosewheel.policy.shared_state import is_large_fleet
from rosewheel.proxy.requests import DEADLINE_MARGIN_MS


class NodeEnvironment(Protocol):
    """Environment of a node: servers, network and event queue."""

    queue: EventQueue
    topology: Topology

    @property
    def hosts(self) -> Mapping[str, SimulatedServerHost]:
        """Hosts of all servers, by name."""

    def attempt_finished(self, node: SimulatedNode, result: AttemptResult) -> None:
        """Count the result of an attempt."""


class SimulatedNode:
    """One process of a node.

    Attributes:
        tier: index of the tier to which it sends.
        node: the production request handling.
        requests: requests in progress, by id.
        attempts: attempts in flight, by id of the request and number of the attempt.
        pools: connections to servers.
        dead: whether the process was killed.
    """

    def __init__(
        self,
        environment: NodeEnvironment,
        name: str,
        tier: int,
        settings: Settings,
        limits: Limits,
        seed: int,
    ) -> None:
        self.environment, self.name, self.tier, self.limits = environment, name, tier, limits
        self.queue, self.zone = environment.queue, settings.zone
        self.node = Node(settings, limits, seed, self.queue.now)
        self.requests: dict[str, NodeRequest] = {}
        self.attempts: dict[tuple[str, int], Attempt] = {}
        self.pools = ConnectionPools(self.queue, limits, is_large_fleet(settings))
        self.dead = False
        self._armed_ms = math.inf
        self.queue.call_later(SWEEP_INTERVAL_S * 1000.0, self._sweep)

    # ----------------------------------------------------------------- clients

    def submit(self, request: NodeRequest) -> None:
        """Send a request to the node, which receives it one delay later."""
        self.queue.call_later(ONE_WAY_MS, self._receive, request)

    def _receive(self, request: NodeRequest) -> None:
        if self.dead:
            outcome = AttemptOutcome(failure=AttemptFailure.UNREACHABLE)
            self.queue.call_later(ONE_WAY_MS, request.on_done, outcome)
            return
        if request.abandoned:
            return
        deadline_ms = self.queue.now + max(1.0, request.timeout_ms - DEADLINE_MARGIN_MS)
        self.requests[request.request_id] = request
        received = RequestReceived(request.request_id, request.class_name, deadline_ms)
        self.apply(self.node.receive_request(self.queue.now, received))

    def abandon(self, request: NodeRequest) -> None:
        """Abandon a request, whose sender closes its connection to the node."""
        request.abandoned = True
        self.queue.call_later(ONE_WAY_MS, self._client_disconnected, request)

    def _client_disconnected(self, request: NodeRequest) -> None:
        if not self.dead and self.requests.get(request.request_id) is request:
            del self.requests[request.request_id]
            self.apply(self.node.client_disconnected(self.queue.now, request.request_id))

    # --------------------------------------------------------------- discovery

    def receive_endpoint_list(self, form: EndpointListForm, servers: tuple[Server, ...]) -> None:
        """Apply an endpoint list, or changes to it, from discovery."""
        if self.dead:
            return
        self.pools.update(form, servers)
        self.apply(self.node.update_endpoints(self.queue.now, form, servers))

    # ---------------------------------------------------------------- attempts

    def apply(self, effects: list[NodeEffect]) -> None:
        """Carry out the effects that the request handling has returned, and schedule its next timer."""
        for effect in effects:
            match effect:
                case StartAttempt():
                    self._start_attempt(effect)
                case AbortAttempt():
                    self._cancel_attempt(effect.id, effect.attempt)
                case SendResponse():
                    self._respond(effect)
                case StartHealthCheck():
                    self._start_health_check(effect.server)
                case OpenEndpointWatch():
                    pass  # `SimulatedAgent` keeps the watch open
        due_ms = self.node.next_timer_ms()
        if due_ms is not None and due_ms < self._armed_ms:
            self._armed_ms = due_ms
            self.queue.call_at(due_ms, self._tick, due_ms)

    def _tick(self, due_ms: float) -> None:
        if self.dead or due_ms != self._armed_ms:
            return
        self._armed_ms = math.inf
        self.apply(self.node.tick(self.queue.now))

    def _respond(self, response: SendResponse) -> None:
        request = self.requests.pop(response.id, None)
        if request is None or request.abandoned:
            return
        # Rounded to the millisecond, like the response header.
        retry_after_s = round(response.retry_after_ms / 1000.0, 3) if response.retry_after_ms > 0.0 else None
        outcome = AttemptOutcome(response.status, retry_after_s=retry_after_s)
        self.queue.call_later(ONE_WAY_MS, request.on_done, outcome)

    def _start_attempt(self, effect: StartAttempt) -> None:
        request = self.requests.get(effect.id)
        if request is None:
            cancelled = AttemptResult.CANCELLED
            self.queue.call_later(0.0, self._forward_result, effect.id, effect.attempt, cancelled, None)
            return
        attempt = Attempt(request, effect.attempt, effect.timeout_ms, self.queue.now)
        self.attempts[effect.id, effect.attempt] = attempt
        pool = self.pools.by_server.get(effect.server)
        connection = self.pools.take_idle(pool)
        if connection is None:
            self._connect(effect.server, pool, attempt)
        else:
            self._send(connection, attempt)

    def _connect(self, server: str, pool: ConnectionPool | None, attempt: Attempt) -> None:
        host = self.environment.hosts.get(server)
        if pool is None or not pool.accepts_requests or host is None or not self.pools.reserve_slot():
            self.queue.call_later(0.0, self._connect_failed, attempt)
            return
        self.pools.connecting += 1
        unreachable = host.isolated or self._is_partitioned_from(host)
        delay_ms = self.limits.connect_timeout_ms if unreachable else 2.0 * self._one_way_ms(host)
        self.queue.call_later(delay_ms, self._connected, server, pool, host, attempt)

    def _connected(
        self, server: str, pool: ConnectionPool, host: SimulatedServerHost, attempt: Attempt
    ) -> None:
        self.pools.connecting -= 1
        if self.dead or attempt.finished:
            return
        # The server may have been removed from the list or started again while the connection was opened.
        reachable = not host.isolated and host.listening and not self._is_partitioned_from(host)
        same_pool = self.pools.by_server.get(server) is pool
        if not reachable or not same_pool or not pool.accepts_requests:
            self._connect_failed(attempt)
            return
        connection = Connection(host, self, one_way_ms=self._one_way_ms(host))
        self.pools.open[connection] = None
        host.connection_opened(connection)
        self._send(connection, attempt)

    def _connect_failed(self, attempt: Attempt) -> None:
        if not attempt.finished:
            self._finish(attempt, AttemptResult.CONNECT_FAILED, None)

    def _send(self, connection: Connection, attempt: Attempt) -> None:
        self.node.statistics.count_attempt()
        connection.attempt, attempt.connection = attempt, connection
        connection.request_count += 1
        self.queue.call_later(connection.one_way_ms, connection.host.receive, connection, attempt)

    def attempt_answered(
        self, attempt: Attempt, result: AttemptResult, report: LoadReport | None, keep_open: bool
    ) -> None:
        """Handle a response, or the end of the connection in place of one."""
        connection = attempt.connection
        if self.dead or attempt.finished or connection is None:
            return
        connection.attempt = None
        if result is AttemptResult.OVERLOADED and connection.request_count == 1:
            self.pools.idle_timeout.new_connection_rejected(self.queue.now / 1000.0)
        self.pools.release(connection, keep_open)
        self._finish(attempt, result, report)

    def connection_reset(self, connection: Connection) -> None:
        """Handle a reset of a connection by its server."""
        if self.dead or connection.closed_by_node:
            return
        self.pools.discard(connection)
        attempt, connection.attempt = connection.attempt, None
        if attempt is not None and not attempt.finished:
            self._finish(attempt, AttemptResult.RESET, None)

    def _finish(self, attempt: Attempt, result: AttemptResult, report: LoadReport | None) -> None:
        attempt.finished = True
        request_id = attempt.request.request_id
        del self.attempts[request_id, attempt.number]
        self.environment.attempt_finished(self, result)
        self._forward_result(request_id, attempt.number, result, report)

    def _forward_result(
        self, request_id: str, number: int, result: AttemptResult, report: LoadReport | None
    ) -> None:
        if not self.dead:
            self.apply(self.node.attempt_finished(self.queue.now, request_id, number, result, report))

    def _cancel_attempt(self, request_id: str, number: int) -> None:
        """Cancel an attempt and close its connection."""
        attempt = self.attempts.pop((request_id, number), None)
        if attempt is None or attempt.finished:
            return
        attempt.finished = True
        self.environment.attempt_finished(self, AttemptResult.CANCELLED)
        connection = attempt.connection
        if connection is None:  # still being opened
            return
        connection.attempt = None
        pool = self.pools.by_server.get(connection.host.spec.name)
        self.pools.close(connection)
        silent_since_ms = self.queue.now - UNRESPONSIVE_AFTER_S * 1000.0
        if pool is not None and pool.last_response_ms <= attempt.started_ms <= silent_since_ms:
            self.pools.close_idle(pool)  # the machine may be unreachable

    def _sweep(self) -> None:
        if not self.dead:
            self.pools.sweep()
            self.queue.call_later(SWEEP_INTERVAL_S * 1000.0, self._sweep)

    # ----------------------------------------------------------- health checks

    def _start_health_check(self, server: str) -> None:
        delay_ms = self._delay_to(self.environment.hosts.get(server))
        self.queue.call_later(delay_ms, self._check_health, server, self.queue.now)

    def _check_health(self, server: str, started_ms: float) -> None:
        host = self.environment.hosts.get(server)
        result, report = AttemptResult.CONNECT_FAILED, None
        delay_ms = self._delay_to(host)
        if host is not None and (host.isolated or self._is_partitioned_from(host)):
            result, delay_ms = AttemptResult.TIMEOUT, self.limits.health_check_timeout_ms
        elif host is not None and host.listening:
            result, report = host.check_health()
        self.queue.call_later(delay_ms, self._health_checked, server, started_ms, result, report)

    def _health_checked(
        self, server: str, started_ms: float, result: AttemptResult, report: LoadReport | None
    ) -> None:
        if not self.dead:
            elapsed_ms = self.queue.now - started_ms
            self.apply(self.node.health_check_finished(self.queue.now, server, result, elapsed_ms, report))

    # ----------------------------------------------------------------- network

    def _one_way_ms(self, host: SimulatedServerHost) -> float:
        return self.environment.topology.one_way_ms(self.zone, host.spec.zone)

    def _delay_to(self, host: SimulatedServerHost | None) -> float:
        return ONE_WAY_MS if host is None else self._one_way_ms(host)

    def _is_partitioned_from(self, host: SimulatedServerHost) -> bool:
        return self.environment.topology.separated(self.zone, host.spec.zone)

    # ----------------------------------------------------------------- process

    def restore(self, learned: LearnedState, age_ms: float) -> None:
        """Restore the learned state of an earlier process.

        Args:
            age_ms: time since that state was saved.
        """
        self.node.restore_learned_state(self.queue.now, learned, age_ms)

    def kill(self) -> None:
        """Kill the process. The connections of its clients and those to servers are closed."""
        self.dead = True
        for request in self.requests.values():
            if not request.abandoned:
                outcome = AttemptOutcome(failure=AttemptFailure.CONNECTION_CLOSED)
                self.queue.call_later(ONE_WAY_MS, request.on_done, outcome)
        self.requests.clear()
        self.pools.close_all()
