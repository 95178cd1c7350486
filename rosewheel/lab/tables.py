"""Tables of a scenario file: request classes, tiers or services with their servers, regions and the network.

A `Range` is a number, or `[low, high]` from which a value is drawn. Units are the suffixes of the names. Where the
keys of the file differ from the names of the fields, `rename` maps them.
"""

from __future__ import annotations

import math
from typing import Annotated, Literal

import msgspec
from msgspec import Meta

from rosewheel.config.errors import InvalidValueError
from rosewheel.policy.settings import DedupScope, Idempotency

Share = Annotated[float, Meta(ge=0, le=1)]
Positive = Annotated[float, Meta(gt=0)]
NonNegative = Annotated[float, Meta(ge=0)]
Count = Annotated[int, Meta(ge=1)]
# `Table._check_ranges` checks the bounds, since msgspec 0.23 crashes on constraints inside a tuple.
Range = float | tuple[float, float]
Name = Annotated[str, Meta(pattern=r"^[a-z0-9][a-z0-9-]{0,39}$")]

MAX_BODY_BYTES = 32 << 20


def upper_bound(value: Range) -> float:
    """Return the largest value that can be drawn from a range."""
    return value[1] if isinstance(value, tuple) else value


class Table(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Base of the tables of a file; unknown keys are errors."""

    def _check_ranges(self, *fields: str) -> None:
        """Check that these ranges are finite, not negative and in ascending order.

        Raises:
            InvalidValueError: for the key of the first invalid range.
        """
        keys = {field.name: field.encode_name for field in msgspec.structs.fields(type(self))}
        for name in fields:
            value = getattr(self, name)
            low, high = value if isinstance(value, tuple) else (value, value)
            if not 0.0 <= low <= high < math.inf:
                raise InvalidValueError(
                    keys[name], "must be a number that is not negative, or an ascending range of such numbers"
                )


class ClassTable(
    Table,
    frozen=True,
    kw_only=True,
    rename={
        "latency_objective_ms": "aim_ms",
        "deadline_ms": "give_up_ms",
        "priority_weight": "worth",
        "idempotency": "effect",
        "dedup_scope": "group",
        "dedup_window_ms": "memory_ms",
    },
):
    """A request class.

    Attributes:
        share: weight of the class among all requests.
        work_ms: mean work over all tiers, in ms of a reference core.
        cv: coefficient of variation of the work between requests.
        attempt_noise: coefficient of variation of the work of one request between servers.
        latency_objective_ms: time within which a response counts as in time.
        deadline_ms: time after which a client gives up, over all its attempts.
        priority_weight: value of a response in time.
        dedup_window_ms: time for which servers remember the key of a request.
    """

    name: Name
    share: Positive
    work_ms: Range
    cv: Range = 0.5
    distribution: Literal["lognormal", "exp", "fixed"] = "lognormal"
    attempt_noise: Range = 0.0
    latency_objective_ms: Positive = 2500.0
    deadline_ms: Positive = 6000.0
    priority_weight: NonNegative = 1.0
    idempotency: Idempotency = Idempotency.NON_IDEMPOTENT
    dedup_scope: DedupScope = DedupScope.ALL
    dedup_window_ms: NonNegative = 10000.0
    body_bytes: Annotated[int, Meta(ge=0, le=MAX_BODY_BYTES)] = 200
    answer_bytes: Annotated[int, Meta(ge=1, le=MAX_BODY_BYTES)] = 200

    def __post_init__(self) -> None:
        self._check_ranges("work_ms", "cv", "attempt_noise")
        if self.latency_objective_ms > self.deadline_ms:
            raise InvalidValueError("aim_ms", "longer than give_up_ms")


class OverloadSlowdownTable(
    Table,
    frozen=True,
    kw_only=True,
    rename={
        "queue_per_core": "at",
        "trigger_s": "over_s",
        "factor": "slower",
        "recovery_s": "rest_s",
        "recovery_busy_share": "below",
        "max_s": "most_s",
    },
):
    """The slowdown of an overloaded server; see `server_model.OverloadSlowdown`."""

    queue_per_core: Range = (4.0, 7.0)
    trigger_s: Range = (1.5, 2.5)
    factor: Range = (2.0, 3.5)
    recovery_s: Range = (2.4, 4.5)
    recovery_busy_share: Range = (0.25, 0.4)
    max_s: Range = (16.0, 27.0)

    def __post_init__(self) -> None:
        self._check_ranges(
            "queue_per_core", "trigger_s", "factor", "recovery_s", "recovery_busy_share", "max_s"
        )


class ServerKindTable(
    Table,
    frozen=True,
    kw_only=True,
    rename={
        "concurrency_limit": "slots",
        "queue_limit": "queue",
        "contention_factor": "thrash",
        "contention_threshold": "knee",
        "warm_up_initial_share": "cold_from",
        "warm_up_s": "cold_s",
        "pause_interval_s": "pause_every_s",
        "pause_growth": "pause_grow",
    },
):
    """Servers of one kind; see `server_model.ServerSpec` for the values.

    Attributes:
        speeds: speed of each server, in place of `speed`.
    """

    name: Name
    count: Annotated[int, Meta(ge=0)]
    cores: Count = 2
    speed: Range = 1.0
    speeds: tuple[Positive, ...] = ()
    concurrency_limit: Range = (28, 66)
    queue_limit: Range = (3, 8)
    contention_factor: Range = 0.0
    contention_threshold: Range = (25.0, 44.0)
    warm_up_initial_share: Range = (0.12, 0.33)
    warm_up_s: Range = (10.0, 24.0)
    pause_interval_s: Range = (2.2, 12.0)
    pause_ms: Range = 0.0
    pause_growth: Range = 0.0
    error_rate: Range = 0.0

    def __post_init__(self) -> None:
        self._check_ranges("speed", "concurrency_limit", "queue_limit", "contention_factor")
        self._check_ranges("contention_threshold", "warm_up_initial_share", "warm_up_s")
        self._check_ranges("pause_interval_s", "pause_ms", "pause_growth", "error_rate")
        if self.speeds and len(self.speeds) != self.count:
            raise InvalidValueError("speeds", f"{len(self.speeds)} speeds for {self.count} servers")


class ReportTable(Table, frozen=True, kw_only=True, rename={"enabled": "on"}):
    """Load reports of servers.

    Attributes:
        period_ms: time between updates of the reported value.
        delay_ms: time until an update becomes visible.
        noise: coefficient of variation of the reported queue length.
        enabled: whether servers send load reports.
    """

    period_ms: Range = (57.0, 420.0)
    delay_ms: Range = (24.0, 110.0)
    noise: Range = (0.044, 0.18)
    enabled: bool = True

    def __post_init__(self) -> None:
        self._check_ranges("period_ms", "delay_ms", "noise")


class TierTable(
    Table,
    frozen=True,
    kw_only=True,
    rename={
        "calls_per_request": "calls",
        "kinds": "kind",
        "slowdown": "choke",
        "connection_overhead": "connection_tax",
        "handshake_work_ms": "handshake_ms",
        "health_check_work_ms": "probe_ms",
    },
):
    """One tier of servers.

    Attributes:
        work: share of a request's work that this tier does.
        calls_per_request: mean number of calls to this tier per request of the tier before it.
        cell_size: maximum number of servers that share a deduplication table.
        zones: zones to which the servers are assigned round-robin; all zones of all regions if empty.
    """

    name: Name
    work: Share
    calls_per_request: Range = 1.0
    cell_size: Count = 8
    kinds: tuple[ServerKindTable, ...]
    slowdown: OverloadSlowdownTable | None = OverloadSlowdownTable()
    report: ReportTable = ReportTable()
    connections_per_core: Range = (600.0, 900.0)
    connection_overhead: Range = (0.15, 0.31)
    handshake_work_ms: Range = (0.95, 3.0)
    health_check_work_ms: Range = (0.045, 0.091)
    zones: tuple[Name, ...] = ()

    def __post_init__(self) -> None:
        self._check_ranges("calls_per_request", "connections_per_core", "connection_overhead")
        self._check_ranges("handshake_work_ms", "health_check_work_ms")
        if sum(kind.count for kind in self.kinds) == 0:
            raise InvalidValueError("kind", "a tier without servers")


class CallTable(Table, frozen=True, kw_only=True, rename={"service": "to", "calls_per_request": "times"}):
    """Sequential calls of a service to another service.

    Attributes:
        service: name of the called service.
        calls_per_request: mean number of calls; 0.3 is one call with that probability, 2 are two calls.
    """

    service: Name
    calls_per_request: Range = 1.0

    def __post_init__(self) -> None:
        self._check_ranges("calls_per_request")
        if upper_bound(self.calls_per_request) == 0.0:
            raise InvalidValueError("times", "a call that is never made")


class ServiceTable(TierTable, frozen=True, kw_only=True, rename={"outgoing_calls": "call"}):
    """One service of a call graph: a tier that lists the services that it calls."""

    outgoing_calls: tuple[CallTable, ...] = ()

    def __post_init__(self) -> None:
        super().__post_init__()
        if self.calls_per_request != 1.0:
            raise InvalidValueError(
                "calls", "not allowed in a service, which lists its calls in `call` tables"
            )


class RegionTable(Table, frozen=True, kw_only=True):
    """A region and its zones."""

    name: Name
    zones: tuple[Name, ...]

    def __post_init__(self) -> None:
        if not self.zones:
            raise InvalidValueError("zones", "a region without zones")


class NetworkTable(Table, frozen=True, kw_only=True, rename={"cross_zone_cost": "cross_zone_price"}):
    """One-way network delays between a node and a server.

    Attributes:
        between_zones_ms: delay between two zones of one region.
        cross_zone_cost: cost of a call to another zone, as configured at the nodes.
    """

    within_zone_ms: NonNegative = 0.0
    between_zones_ms: NonNegative = 0.0
    between_regions_ms: NonNegative = 0.0
    cross_zone_cost: NonNegative = 0.0

    def __post_init__(self) -> None:
        if not self.within_zone_ms <= self.between_zones_ms <= self.between_regions_ms:
            raise InvalidValueError(
                "between_zones_ms", "must be between within_zone_ms and between_regions_ms"
            )
