"""Settings of the decision module, validated when they are made.

Times are milliseconds and rates are per second. The keys of configuration files and of the platform's JSON are
mapped to these names in `rosewheel/config/operator_tables.py` and `rosewheel/policy/settings_codec.py`.
"""

from __future__ import annotations

import math
import sys
from collections.abc import Iterable
from dataclasses import dataclass
from enum import Enum

MIN_POSITIVE = 0.001  # the least value of a setting that has to be greater than 0


class InvalidSettingError(ValueError):
    """A setting has a value outside its range.

    Attributes:
        key: the setting's path by the names of this module, such as `classes[0].deadline_ms`.
        reason: what is wrong with its value.
    """

    def __init__(self, key: str, reason: str) -> None:
        super().__init__(f"{key}: {reason}")
        self.key = key
        self.reason = reason


class Idempotency(Enum):
    """Whether a request may be executed more than once. Values are those of configuration files."""

    IDEMPOTENT = "safe"  # may be repeated freely
    IDEMPOTENT_WITH_KEY = "keyed"  # one group of servers drops a repeat while it remembers the key
    NON_IDEMPOTENT = "unsafe"  # must never be executed twice


class DedupScope(Enum):
    """The group of servers that drops repeats of a keyed request. Values are those of configuration files."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


@dataclass(slots=True, frozen=True)
class ServiceClass:
    """A class of requests with a common objective, priority and idempotency.

    Attributes:
        name: the class's name, unique among the settings.
        latency_objective_ms: a response within this time earns the whole priority weight.
        deadline_ms: how long a client waits, over all its attempts.
        priority_weight: value of a response in time; requests of lower weight are rejected first.
        late_weight: share of the priority weight that a response after the objective earns, 0 to 1.
        idempotency: whether a request may be executed again.
        dedup_scope: the servers that share the memory of keys.
        dedup_window_ms: how long these servers remember a key.
        streaming: whether responses are streamed to the client.
    """

    name: str
    latency_objective_ms: float
    deadline_ms: float
    priority_weight: float = 1.0
    late_weight: float = 0.0
    idempotency: Idempotency = Idempotency.NON_IDEMPOTENT
    dedup_scope: DedupScope = DedupScope.ALL
    dedup_window_ms: float = 0.0
    streaming: bool = False


@dataclass(slots=True, frozen=True)
class Tenant:
    """A tenant with a quota, in requests per second over all balancers of the tier together."""

    name: str
    quota_per_s: float


@dataclass(slots=True, frozen=True)
class Settings:
    """All settings of one balancer. Raises InvalidSettingError where a value is outside its range.

    Attributes:
        classes: the classes of requests; at least one.
        tenants: tenants that have a quota.
        zone: the zone of this balancer.
        tier: 0 is the tier that clients reach.
        balancer_count: balancers that send to this tier, this one included.
        poll_discovery: whether endpoint lists are polled by this balancer, not pushed to it.
        weight_by_work: whether a request's weight in the queue follows its estimated work.
        over_quota_weight: share of the priority weight that is left to requests above a tenant's quota, 0 to 1.
        report_fields: names of the fields of a server's load report, in order.
        may_cancel: whether attempts may be cancelled.
        retry_after: whether rejections tell clients how long to wait.
        max_retry_after_ms: the longest such wait.
        max_attempts: attempts of one request, the first included.
        cross_zone_cost: cost of an attempt in another zone.
        warm_up_initial_share: share of its capacity that a server has when it starts, up to 1.
        warm_up_ms: how long a server takes to its full capacity.
        overload_factor: a warming server fails when it is sent this multiple of its capacity at that time,
        overload_window_ms: within any window of this length.
        connect_timeout_ms: how long a connection may take until an attempt's first byte is written.
    """

    classes: tuple[ServiceClass, ...]
    tenants: tuple[Tenant, ...] = ()
    zone: str = ""
    tier: int = 0
    balancer_count: int = 1
    poll_discovery: bool = False
    weight_by_work: bool = False
    over_quota_weight: float = 1.0
    report_fields: tuple[str, ...] = ()
    may_cancel: bool = False
    retry_after: bool = False
    max_retry_after_ms: float = 0.0
    max_attempts: int = 1
    cross_zone_cost: float = 0.0
    warm_up_initial_share: float = 1.0
    warm_up_ms: float = 0.0
    overload_factor: float = 4.0
    overload_window_ms: float = 1000.0
    connect_timeout_ms: float = 0.0

    def __post_init__(self) -> None:
        if not self.classes:
            raise InvalidSettingError("classes", "at least one class is needed")
        for index, service_class in enumerate(self.classes):
            _check_class(f"classes[{index}]", service_class)
        for index, tenant in enumerate(self.tenants):
            _check_range(f"tenants[{index}].quota_per_s", tenant.quota_per_s, 0)
        for key in ("tier", "max_retry_after_ms", "cross_zone_cost", "warm_up_ms", "connect_timeout_ms"):
            _check_range(key, getattr(self, key), 0)
        for key in ("balancer_count", "max_attempts"):
            _check_range(key, getattr(self, key), 1)
            if getattr(self, key) % 1:
                raise InvalidSettingError(key, f"{getattr(self, key)!r} is not a whole number")
        for key in ("overload_factor", "overload_window_ms"):
            _check_range(key, getattr(self, key), MIN_POSITIVE)
        _check_range("over_quota_weight", self.over_quota_weight, 0, 1)
        _check_range("warm_up_initial_share", self.warm_up_initial_share, MIN_POSITIVE, 1)
        _check_unique("classes", (item.name for item in self.classes))
        _check_unique("tenants", (item.name for item in self.tenants))


def _check_class(path: str, service_class: ServiceClass) -> None:
    for key in ("latency_objective_ms", "deadline_ms"):
        _check_range(f"{path}.{key}", getattr(service_class, key), MIN_POSITIVE)
    for key in ("priority_weight", "dedup_window_ms"):
        _check_range(f"{path}.{key}", getattr(service_class, key), 0)
    _check_range(f"{path}.late_weight", service_class.late_weight, 0, 1)


def _check_range(key: str, value: object, low: float, high: float = math.inf) -> None:
    in_range = isinstance(value, int | float) and not isinstance(value, bool) and low <= value <= high
    # An integer may exceed the range of a float; converting it later would raise OverflowError.
    if not in_range or value > sys.float_info.max:  # type: ignore[operator]
        raise InvalidSettingError(key, f"{value!r} is not a number from {low} to {high}")


def _check_unique(key: str, names: Iterable[str]) -> None:
    given = list(names)
    if len(set(given)) != len(given):
        raise InvalidSettingError(key, "a name stands twice")
