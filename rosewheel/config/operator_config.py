"""The operator's configuration file as a typed value, and its conversion to settings and limits.

The file replaces the platform's JSON. `operator_file` reads it.
"""

from __future__ import annotations

import re

import msgspec
from msgspec import field

from rosewheel.config.environment import available_descriptors
from rosewheel.config.errors import InvalidValueError
from rosewheel.config.operator_tables import (
    ClassTable,
    ConfigTable,
    ControlTable,
    DiscoveryTable,
    LimitsTable,
    LogTable,
    NodeTable,
    RoutingTable,
    TenantTable,
)
from rosewheel.node.limits import Limits
from rosewheel.policy.settings import InvalidSettingError, ServiceClass, Settings, Tenant

REPORT_FIELDS = ("queue", "util")  # fields of a server's load report, in order


class OperatorConfig(ConfigTable, frozen=True, kw_only=True):
    """The operator's file.

    Attributes:
        control: control machines that provide the fleet's configuration; None if there are none.
    """

    node: NodeTable
    discovery: DiscoveryTable
    limits: LimitsTable = LimitsTable()
    routing: RoutingTable = RoutingTable()
    classes: tuple[ClassTable, ...] = field(name="class")
    tenants: tuple[TenantTable, ...] = field(name="tenant", default=())
    log: LogTable = LogTable()
    control: ControlTable | None = None

    def __post_init__(self) -> None:
        if not self.classes:
            raise InvalidValueError("class", "at least one class is needed")
        _check_unique("class", [row.name for row in self.classes])
        _check_unique("tenant", [row.name for row in self.tenants])
        try:
            self.to_settings()
        except InvalidSettingError as error:
            raise InvalidValueError(_file_key_path(error.key), error.reason) from error

    def to_settings(self) -> Settings:
        """Return the settings of the policy."""
        routing = self.routing
        return Settings(
            classes=tuple(_service_class(row) for row in self.classes),
            tenants=tuple(Tenant(row.name, row.quota_per_s) for row in self.tenants),
            zone=routing.zone,
            tier=routing.tier,
            balancer_count=routing.balancer_count,
            poll_discovery=self.discovery.poll,
            weight_by_work=routing.weight_by_work,
            over_quota_weight=routing.over_quota_weight,
            report_fields=REPORT_FIELDS,
            may_cancel=routing.may_cancel,
            retry_after=routing.retry_after,
            max_retry_after_ms=routing.max_retry_after_ms,
            max_attempts=routing.max_attempts,
            cross_zone_cost=routing.cross_zone_cost,
            warm_up_initial_share=routing.warm_up_initial_share,
            warm_up_ms=routing.warm_up_ms,
            overload_factor=routing.overload_factor,
            overload_window_ms=routing.overload_window_ms,
            connect_timeout_ms=self.limits.connect_timeout_ms,
        )

    def to_limits(self) -> Limits:
        """Return the limits that the node enforces independently of its policy."""
        return Limits(
            idle_timeout_ms=self.limits.connection_idle_ms,
            connect_timeout_ms=self.limits.connect_timeout_ms,
            drain_notice_ms=self.routing.drain_grace_ms,
            max_open_requests=self.limits.max_open,
            hedging_allowed=self.routing.hedging,
            health_checks_allowed=self.routing.may_probe,
            max_sockets=available_descriptors(self.limits.sockets),
            memory_limit_mb=self.limits.memory_mb,
        )


def _service_class(row: ClassTable) -> ServiceClass:
    return ServiceClass(
        name=row.name,
        latency_objective_ms=row.latency_objective_ms,
        deadline_ms=row.deadline_ms,
        priority_weight=row.priority_weight,
        late_weight=row.late_weight,
        idempotency=row.idempotency,
        dedup_scope=row.dedup_scope,
        dedup_window_ms=row.dedup_window_ms,
        streaming=row.streaming,
    )


def _check_unique(key: str, names: list[str]) -> None:
    if len(set(names)) != len(names):
        raise InvalidValueError(key, "duplicate name")


def _setting_keys() -> dict[str, str]:
    """Return the keys of the file by the names of the corresponding settings."""
    keys = {item.name: f"routing.{item.encode_name}" for item in msgspec.structs.fields(RoutingTable)}
    keys["connect_timeout_ms"] = "limits.connect_timeout_ms"
    for table in (OperatorConfig, ClassTable, TenantTable):
        keys |= {item.name: item.encode_name for item in msgspec.structs.fields(table)}
    return keys


def _file_key_path(path: str) -> str:
    """Return a setting's path in the keys of the file: `class[0].give_up_ms` for `classes[0].deadline_ms`."""
    keys = _setting_keys()
    return re.sub(r"[a-z_]+", lambda name: keys.get(name[0], name[0]), path)
