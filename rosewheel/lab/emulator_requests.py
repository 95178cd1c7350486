"""Handler of requests at emulated servers: work, calls to the next tier, responses and records."""

from __future__ import annotations

import asyncio
from array import array
from dataclasses import dataclass
from typing import Protocol

from rosewheel.lab import request_codec
from rosewheel.lab.http_client import HttpClient, HttpResponse, PendingRequest
from rosewheel.lab.local_nodes import local_node_name
from rosewheel.lab.outcomes import AttemptFailure
from rosewheel.lab.plan import Plan
from rosewheel.lab.plan_clock import PlanClock
from rosewheel.lab.random_streams import random_stream
from rosewheel.lab.record_codec import RequestIdentity, job_record
from rosewheel.lab.record_types import LOST_JOB, AfterDrainRecord, ServerCollapsedRecord
from rosewheel.lab.records import RecordWriter
from rosewheel.lab.request_codec import ClientRequest
from rosewheel.lab.request_work import call_targets, work_segments
from rosewheel.lab.server_host import EmulatedServerHost, HostConnection, ServerWork
from rosewheel.lab.server_model import (
    Action,
    CallNextTier,
    Job,
    JobResult,
    JobStage,
    JobStarted,
    Reply,
    ServerCollapsed,
)
from rosewheel.lab.tables import ClassTable
from rosewheel.lab.wire import HttpRequest, now_ms
from rosewheel.policy.settings import Idempotency

HTTP_OK = 200
MIN_CALL_TIME_MS = 1.0  # shortest remaining time with which a call is sent


@dataclass(slots=True, frozen=True)
class Notification:
    """Last notification about a server that was sent to a node.

    Attributes:
        health: health of the server in discovery messages.
        at_ms: time of the notification.
        launched_ms: start of the server in ms since the Unix epoch; 0 if it was started with the fleet.
    """

    health: str = "active"
    at_ms: float = 0.0
    launched_ms: int = 0


class RequestFleet(Protocol):
    """Fleet of servers, as far as the request handler uses it."""

    plan: Plan
    clock: PlanClock
    records: RecordWriter

    def notification(self, node: str, server: str) -> Notification:
        """Return the last notification about a server that was sent to a node."""

    def launched_ms(self, host: EmulatedServerHost) -> int:
        """Return the start of a server in ms since the Unix epoch; 0 if it was started with the fleet."""

    def call_client(self, server: str) -> HttpClient | None:
        """Return the client of the local node of a server; None if no local node is running."""

    def crash(self, host: EmulatedServerHost) -> None:
        """Kill a server process."""


class BadRequestError(Exception):
    """Malformed request.

    Attributes:
        status: status of the response.
    """

    def __init__(self, status: int) -> None:
        super().__init__(status)
        self.status = status


@dataclass(slots=True, frozen=True)
class _IncomingRequest:
    identity: RequestIdentity
    table: ClassTable
    dedup_key: str
    total_work_ms: float
    timeout_ms: float


@dataclass(slots=True, frozen=True)
class _PendingCall:
    pending: PendingRequest
    timer: asyncio.TimerHandle


class EmulatedRequests:
    """Handler of all requests at all servers.

    Attributes:
        served: number of served requests by tier.
        timer_lags_ms: lag of each timer of the server models.
        closed: whether the emulator is closed; the outcomes of calls are then ignored.
    """

    def __init__(self, fleet: RequestFleet) -> None:
        self.fleet = fleet
        self.plan = plan = fleet.plan
        self.loop = asyncio.get_running_loop()
        self.served = [0] * len(plan.scenario.tiers)
        self.timer_lags_ms = array("f")
        self.closed = False
        self._classes = {row.name: row for row in plan.scenario.classes}
        self._parameters = {row.name: row for row in plan.classes}
        self._work: dict[int, ServerWork] = {}
        self._calls: dict[tuple[int, int], _PendingCall] = {}  # by job ID and call number
        self._noise = random_stream(plan.seed, "run", "noise")
        self._call_draws = random_stream(plan.seed, "run", "calls")
        self._last_job_id = 0

    def record_timer_lag(self, lag_ms: float) -> None:
        """Record how late a timer of a server model fired."""
        self.timer_lags_ms.append(lag_ms)

    def accept_request(
        self, host: EmulatedServerHost, connection: HostConnection, request: HttpRequest
    ) -> ServerWork | None:
        """Create the work of a received request; respond and return None if the request is malformed."""
        try:
            incoming = self._parse(request)
        except BadRequestError as error:
            connection.respond(error.status)
            return None
        identity = incoming.identity
        notification = self.fleet.notification(identity.sender, host.spec.name)
        work = ServerWork(
            host=host,
            connection=connection,
            job=self._job(host, request, incoming, notification),
            identity=identity,
            received_ms=request.received_ms,
            first_byte_ms=request.first_byte_ms,
            deadline_ms=request.received_ms + incoming.timeout_ms,
            total_work_ms=incoming.total_work_ms,
        )
        self._work[work.job.id] = work
        if notification.health != "active":
            self._check_drain(work, notification)
        return work

    def _parse(self, request: HttpRequest) -> _IncomingRequest:
        request_id = request.header(request_codec.REQUEST_ID_HEADER)
        class_name = request.header(request_codec.CLASS_HEADER)
        path = request.target.partition(b"?")[0]
        class_name = class_name or path.rpartition(b"/")[2].decode("latin-1")
        if not request_id:
            raise BadRequestError(404)
        table = self._classes.get(class_name)
        if table is None:
            raise BadRequestError(400)
        default_work_ms = self._parameters[class_name].work_ms
        try:
            total_work_ms = float(request.header(request_codec.WORK_HEADER) or default_work_ms)
            timeout_ms = float(request.header(request_codec.TIMEOUT_HEADER) or table.deadline_ms)
        except ValueError as error:
            raise BadRequestError(400) from error
        keyed = table.idempotency is Idempotency.IDEMPOTENT_WITH_KEY
        return _IncomingRequest(
            identity=RequestIdentity(
                sender=request.header(request_codec.SENDER_HEADER),
                class_name=class_name,
                operation_id=request.header(request_codec.OPERATION_HEADER) or request_id,
                request_id=request_id,
            ),
            table=table,
            dedup_key=request.header(request_codec.DEDUP_KEY_HEADER) if keyed else "",
            total_work_ms=total_work_ms,
            timeout_ms=timeout_ms,
        )

    def _job(
        self,
        host: EmulatedServerHost,
        request: HttpRequest,
        incoming: _IncomingRequest,
        notification: Notification,
    ) -> Job:
        class_name, spec = incoming.identity.class_name, host.spec
        call_count = len(call_targets(self.plan, spec.tier, self._call_draws))
        segments_ms = work_segments(
            self.plan, spec, self._parameters[class_name], incoming.total_work_ms, self._noise, call_count
        )
        if request.first_on_connection:
            segments_ms = (segments_ms[0] + spec.handshake_work_ms, *segments_ms[1:])
        self._last_job_id += 1
        job = Job(
            self._last_job_id,
            segments_ms,
            f"{class_name}/{incoming.dedup_key}" if incoming.dedup_key else None,
            incoming.table.dedup_window_ms,
        )
        # The sender is informed if it was notified of this start of the server, or if the request names no sender.
        launched_ms = self.fleet.launched_ms(host)
        informed = notification.launched_ms == launched_ms > 0
        job.sender_informed = not incoming.identity.sender or informed
        return job

    def _check_drain(self, work: ServerWork, notification: Notification) -> None:
        """Record a request received too long after its sender was notified of a drain or removal of the server."""
        rules, identity = self.plan.scenario.rules, work.identity
        allowed_ms = rules.drain_ms + rules.drain_slack_ms
        over_ms = work.first_byte_ms - notification.at_ms - allowed_ms
        if over_ms > 0.0:
            self.fleet.records.write(
                AfterDrainRecord(
                    self.fleet.clock.plan_time(),
                    identity.sender,
                    work.host.spec.name,
                    notification.health,
                    round(over_ms, 1),
                    identity.operation_id,
                )
            )

    def apply_actions(self, host: EmulatedServerHost, actions: list[Action]) -> None:
        """Carry out the actions that the model of a server has returned."""
        for action in actions:
            match action:
                case Reply(job_id, result):
                    self._reply(job_id, result)
                case CallNextTier(job_id, call_number):
                    self._call(self._work[job_id], call_number)
                case JobStarted():
                    pass
                case ServerCollapsed(informed_share):
                    at_ms = self.fleet.clock.plan_time()
                    self.fleet.records.write(ServerCollapsedRecord(at_ms, host.spec.name, informed_share))
                    self.fleet.crash(host)

    def record_lost_jobs(self, host: EmulatedServerHost) -> None:
        """Record all requests in progress at a server as lost, since its process ends."""
        for job_id in [job_id for job_id, work in self._work.items() if work.host is host]:
            self._record(self._work.pop(job_id), LOST_JOB, now_ms())

    def _reply(self, job_id: int, result: JobResult) -> None:
        work = self._work.pop(job_id, None)
        if work is None:
            return
        if work.job.stage is JobStage.DUPLICATE:  # the original may be at another server of the cell
            work.host.model.finish_duplicate(job_id)
        now = now_ms()
        served = result is JobResult.SERVED
        if served:
            self.served[work.host.spec.tier] += 1
        self._record(work, result.value, now)
        work.host.reply(work, result, self._body(work) if served else b"")

    def _body(self, work: ServerWork) -> bytes:
        """Return a response body that begins with the ID of the request, so that the client can check it."""
        size = self._classes[work.identity.class_name].answer_bytes
        request_id = work.identity.request_id.encode("latin-1")
        return (request_id + b"\n").ljust(size, b".") if size else b""

    def _record(self, work: ServerWork, outcome: str, now: float) -> None:
        clock = self.fleet.clock
        self.fleet.records.write(
            job_record(
                work.host.spec,
                work.job,
                work.identity,
                at_ms=clock.plan_time(now),
                received_ms=clock.plan_time(work.received_ms),
                outcome=outcome,
                client_connected=work.client_connected,
                past_deadline=now > work.deadline_ms,
            )
        )

    def _call(self, work: ServerWork, number: int) -> None:
        """Send a call to the next tier through the local node of the server."""
        identity, spec = work.identity, work.host.spec
        table, client = self._classes[identity.class_name], self.fleet.call_client(spec.name)
        propagate = self.plan.scenario.propagate_deadline
        left_ms = work.deadline_ms - now_ms() if propagate else table.deadline_ms
        if client is None or left_ms < MIN_CALL_TIME_MS:
            no_response = HttpResponse(0, failure=AttemptFailure.NO_TIME_LEFT)
            self.loop.call_soon(self._call_finished, work, number, no_response)
            return
        dedup_key = f"{work.job.key or identity.request_id}.{number}"
        keyed = table.idempotency is Idempotency.IDEMPOTENT_WITH_KEY
        request = ClientRequest(
            class_name=identity.class_name,
            idempotency=table.idempotency,
            request_id=f"{identity.request_id}.{work.job.id}.{number}",
            timeout_ms=left_ms,
            sender=local_node_name(spec),
            operation_id=dedup_key if keyed else f"{identity.operation_id}/{work.job.id}.{number}",
            total_work_ms=work.total_work_ms,
            dedup_key=dedup_key,
            body_bytes=0,
        )
        pending = client.send(request.encode(), lambda response: self._call_finished(work, number, response))
        timer = self.loop.call_later(left_ms / 1000.0, self._abandon_call, work, number)
        self._calls[work.job.id, number] = _PendingCall(pending, timer)

    def _abandon_call(self, work: ServerWork, number: int) -> None:
        call = self._calls.get((work.job.id, number))
        if call is not None:
            call.pending.abandon()
            self._call_finished(work, number, HttpResponse(0, failure=AttemptFailure.CALL_TIMEOUT))

    def _call_finished(self, work: ServerWork, number: int, response: HttpResponse) -> None:
        call = self._calls.pop((work.job.id, number), None)
        if call is not None:
            call.timer.cancel()
        if self.closed:
            return
        host = work.host
        host.catch_up(now := now_ms())
        succeeded = response.status == HTTP_OK
        self.apply_actions(host, host.model.call_finished(now, work.job.id, succeeded))
        host.arm()
