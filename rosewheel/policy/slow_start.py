"""Pacing of servers that warm up, and the pool's capacity with them."""

from rosewheel.policy.server_stats import ServerStats
from rosewheel.policy.shared_state import SharedState
from rosewheel.policy.throughput import Throughput

CREDIT_EXPIRY_WINDOWS = 0.5  # overload windows after which credit that is not used lapses
# Warming servers may be sent this part of their budget: `overload_factor` times the stated share of what a
# warm one completes. The stated share is the least of any server: paced by it, warming servers idled while
# the few warm ones choked. The rank finds the servers that can do less.
BUDGET_SHARE = 0.5
ACCEPTED_ERROR_RATE = 0.5  # of a warming server; one that fails more attempts earns less credit
CAPACITY_SAMPLE_SIZE = 256  # servers of a large pool by which its capacity is measured


class SlowStart:
    """Credit of warming servers: one request of weight 1 needs a credit of 1."""

    def __init__(self, shared: SharedState, throughput: Throughput) -> None:
        self.shared, self.throughput = shared, throughput

    def has_credit(self, now: float, server: ServerStats) -> bool:
        """Whether a server may be sent a request: it is warm, or has earned credit."""
        # Guard: all balancers together must not overload a warming server. It earns credit by its present
        # share of what is requested here per server. Its first credit is drawn, so that many quiet balancers
        # do not all send it a request at once.
        capacity_share = self.capacity_share(now, server)
        if capacity_share >= 1.0:
            return True
        # Guard: where few servers are listed, as after the loss of a zone, what is requested is many times
        # what they can do. A server that receives more than it can do fails most of it, and balancers that
        # have learned nothing else see that.
        success_factor = min(1.0, (1.0 - server.error_or_timeout_rate) / (1.0 - ACCEPTED_ERROR_RATE))
        rate = capacity_share * success_factor * self.credit_rate()
        credit = server.credit + rate * (now - server.credit_updated_ms)
        if credit >= 1.0:
            # Guard: unused credit lapses. Thirty balancers with a credit each for a server that was not
            # ready, or had a queue, sent their requests at one moment.
            excess = credit % 1.0
            unused = rate * CREDIT_EXPIRY_WINDOWS * self.shared.settings.overload_window_ms
            credit = excess + (excess <= unused)
        server.credit, server.credit_updated_ms = credit, now
        return credit >= 1.0

    def credit_rate(self) -> float:
        """Credit per ms that a warm server would earn."""
        requested = self.throughput.request_rate / max(1, len(self.shared.pool.ready))
        if not self.shared.in_large_fleet:
            return requested
        # Guard: before any completion, as where all servers warm up, the request rate is all there is.
        budget = BUDGET_SHARE * self.shared.settings.overload_factor * self.throughput.peak_completion_rate
        return max(budget, requested)

    def capacity_share(self, now: float, server: ServerStats) -> float:
        """The stated share of its capacity that a server has by now: 1 once it is warm."""
        warm_up_ms = self.shared.settings.warm_up_ms
        left_ms = server.warm_at_ms(warm_up_ms) - now
        if not left_ms > 0.0 < warm_up_ms:
            return 1.0
        return 1.0 - (1.0 - self.shared.settings.warm_up_initial_share) * min(1.0, left_ms / warm_up_ms)

    def pool_capacity(self, now: float) -> float:
        """Ready servers, a warming one by its share of capacity, a failing one by its share of successes."""
        pool = self.shared.pool
        sample = pool.sample(self.shared.rng, CAPACITY_SAMPLE_SIZE)
        if not sample:
            return self.throughput.pool_capacity
        mean = sum(self.capacity_share(now, each) * (1.0 - each.error_rate) for each in sample) / len(sample)
        return max(self.shared.settings.warm_up_initial_share, mean) * len(pool.ready)
