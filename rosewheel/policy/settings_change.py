"""Change of the settings while a balancer runs: all of it or, where anything raises, nothing."""

from rosewheel.policy.actions import Action
from rosewheel.policy.learned_state_restore import objective_ratio
from rosewheel.policy.parts import Parts
from rosewheel.policy.settings import Settings


def change_settings(parts: Parts, now: float, new: Settings, started: bool) -> list[Action]:
    """Apply other settings, or raise ValueError that names one that can't change while a node runs."""
    old = parts.shared.settings
    if new == old:
        return []
    for key in ("tier", "zone"):  # learned state would be of another pool, and a machine does not move
        if getattr(new, key) != getattr(old, key):
            raise ValueError(f"{key}: {getattr(new, key)!r} would need a new start of this node")
    # Attributes are replaced and their old values not modified, but for servers, which change last.
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
        for server in shared.pool.servers.values():  # a backoff of the large fleet would never end elsewhere
            server.clear_backoff()
    return actions
