"""When discovery is polled."""

from random import Random

from rosewheel.policy.actions import Action, StartTimer, WatchEndpoints

# Times of polls. The longest time without a list follows from them: discovery/watch_client.py has the sum.
FIRST_INTERVAL_MS = 250.0  # half the time from a failed poll to the next one; doubled at each failure
LONGEST_INTERVAL_MS = 4000.0  # from start to start
SHORTEST_WAIT_MS = 200.0  # after a poll that took longer than the interval, or a watch that was open
MAX_DOUBLINGS = 16  # the interval is at its longest long before
WATCH_TIMER = "watch"


class DiscoveryPolling:
    """Polls discovery at once, and after each failure with exponential backoff and jitter."""

    def __init__(self, rng: Random, now: float) -> None:
        self.rng = rng
        self.failures = 0  # in a row
        self.last_poll_ms = now
        self.timer_is_set = False

    def poll(self, now: float) -> list[Action]:
        """Poll now."""
        self.last_poll_ms = now
        return [WatchEndpoints()]

    def restart(self, now: float, enabled: bool) -> list[Action]:
        """Poll another address, or begin or stop polling."""
        # Guard: failures of the old address say nothing of the new one, whose list may be needed at once.
        self.failures, self.timer_is_set = 0, False
        return self.poll(now) if enabled else []

    def on_timer(self, now: float) -> list[Action]:
        """Poll after a wait."""
        if not self.timer_is_set:  # Guard: a timer from before a restart would abort the new address's watch
            return []
        self.timer_is_set = False
        return self.poll(now)

    def on_failure(self, now: float) -> list[Action]:
        """Wait, longer after each failure so as not to overload discovery."""
        self.failures, self.timer_is_set = min(MAX_DOUBLINGS, self.failures + 1), True
        interval_ms = min(LONGEST_INTERVAL_MS, FIRST_INTERVAL_MS * 2.0**self.failures)
        wait_ms = max(SHORTEST_WAIT_MS, interval_ms - (now - self.last_poll_ms))
        return [StartTimer(wait_ms * self.rng.uniform(0.5, 1.0), WATCH_TIMER)]
