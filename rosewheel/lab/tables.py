"""The tables of a scenario's file that say what there is: classes, tiers or services and their equipos, regions.

A figure may be a number or a range `[low, high]`; times are in the unit that the key's ending tells.
"""

from __future__ import annotations

import math
from typing import Annotated, Literal

import msgspec
from msgspec import Meta

from rosewheel.config.checked import KeyedError

Share = Annotated[float, Meta(ge=0, le=1)]
Positive = Annotated[float, Meta(gt=0)]
Natural = Annotated[float, Meta(ge=0)]
Count = Annotated[int, Meta(ge=1)]
Range = (
    float | tuple[float, float]
)  # its bounds are checked by the table: msgspec 0.23 crashes on them in a tuple
Name = Annotated[str, Meta(pattern=r"^[a-z0-9][a-z0-9-]{0,39}$")]


def upper_bound(value: Range) -> float:
    return value[1] if isinstance(value, tuple) else value


class Table(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """One table of the file; unknown keys are errors."""

    def _ordered(self, *keys: str) -> None:
        """Ranges, or single figures in their place: none below zero, none that ends below its beginning."""
        for key in keys:
            value = getattr(self, key)
            low, high = value if isinstance(value, tuple) else (value, value)
            if not 0.0 <= low <= high < math.inf:
                raise KeyedError(key, "not a number from zero up, or a range that ends below its beginning")


class ClassTable(Table, frozen=True, kw_only=True):
    name: Name
    share: Positive  # of the requests; all shares together count as the whole
    work_ms: Range  # mean work over all tiers, in ms of a yardstick core
    cv: Range = 0.5  # of the work, from request to request
    distribution: Literal["lognormal", "exp", "fixed"] = "lognormal"
    attempt_noise: Range = 0.0  # cv of what the same request takes at one equipo or another
    aim_ms: Positive = 2500.0
    give_up_ms: Positive = 6000.0
    worth: Natural = 1.0
    effect: Literal["safe", "keyed", "unsafe"] = "unsafe"
    group: Literal["all", "zone", "cell"] = "all"
    memory_ms: Natural = 10000.0
    body_bytes: Annotated[int, Meta(ge=0, le=32 << 20)] = 200
    answer_bytes: Annotated[int, Meta(ge=1, le=32 << 20)] = 200

    def __post_init__(self) -> None:
        self._ordered("work_ms", "cv", "attempt_noise")
        if self.aim_ms > self.give_up_ms:
            raise KeyedError("aim_ms", "an answer is wanted after the client has given up")


class OverloadSlowdownTable(Table, frozen=True, kw_only=True):
    """The lasting slowdown of an equipo with far more waiting than cores."""

    at: Range = (4.0, 7.0)
    over_s: Range = (1.5, 2.5)
    slower: Range = (2.0, 3.5)
    rest_s: Range = (2.4, 4.5)
    below: Range = (0.25, 0.4)
    most_s: Range = (16.0, 27.0)

    def __post_init__(self) -> None:
        self._ordered("at", "over_s", "slower", "rest_s", "below", "most_s")


class ServerKindTable(Table, frozen=True, kw_only=True):
    name: Name
    count: Annotated[int, Meta(ge=0)]
    cores: Count = 2
    speed: Range = 1.0
    speeds: tuple[Positive, ...] = ()  # each equipo's own, in place of `speed`
    slots: Range = (28, 66)
    queue: Range = (3, 8)
    thrash: Range = 0.0
    knee: Range = (25.0, 44.0)
    cold_from: Range = (0.12, 0.33)
    cold_s: Range = (10.0, 24.0)
    pause_every_s: Range = (2.2, 12.0)
    pause_ms: Range = 0.0
    pause_grow: Range = 0.0
    error_rate: Range = 0.0

    def __post_init__(self) -> None:
        self._ordered("speed", "slots", "queue", "thrash", "knee", "cold_from", "cold_s")
        self._ordered("pause_every_s", "pause_ms", "pause_grow", "error_rate")
        if self.speeds and len(self.speeds) != self.count:
            raise KeyedError("speeds", f"{len(self.speeds)} speeds for {self.count} equipos")


class ReportTable(Table, frozen=True, kw_only=True):
    """What answers tell of an equipo's queue."""

    period_ms: Range = (57.0, 420.0)
    delay_ms: Range = (24.0, 110.0)
    noise: Range = (0.044, 0.18)
    on: bool = True

    def __post_init__(self) -> None:
        self._ordered("period_ms", "delay_ms", "noise")


class TierTable(Table, frozen=True, kw_only=True):
    name: Name
    work: Share  # the part of a request's work that this tier does
    calls: Range = 1.0  # how often a request of the tier above calls this one, on average
    cell_size: Count = 8
    kind: tuple[ServerKindTable, ...]
    choke: OverloadSlowdownTable | None = OverloadSlowdownTable()
    report: ReportTable = ReportTable()
    connections_per_core: Range = (600.0, 900.0)
    connection_tax: Range = (0.15, 0.31)
    handshake_ms: Range = (0.95, 3.0)
    probe_ms: Range = (0.045, 0.091)
    zones: tuple[Name, ...] = ()  # where its equipos stand, in turn; empty: in all zones of all regions

    def __post_init__(self) -> None:
        self._ordered("calls", "connections_per_core", "connection_tax", "handshake_ms", "probe_ms")
        if sum(kind.count for kind in self.kind) == 0:
            raise KeyedError("kind", "a tier without equipos")


class CallTable(Table, frozen=True, kw_only=True):
    """That a service calls another one, one call after the other."""

    to: Name
    times: Range = 1.0  # for each request, on average: 0.3 is a call with that probability, 2 are two calls

    def __post_init__(self) -> None:
        self._ordered("times")
        if upper_bound(self.times) == 0.0:
            raise KeyedError("times", "a call that is never made")


class ServiceTable(TierTable, frozen=True, kw_only=True):
    """One service of a graph: a tier that says itself whom it calls."""

    call: tuple[CallTable, ...] = ()

    def __post_init__(self) -> None:
        super().__post_init__()
        if self.calls != 1.0:
            raise KeyedError("calls", "a service says whom it calls in its own `call` tables")


class RegionTable(Table, frozen=True, kw_only=True):
    name: Name
    zones: tuple[Name, ...]

    def __post_init__(self) -> None:
        if not self.zones:
            raise KeyedError("zones", "a region without zones")


class NetworkTable(Table, frozen=True, kw_only=True):
    """How long a way takes between a node and an equipo, beyond the work of both ends: each way, in ms."""

    within_zone_ms: Natural = 0.0
    between_zones_ms: Natural = 0.0  # of one region
    between_regions_ms: Natural = 0.0
    cross_zone_price: Natural = 0.0  # what nodes are told that a call to another zone costs

    def __post_init__(self) -> None:
        if not self.within_zone_ms <= self.between_zones_ms <= self.between_regions_ms:
            raise KeyedError("between_zones_ms", "not between the ways within a zone and between regions")
