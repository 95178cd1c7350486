"""Rates of requests and of completions, smoothed over periods."""

import math

from rosewheel.policy.shared_state import SharedState

SMOOTHING_MS = 1000.0  # of the rates
PEAK_DECAY_MS = 15000.0  # how slowly the peak of the completion rate falls
# In a large pool a balancer of many completes little, and the peak of a rate by few is chance: a lucky one
# took the requests that others shed. Both times are longer there, until this many completions are smoothed
# over.
MIN_SMOOTHED_COMPLETIONS = 40.0
MAX_STRETCH = 4.0  # of both times
CAPACITY_DECAY_MS = 3000.0  # requests that a weaker pool completes were sent in part while it was stronger
MAX_PERIOD_COUNT = 1e9  # limit of the counters where periods become shorter


class Throughput:
    """Weight of requests per ms. In a large fleet completion rates are per warm server."""

    def __init__(self, shared: SharedState) -> None:
        self.shared = shared
        self.period_ms = shared.configured_period_ms
        self.period_count = self.rate_periods = 0  # since the start, and since the first completion
        self.completed_weight = self.requested_weight = 0.0  # in this period
        self.completion_rate = self.peak_completion_rate = self.request_rate = 0.0
        # Ready servers, counted as warm ones, now and falling slowly, in a large fleet; 1 elsewhere.
        self.pool_capacity = self.recent_capacity = 1.0

    def end_period(self) -> None:
        """Smooth the rates; the pool's capacity has been measured before."""
        stretch, in_large_fleet = 1.0, self.shared.in_large_fleet
        if in_large_fleet:
            fade = min(1.0, self.period_ms / CAPACITY_DECAY_MS)
            faded = self.recent_capacity + fade * (self.pool_capacity - self.recent_capacity)
            self.recent_capacity = max(self.pool_capacity, faded)
            self.completed_weight /= self.recent_capacity
        if self.shared.pool.is_large or in_large_fleet:
            completions = self.completion_rate * self.recent_capacity * SMOOTHING_MS
            stretch = min(MAX_STRETCH, max(1.0, MIN_SMOOTHED_COMPLETIONS / (completions + 1e-9)))
        gain = min(1.0, self.period_ms / (SMOOTHING_MS * stretch))
        if in_large_fleet:
            # Guard: a rate smoothed for so long, from 0, had a balancer reject after its first seconds.
            self.rate_periods += self.completed_weight > 0.0 or self.rate_periods > 0
            gain = max(gain, 1.0 / max(1, self.rate_periods))
        self.completion_rate += gain * (self.completed_weight / self.period_ms - self.completion_rate)
        peak_loss = min(1.0, self.period_ms / (PEAK_DECAY_MS * stretch))
        self.peak_completion_rate = max(self.completion_rate, self.peak_completion_rate * (1.0 - peak_loss))
        self.request_rate += gain * (self.requested_weight / self.period_ms - self.request_rate)
        self.period_count += 1
        self.completed_weight = self.requested_weight = 0.0

    def adopt_configured_period(self) -> None:
        """Change the period's length; only at its end, since its rates are by its length."""
        if self.period_ms != self.shared.configured_period_ms:
            ratio = self.period_ms / self.shared.configured_period_ms
            self.period_count = math.ceil(min(MAX_PERIOD_COUNT, self.period_count * ratio))
            self.rate_periods = math.ceil(min(MAX_PERIOD_COUNT, self.rate_periods * ratio))
            self.period_ms = self.shared.configured_period_ms

    def change_capacity_unit(self, pool_capacity: float) -> None:
        """State the rates per warm server of a pool of this capacity; 1 outside of a large fleet."""
        old_capacity = self.pool_capacity
        self.pool_capacity = self.recent_capacity = pool_capacity
        self.completion_rate = self.completion_rate * old_capacity / pool_capacity
        self.peak_completion_rate = self.peak_completion_rate * old_capacity / pool_capacity
        self.restart_smoothing(1.0 if self.completion_rate > 0.0 else 0.0)

    def restart_smoothing(self, share: float) -> None:
        """Give known rates this share of the weight that rates have after all periods of the smoothing."""
        if self.shared.in_large_fleet:
            self.rate_periods = int(share * MAX_STRETCH * SMOOTHING_MS / self.period_ms)
