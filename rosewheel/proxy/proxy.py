"""One process of a node: connects the node to its sockets, and starts, reconfigures and drains the process."""

from __future__ import annotations

import asyncio
import dataclasses
import logging
import random
from typing import TYPE_CHECKING

from rosewheel.config.errors import ConfigError
from rosewheel.config.node_config import NodeConfig
from rosewheel.discovery.endpoint_list import DiscoveryWatch, parse_endpoints
from rosewheel.hot_restart.migration import Migration
from rosewheel.hot_restart.service import HotRestart
from rosewheel.http.downstream_server import DownstreamServer
from rosewheel.http.ended_request_ids import EndedRequestIds
from rosewheel.http.request import DownstreamRequest
from rosewheel.http.request_ids import RequestIds
from rosewheel.http.upstream_pool import UpstreamPool
from rosewheel.listener import bind, open_listener, start_listening
from rosewheel.node.core import Node
from rosewheel.node.effects import NodeEffect
from rosewheel.node.limits import Limits
from rosewheel.node.memory_account import MemoryAccount
from rosewheel.node.statistics import StatisticsSnapshot
from rosewheel.policy.drain_admission import MAX_DRAIN_DEADLINE_MS
from rosewheel.policy.settings import Settings
from rosewheel.policy.shared_state import is_large_fleet
from rosewheel.proxy import clock
from rosewheel.proxy.cordons import Cordons
from rosewheel.proxy.effects import EffectRunner
from rosewheel.proxy.endpoints import EndpointUpdates
from rosewheel.proxy.request_id_claims import RequestIdSharing
from rosewheel.proxy.requests import RequestHandler
from rosewheel.proxy.resources import Resources
from rosewheel.proxy.shared_state import SharedState
from rosewheel.proxy.siblings import Siblings
from rosewheel.proxy.snapshot_codec import LearnedValues
from rosewheel.proxy.snapshots import SnapshotWriter

if TYPE_CHECKING:
    from rosewheel.admin.server import AdminServer

log = logging.getLogger("rosewheel.proxy")

# Configuration fields that can't be changed by a reload, by their keys in the file.
RESTART_ONLY_KEYS = {
    "name": "name",
    "listen": "listen_address",
    "ops": "admin_address",
    "state": "state_folder",
}


class Proxy:
    """One process of a node.

    Implements `hot_restart.host.MigrationHost`, `admin.server.AdminBackend` and `reconfiguration.ConfigurableNode`.

    Attributes:
        shares_listener: Whether another process accepts clients from the same socket.
    """

    def __init__(self, config: NodeConfig) -> None:
        self.config = config
        self.loop = asyncio.get_running_loop()
        self.stopped = False
        self.shares_listener = config.inherited_descriptor is not None
        self.client_requests: dict[str, DownstreamRequest] = {}
        self.random = random.Random(config.seed)
        self.requests = RequestHandler(self)
        self.effects = EffectRunner(self, self.requests.attempt_finished)
        self.resources = Resources(self)
        self.siblings = Siblings(self, self.resources)
        self.endpoints = EndpointUpdates(self, self.random)
        self.cordons = Cordons(self._apply_cordon)
        self.shared_state = SharedState(
            config.state_folder,
            self.cordons.set_by_operator,
            self.siblings.process_count_changed,
            poll=config.inherited_descriptor is not None,
        )
        self.node = Node(config.settings, config.limits, config.seed, clock.now_ms())
        self.memory = MemoryAccount()
        self.upstream = self._create_upstream()
        self.budget, self.head_budget = self.memory.bodies, self.memory.heads
        self.request_ids = RequestIds(self.node.requests.__contains__, self._create_ended_ids())
        self.server = self._create_server()
        self.admin = self._create_admin()
        self.snapshots = SnapshotWriter(
            config.state_folder, config.name, self._learned_values, config.state_on_disk
        )
        self.migration = Migration(self)
        folder = config.state_folder if config.hot_restart_allowed else None
        self.hot_restart = HotRestart(folder, config.name, self.siblings, self.migration)
        self.request_id_sharing = RequestIdSharing(
            folder, self.request_ids, lambda: list(self.node.requests), self._has_sibling
        )
        self.discovery = self._create_discovery()
        self.resources.divide(config.limits.max_sockets)

    def _create_ended_ids(self) -> EndedRequestIds:
        return EndedRequestIds(self.loop.time, lambda: self.node.settings.repeat_matters_ms / 1000.0)

    def _has_sibling(self) -> bool:
        return self.shared_state.has_sibling or self.hot_restart.has_sibling

    def _create_upstream(self) -> UpstreamPool:
        return UpstreamPool(
            self.config.limits,
            self.resources.free_descriptor,
            self.requests.attempt_finished,
            self.requests.health_check_finished,
            self.requests.response_started,
            self.node.statistics.count_attempt,
            self.memory,
            large_fleet=is_large_fleet(self.config.settings),
            monitor=self.node.rules.monitor,
        )

    def _create_server(self) -> DownstreamServer:
        return DownstreamServer(
            self.resources.free_descriptor,
            self.requests.received,
            self.requests.completed,
            self.requests.overdue,
            self.requests.blocking,
            self.requests.client_disconnected,
            lambda: self.node.can_serve,
            self.memory,
            self.request_ids,
            self.node.rules.monitor,
        )

    def _create_admin(self) -> AdminServer | None:
        if self.config.admin_address is None:
            return None
        # Imported lazily, so that a node without an admin server starts faster.
        from rosewheel.admin.server import AdminServer

        return AdminServer(self)

    def _create_discovery(self) -> DiscoveryWatch:
        initial = self.config.initial_endpoints
        return DiscoveryWatch(
            self.config.discovery_address,
            initial.revision,
            self.endpoints.list_updated,
            [server.address for server, _ in parse_endpoints(initial.entries, self.endpoints.start_times)],
            on_first_line=self.endpoints.watch_opened,
            start_times=self.endpoints.start_times,
        )

    async def start(self) -> None:
        """Opens the sockets, restores the state of an earlier process, and starts to accept clients.

        Clients are accepted once discovery has sent an endpoint list, or after the timeout for it with the list that
        the configuration contains.

        Raises:
            ConfigError: An address can't be bound.
        """
        # The sockets are opened first, so that an invalid address ends the process before it contacts discovery.
        inherited, admin_socket = self.config.inherited_descriptor, None
        has_predecessor = self.hot_restart.connect_to_predecessor()
        if has_predecessor:
            self.request_id_sharing.start()
        if has_predecessor and inherited is None:
            listen, ops = self.config.listen_address, self.config.admin_address
            client_socket, admin_socket = await self.hot_restart.request_listeners(listen, ops)
            self.shares_listener = client_socket is not None
            inherited = None if client_socket is None else client_socket.detach()
        sock = open_listener(self.config.listen_address, inherited)
        self.shared_state.start()  # restores the cordons before any request can be forwarded
        if self.admin is not None and self.config.admin_address is not None:
            await self.admin.start(admin_socket or bind(self.config.admin_address, "LB_OPS"))
        self.endpoints.apply_initial_list()
        self._restore_learned_state()
        if not self.config.settings.poll_discovery:
            self.discovery.start()
        await self.endpoints.wait_for_list(self.shares_listener)
        await self.hot_restart.wait_for_predecessor()  # it has then claimed the ids of its requests
        start_listening(sock)
        await self.server.start(sock)
        self.hot_restart.start_serving()

    def _restore_learned_state(self) -> None:
        """Restores the learned state of an earlier process of this node, discounted by its age."""
        snapshot = self.snapshots.read()
        if snapshot is not None:
            age_ms = snapshot.age_ms
            server_count = self.node.restore_learned_state(clock.now_ms(), snapshot.learned, age_ms)
            self.upstream.restore_stale_limit(snapshot.stale_limit_s)
            log.info("learned state restored: age_s=%.1f, servers=%d", age_ms / 1e3, server_count)
        self.snapshots.start()

    def _learned_values(self) -> LearnedValues:
        learned = self.node.learned_state(clock.now_ms())
        return LearnedValues(learned, self.upstream.idle_timeout.stale_limit_s)

    async def drain(self) -> None:
        """Finishes the requests in flight, migrates connections to a successor if there is one, and closes the rest."""
        self.snapshots.close()  # the successor writes the snapshots from now on
        migrates = self.hot_restart.begin_shutdown()
        remaining_ms = self.node.longest_remaining_deadline_ms(clock.now_ms())
        longest_ms = min(MAX_DRAIN_DEADLINE_MS, remaining_ms)
        migrate_next = self._migrate_next if migrates else None
        hot_restart = self.shares_listener or migrates
        await self.server.drain(longest_ms / 1000.0, hot_restart, migrate_next, self.requests.drain_ends)
        self.stopped = True
        self.hot_restart.close()
        self.request_id_sharing.close()
        if self.admin is not None:
            self.admin.close()
        self.shared_state.close()
        self.discovery.close()
        self.discovery.endpoint_list.close()
        self.upstream.close()
        self.effects.close()

    def _migrate_next(self) -> bool:
        """Migrates the connections that can be migrated now; returns whether there may be more."""
        may_continue = self.hot_restart.migrate_next()
        return self.migration.arriving_count > 0 or (
            may_continue and (bool(self.server.connections) or not self.hot_restart.migration_finished)
        )

    def reload(self, config: NodeConfig) -> None:
        """Applies what can change without a restart: settings, limits and the address of discovery.

        Raises:
            ConfigError: The settings or limits can't be applied. The old configuration stays in force.
        """
        try:
            self.configure(config.settings, config.limits)
        except ValueError as error:
            raise ConfigError(str(error)) from error
        ignored = [
            key
            for key, name in RESTART_ONLY_KEYS.items()
            if getattr(config, name) != getattr(self.config, name)
        ]
        if ignored:
            log.warning("configuration keys ignored until a restart: keys=%s", ", ".join(ignored))
        address_changed = config.discovery_address != self.config.discovery_address
        self.config = dataclasses.replace(self.config, discovery_address=config.discovery_address)
        log.info("configuration reloaded: discovery=%s:%d", *config.discovery_address)
        if not address_changed or self.stopped:
            return
        self.discovery.change_address(config.discovery_address)
        self.apply(self.node.discovery_address_changed(clock.now_ms()))
        if not self.config.settings.poll_discovery:
            self.discovery.start()

    def configure(self, settings: Settings, limits: Limits) -> None:
        """Applies settings and limits to requests received from now on. Does nothing if neither has changed.

        Raises:
            ValueError: They can't be applied; the message names the key. The old ones stay in force.
        """
        before = self.config
        if settings == before.settings and limits == before.limits:
            return
        # Called first, since only this call may raise an error.
        effects = self.node.configure(clock.now_ms(), settings, limits)
        self.config = dataclasses.replace(before, settings=settings, limits=limits)
        self.upstream.configure(limits, large_fleet=is_large_fleet(settings))
        self.resources.divide(limits.max_sockets)
        self.resources.close_excess_idle()
        self.apply(effects)
        log.info("configuration applied: classes=%d", len(settings.classes))
        polling_ended = before.settings.poll_discovery and not settings.poll_discovery
        # Only the policy reopens the watch while it polls discovery; from now on the proxy does.
        if polling_ended and not self.discovery.is_open and not self.stopped:
            self.discovery.start()

    def set_fleet_cordons(self, servers: frozenset[str]) -> None:
        """Replaces the set of servers that the fleet's configuration cordons; cordons by operators stay."""
        self.cordons.set_by_fleet(servers)

    def serving(self) -> bool:
        """Returns whether this process accepts clients and has a server to forward requests to."""
        return self.server.listening and self.node.can_serve

    def statistics(self) -> StatisticsSnapshot:
        """Returns a snapshot of the statistics of this process."""
        return self.node.statistics_snapshot()

    async def cordon(self, server: str) -> bool:
        """Cordons a server on behalf of an operator; returns whether the server is known.

        Raises:
            OSError: The cordon is in force in this process, but could not be saved for later processes.
        """
        return await self._change_cordon(server, cordoned=True)

    async def uncordon(self, server: str) -> bool:
        """Lifts an operator's cordon; returns whether the server is known.

        Raises:
            OSError: The change is in force in this process, but could not be saved for later processes.
        """
        return await self._change_cordon(server, cordoned=False)

    def cordoned_by_fleet(self, server: str) -> bool:
        """Returns whether the fleet's configuration cordons this server."""
        return server in self.cordons.by_fleet

    async def _change_cordon(self, server: str, cordoned: bool) -> bool:
        if not self.node.is_listed_or_cordoned(server):
            return False
        await self.cordons.change_by_operator(server, cordoned, self.shared_state)
        return True

    def _apply_cordon(self, server: str, cordoned: bool) -> None:
        self.upstream.set_cordoned(server, cordoned)
        self.apply(self.node.set_cordon(clock.now_ms(), server, cordoned))

    def apply(self, effects: list[NodeEffect]) -> None:
        """Executes effects that the node has decided on."""
        self.effects.apply(effects)

    def can_hold(self, descriptors: int, idle: bool) -> bool:
        """Returns whether this process may open more descriptors; see `Resources.can_hold`."""
        return self.resources.can_hold(descriptors, idle)
