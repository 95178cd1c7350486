"""Pacing of requests to warming servers, and the capacity of the pool."""

from rosewheel.policy.server_stats import ServerStats
from rosewheel.policy.shared_state import SharedState
from rosewheel.policy.throughput import Throughput

CREDIT_EXPIRY_WINDOWS = 0.5  # overload windows after which unused credit expires
# Share of a warming server's budget that is used. The budget is `overload_factor` times its capacity share by
# the settings, times the completion rate of a warm server. Most servers can do more than that capacity share:
# limited to it, warming ones would idle while the few warm ones are overloaded. The ranking avoids servers
# that can't keep up with their budget.
BUDGET_SHARE = 0.5
ACCEPTED_ERROR_RATE = 0.5  # error rate of a warming server above which it earns less credit
CAPACITY_SAMPLE_SIZE = 256  # servers of a large pool whose capacity is measured


class SlowStart:
    """Tracks the credit of warming servers; a request uses as much credit as its weight."""

    def __init__(self, shared: SharedState, throughput: Throughput) -> None:
        self.shared, self.throughput = shared, throughput

    def has_credit(self, now: float, server: ServerStats) -> bool:
        """Return whether a server may be sent a request: it is warm, or has earned credit."""
        # All balancers together could overload a warming server. At each balancer it earns credit at the
        # request rate per server, times its capacity share. Its initial credit is random, so that many
        # balancers with little traffic do not all send it a request at the same time.
        capacity_share = self.capacity_share(now, server)
        if capacity_share >= 1.0:
            return True
        # If few servers are left, as after the loss of a zone, the request rate per server is many times
        # their capacity. An overloaded server fails most attempts, which even a new balancer notices.
        success_factor = min(1.0, (1.0 - server.error_or_timeout_rate) / (1.0 - ACCEPTED_ERROR_RATE))
        rate = capacity_share * success_factor * self.credit_rate()
        credit = server.credit + rate * (now - server.credit_updated_ms)
        if credit >= 1.0:
            # Unused credit expires. Balancers that saved credit for a server that was not ready, or had a
            # queue, would all send it their requests at the same time: thirty did, with one credit each.
            excess = credit % 1.0
            unused = rate * CREDIT_EXPIRY_WINDOWS * self.shared.settings.overload_window_ms
            credit = excess + (excess <= unused)
        server.credit, server.credit_updated_ms = credit, now
        return credit >= 1.0

    def credit_rate(self) -> float:
        """Return the credit per ms that a warm server would earn."""
        requested = self.throughput.request_rate / max(1, len(self.shared.pool.ready))
        if not self.shared.in_large_fleet:
            return requested
        # Until the first completion, as when all servers warm up, there is only a request rate.
        budget = BUDGET_SHARE * self.shared.settings.overload_factor * self.throughput.peak_completion_rate
        return max(budget, requested)

    def capacity_share(self, now: float, server: ServerStats) -> float:
        """Return the share of its capacity that a server has by the settings: 1 once it is warm."""
        warm_up_ms = self.shared.settings.warm_up_ms
        left_ms = server.warm_at_ms(warm_up_ms) - now
        if not left_ms > 0.0 < warm_up_ms:
            return 1.0
        return 1.0 - (1.0 - self.shared.settings.warm_up_initial_share) * min(1.0, left_ms / warm_up_ms)

    def pool_capacity(self, now: float) -> float:
        """Return the number of ready servers, each weighted by its capacity share and success rate."""
        pool = self.shared.pool
        sample = pool.sample(self.shared.rng, CAPACITY_SAMPLE_SIZE)
        if not sample:
            return self.throughput.pool_capacity
        mean = sum(self.capacity_share(now, each) * (1.0 - each.error_rate) for each in sample) / len(sample)
        return max(self.shared.settings.warm_up_initial_share, mean) * len(pool.ready)
