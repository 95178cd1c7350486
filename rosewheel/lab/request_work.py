"""Work and calls of one request at one server, drawn while a run is on."""

from __future__ import annotations

import numpy as np

from rosewheel.lab.plan import Plan
from rosewheel.lab.plan_arrivals import ClassParameters
from rosewheel.lab.random_streams import lognormal_factor
from rosewheel.lab.server_model import ServerSpec


def call_targets(plan: Plan, tier: int, rng: np.random.Generator) -> tuple[int, ...]:
    """The tiers that a request at this tier calls, in order of the calls."""
    targets: list[int] = []
    for callee, mean in plan.edges[tier]:
        targets += [callee] * (int(mean) + int(rng.random() < mean - int(mean)))
    return tuple(targets)


def work_segments(
    plan: Plan,
    spec: ServerSpec,
    parameters: ClassParameters,
    total_work_ms: float,
    noise: np.random.Generator,
    call_count: int,
) -> tuple[float, ...]:
    """The work of a request at one server in ms of a reference core: segments with a call between each two.

    Args:
        total_work_ms: the request's work over all tiers.
        noise: stream of the variation from server to server.
    """
    tier_share = plan.scenario.tiers[spec.tier].work
    own_work_ms = total_work_ms * tier_share * lognormal_factor(noise, parameters.attempt_noise)
    if not call_count:
        return (own_work_ms,)
    return (own_work_ms / 2.0, *([0.0] * (call_count - 1)), own_work_ms / 2.0)
