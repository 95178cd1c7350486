"""Tables of a scenario file for the run: clients, nodes, discovery and the rules that the run is checked against."""

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
    """Clients: open-loop arrivals and their retries.

    Attributes:
        rate_per_s: mean rate of operations where the factor of `shape` is 1.
        shape: points `[share of the run, factor of the rate]` with linear interpolation; a constant rate if empty.
        burst_cv: coefficient of variation of the rate between intervals of `burst_ms`.
        retries: maximum number of retries of an operation.
        attempt_timeout_share: share of the class's deadline after which a client abandons an attempt.
        backoff_ms: delay before the first retry, doubled before each further retry.
        retry_after_share: share of the clients that comply with Retry-After.
        new_connection_share: share of the requests that are sent on a new connection.
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
            raise InvalidValueError(
                "shape",
                "a point must be a share of the run from 0 to 1 and a finite factor that is not negative",
            )
        if any(a[0] >= b[0] for a, b in zip(self.shape, self.shape[1:], strict=False)):
            raise InvalidValueError("shape", "points must be in ascending order")
        if self.shape and not any(factor > 0 for _, factor in self.shape):
            raise InvalidValueError("shape", "no point has a factor above zero, so no requests would be sent")


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
    """Nodes that clients send their requests to.

    Attributes:
        client_shares: relative weights of the first nodes in the clients' choice; all other nodes have weight 1.
        notice_ms: time until clients notice that a node is down or ready again.
        keep_learned_state: whether a restarted node restores the learned state of its previous process.
        start_spread_s: `simulate`: interval over which the starts of the nodes, and thus their timers, are spread.
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
        """Return the weight in the clients' choice of the node with this name, which is `n` and its number."""
        number = int(name[1:])
        return self.client_shares[number] if number < len(self.client_shares) else 1.0


class DiscoveryTable(Table, frozen=True, kw_only=True):
    """Delays of discovery.

    Attributes:
        add_ms: time until a started server is listed.
        notice_ms: time until a drain or a planned stop is listed.
        silent_ms: time until a failed server is removed.
        spread_ms: time from the first node that is notified of a change to the last.
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
    """Rules that a run is checked against.

    Attributes:
        drain_ms: time after the notification of a drain during which new requests may reach the server.
        drain_slack_ms: tolerance of `drain_ms` for late timers.
        overload_factor: multiple of its capacity in a window at which a warming server collapses.
        overload_window_ms: length of that window.
        warm_up_initial_share: initial share of the capacity of a started server, as configured at the nodes.
        warm_up_s: time over which this share grows to 1.
    """

    drain_ms: NonNegative = 400.0
    drain_slack_ms: NonNegative = 50.0
    overload_factor: Positive = 4.0
    overload_window_ms: Positive = 1500.0
    warm_up_initial_share: Annotated[float, Meta(gt=0, le=1)] = 0.12
    warm_up_s: NonNegative = 24.0
