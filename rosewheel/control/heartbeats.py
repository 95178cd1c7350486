"""Heartbeats between control machines. Heartbeats to the leader also carry node statuses."""

from __future__ import annotations

import asyncio
import logging
from typing import Protocol

from rosewheel.config.address import Address
from rosewheel.control.codec.calls import decode_error, decode_machine_state, encode_heartbeat
from rosewheel.control.codec.paths import HEARTBEAT_PATH
from rosewheel.control.errors import HttpCallError, PeerRejectedCallError
from rosewheel.control.http_client import JsonHttpClient
from rosewheel.control.messages import Heartbeat, MachineState, NodeStatus
from rosewheel.control.revisions import Epoch, Revision
from rosewheel.control.store import Store

log = logging.getLogger("rosewheel.control")

HEARTBEAT_INTERVAL_S = 1.0  # longest wait between two heartbeats; `notify` sends the next one at once
HEARTBEAT_BACKOFF_S = 0.25  # wait before a heartbeat requested by `notify` if the peer is unreachable
PEER_LOST_AFTER_S = 6.0  # a peer without contact for this long is considered lost


class HeartbeatOwner(Protocol):
    """The control machine that sends heartbeats."""

    name: str
    store: Store

    def take_node_statuses(self, all_nodes: bool) -> list[NodeStatus]:
        """Return the node statuses that changed since the last call, or those of all nodes that watch this machine."""

    def peer_reported(self) -> None:
        """Handle the report of a peer on its last revision."""

    def peer_lost(self, peer: str) -> None:
        """Handle a peer that had no contact for `PEER_LOST_AFTER_S`."""


class PeerHeartbeat:
    """Sends heartbeats to one peer over a persistent connection.

    Attributes:
        peer: Name of the peer.
        address: Address of the peer.
        client: HTTP client for calls to the peer.
        last_contact_s: Loop time of the last contact in either direction; initially the time of construction.
        last_revision: The peer's last revision; None before the first contact.
    """

    def __init__(self, owner: HeartbeatOwner, peer: str, address: Address) -> None:
        self.peer, self.address = peer, address
        self.client = JsonHttpClient(address)
        self._owner = owner
        self._loop = asyncio.get_running_loop()
        self.last_contact_s = self._loop.time()
        self.last_revision: Revision | None = None
        # Identifier of the peer process that has the statuses of all nodes watching this machine; empty if none has.
        self._informed_process_id = ""
        self._is_unreachable = False
        self._loss_reported = False
        self._due = asyncio.Event()
        self._task = self._loop.create_task(self._run())

    def notify(self) -> None:
        """Send the next heartbeat without waiting for the interval."""
        self._due.set()

    def close(self) -> None:
        """Stop the heartbeats."""
        self._task.cancel()
        self.client.close()

    @property
    def alive(self) -> bool:
        """Whether the peer has been in contact within `PEER_LOST_AFTER_S`."""
        return self.last_revision is not None and self._loop.time() - self.last_contact_s < PEER_LOST_AFTER_S

    async def _run(self) -> None:
        while True:
            self._due.clear()
            await self._attempt()
            self._report_loss()
            await self._wait()

    async def _attempt(self) -> None:
        try:
            await self._send()
        except (HttpCallError, PeerRejectedCallError) as error:
            self._informed_process_id = ""
            if not self._is_unreachable:
                log.info("peer unreachable: %s, peer=%s", error, self.peer)
            self._is_unreachable = True
        except Exception:
            self._informed_process_id = ""
            log.exception("heartbeat failed: peer=%s", self.peer)
        else:
            if self._is_unreachable:
                log.info("peer reachable again: peer=%s", self.peer)
            self._is_unreachable = self._loss_reported = False

    def _report_loss(self) -> None:
        was_contacted = self.last_revision is not None
        if self._is_unreachable and not self._loss_reported and was_contacted and not self.alive:
            self._loss_reported = True
            self._owner.peer_lost(self.peer)

    async def _wait(self) -> None:
        try:
            async with asyncio.timeout(HEARTBEAT_INTERVAL_S):
                await self._due.wait()
                if self._is_unreachable:
                    await asyncio.sleep(HEARTBEAT_BACKOFF_S)
        except TimeoutError:
            pass

    async def _send(self) -> None:
        heartbeat = self._heartbeat()
        status, body = await self.client.call("POST", HEARTBEAT_PATH, encode_heartbeat(heartbeat))
        if status != 200:
            raise PeerRejectedCallError(self.peer, status, decode_error(body).text)
        state = decode_machine_state(body)
        self._record_process(state, carried_statuses=heartbeat.node_statuses is not None)
        await self.peer_reported(state.highest_epoch_seen, state.last, state.digest)

    def _heartbeat(self) -> Heartbeat:
        replica = self._owner.store.replica
        if replica.highest_epoch_seen.leader != self.peer:
            return Heartbeat(
                self._owner.name, replica.highest_epoch_seen, replica.last, digest=replica.last_digest
            )
        all_nodes = not self._informed_process_id
        return Heartbeat(
            self._owner.name,
            replica.highest_epoch_seen,
            replica.last,
            node_statuses=tuple(self._owner.take_node_statuses(all_nodes)),
            includes_all_nodes=all_nodes,
            digest=replica.last_digest,
        )

    def _record_process(self, state: MachineState, carried_statuses: bool) -> None:
        if self._informed_process_id and self._informed_process_id != state.process_id:
            self.notify()  # the peer restarted and has lost all node statuses
            self._informed_process_id = ""
        else:
            self._informed_process_id = state.process_id if carried_statuses else ""

    async def peer_reported(self, highest_epoch_seen: Epoch, last: Revision, digest: str) -> None:
        """Process the peer's state, from its response to a heartbeat or from a heartbeat of its own.

        Args:
            highest_epoch_seen: Highest epoch that the peer has seen.
            last: Last revision on the peer's disk.
            digest: The peer's digest of it; empty if it sends none.

        Raises:
            OSError: A higher epoch could not be written to the log.
        """
        self.last_contact_s = self._loop.time()
        self.last_revision = last
        await self._owner.store.observe_epoch(max(highest_epoch_seen, last.epoch))
        self._owner.store.peer_acknowledged(self.peer, last, digest)
        self._owner.peer_reported()
