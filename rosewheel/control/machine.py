"""A control machine: its store, the nodes that it knows of, its peers, and the address at which it is called."""

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
from rosewheel.control.replication_watch import ReplicationWatch
from rosewheel.control.store import Store
from rosewheel.control.watches import WatchPublisher

log = logging.getLogger("rosewheel.control")

MAINTENANCE_INTERVAL_S = 1.0
EXPIRY_INTERVAL_S = 60.0  # between two looks for nodes that have been disconnected for long
LISTEN_BACKLOG = 1024
PROCESS_ID_BYTES = 8


class ControlMachine:
    """One control machine.

    Attributes:
        settings: What it was started with.
        name: Its name.
        store: Its replica and log.
        nodes: The nodes that it knows of.
        watches: The watches that are open here.
        heartbeats: The other machines by name; empty before `start`.
        replication: The watch by which it follows; None before `start`.
    """

    def __init__(self, settings: MachineSettings, durable_log: DurableLog) -> None:
        """Recover the state from the log.

        Raises:
            OSError: The log can't be written.
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
        self._api = MachineApi(parts, process_id=os.urandom(PROCESS_ID_BYTES).hex())
        self._listener: asyncio.Server | None = None
        self._maintenance_timer: asyncio.TimerHandle | None = None

    async def start(self, sock: socket.socket | None = None) -> None:
        """Listen, and begin heartbeats and replication.

        Args:
            sock: A socket that is bound to the machine's address; None to bind one.

        Raises:
            OSError: The address can't be used.
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
        """The port that the machine listens at.

        Raises:
            RuntimeError: It was not started.
        """
        if self._listener is None:
            raise RuntimeError("the machine was not started")
        return int(self._listener.sockets[0].getsockname()[1])

    async def close(self) -> None:
        """Stop everything, and close the log once the operation in progress has ended."""
        if self._maintenance_timer is not None:
            self._maintenance_timer.cancel()
        if self._listener is not None:
            self._listener.close()
        if self.replication is not None:
            self.replication.close()
        for heartbeat in self.heartbeats.values():
            heartbeat.close()
        self.watches.close()
        self._api.close()
        await self.store.close()

    def _run_maintenance(self) -> None:
        """Periodic maintenance: forget old nodes, and check whom to follow."""
        self._maintenance_timer = self._loop.call_later(MAINTENANCE_INTERVAL_S, self._run_maintenance)
        now_s = self._loop.time()
        if now_s // EXPIRY_INTERVAL_S != (now_s - MAINTENANCE_INTERVAL_S) // EXPIRY_INTERVAL_S:
            self.nodes.expire(now_s)
        if self.replication is not None:
            self.replication.reconcile()

    def _store_changed(self) -> None:
        """Send new revisions to the watches, and report this machine's last one to the leader."""
        self.watches.publish()
        if self.replication is not None:
            self.replication.reconcile()
        leader = self.heartbeats.get(self.store.replica.highest_epoch_seen.leader)
        if leader is not None:
            leader.notify()

    # ----------------------------------------------------------------- for heartbeats

    def take_node_statuses(self, all_nodes: bool) -> list[NodeStatus]:
        """Return the statuses that changed since the last call, or all that this machine has first-hand."""
        changed = self.nodes.take_changes()  # all include the changed ones, so these are taken in any case
        return self.nodes.statuses_of_machine(self.name) if all_nodes else changed

    def peer_lost(self, peer: str) -> None:
        """A peer is silent, so its nodes move to other machines."""
        log.warning("peer lost: peer=%s", peer)
        self.nodes.machine_lost(peer, self._loop.time())
