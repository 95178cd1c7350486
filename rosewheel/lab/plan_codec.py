"""The stored form of a plan, one JSON object per line, and its digest.

The keys differ from the names in the code and are mapped only here.
"""

from __future__ import annotations

import hashlib
from collections.abc import Iterator

import msgspec

from rosewheel.lab.plan import Plan
from rosewheel.lab.plan_arrivals import Arrival, ClassParameters
from rosewheel.lab.plan_faults import FaultStep
from rosewheel.lab.server_model import OverloadSlowdown, ServerSpec

DIGEST_BYTES = 8


def plan_lines(plan: Plan) -> Iterator[bytes]:
    """Yield the lines of a plan, each a JSON object."""
    encode = msgspec.json.Encoder(order="deterministic").encode
    yield encode(_header(plan))
    for row in plan.classes:
        yield encode({"class": _class(row)})
    for spec in plan.servers:
        yield encode({"equipo": _server(spec)})
    for spec in plan.deployed_servers:
        yield encode({"later": _server(spec)})
    for step in plan.steps:
        yield encode({"step": _step(step)})
    for arrival in plan.arrivals:
        yield encode(_arrival(arrival))


def plan_digest(plan: Plan) -> str:
    """Return the digest of a plan; equal plans have equal digests on every machine."""
    return hashlib.blake2b(b"\n".join(plan_lines(plan)), digest_size=DIGEST_BYTES).hexdigest()


def _header(plan: Plan) -> dict[str, object]:
    return {
        "plan": plan.scenario.name,
        "seed": plan.seed,
        "calls": _calls(plan),
        "try_share": plan.attempt_timeout_share,
        "backoff_ms": plan.backoff_ms,
        "honour": plan.retry_after_share,
        "notice_ms": plan.node_notice_ms,
    }


def _calls(plan: Plan) -> object:
    """Return the mean calls per request: for a list of tiers by tier, for a call graph by caller and callee."""
    tiers = plan.scenario.tiers
    if plan.scenario.chain:
        return (1.0, *(mean for calls in plan.edges for _, mean in calls))
    return {
        tiers[caller].name: {tiers[callee].name: mean for callee, mean in calls}
        for caller, calls in enumerate(plan.edges)
    }


def _class(row: ClassParameters) -> dict[str, object]:
    return {
        "name": row.name,
        "share": row.share,
        "work_ms": row.work_ms,
        "cv": row.cv,
        "attempt_noise": row.attempt_noise,
    }


def _server(spec: ServerSpec) -> dict[str, object]:
    return {
        "name": spec.name,
        "tier": spec.tier,
        "kind": spec.kind,
        "zone": spec.zone,
        "cell": spec.cell,
        "cores": spec.cores,
        "speed": spec.speed,
        "slots": spec.concurrency_limit,
        "queue": spec.queue_limit,
        "thrash": spec.contention_factor,
        "knee": spec.contention_threshold,
        "cold_from": spec.warm_up_initial_share,
        "cold_ms": spec.warm_up_ms,
        "choke": None if spec.slowdown is None else _slowdown(spec.slowdown),
        "tip_multiple": spec.overload_factor,
        "tip_ms": spec.overload_window_ms,
        "tip_slack_ms": spec.overload_slack_ms,
        "pause_every_ms": spec.pause_interval_ms,
        "pause_ms": spec.pause_ms,
        "pause_grow": spec.pause_growth,
        "error_rate": spec.error_rate,
        "report_period_ms": spec.report_period_ms,
        "report_delay_ms": spec.report_delay_ms,
        "report_noise": spec.report_noise,
        "connections": spec.max_connections,
        "connection_tax": spec.connection_overhead,
        "handshake_ms": spec.handshake_work_ms,
        "probe_ms": spec.health_check_work_ms,
    }


def _slowdown(slowdown: OverloadSlowdown) -> dict[str, object]:
    return {
        "at": slowdown.queue_per_core,
        "over_ms": slowdown.trigger_ms,
        "slower": slowdown.factor,
        "rest_ms": slowdown.recovery_ms,
        "below": slowdown.recovery_busy_share,
        "most_ms": slowdown.max_ms,
    }


def _step(step: FaultStep) -> dict[str, object]:
    return {
        "at_ms": step.at_ms,
        "trouble": step.fault,
        "what": step.phase.value,
        "equipos": step.targets,
        "size": step.size,
        "part": step.share,
    }


def _arrival(arrival: Arrival) -> dict[str, object]:
    return {
        "at_ms": arrival.at_ms,
        "class": arrival.class_name,
        "work_ms": arrival.work_ms,
        "op": arrival.operation_id,
    }
