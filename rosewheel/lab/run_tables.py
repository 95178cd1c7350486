"""Tables of a scenario file about the run: clients, nodes, discovery and the rules that nodes are told."""

from __future__ import annotations

import math
from typing import Annotated

from msgspec import Meta

from rosewheel.config.errors import InvalidValueError
from rosewheel.lab.tables import (
    Count,
    NonNegative,
    Positive,
    Range,
    Share,
    Table,
)


class ClientsTable(
    Table,
    frozen=True,
    kw_only=True,
    rename={
        "attempt_timeout_share": "try_share",
        "retry_after_share": "honour",
        "new_connection_share": "new_connection",
    },
):
    """The clients: open-loop arrivals and their retries.

    Attributes:
        shape: points `[part of the run, factor of the rate]`, joined by straight lines.
        burst_cv: coefficient of variation of the rate, from one interval of `burst_ms` to the next.
        attempt_timeout_share: part of the class's deadline after which a client abandons an attempt.
        backoff_ms: delay before the first retry; it doubles with each further one.
        retry_after_share: share of the clients that wait as long as Retry-After demands.
        new_connection_share: share of the requests that are sent on a connection of their own.
    """

    rate_per_s: Positive
    shape: tuple[tuple[float, float], ...] = ()
    burst_cv: NonNegative = 0.0
    burst_ms: Positive = 100.0
    retries: Annotated[int, Meta(ge=0, le=10)] = 2
    attempt_timeout_share: Range = (0.5, 0.8)
    backoff_ms: Range = (120.0, 1000.0)
    retry_after_share: Range = 0.85
    new_connection_share: Share = 0.0

    def __post_init__(self) -> None:
        self._check_ranges("attempt_timeout_share", "backoff_ms", "retry_after_share")
        if any(not (0.0 <= at <= 1.0 and 0.0 <= factor < math.inf) for at, factor in self.shape):
            raise InvalidValueError("shape", "a part of the run outside 0 to 1, or a factor below zero")
        if any(a[0] >= b[0] for a, b in zip(self.shape, self.shape[1:], strict=False)):
            raise InvalidValueError("shape", "points that do not follow one another")
        if self.shape and not any(factor > 0 for _, factor in self.shape):
            raise InvalidValueError("shape", "no point is above zero: nobody would ask anything")


class NodesTable(
    Table,
    frozen=True,
    kw_only=True,
    rename={
        "client_shares": "shares",
        "hedged_requests": "second_copies",
        "keep_learned_state": "keeps",
        "start_spread_s": "spread_s",
    },
):
    """The nodes that clients reach.

    Attributes:
        client_shares: shares of the clients of the first nodes; each of the others has share 1.
        notice_ms: time until clients learn that a node is dead, or back.
        keep_learned_state: a restarted node finds the learned state of the process before it.
        start_spread_s: `simulate`: interval over which the nodes start, and so the phases of their periods.
    """

    count: Count = 2
    client_shares: tuple[Positive, ...] = ()
    notice_ms: Range = (1100.0, 3700.0)
    memory_mb: Positive = 192.0
    sockets: Annotated[int, Meta(ge=64)] = 1024
    max_attempts: Count = 6
    retry_after: bool = True
    max_retry_after_ms: NonNegative = 2000.0
    hedged_requests: bool = True
    cancel: bool = True
    keep_learned_state: bool = True
    start_spread_s: NonNegative = 2.0

    def __post_init__(self) -> None:
        self._check_ranges("notice_ms")
        if len(self.client_shares) > self.count:
            raise InvalidValueError("shares", f"{len(self.client_shares)} shares for {self.count} nodes")

    def client_share(self, name: str) -> float:
        """The share of the clients of the node with this name, `n` and its number."""
        number = int(name[1:])
        return self.client_shares[number] if number < len(self.client_shares) else 1.0


class DiscoveryTable(Table, frozen=True, kw_only=True):
    """Delays of discovery.

    Attributes:
        add_ms: until a started server is listed.
        notice_ms: until a drain or a planned stop is listed.
        silent_ms: until a dead server is removed.
        spread_ms: from the first node that learns of a change to the last.
    """

    add_ms: Range = (420.0, 3200.0)
    notice_ms: Range = (790.0, 7300.0)
    silent_ms: Range = (4000.0, 13000.0)
    spread_ms: Range = (170.0, 560.0)

    def __post_init__(self) -> None:
        self._check_ranges("add_ms", "notice_ms", "silent_ms", "spread_ms")


class RulesTable(
    Table,
    frozen=True,
    kw_only=True,
    rename={
        "drain_slack_ms": "slack_ms",
        "overload_factor": "tip_multiple",
        "overload_window_ms": "tip_ms",
        "warm_up_initial_share": "stated_cold_from",
        "warm_up_s": "stated_cold_s",
    },
):
    """The rules that a run is checked against.

    Attributes:
        drain_ms: time in which new requests to a draining server end, plus `drain_slack_ms` for timers.
        overload_factor: a warming server fails when it is sent this multiple of its capacity in a window.
        warm_up_initial_share: share of the capacity of a started server, as nodes are configured; it grows to 1 over
            `warm_up_s`.
    """

    drain_ms: NonNegative = 400.0
    drain_slack_ms: NonNegative = 50.0
    overload_factor: Positive = 4.0
    overload_window_ms: Positive = 1500.0
    warm_up_initial_share: Annotated[float, Meta(gt=0, le=1)] = 0.12
    warm_up_s: NonNegative = 24.0
