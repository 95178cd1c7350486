"""Settings of the decision module, validated on construction.

Times are milliseconds and rates are per second. The keys of configuration files and of the platform's JSON
are mapped to these names in `rosewheel/config/operator_tables.py` and `rosewheel/policy/settings_codec.py`.
"""

from __future__ import annotations

import math
import sys
from collections.abc import Iterable
from dataclasses import dataclass
from enum import Enum

MIN_POSITIVE = 0.001  # smallest value of a setting that must be greater than 0


class InvalidSettingError(ValueError):
    """A setting has a value outside its range.

    Attributes:
        key: path of the setting, such as `classes[0].deadline_ms`.
        reason: what is wrong with its value.
    """

    def __init__(self, key: str, reason: str) -> None:
        super().__init__(f"{key}: {reason}")
        self.key = key
        self.reason = reason


class Idempotency(Enum):
    """Whether a request may be executed more than once. Values are those in configuration files."""

    IDEMPOTENT = "safe"  # may be executed any number of times
    IDEMPOTENT_WITH_KEY = "keyed"  # a group of servers drops repeats while it remembers the key
    NON_IDEMPOTENT = "unsafe"  # must not be executed twice


class DedupScope(Enum):
    """Servers that share a memory of idempotency keys. Values are those in configuration files."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


@dataclass(slots=True, frozen=True)
class ServiceClass:
    """A class of requests with a common objective, priority and idempotency.

    Attributes:
        name: name of the class, unique within the settings.
        latency_objective_ms: time within which a response earns the whole priority weight.
        deadline_ms: how long a client waits for the response, over all attempts.
        priority_weight: value of a response in time; requests of lower weight are rejected first.
        late_weight: share of the priority weight that a response after the objective earns, 0 to 1.
        idempotency: whether a request may be executed again.
        dedup_scope: the servers that share a memory of keys.
        dedup_window_ms: how long those servers remember a key.
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
    """A tenant with a quota, in requests per second over all balancers of the tier."""

    name: str
    quota_per_s: float


@dataclass(slots=True, frozen=True)
class Settings:
    """Settings of one balancer; construction raises InvalidSettingError for a value out of range.

    Attributes:
        classes: classes of requests; at least one.
        tenants: tenants that have a quota.
        zone: the zone of this balancer.
        tier: tier of this balancer; clients send to tier 0.
        balancer_count: number of balancers that send to this tier, including this one.
        poll_discovery: whether this balancer polls endpoint lists, instead of having them pushed.
        weight_by_work: whether the weight of a request follows its cost hint.
        over_quota_weight: share of the priority weight of requests above their tenant's quota, 0 to 1.
        report_fields: names of the fields of a load report, in order.
        may_cancel: whether attempts may be cancelled.
        retry_after: whether rejections state how long clients should wait before a retry.
        max_retry_after_ms: longest wait that a rejection states.
        max_attempts: largest number of attempts of one request, including the first.
        cross_zone_cost: cost of an attempt in another zone.
        warm_up_initial_share: share of its capacity that a server has at its start, up to 1.
        warm_up_ms: time from its start until a server has its full capacity.
        overload_factor: multiple of its present capacity that overloads a warming server, if sent within
            one overload window.
        overload_window_ms: length of that window.
        connect_timeout_ms: longest time from the choice of a server to the first byte of the attempt.
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

    def has_effect(self, class_name: str) -> bool:
        """Return whether a request of this class must not be executed any number of times."""
        return any(
            each.name == class_name and each.idempotency is not Idempotency.IDEMPOTENT
            for each in self.classes
        )

    @property
    def longest_deadline_ms(self) -> float:
        """The longest deadline of the classes."""
        return max(each.deadline_ms for each in self.classes)

    @property
    def repeat_matters_ms(self) -> float:
        """How long a second execution may matter: until a request's deadline, or while its key is remembered."""
        return max(max(each.deadline_ms, each.dedup_window_ms) for each in self.classes)

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
    # An integer may exceed the range of a float; a later conversion would raise OverflowError.
    if not in_range or value > sys.float_info.max:  # type: ignore[operator]
        raise InvalidSettingError(key, f"{value!r} is not a number from {low} to {high}")


def _check_unique(key: str, names: Iterable[str]) -> None:
    all_names = list(names)
    if len(set(all_names)) != len(all_names):
        raise InvalidSettingError(key, "duplicate name")
