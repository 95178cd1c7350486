"""Retry policy of clients, shared by the emulated and the simulated load."""

from __future__ import annotations

import numpy as np

from rosewheel.lab.outcomes import AttemptFailure, AttemptOutcome
from rosewheel.lab.plan import Plan
from rosewheel.lab.tables import ClassTable
from rosewheel.policy.settings import DedupScope, Idempotency

REJECTION_STATUSES = (429, 503)
RESPONSE_SLACK_MS = 50.0  # tolerated lateness of a response after the timeout of the client
RETRY_STORM_DELAY_FACTOR = 0.1  # factor on the backoff during a retry storm
RETRY_JITTER = (0.5, 1.5)  # range of the random factor on the backoff


def retry_delay_ms(
    plan: Plan,
    table: ClassTable,
    outcome: AttemptOutcome,
    attempts: int,
    elapsed_ms: float,
    rng: np.random.Generator,
    extra_retries: int = 0,
) -> float | None:
    """Return the delay before the next attempt of an operation.

    Args:
        plan: the plan of the run.
        table: class of the operation.
        outcome: outcome of the last attempt.
        attempts: number of attempts so far.
        elapsed_ms: time since the planned start of the operation.
        rng: source of the jitter.
        extra_retries: retries allowed on top of the configured number, during a retry storm.

    Returns:
        Delay in ms; None if the client gives up.
    """
    if attempts > plan.scenario.clients.retries + extra_retries:
        return None
    not_executed = outcome.status in REJECTION_STATUSES or outcome.failure is AttemptFailure.UNREACHABLE
    if not (not_executed or _may_repeat(table)) or elapsed_ms >= table.deadline_ms:
        return None
    delay_ms = plan.backoff_ms * 2.0 ** (attempts - 1) * float(rng.uniform(*RETRY_JITTER))
    if extra_retries:
        return delay_ms * RETRY_STORM_DELAY_FACTOR
    if outcome.retry_after_s is not None and rng.random() < plan.retry_after_share:
        delay_ms = max(delay_ms, outcome.retry_after_s * 1000.0)
    return delay_ms


def _may_repeat(table: ClassTable) -> bool:
    """Return whether every request of the class may be executed again by any server."""
    if table.idempotency is Idempotency.IDEMPOTENT_WITH_KEY:
        return table.dedup_scope is DedupScope.ALL
    return table.idempotency is Idempotency.IDEMPOTENT
