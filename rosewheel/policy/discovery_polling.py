"""Schedule of discovery polls."""

from random import Random

from rosewheel.policy.actions import Action, StartTimer, WatchEndpoints

# The longest time without an endpoint list follows from these: see rosewheel/discovery/watch_client.py.
BASE_INTERVAL_MS = 250.0  # half of the interval after the first failure; doubled at each failure
MAX_INTERVAL_MS = 4000.0  # longest interval between the starts of two polls
MIN_WAIT_MS = 200.0  # shortest wait before jitter, after a poll or watch that outlasted the interval
MAX_DOUBLINGS = 16  # bounds the exponent; MAX_INTERVAL_MS is reached before
WATCH_TIMER = "watch"


class DiscoveryPolling:
    """Polls discovery at once, and after a failure with exponential backoff and jitter."""

    def __init__(self, rng: Random, now: float) -> None:
        self.rng = rng
        self.failures = 0  # consecutive failed polls
        self.last_poll_ms = now
        self.timer_is_set = False

    def poll(self, now: float) -> list[Action]:
        """Poll now."""
        self.last_poll_ms = now
        return [WatchEndpoints()]

    def restart(self, now: float, enabled: bool) -> list[Action]:
        """Forget failures and poll at once, or stop polling if it is not enabled."""
        # Failures at the old address do not matter at the new one, whose list may be needed at once.
        self.failures, self.timer_is_set = 0, False
        return self.poll(now) if enabled else []

    def on_timer(self, now: float) -> list[Action]:
        """Poll when the backoff is over."""
        if not self.timer_is_set:  # a timer set before a restart would abort the watch at the new address
            return []
        self.timer_is_set = False
        return self.poll(now)

    def on_failure(self, now: float) -> list[Action]:
        """Set a timer with exponential backoff and jitter, so as not to overload discovery."""
        self.failures, self.timer_is_set = min(MAX_DOUBLINGS, self.failures + 1), True
        interval_ms = min(MAX_INTERVAL_MS, BASE_INTERVAL_MS * 2.0**self.failures)
        wait_ms = max(MIN_WAIT_MS, interval_ms - (now - self.last_poll_ms))
        return [StartTimer(wait_ms * self.rng.uniform(0.5, 1.0), WATCH_TIMER)]
