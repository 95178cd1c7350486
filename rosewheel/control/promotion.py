"""Promotion of this machine to leader."""

from __future__ import annotations

import asyncio
from collections.abc import Mapping

from rosewheel.control.codec.calls import decode_machine_state, encode_fence, encode_heartbeat
from rosewheel.control.codec.paths import FENCE_PATH, HEARTBEAT_PATH
from rosewheel.control.codec.values import JsonObject
from rosewheel.control.errors import HigherEpochSeenError, HttpCallError
from rosewheel.control.heartbeats import PeerHeartbeat
from rosewheel.control.machine_parts import MachineParts
from rosewheel.control.messages import ChangeResponse, Heartbeat, MachineState, PromoteRequest
from rosewheel.control.revisions import Revision

COMMIT_TIMEOUT_S = 4.0  # limit of the wait for a commit; a follower needs up to 2 s to switch to a new leader
PEER_CALL_TIMEOUT_S = 1.5


class Promotion:
    """Promotes this machine to leader."""

    def __init__(self, parts: MachineParts) -> None:
        """Set the machine to promote."""
        self._name, self._store, self._peers = parts.name, parts.store, parts.peers
        self._lock = asyncio.Lock()

    async def run(self, request: PromoteRequest) -> ChangeResponse:
        """Promote this machine: fence the peers at a new epoch, then write the first revision of that epoch.

        Raises:
            NotPromotableError: Peers have, or may have, later revisions. Peers may already be fenced.
            PromotionSupersededError: Another machine was promoted in the meantime.
            NotReplicatedError: The first revision of the epoch is not replicated yet.
            OSError: The log can't be written.
        """
        async with self._lock:
            return await self._run(request)

    async def _run(self, request: PromoteRequest) -> ChangeResponse:
        replica = self._store.replica
        if replica.is_leader:
            return ChangeResponse(replica.last, changed=False)
        # Check before fencing, so that a promotion that is not allowed leaves the current leader in place.
        heartbeat = Heartbeat(
            self._name, replica.highest_epoch_seen, replica.last, digest=replica.last_digest
        )
        states = await self._call_peers(HEARTBEAT_PATH, encode_heartbeat(heartbeat))
        if not request.force:
            replica.check_promotable(_last_revisions(states))
        epoch = replica.next_epoch(state.highest_epoch_seen for state in states.values())
        await self._store.observe_epoch(epoch)
        fenced = await self._call_peers(FENCE_PATH, encode_fence(epoch))
        await self._check_fenced(fenced)
        # Once fenced, peers accept nothing from older epochs, so these are their last revisions of those epochs.
        peer_revisions = _last_revisions(fenced)
        change = await self._store.begin_epoch(epoch, peer_revisions, request.force, request.author)
        lost = self._lost_revisions(peer_revisions)
        if peer_revisions:
            await self._store.wait_committed(change.revision, COMMIT_TIMEOUT_S)
        return ChangeResponse(change.revision, changed=True, lost=lost)

    async def _check_fenced(self, states: Mapping[str, MachineState]) -> None:
        for peer, state in states.items():
            if not state.is_fenced:
                await self._store.observe_epoch(state.highest_epoch_seen)
                raise HigherEpochSeenError(peer, state.highest_epoch_seen)

    def _lost_revisions(self, peer_revisions: Mapping[str, Revision]) -> tuple[str, ...]:
        history = self._store.replica.history
        return tuple(
            f"{peer} had {revision}"
            for peer, revision in sorted(peer_revisions.items())
            if not history.contains(revision)
        )

    async def _call_peers(self, path: str, body: JsonObject) -> dict[str, MachineState]:
        """Return the states of the peers that responded."""
        peers = list(self._peers.values())
        states = await asyncio.gather(*(_call_peer(peer, path, body) for peer in peers))
        return {peer.peer: state for peer, state in zip(peers, states, strict=True) if state is not None}


async def _call_peer(peer: PeerHeartbeat, path: str, body: JsonObject) -> MachineState | None:
    try:
        status, response = await peer.client.call("POST", path, body, PEER_CALL_TIMEOUT_S)
    except HttpCallError:
        return None
    return decode_machine_state(response) if status == 200 else None


def _last_revisions(states: Mapping[str, MachineState]) -> dict[str, Revision]:
    return {peer: state.last for peer, state in states.items()}
