"""Restoration of learned state, in which each value decays with its age."""

import math

from rosewheel.policy.learned_state import LearnedServer, LearnedState, ago_ms
from rosewheel.policy.parts import Parts
from rosewheel.policy.pool_load import BASELINE_LEARNING_OUTCOMES
from rosewheel.policy.server_stats import ServerStats

MAX_AGE_MS = 600_000.0  # age beyond which the retained share is 0, as the fleet may have changed
# Time constants: ages at which a value retains 1/e of its weight.
BASELINE_DECAY_MS = 120_000.0  # baseline latencies change with releases
CURSOR_DECAY_MS = 3_000.0  # the cursor follows the present load
RATE_DECAY_MS = 15_000.0
SERVER_DECAY_MS = 8_000.0
MIN_BASELINE_SHARE = 0.1  # smallest retained share at which a baseline is restored
MAX_OBJECTIVE_RATIO = 100.0  # largest change of objectives across which ratios are converted
SAME_START_TOLERANCE_MS = 1_000.0  # largest difference of one start time by two processes' clocks


def retained_share(age_ms: float, decay_ms: float) -> float:
    """Return the weight left to a value of this age: 1 when new, 0 beyond `MAX_AGE_MS`."""
    return 0.0 if not 0.0 <= age_ms <= MAX_AGE_MS else math.exp(-age_ms / decay_ms)


def objective_ratio(old: dict[str, float], new: dict[str, float]) -> float | None:
    """Return the largest ratio of old to new objectives over the classes that have both.

    None if there is no such class, or the ratio is out of range.
    """
    # The largest, as a baseline that is too high falls within seconds, and one that is too low causes minutes
    # of shedding.
    ratio = max((old[name] / objective for name, objective in new.items() if name in old), default=0.0)
    return ratio if 1.0 / MAX_OBJECTIVE_RATIO <= ratio <= MAX_OBJECTIVE_RATIO else None


def is_same_start(saved_ago_ms: float | None, age_ms: float, now_ago_ms: float | None) -> bool:
    """Return whether a server has not restarted since its state was saved.

    Args:
        saved_ago_ms: age of its start when the state was saved; None if it started long ago.
        age_ms: age of the state.
        now_ago_ms: present age of its start; None if it started long ago.
    """
    if saved_ago_ms is None or now_ago_ms is None:
        return saved_ago_ms is now_ago_ms
    return abs(saved_ago_ms + age_ms - now_ago_ms) <= SAME_START_TOLERANCE_MS


def restore(parts: Parts, now: float, learned: LearnedState, age_ms: float) -> int:
    """Restore learned state; the older it is, the less weight it has.

    Returns:
        The number of listed servers whose statistics were restored.
    """
    restored, throughput, load = 0, parts.throughput, parts.pool_load
    for address, saved in learned.servers.items():
        server = parts.shared.pool.servers.get(address)
        if server is not None and server.last_outcome_ms == -math.inf:
            started_ago_ms = ago_ms(now, server.endpoint.launched_ms)
            if is_same_start(saved.started_ago_ms, age_ms, started_ago_ms):
                restored += 1
                _restore_server(server, saved, now, age_ms)
    _restore_baseline(parts, learned, age_ms)
    parts.table.set_cursor(int(learned.cursor * retained_share(age_ms, CURSOR_DECAY_MS)))
    share = retained_share(age_ms, RATE_DECAY_MS)
    throughput.completion_rate = learned.completion_rate * share / throughput.pool_capacity
    throughput.peak_completion_rate = learned.peak_completion_rate * share / throughput.pool_capacity
    throughput.request_rate = learned.request_rate * share
    if learned.completion_rate > 0.0:
        throughput.restart_smoothing(share)
    load.smoothed_error_share = learned.smoothed_error_share * share
    load.baseline_error_share = min(1.0, learned.baseline_error_share) * share
    return restored


def _restore_server(server: ServerStats, saved: LearnedServer, now: float, age_ms: float) -> None:
    saved_ms = now - age_ms
    server.error_rate = min(1.0, saved.error_rate) * retained_share(age_ms, SERVER_DECAY_MS)
    server.credit = min(server.credit, saved.credit)  # the old process may still use the saved one
    if saved.relative_latency is not None and saved.last_outcome_ago_ms is not None:
        server.relative_latency = saved.relative_latency  # decays in the rank by the age of the outcome
        server.last_outcome_ms = saved_ms - saved.last_outcome_ago_ms
    if saved.last_report_ago_ms is not None:
        server.reported_queue, server.utilisation = saved.reported_queue, saved.utilisation
        server.last_report_ms = saved_ms - saved.last_report_ago_ms
    if saved.uncordoned_ago_ms is not None:
        server.uncordoned_ms = saved_ms - saved.uncordoned_ago_ms


def _restore_baseline(parts: Parts, learned: LearnedState, age_ms: float) -> None:
    shared, load, share = parts.shared, parts.pool_load, retained_share(age_ms, BASELINE_DECAY_MS)
    old_objectives_ms, baseline = learned.objectives_ms, learned.baseline_ratio
    ratio = objective_ratio(old_objectives_ms, shared.objectives_ms()) if old_objectives_ms else 1.0
    if baseline is None or load.baseline_ratio is not None or share <= MIN_BASELINE_SHARE or ratio is None:
        return
    load.baseline_ratio = load.smoothed_ratio = baseline * ratio
    # With fewer recorded outcomes, new ones replace the baseline sooner.
    load.baseline_outcomes = int(min(BASELINE_LEARNING_OUTCOMES, learned.baseline_outcomes) * share)
    latencies_ms = learned.class_latency_ms.items()
    shared.class_latency_ms = {name: ms for name, ms in latencies_ms if name in shared.classes and ms > 0.0}
    excess = (learned.smoothed_ratio - baseline) * ratio
    load.smoothed_ratio += excess * retained_share(age_ms, CURSOR_DECAY_MS)
