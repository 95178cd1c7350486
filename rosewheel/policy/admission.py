"""Admission control: compares the pool's weight in flight with thresholds from the cursor table.

The weight in flight is the sum of the weights of the requests that servers are working on. A row of the table
serves a range of priorities. T1 is the threshold of a row while the cursor is at the left end of the table.
"""

import math

from rosewheel.policy.events import RequestReceived
from rosewheel.policy.pool import SMALL_POOL_SIZE
from rosewheel.policy.pool_load import PoolLoad
from rosewheel.policy.quotas import Quotas
from rosewheel.policy.settings import ServiceClass
from rosewheel.policy.shared_state import SharedState

RETRY_PRIORITY_FACTOR = 0.5  # priority of a request marked as a retry, relative to its class
HALVINGS_TO_LOWEST_ROW = 4.0  # the lowest row serves priorities of at most 2 ** -4; the highest priority is 1
MIN_PRIORITY = 1e-6  # keeps the logarithm finite
LOWEST_ROW_GAP = 0.25  # share by which T1 of the lowest row is below T1 of the highest
# The same gap in a large fleet whose pool has lost half its capacity or more. Each balancer has few requests
# in flight then, and rows that differ by less than one request would shed high and low priority alike.
LOWEST_ROW_GAP_IN_LARGE_FLEET = 0.6
# Exponent of the table's entry in the highest row. It is 1 in the lowest, so low priority is shed first.
HIGHEST_ROW_EXPONENT = 0.5
# T1 is the weight that completes within the baseline latency plus a share of the time left to the objective.
LATENCY_SLACK = 0.30
LATENCY_SLACK_IN_LARGE_FLEET = 0.15
MARGIN_DEVIATIONS = 2.0  # standard deviations added to T1, as the load of small pools varies more
START_UP_MS = 3000.0  # time until completion rates are measured reliably
# Lower bounds of T1, as weight in flight. Those per ready server are divided among all balancers.
MIN_T1_PER_SERVER_AT_START = 7.0
MIN_T1_PER_SERVER = 4.0
MIN_T1_PER_SERVER_BELOW_FIRST_TIER = 1.0  # per ready server and balancer
MIN_T1 = 8.0  # per balancer
DEFAULT_BASELINE_RATIO = 0.5  # baseline latency / objective until one has been learned


class Admission:
    """Compares the pool's weight in flight with the table's entry for a request."""

    def __init__(self, shared: SharedState, pool_load: PoolLoad, quotas: Quotas) -> None:
        self.shared, self.pool_load, self.quotas = shared, pool_load, quotas

    def admits(self, now: float, request: RequestReceived, service_class: ServiceClass) -> bool:
        """Return whether the weight in flight is within the threshold of a request."""
        ready = self.shared.pool.ready
        load = sum(each.load for each in ready) if len(ready) <= SMALL_POOL_SIZE else self.shared.pool.load
        # A random fraction is added: with few requests in flight a threshold lies between two whole counts,
        # and comparing whole counts would admit all requests or none.
        dithered_load = load + self.shared.rng.random()
        return dithered_load <= self.threshold(self.priority(now, request, service_class), len(ready))

    def priority(self, now: float, request: RequestReceived, service_class: ServiceClass) -> float:
        """Return the priority of a request, up to 1, and take a token from its tenant's quota."""
        priority = service_class.priority_weight / self.shared.highest_priority_weight
        if request.is_retry:
            priority *= RETRY_PRIORITY_FACTOR
        if self.shared.settings.tier == 0 and self.quotas.exceeded(request.tenant, now):
            priority *= self.shared.settings.over_quota_weight
        return priority

    def threshold(self, priority: float, ready: int) -> float:
        """Return the largest weight in flight at which a request is admitted.

        Args:
            priority: the request's priority, up to 1.
            ready: number of ready servers.
        """
        halvings = -math.log2(max(priority, MIN_PRIORITY))
        row = min(1.0, max(0.0, halvings / HALVINGS_TO_LOWEST_ROW))  # 0: the highest row, 1: the lowest
        t1 = self._highest_row_t1(ready) * (1.0 - self._lowest_row_gap(ready) * row)
        exponent = HIGHEST_ROW_EXPONENT + (1.0 - HIGHEST_ROW_EXPONENT) * row
        return t1 * math.pow(self.pool_load.table.entry, exponent)

    def _highest_row_t1(self, ready: int) -> float:
        settings, in_large_fleet = self.shared.settings, self.shared.in_large_fleet
        rates, learned_ratio = self.pool_load.throughput, self.pool_load.baseline_ratio
        baseline = DEFAULT_BASELINE_RATIO if learned_ratio is None else learned_ratio
        slack = LATENCY_SLACK_IN_LARGE_FLEET if in_large_fleet else LATENCY_SLACK
        # T1 follows the pool's present capacity: latency shows the replacement of most servers only seconds
        # later, when the warm ones are already overloaded.
        t1 = rates.pool_capacity * rates.peak_completion_rate * self.pool_load.mean_objective_ms
        t1 *= baseline + slack * (1.0 - baseline)
        starting_up = rates.period_count * rates.period_ms < START_UP_MS
        per_server = (
            MIN_T1_PER_SERVER_AT_START if starting_up else MIN_T1_PER_SERVER
        ) / settings.balancer_count
        if settings.tier > 0:  # a rejection below the first tier wastes the work done above it
            per_server = max(per_server, MIN_T1_PER_SERVER_BELOW_FIRST_TIER)
        minimum = ready * per_server
        if starting_up and in_large_fleet:  # clients are spread unevenly over many balancers
            minimum += MARGIN_DEVIATIONS * math.sqrt(minimum)
        # The load of a large pool varies with the requests of all balancers, which share its margin.
        balancers = settings.balancer_count if self.shared.pool.is_large else 1
        return max(MIN_T1, minimum, t1 + MARGIN_DEVIATIONS * math.sqrt(t1 / balancers))

    def _lowest_row_gap(self, ready: int) -> float:
        gap = LOWEST_ROW_GAP
        if self.shared.in_large_fleet and ready:
            # A loss of 1 stands for half of the capacity.
            loss = 2.0 * max(0.0, 1.0 - self.pool_load.throughput.pool_capacity / ready)
            gap += (LOWEST_ROW_GAP_IN_LARGE_FLEET - LOWEST_ROW_GAP) * min(1.0, loss)
        return gap
