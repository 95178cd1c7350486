"""Request and completion rates, smoothed over periods."""

import math

from rosewheel.policy.shared_state import SharedState

SMOOTHING_MS = 1000.0  # time constant of the smoothed rates
PEAK_DECAY_MS = 15000.0  # time constant with which the peak completion rate falls
# Completions over which rates are smoothed in a large pool or fleet: both time constants are stretched there,
# as the peak rate over fewer completions is mostly noise.
MIN_SMOOTHED_COMPLETIONS = 40.0
MAX_STRETCH = 4.0  # largest factor by which both time constants are stretched
# Time constant with which the recent capacity falls, as a pool that lost servers still completes requests
# that were sent before the loss.
CAPACITY_DECAY_MS = 3000.0
MAX_PERIOD_COUNT = 1e9  # limit of the period counters when periods become shorter


class Throughput:
    """Rates in weight of requests per ms; in a large fleet completion rates are per warm server."""

    def __init__(self, shared: SharedState) -> None:
        self.shared = shared
        self.period_ms = shared.configured_period_ms
        self.period_count = self.rate_periods = 0  # periods since the start, and since the first completion
        self.completed_weight = self.requested_weight = 0.0  # in the present period
        self.completion_rate = self.peak_completion_rate = self.request_rate = 0.0
        # Capacity in warm servers, and its slowly falling maximum, in a large fleet; 1 otherwise.
        self.pool_capacity = self.recent_capacity = 1.0

    def end_period(self) -> None:
        """Smooth the rates over the period that ends. The pool's capacity must have been measured before."""
        stretch, in_large_fleet = 1.0, self.shared.in_large_fleet
        if in_large_fleet:
            capacity_gain = min(1.0, self.period_ms / CAPACITY_DECAY_MS)
            decayed = self.recent_capacity + capacity_gain * (self.pool_capacity - self.recent_capacity)
            self.recent_capacity = max(self.pool_capacity, decayed)
            self.completed_weight /= self.recent_capacity
        if self.shared.pool.is_large or in_large_fleet:
            completions = self.completion_rate * self.recent_capacity * SMOOTHING_MS
            stretch = min(MAX_STRETCH, max(1.0, MIN_SMOOTHED_COMPLETIONS / (completions + 1e-9)))
        gain = min(1.0, self.period_ms / (SMOOTHING_MS * stretch))
        if in_large_fleet:
            # Averages the first periods: a rate that rises slowly from 0 would cause rejections at start-up.
            self.rate_periods += self.completed_weight > 0.0 or self.rate_periods > 0
            gain = max(gain, 1.0 / max(1, self.rate_periods))
        self.completion_rate += gain * (self.completed_weight / self.period_ms - self.completion_rate)
        peak_loss = min(1.0, self.period_ms / (PEAK_DECAY_MS * stretch))
        self.peak_completion_rate = max(self.completion_rate, self.peak_completion_rate * (1.0 - peak_loss))
        self.request_rate += gain * (self.requested_weight / self.period_ms - self.request_rate)
        self.period_count += 1
        self.completed_weight = self.requested_weight = 0.0

    def adopt_configured_period(self) -> None:
        """Change the period's length to the configured one.

        Call it only at the end of a period, as the rates of a period are computed from its length.
        """
        if self.period_ms != self.shared.configured_period_ms:
            ratio = self.period_ms / self.shared.configured_period_ms
            self.period_count = math.ceil(min(MAX_PERIOD_COUNT, self.period_count * ratio))
            self.rate_periods = math.ceil(min(MAX_PERIOD_COUNT, self.rate_periods * ratio))
            self.period_ms = self.shared.configured_period_ms

    def change_capacity_unit(self, pool_capacity: float) -> None:
        """Convert completion rates to another unit.

        Args:
            pool_capacity: capacity in warm servers, by which rates are divided; 1 outside of a large fleet.
        """
        old_capacity = self.pool_capacity
        self.pool_capacity = self.recent_capacity = pool_capacity
        self.completion_rate = self.completion_rate * old_capacity / pool_capacity
        self.peak_completion_rate = self.peak_completion_rate * old_capacity / pool_capacity
        self.restart_smoothing(1.0 if self.completion_rate > 0.0 else 0.0)

    def restart_smoothing(self, share: float) -> None:
        """In a large fleet, set the weight of the present rates against those of later periods.

        Args:
            share: from 0 for no weight to 1 for the weight of rates smoothed over the longest time constant.
        """
        if self.shared.in_large_fleet:
            self.rate_periods = int(share * MAX_STRETCH * SMOOTHING_MS / self.period_ms)
