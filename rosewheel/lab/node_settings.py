"""Configuration of a node, with the keys of the platform configuration and the simulator protocol."""

from __future__ import annotations

from typing import Any

from rosewheel.lab.plan import Plan
from rosewheel.policy.settings import Idempotency

EFFECT_NAMES = {
    Idempotency.IDEMPOTENT: "free",
    Idempotency.IDEMPOTENT_WITH_KEY: "guarded",
    Idempotency.NON_IDEMPOTENT: "single_shot",
}
IDLE_TIMEOUT_MS = 30000
CONNECT_TIMEOUT_MS = 250


def platform_settings(plan: Plan, tier: int, balancer_count: int, zone: str = "") -> dict[str, Any]:
    """Return the settings of a node that sends requests to a tier.

    Args:
        plan: the plan of the run.
        tier: index of the tier.
        balancer_count: number of nodes that send requests to the tier.
        zone: zone of the node; empty for the zone of the scenario.
    """
    scenario, rules, nodes = plan.scenario, plan.scenario.rules, plan.scenario.nodes
    return {
        "locality": zone or scenario.zone,
        "tier": tier,
        "siblings": balancer_count,
        "registryMode": "push",
        "valueBy": "work",
        "categories": _categories(plan),
        "bounds": {
            "cancel": nodes.cancel,
            "maxAttempts": nodes.max_attempts,
            "maxRetryAfterMs": nodes.max_retry_after_ms,
            "retryAfter": nodes.retry_after,
            "secondCopies": nodes.hedged_requests,
            "connIdleMs": IDLE_TIMEOUT_MS,
            "connectTimeoutMs": CONNECT_TIMEOUT_MS,
            "mayProbe": True,
        },
        "feedback": {"fields": ["depth"] if scenario.tiers[tier].report.enabled else []},
        "invariants": {
            "coldFrom": rules.warm_up_initial_share,
            "coldMs": rules.warm_up_s * 1000.0,
            "tipAfterMs": rules.overload_window_ms,
            "overloadFactor": rules.overload_factor,
        },
        "prices": {"crossZone": scenario.network.cross_zone_cost},
    }


def node_configuration(
    plan: Plan, tier: int, balancer_count: int, seed: int, known: dict[str, Any]
) -> dict[str, Any]:
    """Return the configuration of a node process, without its addresses.

    Args:
        plan: the plan of the run.
        tier: index of the tier to which the node sends requests.
        balancer_count: number of nodes that send requests to the tier.
        seed: seed of the node.
        known: initial endpoint list, as a discovery message.
    """
    nodes = plan.scenario.nodes
    return {
        "seed": f"{seed:x}",
        "limits": {"memory_mb": nodes.memory_mb, "sockets": nodes.sockets},
        "known": known,
        "settings": platform_settings(plan, tier, balancer_count),
    }


def _categories(plan: Plan) -> list[dict[str, Any]]:
    return [
        {
            "name": row.name,
            "aimMs": row.latency_objective_ms,
            "giveUpMs": row.deadline_ms,
            "credit": row.priority_weight,
            "lateWorth": 0.0,
            "effect": EFFECT_NAMES[row.idempotency],
            "keyScope": row.dedup_scope.value,
            "memorySpanMs": row.dedup_window_ms,
        }
        for row in plan.scenario.classes
    ]
