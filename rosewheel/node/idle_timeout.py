"""How long a connection to a server may rest: a decision without I/O. Times are seconds of one clock."""

from __future__ import annotations

import math

CONFIGURED_SHARE = 0.8  # a connection is closed after this share of the time in which its server may close it
STALE_SHARE = 0.5  # connections that have rested for this share of the time that one was too long
MIN_STALE_LIMIT_S = 0.02  # are not used again, but for no less than this,
RELAX_INTERVAL_S = 20.0  # and each time this long passes without such a reset, or refusal, twice as long
# What many nodes keep for later adds up at each server: at one that holds no more connections, idle ones of
# nodes that hardly need them shut out all others: service fell to a quarter while servers had little to do.
REFUSAL_SHARE = (
    0.5  # a refused new connection leaves this share of the time, everywhere: the others are told too
)
REFUSAL_INTERVAL_S = 0.5  # no more often than this, since many are refused at once,
MIN_REFUSAL_LIMIT_S = 0.5  # and no less: a new connection is work for its server


class IdleTimeout:
    """Of one process. `crowds`: enough nodes share its servers for their idle connections to add up."""

    def __init__(self, idle_timeout_s: float, large_fleet: bool) -> None:
        self.configured_s = idle_timeout_s * CONFIGURED_SHARE
        self.large_fleet = large_fleet
        self.stale_limit_s = (
            math.inf
        )  # one that has rested for longer may be stale, by what resets have taught
        self.stale_changed_at_s = 0.0  # when they last did, or when a part of it was last forgotten
        self.refusal_limit_s = (
            math.inf
        )  # one that has rested for longer is given back, by what refusals have taught
        self.refusal_changed_at_s = -math.inf  # the same of these

    def configure(self, idle_timeout_s: float, large_fleet: bool) -> None:
        """Of the same process with another configuration: what was taught stays, but for what no longer applies."""
        self.configured_s, self.large_fleet = idle_timeout_s * CONFIGURED_SHARE, large_fleet
        if not large_fleet:
            self.refusal_limit_s = math.inf

    @property
    def close_after_s(self) -> float:
        """A connection that has rested for so long is closed."""
        return min(self.configured_s, self.stale_limit_s, self.refusal_limit_s)

    @property
    def reusable_for_s(self) -> float:
        """One that has rested for so long carries nothing more, whether or not it has been closed yet: where
        servers close theirs soon, the time until that is done would be too long."""
        return min(self.configured_s, self.stale_limit_s)

    def stale_connection_found(self, now: float, idle_s: float) -> bool:
        """A connection that had rested for so long was of no use, and only the request found out. Guards what
        must not be repeated. Harm: more new connections than there need be, until that is forgotten. Returns
        whether it is news."""
        self.stale_changed_at_s = now
        limit = max(MIN_STALE_LIMIT_S, idle_s * STALE_SHARE)
        if limit >= self.stale_limit_s:
            return False
        self.stale_limit_s = limit
        return True

    def new_connection_refused(self, now: float) -> None:
        """A new connection's first request was turned away: its server may hold all the connections that it can.
        Harm: one that is full or leaves does the same, and costs a few handshakes."""
        if self.large_fleet and now - self.refusal_changed_at_s >= REFUSAL_INTERVAL_S:
            self.refusal_limit_s = max(
                MIN_REFUSAL_LIMIT_S, min(self.refusal_limit_s, self.configured_s) * REFUSAL_SHARE
            )
            self.refusal_changed_at_s = now

    def relax(self, now: float) -> None:
        """To be called now and then."""
        if self.stale_limit_s < self.configured_s and now - self.stale_changed_at_s >= RELAX_INTERVAL_S:
            self.stale_limit_s, self.stale_changed_at_s = self.stale_limit_s * 2.0, now
        if self.refusal_limit_s < self.configured_s and now - self.refusal_changed_at_s >= RELAX_INTERVAL_S:
            self.refusal_limit_s, self.refusal_changed_at_s = self.refusal_limit_s * 2.0, now

    def restore_stale_limit(self, now: float, stale_limit_s: float) -> None:
        """What an earlier process had been taught of connections that go stale; forgotten like one's own."""
        if stale_limit_s < self.stale_limit_s:
            self.stale_limit_s, self.stale_changed_at_s = max(MIN_STALE_LIMIT_S, stale_limit_s), now
