"""What a client does with an answer, or with none: the same on sockets and in virtual time."""

from __future__ import annotations

from dataclasses import dataclass

import numpy as np

from rosewheel.lab.plan import Plan
from rosewheel.lab.tables import ClassTable
from rosewheel.policy.settings import DedupScope, Idempotency

REJECTION_STATUSES = (429, 503)
RESPONSE_SLACK_MS = 50.0  # an answer may be this late to its caller's patience
RETRY_STORM_DELAY_FACTOR = 0.1  # of the usual wait, while a retry storm lasts


@dataclass(slots=True, frozen=True)
class AttemptOutcome:
    """How a try ended for its client."""

    status: int = 0  # 0: without an answer
    failure: str = ""  # without one: `unreachable` (nothing was taken), `broken`, `no answer`
    retry_after_s: float | None = None


def retry_delay_ms(
    plan: Plan,
    table: ClassTable,
    verdict: AttemptOutcome,
    tries: int,
    spent_ms: float,
    rng: np.random.Generator,
    storm: int = 0,
) -> float | None:
    """How long until the next try; None where the client leaves it at that. `storm`: so many tries more than usual,
    and without much of a wait, as long as clients are beside themselves."""
    clients = plan.scenario.clients
    if tries > clients.retries + storm:
        return None
    harmless = verdict.status in REJECTION_STATUSES or verdict.failure == "unreachable"
    anew = table.idempotency is Idempotency.IDEMPOTENT or (
        table.idempotency is Idempotency.IDEMPOTENT_WITH_KEY and table.dedup_scope is DedupScope.ALL
    )
    if not (harmless or anew) or spent_ms >= table.deadline_ms:
        return None
    wait = plan.backoff_ms * 2.0 ** (tries - 1) * float(rng.uniform(0.5, 1.5))
    if storm:
        return wait * RETRY_STORM_DELAY_FACTOR
    if verdict.retry_after_s is not None and rng.random() < plan.retry_after_share:
        wait = max(wait, verdict.retry_after_s * 1000.0)
    return wait
