"""Requests at simulated servers: work, calls to the next tiers, responses and records."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from typing import Protocol

from rosewheel.lab.outcomes import AttemptFailure, AttemptOutcome
from rosewheel.lab.plan import Plan
from rosewheel.lab.random_streams import random_stream
from rosewheel.lab.record_codec import RequestIdentity, job_record
from rosewheel.lab.record_types import LOST_JOB, AfterDrainRecord, Record, RecordFile, ServerCollapsedRecord
from rosewheel.lab.request_work import call_targets, work_segments
from rosewheel.lab.server_model import (
    Action,
    CallNextTier,
    EmulatedServer,
    Job,
    JobResult,
    JobStage,
    JobStarted,
    Reply,
    ServerCollapsed,
)
from rosewheel.lab.simulation.events import EventQueue, ScheduledEvent
from rosewheel.lab.simulation.host import SimulatedServerHost, SimulatedWork
from rosewheel.lab.simulation.network import Attempt, Connection, NodeRequest
from rosewheel.lab.simulation.node import SimulatedNode
from rosewheel.policy.events import ServerState
from rosewheel.policy.settings import Idempotency

HTTP_OK = 200
MIN_CALL_TIME_MS = 1.0  # a call with less time left is not sent


@dataclass(slots=True, frozen=True)
class Notification:
    """Last notification of a node about a server.

    Attributes:
        state: state of the server in the notification.
        at_ms: when the node was notified.
        launched_ms: start of the server; None if it ran from the beginning.
    """

    state: ServerState
    at_ms: float
    launched_ms: float | None


class RequestFleet(Protocol):
    """Interface of the fleet to `SimulatedRequests`."""

    plan: Plan
    queue: EventQueue

    def record(self, name: RecordFile, record: Record) -> None:
        """Write a record to a file."""

    def plan_time(self) -> float:
        """Return the current time for records, in ms since the plan began."""

    def notification(self, node: str, server: str) -> Notification | None:
        """Return the last notification of a node about a server, if any."""

    def launched_ms(self, host: SimulatedServerHost) -> float | None:
        """Return the start of a server as reported by discovery; None if it ran from the beginning."""

    def local_node(self, server: str, tier: int) -> SimulatedNode | None:
        """Return the node that a server uses for calls to a tier; None if it is not running."""

    def cell_hosts(self, host: SimulatedServerHost) -> Iterable[SimulatedServerHost]:
        """Return the hosts of all servers in the cell of a host."""

    def crash(self, host: SimulatedServerHost) -> None:
        """Kill a server process."""


class SimulatedRequests:
    """Handles the requests of all servers.

    Attributes:
        received: number of requests received, by tier.
        served: number of requests served, by tier.
    """

    def __init__(self, fleet: RequestFleet) -> None:
        self.fleet, self.plan, self.queue = fleet, fleet.plan, fleet.queue
        tiers = len(self.plan.scenario.tiers)
        self.received = [0] * tiers
        self.served = [0] * tiers
        self._classes = {row.name: row for row in self.plan.scenario.classes}
        self._parameters = {row.name: row for row in self.plan.classes}
        self._noise_rng = random_stream(self.plan.seed, "run", "noise")
        self._call_rng = random_stream(self.plan.seed, "run", "calls")
        self._last_job_id = 0

    # ---------------------------------------------------------------- arrival

    def accept_request(
        self, host: SimulatedServerHost, connection: Connection, attempt: Attempt
    ) -> SimulatedWork:
        """Create the work of a request at a server."""
        request, spec, now = attempt.request, host.spec, self.queue.now
        targets = call_targets(self.plan, spec.tier, self._call_rng)
        notification = self.fleet.notification(connection.node.name, spec.name)
        job = self._new_job(host, connection, request, len(targets))
        launched_ms = self.fleet.launched_ms(host)
        job.sender_informed = notification is not None and notification.launched_ms == launched_ms
        if notification is not None and notification.state is not ServerState.UP:
            self._record_if_after_drain(host, connection, request, notification)
        deadline_ms = now + attempt.timeout_ms
        return SimulatedWork(host, connection, attempt, job, now, deadline_ms, call_targets=targets)

    def _new_job(
        self, host: SimulatedServerHost, connection: Connection, request: NodeRequest, call_count: int
    ) -> Job:
        spec, table = host.spec, self._classes[request.class_name]
        parameters = self._parameters[request.class_name]
        segments_ms = work_segments(self.plan, spec, parameters, request.work_ms, self._noise_rng, call_count)
        if connection.request_count == 1:
            segments_ms = (segments_ms[0] + spec.handshake_work_ms, *segments_ms[1:])
        self._last_job_id += 1
        self.received[spec.tier] += 1
        keyed = table.idempotency is Idempotency.IDEMPOTENT_WITH_KEY
        key = f"{request.class_name}/{request.dedup_key}" if keyed else None
        return Job(self._last_job_id, segments_ms, key, table.dedup_window_ms)

    def _record_if_after_drain(
        self,
        host: SimulatedServerHost,
        connection: Connection,
        request: NodeRequest,
        notification: Notification,
    ) -> None:
        """Record a request received too long after its sender was notified of a drain or removal."""
        rules = self.plan.scenario.rules
        over_ms = self.queue.now - notification.at_ms - rules.drain_ms - rules.drain_slack_ms
        if over_ms > 0.0:
            record = AfterDrainRecord(
                self.fleet.plan_time(),
                connection.node.name,
                host.spec.name,
                notification.state.value,
                round(over_ms, 1),
                request.operation_id,
            )
            self.fleet.record(RecordFile.SERVERS, record)

    # ---------------------------------------------------------------- actions

    def apply_actions(self, host: SimulatedServerHost, actions: list[Action]) -> None:
        """Carry out the actions that the model of a server has returned."""
        for action in actions:
            match action:
                case Reply(job_id, result):
                    self._reply(host, job_id, result)
                case CallNextTier(job_id, call_number):
                    self._send_call(host, host.work[job_id], call_number)
                case JobStarted():
                    pass
                case ServerCollapsed(informed_share):
                    at_ms = self.fleet.plan_time()
                    record = ServerCollapsedRecord(at_ms, host.spec.name, informed_share)
                    self.fleet.record(RecordFile.SERVERS, record)
                    self.fleet.crash(host)

    def record_lost_jobs(self, host: SimulatedServerHost) -> None:
        """Record the requests of an ending server process as lost."""
        for work in host.work.values():
            self._record_job(work, LOST_JOB)

    def _reply(self, host: SimulatedServerHost, job_id: int, result: JobResult) -> None:
        # A duplicate may wait at another server of the cell.
        work = host.work.pop(job_id, None) or self._pop_from_cell(host, job_id)
        if work is None:
            return
        if work.job.stage is JobStage.DUPLICATE:
            work.host.model.finish_duplicate(job_id)
        if result is JobResult.SERVED:
            self.served[work.host.spec.tier] += 1
        self._record_job(work, result.value)
        work.host.reply(work, result)

    def _pop_from_cell(self, host: SimulatedServerHost, job_id: int) -> SimulatedWork | None:
        for other in self.fleet.cell_hosts(host):
            work = other.work.pop(job_id, None)
            if work is not None:
                return work
        return None

    def _record_job(self, work: SimulatedWork, outcome: str) -> None:
        request = work.attempt.request
        sender = work.connection.node.name
        identity = RequestIdentity(sender, request.class_name, request.operation_id, request.request_id)
        record = job_record(
            work.host.spec,
            work.job,
            identity,
            at_ms=self.fleet.plan_time(),
            received_ms=round(work.received_ms, 1),
            outcome=outcome,
            client_connected=work.client_connected,
            past_deadline=self.queue.now > work.deadline_ms,
        )
        self.fleet.record(RecordFile.SERVERS, record)

    # ------------------------------------------------------------------ calls

    def _send_call(self, host: SimulatedServerHost, work: SimulatedWork, number: int) -> None:
        """Send a call to another tier through the local node for that tier."""
        request, job = work.attempt.request, work.job
        node = self.fleet.local_node(host.spec.name, work.call_targets[number])
        table = self._classes[request.class_name]
        propagate = self.plan.scenario.propagate_deadline
        time_left_ms = work.deadline_ms - self.queue.now if propagate else table.deadline_ms
        if node is None or time_left_ms < MIN_CALL_TIME_MS:
            self.queue.call_later(0.0, self.call_finished, host, host.model, job.id, False)
            return
        dedup_key = f"{job.key or request.request_id}.{number}"
        keyed = table.idempotency is Idempotency.IDEMPOTENT_WITH_KEY
        call = _Call(self, host, job.id, node)
        call_request = NodeRequest(
            request_id=f"{request.request_id}.{job.id}.{number}",
            class_name=request.class_name,
            operation_id=dedup_key if keyed else f"{request.operation_id}/{job.id}.{number}",
            work_ms=request.work_ms,
            dedup_key=dedup_key,
            timeout_ms=float(max(1, int(time_left_ms))),
            on_done=call.finish,
        )
        call.send(call_request, time_left_ms)

    def call_finished(
        self, host: SimulatedServerHost, model: EmulatedServer, job_id: int, succeeded: bool
    ) -> None:
        """Pass the result of a call to the model of its server.

        Args:
            model: model of the process that made the call.
        """
        if host.model is not model:  # the server has been restarted
            return
        host.catch_up(self.queue.now)
        self.apply_actions(host, host.model.call_finished(self.queue.now, job_id, succeeded))
        host.arm()


class _Call:
    """A call of a server in flight. Outcomes after the first are ignored."""

    __slots__ = ("finished", "host", "job_id", "model", "node", "owner", "request", "timer")

    def __init__(
        self, owner: SimulatedRequests, host: SimulatedServerHost, job_id: int, node: SimulatedNode
    ) -> None:
        self.owner, self.host, self.model = owner, host, host.model
        self.job_id, self.node = job_id, node
        self.finished = False
        self.request: NodeRequest | None = None
        self.timer: ScheduledEvent | None = None

    def send(self, request: NodeRequest, timeout_ms: float) -> None:
        """Send the request to the local node and abandon it after the timeout."""
        self.request = request
        self.timer = self.owner.queue.call_later(timeout_ms, self._abandon)
        self.node.submit(request)

    def finish(self, outcome: AttemptOutcome) -> None:
        """End the call with an outcome."""
        if self.finished:
            return
        self.finished = True
        if self.timer is not None:
            self.owner.queue.cancel(self.timer)
        succeeded = outcome.status == HTTP_OK
        self.owner.call_finished(self.host, self.model, self.job_id, succeeded)

    def _abandon(self) -> None:
        if self.request is not None:
            self.node.abandon(self.request)
        self.finish(AttemptOutcome(failure=AttemptFailure.CALL_TIMEOUT))
