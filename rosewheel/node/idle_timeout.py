"""Idle timeout of connections to servers. No I/O. Times are seconds of one clock.

Two observations shorten the configured timeout: a reused connection turns out to be closed, or a server rejects the
first request on a new connection, possibly because it has too many connections. Each limit is doubled after every
`RELAX_INTERVAL_S` in which its observation did not repeat.
"""

from __future__ import annotations

import math

CONFIGURED_SHARE = 0.8  # share of the servers' idle timeout, so that this side closes connections first
STALE_SHARE = 0.5  # share of the idle time of a stale connection that becomes the limit
MIN_STALE_LIMIT_S = 0.02  # lower bound of the limit set by stale connections
RELAX_INTERVAL_S = 20.0  # time without another observation after which a limit is doubled
# The idle connections of many nodes add up at each server. Once a server reaches its limit of connections, idle ones of
# nodes that hardly use them lock out other nodes: service fell to a quarter while the servers had little to do.
REJECTION_SHARE = 0.5  # share of the limit that remains after a rejection
REJECTION_INTERVAL_S = 0.5  # shortest time between two reductions; many connections are rejected at once
MIN_REJECTION_LIMIT_S = 0.5  # lower bound of the limit set by rejections; new connections cost servers work


class IdleTimeout:
    """Idle timeout of the connections of one process.

    Args:
        idle_timeout_s: Time that servers keep an idle connection open.
        large_fleet: True if many nodes share the servers, so that rejections shorten the timeout.

    Attributes:
        configured_s: Limit set by the configuration.
        large_fleet: True if many nodes share the servers.
        stale_limit_s: Limit set by stale connections; infinite without any.
        stale_changed_at_s: When `stale_limit_s` was last changed or confirmed.
        rejection_limit_s: Limit set by rejections on new connections; infinite without any.
        rejection_changed_at_s: When `rejection_limit_s` was last changed.
    """

    def __init__(self, idle_timeout_s: float, large_fleet: bool) -> None:
        self.configured_s = idle_timeout_s * CONFIGURED_SHARE
        self.large_fleet = large_fleet
        self.stale_limit_s = math.inf
        self.stale_changed_at_s = 0.0
        self.rejection_limit_s = math.inf
        self.rejection_changed_at_s = -math.inf

    def configure(self, idle_timeout_s: float, large_fleet: bool) -> None:
        """Apply a new configuration. The limit set by rejections is kept only in a large fleet."""
        self.configured_s, self.large_fleet = idle_timeout_s * CONFIGURED_SHARE, large_fleet
        if not large_fleet:
            self.rejection_limit_s = math.inf

    @property
    def close_after_s(self) -> float:
        """Idle time after which a connection is closed."""
        return min(self.configured_s, self.stale_limit_s, self.rejection_limit_s)

    @property
    def reusable_for_s(self) -> float:
        """Idle time after which a connection is not reused, even if it has not been closed yet.

        It prevents requests on connections that a server closed early, between two sweeps that close idle connections.
        """
        return min(self.configured_s, self.stale_limit_s)

    def stale_connection_found(self, now: float, idle_s: float) -> bool:
        """Reduce the limit, because a connection that had been idle for `idle_s` was closed when it was reused.

        A request that must not be repeated fails on such a connection. The cost of the shorter limit is that more
        connections are opened than necessary until it is relaxed.

        Returns:
            True if the limit became shorter.
        """
        self.stale_changed_at_s = now
        limit_s = max(MIN_STALE_LIMIT_S, idle_s * STALE_SHARE)
        if limit_s >= self.stale_limit_s:
            return False
        self.stale_limit_s = limit_s
        return True

    def new_connection_rejected(self, now: float) -> None:
        """Reduce the limit, because a server rejected the first request on a new connection.

        The server may have reached its limit of connections. It may also be overloaded or draining; in that case the
        shorter limit costs a few handshakes.
        """
        if self.large_fleet and now - self.rejection_changed_at_s >= REJECTION_INTERVAL_S:
            limit_s = min(self.rejection_limit_s, self.configured_s) * REJECTION_SHARE
            self.rejection_limit_s = max(MIN_REJECTION_LIMIT_S, limit_s)
            self.rejection_changed_at_s = now

    def relax(self, now: float) -> None:
        """Double the limits whose observation has not repeated within `RELAX_INTERVAL_S`. Called periodically."""
        if self.stale_limit_s < self.configured_s and now - self.stale_changed_at_s >= RELAX_INTERVAL_S:
            self.stale_limit_s, self.stale_changed_at_s = self.stale_limit_s * 2.0, now
        if (
            self.rejection_limit_s < self.configured_s
            and now - self.rejection_changed_at_s >= RELAX_INTERVAL_S
        ):
            self.rejection_limit_s, self.rejection_changed_at_s = self.rejection_limit_s * 2.0, now

    def restore_stale_limit(self, now: float, stale_limit_s: float) -> None:
        """Restore the limit set by stale connections of an earlier process, unless the current one is shorter."""
        if stale_limit_s < self.stale_limit_s:
            self.stale_limit_s, self.stale_changed_at_s = max(MIN_STALE_LIMIT_S, stale_limit_s), now
