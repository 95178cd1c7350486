"""How long connections to servers may stay idle: decided without I/O. Times are seconds of one clock.

Two observations shorten the time: a connection that turned out to be closed when it was reused, and a server that
rejected the first request on a new connection, which may be a sign of too many connections. Both are relaxed again
as long as they do not repeat.
"""

from __future__ import annotations

import math

CONFIGURED_SHARE = (
    0.8  # of the time after which servers may close a connection: it is closed here before that
)
STALE_SHARE = 0.5  # of the idle time of a stale connection: the next ones are not reused after so long
MIN_STALE_LIMIT_S = 0.02  # the least that stale connections reduce the limit to
RELAX_INTERVAL_S = 20.0  # after each such interval without another observation, a limit is doubled
# Idle connections of many nodes add up at each server. Where a server holds no more connections, idle ones of nodes
# that hardly need them lock out all others: service fell to a quarter while servers had little to do.
REFUSAL_SHARE = 0.5  # of the limit remains after a rejected new connection
REFUSAL_INTERVAL_S = 0.5  # the limit is reduced at most once in this time, because many are rejected together
MIN_REFUSAL_LIMIT_S = (
    0.5  # the least that rejections reduce the limit to: a new connection costs its server work
)


class IdleTimeout:
    """The idle timeout of one process.

    Args:
        idle_timeout_s: How long servers keep an idle connection open.
        large_fleet: Whether so many nodes share the servers that their idle connections add up.

    Attributes:
        configured_s: The limit by configuration.
        stale_limit_s: The limit by stale connections; infinite without any.
        stale_changed_at_s: When that limit was last changed or confirmed.
        refusal_limit_s: The limit by rejected new connections; infinite without any.
        refusal_changed_at_s: When that limit was last changed.
    """

    def __init__(self, idle_timeout_s: float, large_fleet: bool) -> None:
        self.configured_s = idle_timeout_s * CONFIGURED_SHARE
        self.large_fleet = large_fleet
        self.stale_limit_s = math.inf
        self.stale_changed_at_s = 0.0
        self.refusal_limit_s = math.inf
        self.refusal_changed_at_s = -math.inf

    def configure(self, idle_timeout_s: float, large_fleet: bool) -> None:
        """Apply another configuration; limits by observation stay where they still apply."""
        self.configured_s, self.large_fleet = idle_timeout_s * CONFIGURED_SHARE, large_fleet
        if not large_fleet:
            self.refusal_limit_s = math.inf

    @property
    def close_after_s(self) -> float:
        """An idle connection is closed after this time."""
        return min(self.configured_s, self.stale_limit_s, self.refusal_limit_s)

    @property
    def reusable_for_s(self) -> float:
        """A connection is not reused after this idle time, even if it has not been closed yet.

        Guards requests where servers close connections early: the sweep that closes them would be too late.
        """
        return min(self.configured_s, self.stale_limit_s)

    def stale_connection_found(self, now: float, idle_s: float) -> bool:
        """A connection that had been idle for `idle_s` was closed already when a request was sent on it.

        Guards requests that must not be repeated. The cost is more new connections than needed, until it is relaxed.

        Returns:
            Whether the limit became shorter.
        """
        self.stale_changed_at_s = now
        limit_s = max(MIN_STALE_LIMIT_S, idle_s * STALE_SHARE)
        if limit_s >= self.stale_limit_s:
            return False
        self.stale_limit_s = limit_s
        return True

    def new_connection_refused(self, now: float) -> None:
        """The first request of a new connection was rejected: its server may hold all the connections that it can.

        An overloaded or draining server does the same; then this costs a few handshakes.
        """
        if self.large_fleet and now - self.refusal_changed_at_s >= REFUSAL_INTERVAL_S:
            limit_s = min(self.refusal_limit_s, self.configured_s) * REFUSAL_SHARE
            self.refusal_limit_s = max(MIN_REFUSAL_LIMIT_S, limit_s)
            self.refusal_changed_at_s = now

    def relax(self, now: float) -> None:
        """Double the limits that were not confirmed lately; to be called periodically."""
        if self.stale_limit_s < self.configured_s and now - self.stale_changed_at_s >= RELAX_INTERVAL_S:
            self.stale_limit_s, self.stale_changed_at_s = self.stale_limit_s * 2.0, now
        if self.refusal_limit_s < self.configured_s and now - self.refusal_changed_at_s >= RELAX_INTERVAL_S:
            self.refusal_limit_s, self.refusal_changed_at_s = self.refusal_limit_s * 2.0, now

    def restore_stale_limit(self, now: float, stale_limit_s: float) -> None:
        """Restore the limit that an earlier process had observed; it is relaxed like one of this process."""
        if stale_limit_s < self.stale_limit_s:
            self.stale_limit_s, self.stale_changed_at_s = max(MIN_STALE_LIMIT_S, stale_limit_s), now
