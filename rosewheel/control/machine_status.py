"""Status report of a control machine: the control machines and the nodes."""

from __future__ import annotations

import time

from rosewheel.control.codec.status import encode_status, relay_status, status_target
from rosewheel.control.codec.values import JsonObject
from rosewheel.control.errors import HttpCallError, LeaderReturningError
from rosewheel.control.fleet_report import FleetReporter
from rosewheel.control.heartbeats import PeerHeartbeat
from rosewheel.control.machine_parts import MachineParts
from rosewheel.control.messages import FleetReport, MachineReport, StatusReport

LEADER_CALL_TIMEOUT_S = 1.5


class StatusReporter:
    """Makes status reports. Only the leader knows all nodes, so other machines relay its report."""

    def __init__(self, parts: MachineParts) -> None:
        """Set the machine to report on."""
        self._parts = parts
        self._name, self._store = parts.name, parts.store

    async def encoded_report(self, local_only: bool, all_nodes: bool) -> JsonObject:
        """Return the leader's report, or this machine's own if the leader is unknown or does not respond.

        Args:
            local_only: Whether to return this machine's own report without a call to the leader.
            all_nodes: Whether to list all nodes.
        """
        replica = self._store.replica
        leader = self._parts.peers.get(replica.highest_epoch_seen.leader)
        problem = ""
        if leader is not None and not local_only:
            try:
                status, body = await leader.client.call(
                    "GET",
                    status_target(local_only=True, all_nodes=all_nodes),
                    timeout_s=LEADER_CALL_TIMEOUT_S,
                )
                if status == 200:
                    return relay_status(body, self._name)
            except HttpCallError as error:
                problem = (
                    f"the leader {leader.peer} does not respond; this report is from {self._name}: {error}"
                )
        elif replica.is_returning:
            problem = str(LeaderReturningError(self._name, replica.peers_to_compare))
        elif leader is None and not replica.is_leader:
            problem = f"no active leader is known; this report is from {self._name}"
        return encode_status(self.report(all_nodes, problem))

    def report(self, all_nodes: bool, problem: str = "") -> StatusReport:
        """Return this machine's own report.

        Args:
            all_nodes: Whether to list all nodes.
            problem: Why this is not the leader's report; empty if there is no problem.
        """
        replica, failure = self._store.replica, self._store.log.failure
        return StatusReport(
            contacted=self._name,
            machine=self._name,
            problem=problem or ("" if failure is None else str(failure)),
            committed=replica.committed,
            last_number=replica.last.number,
            highest_epoch_seen=replica.highest_epoch_seen,
            machines=(self._own_report(), *(self._peer_report(peer) for peer in self._parts.peers.values())),
            fleet=self._fleet_report(all_nodes),
        )

    def _own_report(self) -> MachineReport:
        replica = self._store.replica
        return MachineReport(self._name, replica.last, last_contact_s=0.0, is_leader=replica.is_leader)

    def _peer_report(self, peer: PeerHeartbeat) -> MachineReport:
        last_contact_s = None
        if peer.last_revision is not None:
            last_contact_s = self._parts.clock.time() - peer.last_contact_s
        is_leader = peer.peer == self._store.replica.highest_epoch_seen.leader
        return MachineReport(peer.peer, peer.last_revision, last_contact_s, is_leader)

    def _fleet_report(self, all_nodes: bool) -> FleetReport:
        history, time_of_day_s = self._store.replica.history, time.time()
        reporter = FleetReporter(
            self._store.replica.committed,
            now_s=self._parts.clock.time(),
            age_s=lambda number: max(0.0, time_of_day_s - history.created_at_s(number)),
        )
        return reporter.report(self._parts.nodes, include_all=all_nodes)
