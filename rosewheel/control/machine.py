"""A control machine: connects the store, node registry, watches, heartbeats and HTTP listener."""

from __future__ import annotations

import asyncio
import logging
import os
import socket

from rosewheel.admin.json_http import JsonConnection
from rosewheel.control.durable_log import DurableLog
from rosewheel.control.heartbeats import PeerHeartbeat
from rosewheel.control.machine_api import CALL_LIMITS, MachineApi
from rosewheel.control.machine_parts import MachineParts
from rosewheel.control.machine_settings import MachineSettings
from rosewheel.control.messages import NodeStatus
from rosewheel.control.node_registry import NodeRegistry
from rosewheel.control.promotion import Promotion
from rosewheel.control.replication_watch import ReplicationWatch
from rosewheel.control.resumption import Resumption
from rosewheel.control.store import Store
from rosewheel.control.watches import WatchPublisher

log = logging.getLogger("rosewheel.control")

MAINTENANCE_INTERVAL_S = 1.0
EXPIRY_INTERVAL_S = 60.0  # interval between removals of expired nodes
LISTEN_BACKLOG = 1024
PROCESS_ID_BYTES = 8


class ControlMachine:
    """One control machine.

    Attributes:
        settings: The startup settings.
        name: Name of the machine.
        store: The replica and its log.
        nodes: The latest status of each node.
        watches: The watches open at this machine.
        heartbeats: Heartbeats to the other machines, by name; empty before `start`.
        replication: The watch that receives the leader's log; None before `start`.
    """

    def __init__(self, settings: MachineSettings, durable_log: DurableLog) -> None:
        """Recover the state from the log.

        Raises:
            OSError: The log can't be written.
            MalformedMessageError: A log record can't be decoded.
        """
        self.settings, self.name = settings, settings.name
        self._loop = asyncio.get_running_loop()
        self.store = Store.recover(
            durable_log,
            settings.name,
            list(settings.peers),
            settings.initial_leader,
            self._store_changed,
        )
        self.nodes = NodeRegistry()
        self.watches = WatchPublisher(self.store.replica, self._loop)
        self.heartbeats: dict[str, PeerHeartbeat] = {}
        self.replication: ReplicationWatch | None = None
        parts = MachineParts(settings, self.store, self.nodes, self.watches, self.heartbeats, self._loop)
        promotion = Promotion(parts)
        self._resumption = Resumption(self.store.replica, promotion)
        process_id = os.urandom(PROCESS_ID_BYTES).hex()
        self._api = MachineApi(parts, process_id, promotion, self._resumption)
        self._listener: asyncio.Server | None = None
        self._maintenance_timer: asyncio.TimerHandle | None = None

    async def start(self, sock: socket.socket | None = None) -> None:
        """Start the listener, the heartbeats and the replication.

        Args:
            sock: A socket bound to the machine's address; None to bind one.

        Raises:
            OSError: The address can't be bound.
        """
        self._listener = await self._listen(sock)
        for peer, address in self.settings.peers.items():
            self.heartbeats[peer] = PeerHeartbeat(self, peer, address)
        self.replication = ReplicationWatch(self.name, self.store, self.heartbeats)
        self._run_maintenance()

    async def _listen(self, sock: socket.socket | None) -> asyncio.Server:
        if sock is not None:
            return await self._loop.create_server(self._accept, sock=sock, backlog=LISTEN_BACKLOG)
        host, port = self.settings.listen
        return await self._loop.create_server(self._accept, host, port, backlog=LISTEN_BACKLOG)

    def _accept(self) -> JsonConnection:
        return JsonConnection(self._api, CALL_LIMITS, self._loop)

    @property
    def port(self) -> int:
        """The port of the listener.

        Raises:
            RuntimeError: The machine was not started.
        """
        if self._listener is None:
            raise RuntimeError("control machine was not started")
        return int(self._listener.sockets[0].getsockname()[1])

    async def close(self) -> None:
        """Stop all activity and close the log once the operation in progress has ended."""
        if self._maintenance_timer is not None:
            self._maintenance_timer.cancel()
        if self._listener is not None:
            self._listener.close()
        if self.replication is not None:
            self.replication.close()
        for heartbeat in self.heartbeats.values():
            heartbeat.close()
        self._resumption.close()
        self.watches.close()
        self._api.close()
        await self.store.close()

    def _run_maintenance(self) -> None:
        """Remove expired nodes, reselect the replication source and resume leadership; runs periodically."""
        self._maintenance_timer = self._loop.call_later(MAINTENANCE_INTERVAL_S, self._run_maintenance)
        now_s = self._loop.time()
        if now_s // EXPIRY_INTERVAL_S != (now_s - MAINTENANCE_INTERVAL_S) // EXPIRY_INTERVAL_S:
            self.nodes.expire(now_s)
        self._resumption.reconcile()
        if self.replication is not None:
            self.replication.reconcile()

    def _store_changed(self) -> None:
        """Send new revisions to the watches and report this machine's last revision to the leader."""
        self.watches.publish()
        if self.replication is not None:
            self.replication.reconcile()
        leader = self.heartbeats.get(self.store.replica.highest_epoch_seen.leader)
        if leader is not None:
            leader.notify()

    # Implementation of `HeartbeatOwner`.

    def take_node_statuses(self, all_nodes: bool) -> list[NodeStatus]:
        """Return the node statuses that changed since the last call, or those of all nodes that watch this machine."""
        changed = self.nodes.take_changes()  # also cleared for the full list, which includes the changes
        return self.nodes.statuses_of_machine(self.name) if all_nodes else changed

    def peer_reported(self) -> None:
        """Resume leadership if this was the last report that it needs, or follow a peer that is ahead."""
        self._resumption.reconcile()
        if self.replication is not None and self.store.replica.is_returning:
            self.replication.reconcile()

    def peer_lost(self, peer: str) -> None:
        """Mark the nodes of a lost peer as disconnected; they fail over to other machines."""
        log.warning("peer lost: peer=%s", peer)
        self.nodes.machine_lost(peer, self._loop.time())
