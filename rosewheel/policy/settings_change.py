"""Atomic change of the settings of a running balancer."""

from rosewheel.policy.actions import Action
from rosewheel.policy.learned_state_restore import objective_ratio
from rosewheel.policy.parts import Parts
from rosewheel.policy.settings import Settings


def change_settings(parts: Parts, now: float, new: Settings, started: bool) -> list[Action]:
    """Apply new settings, or none of them if any step raises.

    Raises:
        ValueError: a setting can't change while a node runs. The text names it.
    """
    old = parts.shared.settings
    if new == old:
        return []
    for key in ("tier", "zone"):  # learned state belongs to one tier, and a machine to one zone
        if getattr(new, key) != getattr(old, key):
            raise ValueError(f"{key}: {getattr(new, key)!r} requires a restart of the node")
    # Attributes are replaced without modifying their old values, so that restoring the references undoes the
    # change. Servers are modified in place, after everything that may raise.
    saved = [(part, dict(vars(part))) for part in vars(parts).values()]
    random_state = parts.shared.rng.getstate()
    try:
        return _apply(parts, now, new, started)
    except Exception:
        for part, attributes in saved:
            vars(part).update(attributes)
        parts.shared.rng.setstate(random_state)
        raise


def _apply(parts: Parts, now: float, new: Settings, started: bool) -> list[Action]:
    shared, throughput = parts.shared, parts.throughput
    old, was_in_large_fleet = shared.settings, shared.in_large_fleet
    old_objectives_ms = shared.objectives_ms()
    shared.apply_settings(new)
    parts.quotas.apply_settings(new, now)
    latencies_ms = shared.class_latency_ms.items()
    shared.class_latency_ms = {name: ms for name, ms in latencies_ms if name in shared.classes}
    parts.pool_load.rescale(objective_ratio(old_objectives_ms, shared.objectives_ms()))
    fleet_changed = shared.in_large_fleet is not was_in_large_fleet
    if fleet_changed:
        throughput.change_capacity_unit(parts.slow_start.pool_capacity(now) if shared.in_large_fleet else 1.0)
    actions: list[Action] = []
    if not started:
        throughput.period_ms = shared.configured_period_ms
    elif new.poll_discovery is not old.poll_discovery:
        actions = parts.polling.restart(now, new.poll_discovery)
    if new.warm_up_ms != old.warm_up_ms:
        shared.pool.set_warm_up(new.warm_up_ms, now, shared.draw_initial_credit)
    if fleet_changed:
        for server in shared.pool.servers.values():  # a small fleet does not use backoffs
            server.clear_backoff()
    return actions
