"""Construction of the parts of a balancer."""

from rosewheel.policy import (
    admission,
    attempts,
    discovery_polling,
    membership,
    pool_load,
    quotas,
    ranking,
    shared_state,
    slow_start,
    throughput,
)
from rosewheel.policy.settings import Settings


class Parts:
    """The parts of a balancer, one object for each concern."""

    def __init__(self, settings: Settings, seed: int, now: float) -> None:
        self.shared = shared_state.SharedState(settings, seed)
        self.table = pool_load.CursorTable()
        self.throughput = throughput.Throughput(self.shared)
        self.pool_load = pool_load.PoolLoad(self.shared, self.table, self.throughput)
        self.quotas = quotas.Quotas(settings, now)
        self.slow_start = slow_start.SlowStart(self.shared, self.throughput)
        self.ranking = ranking.Ranking(self.shared, self.slow_start)
        self.attempts = attempts.Attempts(self.shared, self.ranking, self.pool_load)
        self.admission = admission.Admission(self.shared, self.pool_load, self.quotas)
        self.membership = membership.Membership(self.shared, self.slow_start, self.throughput)
        self.polling = discovery_polling.DiscoveryPolling(self.shared.rng, now)
