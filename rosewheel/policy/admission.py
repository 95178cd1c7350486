"""Admission of a request by its row of the cursor table: thresholds of the weight in flight."""

import math

from rosewheel.policy.events import RequestReceived
from rosewheel.policy.pool import SMALL_POOL_SIZE
from rosewheel.policy.pool_load import PoolLoad
from rosewheel.policy.quotas import Quotas
from rosewheel.policy.settings import ServiceClass
from rosewheel.policy.shared_state import SharedState

# Rows, by priority: 1 is the highest of all classes.
RETRY_PRIORITY_FACTOR = 0.5  # of its class's priority that a request marked as a retry has
HALVINGS_TO_LOWEST_ROW = 4.0  # of the highest priority
MIN_PRIORITY = 1e-6  # guards the logarithm
LOWEST_ROW_GAP = 0.25  # the lowest row's T1 is lower by this share
# What the gap grows to in a pool at half its capacity. Of a few requests in flight at each of many balancers
# a tenth less is less than one: high priority was rejected nearly as often as low.
LOWEST_ROW_GAP_IN_LARGE_FLEET = 0.6
HIGHEST_ROW_EXPONENT = 0.5  # of the table's shape; 1 in the lowest row: low priority is shed first
# T1 in weight: what completes in the baseline latency plus this share of what is left to the objective.
LATENCY_SLACK = 0.30
LATENCY_SLACK_IN_LARGE_FLEET = 0.15
MARGIN_DEVIATIONS = 2.0  # and this many square roots, for chance: small pools vary more
START_UP_MS = 3000.0  # until rates are known
# Least T1 per ready server, over all balancers, during start-up and later.
MIN_T1_PER_SERVER_AT_START = 7.0
MIN_T1_PER_SERVER = 4.0
MIN_T1_PER_SERVER_BELOW_FIRST_TIER = 1.0  # from this balancer alone
MIN_T1 = 8.0  # of this balancer alone
DEFAULT_BASELINE_RATIO = 0.5  # in place of a baseline that is not known yet


class Admission:
    """Compares the pool's weight in flight with the table's entry for a request."""

    def __init__(self, shared: SharedState, pool_load: PoolLoad, quotas: Quotas) -> None:
        self.shared, self.pool_load, self.quotas = shared, pool_load, quotas

    def admits(self, now: float, request: RequestReceived, service_class: ServiceClass) -> bool:
        """Whether a request meets no threshold."""
        ready = self.shared.pool.ready
        load = sum(each.load for each in ready) if len(ready) <= SMALL_POOL_SIZE else self.shared.pool.load
        # Guard: with few requests in flight an entry lies between two counts, and whole counts can't shed a
        # share. A random part of one makes the average the entry itself.
        drawn = load + self.shared.rng.random()
        return drawn <= self.threshold(self.priority(now, request, service_class), len(ready))

    def priority(self, now: float, request: RequestReceived, service_class: ServiceClass) -> float:
        """Priority of a request, up to 1; uses a token of its tenant's quota."""
        priority = service_class.priority_weight / self.shared.highest_priority_weight
        if request.is_retry:
            priority *= RETRY_PRIORITY_FACTOR
        if self.shared.settings.tier == 0 and self.quotas.exceeded(request.tenant, now):
            priority *= self.shared.settings.over_quota_weight
        return priority

    def threshold(self, priority: float, ready: int) -> float:
        """The table's entry at the cursor in the row of this priority, with so many servers ready."""
        halvings = -math.log2(max(priority, MIN_PRIORITY))
        row = min(1.0, max(0.0, halvings / HALVINGS_TO_LOWEST_ROW))  # 0: the highest row, 1: the lowest
        first = self._highest_row_t1(ready) * (1.0 - self._lowest_row_gap(ready) * row)
        exponent = HIGHEST_ROW_EXPONENT + (1.0 - HIGHEST_ROW_EXPONENT) * row
        return first * math.pow(self.pool_load.table.entry, exponent)

    def _highest_row_t1(self, ready: int) -> float:
        """T1 of the highest row."""
        settings, in_large_fleet = self.shared.settings, self.shared.in_large_fleet
        rates, known = self.pool_load.throughput, self.pool_load.baseline_ratio
        baseline = DEFAULT_BASELINE_RATIO if known is None else known
        # Guard: a pool of which most is replaced can do less at once. Latency shows it seconds later, when
        # the warm servers are overloaded.
        slack = LATENCY_SLACK_IN_LARGE_FLEET if in_large_fleet else LATENCY_SLACK
        first = rates.pool_capacity * rates.peak_completion_rate * self.pool_load.mean_objective_ms
        first *= baseline + slack * (1.0 - baseline)
        starts_up = rates.period_count * rates.period_ms < START_UP_MS
        per_server = (
            MIN_T1_PER_SERVER_AT_START if starts_up else MIN_T1_PER_SERVER
        ) / settings.balancer_count
        if settings.tier > 0:  # Guard: a rejection below the first tier wastes the work done above it
            per_server = max(per_server, MIN_T1_PER_SERVER_BELOW_FIRST_TIER)
        least = ready * per_server
        if starts_up and in_large_fleet:  # clients are spread unevenly, and a balancer's part is small
            least += MARGIN_DEVIATIONS * math.sqrt(least)
        # The chance of a large pool is that of all its balancers together, and each has its part in it.
        sharing = settings.balancer_count if self.shared.pool.is_large else 1
        return max(MIN_T1, least, first + MARGIN_DEVIATIONS * math.sqrt(first / sharing))

    def _lowest_row_gap(self, ready: int) -> float:
        gap = LOWEST_ROW_GAP
        if self.shared.in_large_fleet and ready:
            lost = 2.0 * max(0.0, 1.0 - self.pool_load.throughput.pool_capacity / ready)
            gap += (LOWEST_ROW_GAP_IN_LARGE_FLEET - LOWEST_ROW_GAP) * min(1.0, lost)
        return gap
