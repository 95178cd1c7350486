"""How long a connection to a server may rest: a decision without I/O. Times are seconds of one clock."""

from __future__ import annotations

import math

IDLE_SHARE = 0.8  # a connection is closed after this share of the time in which its server may close it
STALE_SHARE = 0.5  # connections that have rested for this share of the time that one was too long
STALE_LEAST_S = 0.02  # are not used again, but for no less than this,
FORGET_S = 20.0  # and each time this long passes without such a reset, or refusal, twice as long
# What many nodes keep for later adds up at each server: at one that holds no more connections, idle ones of
# nodes that hardly need them shut out all others: service fell to a quarter while servers had little to do.
CROWDED_SHARE = (
    0.5  # a refused new connection leaves this share of the time, everywhere: the others are told too
)
CROWDED_EACH_S = 0.5  # no more often than this, since many are refused at once,
CROWDED_LEAST_S = 0.5  # and no less: a new connection is work for its server


class Rest:
    """Of one process. `crowds`: enough nodes share its servers for their idle connections to add up."""

    def __init__(self, idle_s: float, crowds: bool) -> None:
        self.longest_s = idle_s * IDLE_SHARE
        self.crowds = crowds
        self.usable_s = math.inf  # one that has rested for longer may be stale, by what resets have taught
        self.taught_s = 0.0  # when they last did, or when a part of it was last forgotten
        self.kept_s = math.inf  # one that has rested for longer is given back, by what refusals have taught
        self.refused_s = -math.inf  # the same of these

    def configure(self, idle_s: float, crowds: bool) -> None:
        """Of the same process with another configuration: what was taught stays, but for what no longer applies."""
        self.longest_s, self.crowds = idle_s * IDLE_SHARE, crowds
        if not crowds:
            self.kept_s = math.inf

    @property
    def limit_s(self) -> float:
        """A connection that has rested for so long is closed."""
        return min(self.longest_s, self.usable_s, self.kept_s)

    @property
    def reusable_s(self) -> float:
        """One that has rested for so long carries nothing more, whether or not it has been closed yet: where
        servers close theirs soon, the time until that is done would be too long."""
        return min(self.longest_s, self.usable_s)

    def stale(self, now: float, rested_s: float) -> bool:
        """A connection that had rested for so long was of no use, and only the request found out. Guards what
        must not be repeated. Harm: more new connections than there need be, until that is forgotten. Returns
        whether it is news."""
        self.taught_s = now
        limit = max(STALE_LEAST_S, rested_s * STALE_SHARE)
        if limit >= self.usable_s:
            return False
        self.usable_s = limit
        return True

    def refused(self, now: float) -> None:
        """A new connection's first request was turned away: its server may hold all the connections that it can.
        Harm: one that is full or leaves does the same, and costs a few handshakes."""
        if self.crowds and now - self.refused_s >= CROWDED_EACH_S:
            self.kept_s = max(CROWDED_LEAST_S, min(self.kept_s, self.longest_s) * CROWDED_SHARE)
            self.refused_s = now

    def forget(self, now: float) -> None:
        """To be called now and then."""
        if self.usable_s < self.longest_s and now - self.taught_s >= FORGET_S:
            self.usable_s, self.taught_s = self.usable_s * 2.0, now
        if self.kept_s < self.longest_s and now - self.refused_s >= FORGET_S:
            self.kept_s, self.refused_s = self.kept_s * 2.0, now

    def recall(self, now: float, usable_s: float) -> None:
        """What an earlier process had been taught of connections that go stale; forgotten like one's own."""
        if usable_s < self.usable_s:
            self.usable_s, self.taught_s = max(STALE_LEAST_S, usable_s), now
