"""Builds records of servers from their models, for emulated and simulated runs."""

from __future__ import annotations

from dataclasses import dataclass

from rosewheel.lab.plan import Plan
from rosewheel.lab.record_types import JobRecord, ServerSampleRecord, ServerStartRecord
from rosewheel.lab.server_model import EmulatedServer, Job, ServerSpec
from rosewheel.lab.slow_start import mean_work_ms


@dataclass(slots=True, frozen=True)
class RequestIdentity:
    """Identity of a request at a server.

    Attributes:
        sender: name of the node that sent the request.
        operation_id: id of the client's operation, or of the call of another server.
    """

    sender: str
    class_name: str
    operation_id: str
    request_id: str


def job_record(
    spec: ServerSpec,
    job: Job,
    request: RequestIdentity,
    *,
    at_ms: float,
    received_ms: float,
    outcome: str,
    client_connected: bool,
    past_deadline: bool,
) -> JobRecord:
    """Return the record of a request that has ended. Times are in ms from the start of the plan."""
    return JobRecord(
        at_ms=at_ms,
        tier=spec.tier,
        server=spec.name,
        cell=spec.cell,
        sender=request.sender,
        class_name=request.class_name,
        operation_id=request.operation_id,
        request_id=request.request_id,
        received_ms=received_ms,
        outcome=outcome,
        work_ms=round(sum(job.segments_ms), 3),
        sender_informed=job.sender_informed,
        started=job.started,
        client_connected=client_connected,
        past_deadline=past_deadline,
    )


def start_record(plan: Plan, spec: ServerSpec, at_ms: float) -> ServerStartRecord:
    """Return the record of the start of a server."""
    return ServerStartRecord(
        at_ms=at_ms,
        server=spec.name,
        capacity=spec.cores * spec.speed,
        mean_request_ms=mean_work_ms(plan, spec.tier),
    )


def sample_record(server: EmulatedServer, at_ms: float) -> ServerSampleRecord:
    """Return the record of the state of a server, whose model must be up to date."""
    spec = server.spec
    return ServerSampleRecord(
        at_ms=at_ms,
        server=spec.name,
        state=server.state.value,
        queue_length=server.queue_length,
        in_progress=server.in_progress,
        slowed=server.slowed_since_ms is not None,
        speed_share=round(server.capacity / (spec.cores * spec.speed), 3),
        connections=server.connection_count,
        rejected=server.rejected,
    )
