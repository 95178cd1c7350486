"""Work and outgoing calls of a request at one server, drawn during a run."""

from __future__ import annotations

import numpy as np

from rosewheel.lab.plan import Plan
from rosewheel.lab.plan_arrivals import ClassParameters
from rosewheel.lab.random_streams import lognormal_factor
from rosewheel.lab.server_model import ServerSpec


def call_targets(plan: Plan, tier: int, rng: np.random.Generator) -> tuple[int, ...]:
    """Draw the tiers that a request at this tier calls, in order of the calls."""
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
    """Draw the work of a request at one server, as segments with one call between each two.

    Args:
        plan: the plan of the run.
        spec: the server.
        parameters: parameters of the request's class.
        total_work_ms: work of the request over all tiers, in ms of a reference core.
        noise: random stream of the variation of work between servers.
        call_count: number of calls to the next tiers.

    Returns:
        Work of each segment, in ms of a reference core.
    """
    tier_share = plan.scenario.tiers[spec.tier].work
    own_work_ms = total_work_ms * tier_share * lognormal_factor(noise, parameters.attempt_noise)
    if not call_count:
        return (own_work_ms,)
    return (own_work_ms / 2.0, *([0.0] * (call_count - 1)), own_work_ms / 2.0)
