"""Selection of the server for an attempt."""

import math

from rosewheel.policy.pool import ANY_CELL, Group
from rosewheel.policy.request_state import RequestState
from rosewheel.policy.server_stats import ServerStats
from rosewheel.policy.settings import DedupScope, Idempotency, ServiceClass
from rosewheel.policy.shared_state import SharedState
from rosewheel.policy.slow_start import SlowStart

# Time constants of exponential decay.
LATENCY_DECAY_MS = 8000.0  # of a server's relative latency towards 1, while no attempt ends
QUEUE_DECAY_MS = 500.0  # of a reported queue towards 0
# Shorter in a large pool, where many balancers choose whichever server last reported a short queue.
QUEUE_DECAY_IN_LARGE_POOL_MS = 200.0
BACKOFF_RANK_FACTOR = 100.0  # multiplies a rank during a backoff
MAX_ERROR_RATE = 0.9  # largest error rate by which a rank is worsened
MIN_JITTER, JITTER_RANGE = 0.95, 1.05 - 0.95  # random factor of each rank, so that equal servers take turns


def dedup_group(service_class: ServiceClass, server: ServerStats) -> Group | None:
    """Return the group that shares a server's memory of idempotency keys; None if all servers share it."""
    scope, endpoint = service_class.dedup_scope, server.endpoint
    if scope is DedupScope.ALL:
        return None
    return endpoint.zone, endpoint.cell if scope is DedupScope.CELL else ANY_CELL


class Ranking:
    """Ranks the candidates for an attempt; the lowest rank is the best."""

    def __init__(self, shared: SharedState, slow_start: SlowStart) -> None:
        self.shared, self.slow_start = shared, slow_start

    def choose(self, now: float, state: RequestState) -> ServerStats | None:
        """Return the server for the next attempt of a request; None if there is none or a retry is unsafe."""
        group: Group | None = None
        possibly_executed = state.possibly_executed()
        if possibly_executed:
            if not self._may_repeat(now, state, possibly_executed[0].sent_ms):
                return None
            if state.service_class.idempotency is Idempotency.IDEMPOTENT_WITH_KEY:
                group = dedup_group(state.service_class, possibly_executed[0].server)
        # Compared by address: a server that was removed and listed again has new statistics.
        tried = [attempt.server.endpoint.address for attempt in state.attempts]
        pool, has_credit = self.shared.pool, self.slow_start.has_credit
        large, rng = pool.is_large, self.shared.rng
        candidates = pool.candidates(now, rng, group, has_credit) if large else pool.ready
        best, best_rank = None, math.inf
        for server in candidates:
            if tried and server.endpoint.address in tried:
                continue
            if group is not None and group != dedup_group(state.service_class, server):
                continue
            rank = self.rank(now, server)
            if rank < best_rank:
                if has_credit(now, server):
                    best, best_rank = server, rank
                elif large:
                    pool.recheck_credit(server, now)
        return best

    def _may_repeat(self, now: float, state: RequestState, first_sent_ms: float) -> bool:
        """Return whether a request that a server may have executed may be sent again."""
        idempotency = state.service_class.idempotency
        if idempotency is not Idempotency.IDEMPOTENT_WITH_KEY:
            return idempotency is Idempotency.IDEMPOTENT
        # The first byte of the retry is sent up to the connect timeout from now.
        sent_after_ms = now - first_sent_ms + self.shared.settings.connect_timeout_ms
        return not sent_after_ms >= state.service_class.dedup_window_ms

    def rank(self, now: float, server: ServerStats) -> float:
        """Return the rank of a server: relative latency times (queue + 1), worsened by errors and backoff."""
        shared, latency, error_rate = self.shared, 1.0, server.error_rate
        if server.relative_latency is not None:
            weight = math.exp((server.last_outcome_ms - now) / LATENCY_DECAY_MS)
            latency += (server.relative_latency - 1.0) * weight
        for (request_id, _), sent_ms in server.in_flight.items():  # the oldest attempt only
            if server.last_outcome_ms <= sent_ms:
                # The age of the oldest attempt reveals a server that hangs long before a timeout does.
                mean_ms = shared.class_latency_ms.get(shared.requests[request_id].service_class.name)
                latency = max(latency, (now - sent_ms) / mean_ms) if mean_ms else latency
            break
        # The larger of sibling load and reported queue, as reports include sibling load after a delay.
        queue = server.sibling_load
        if server.reported_queue:
            decay_ms = QUEUE_DECAY_IN_LARGE_POOL_MS if shared.pool.is_large else QUEUE_DECAY_MS
            queue = max(queue, server.reported_queue * math.exp((server.last_report_ms - now) / decay_ms))
        zone_penalty = shared.cross_zone_penalty if server.endpoint.zone != shared.settings.zone else 0.0
        rank = latency * (server.load + queue + 1.0 + zone_penalty)
        if now < server.backoff_until_ms:
            rank *= BACKOFF_RANK_FACTOR
        success_rate = 1.0 - (error_rate if error_rate < MAX_ERROR_RATE else MAX_ERROR_RATE)
        return rank / success_rate * (MIN_JITTER + JITTER_RANGE * shared.rng.random())
