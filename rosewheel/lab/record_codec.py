"""What the emulator on sockets and the one in virtual time do alike: records, and troubles of one equipo."""

from __future__ import annotations

from typing import Any

from rosewheel.lab import server_model as model
from rosewheel.lab.plan import Plan
from rosewheel.lab.slow_start import mean_work_ms


def job_record(
    spec: model.ServerSpec,
    one: model.Job,
    t: float,
    came: float,
    asked: tuple[str, str, str, str],
    verdict: str,
    wanted: bool,
    over: bool,
) -> dict[str, Any]:
    """How a request ended at an equipo, and whether its work had begun there. `t` and `came` in ms of the plan's clock;
    `asked`: the node that sent it, its class, the client's wish and the request's id; `over`: past its deadline."""
    node, service, op, rid = asked
    return {
        "e": "job",
        "t": t,
        "tier": spec.tier,
        "equipo": spec.name,
        "cell": spec.cell,
        "node": node,
        "class": service,
        "op": op,
        "rid": rid,
        "came": came,
        "verdict": verdict,
        "work": round(sum(one.segments_ms), 3),
        "told": one.sender_informed,
        "ran": one.started,
        "wanted": wanted,
        "over": over,
    }


def start_record(plan: Plan, spec: model.ServerSpec, t: float) -> dict[str, Any]:
    """An equipo that starts cold: what it can do once it is warm, and what a mean request takes there."""
    return {
        "e": "started",
        "t": t,
        "equipo": spec.name,
        "work_per_ms": spec.cores * spec.speed,
        "mean_ms": mean_work_ms(plan, spec.tier),
    }


def sample_record(name: str, one: model.EmulatedServer, t: float) -> dict[str, Any]:
    """An equipo as it stands, its model brought up to now."""
    return {
        "e": "sample",
        "t": t,
        "equipo": name,
        "state": one.state.value,
        "queue": one.queue_length,
        "held": one.in_progress,
        "slowed": one.slowed_since_ms is not None,
        "speed": round(one.capacity / (one.spec.cores * one.spec.speed), 3),
        "connections": one.connection_count,
        "turned_away": one.rejected,
    }


def apply_server_fault(one: model.EmulatedServer, kind: str, size: float, begins: bool, now: float) -> None:
    """The troubles that are the model's own: `slow`, `neighbour` and `errors`; any other kind does nothing here."""
    if kind == "slow":
        one.set_slow_factor(now, size if begins else 1.0)
    elif kind == "neighbour":
        one.set_neighbour_share(now, size if begins else 0.0)
    elif kind == "errors":
        one.forced_error_share = size if begins else 0.0
