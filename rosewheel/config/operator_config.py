"""The operator's own configuration of a node: a TOML file in place of the platform's JSON.

The platform's `LB_` variables override the file, as they override the JSON.
"""

from __future__ import annotations

import os
import re
from collections.abc import Mapping

import msgspec
from msgspec import field

from rosewheel.config.address import Address, parse_address
from rosewheel.config.environment import (
    ENVIRONMENT_KEYS,
    available_descriptors,
    inherited_descriptor,
    random_seed,
)
from rosewheel.config.errors import ConfigError, InvalidFileError, InvalidValueError
from rosewheel.config.node_config import ControlConfig, InitialEndpoints, NodeConfig
from rosewheel.config.operator_tables import (
    ClassTable,
    ConfigTable,
    ControlTable,
    DiscoveryTable,
    EndpointTable,
    LimitsTable,
    LogTable,
    NodeTable,
    RoutingTable,
    TenantTable,
)
from rosewheel.config.toml_file import read_file
from rosewheel.node.limits import Limits
from rosewheel.policy.settings import InvalidSettingError, ServiceClass, Settings, Tenant

REPORT_FIELDS = ("queue", "util")  # of a server's load report, in this order


class OperatorConfig(ConfigTable, frozen=True, kw_only=True):
    """The operator's file.

    Attributes:
        control: where the fleet's configuration is fetched from; None: from nowhere.
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
            raise InvalidValueError("class", "no class of requests")
        _check_unique("class", [row.name for row in self.classes])
        _check_unique("tenant", [row.name for row in self.tenants])
        try:
            self.to_settings()
        except InvalidSettingError as error:
            raise InvalidValueError(_file_key(error.key), error.reason) from error

    def to_settings(self) -> Settings:
        """Settings of the decision module."""
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
        """Limits that the node enforces by itself."""
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


def load_operator_config(
    path: str, environ: Mapping[str, str] = os.environ, reload: bool = False
) -> NodeConfig:
    """Read the operator's file.

    Args:
        path: the file.
        environ: the environment variables.
        reload: the node runs already. The file is then newer than the environment, so its discovery address overrides
            LB_DISCOVERY.

    Raises:
        ConfigError: it can't be used; the text is one line, with the first error.
    """
    try:
        file = read_file(path, OperatorConfig)
    except InvalidFileError as error:
        more = len(error.problems) - 1
        hint = f" (and {more} more: `rosewheel check {path}` lists all)" if more else ""
        raise ConfigError(error.messages()[0] + hint, error.key) from error
    values = _overridden(file, environ, reload)
    return NodeConfig(
        name=values["name"],
        listen_address=_address(values, "listen"),
        discovery_address=_address(values, "discovery"),
        seed=int(file.node.seed, 16) if file.node.seed else random_seed(),
        settings=file.to_settings(),
        limits=file.to_limits(),
        initial_endpoints=InitialEndpoints(
            0, [_endpoint_row(row) for row in file.discovery.initial_endpoints]
        ),
        admin_address=_address(values, "ops") if values["ops"] else None,
        inherited_descriptor=inherited_descriptor(environ),
        state_folder=file.node.state_folder or environ.get("TMPDIR") or None,
        state_on_disk=bool(file.node.state_folder),
        control=ControlConfig(file.control.addresses(), file.control.service, file) if file.control else None,
    )


def _overridden(file: OperatorConfig, environ: Mapping[str, str], reload: bool) -> dict[str, str]:
    """The values that the environment may override, by the keys of ENVIRONMENT_KEYS."""
    values = {
        "name": file.node.name,
        "listen": file.node.listen_address,
        "ops": file.node.admin_address,
        "discovery": file.discovery.address,
    }
    for variable, key in ENVIRONMENT_KEYS:
        if environ.get(variable) and not (reload and key == "discovery"):
            values[key] = environ[variable]
    return values


def _address(values: Mapping[str, str], key: str) -> Address:
    try:
        return parse_address(values[key])
    except ValueError as error:
        raise InvalidValueError(key, str(error)) from error


def _endpoint_row(row: EndpointTable) -> dict[str, object]:
    """The endpoint in discovery's JSON form."""
    return {"host": row.host, "dial": row.address, "site": row.zone, "block": row.cell, "health": "active"}


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
        raise InvalidValueError(key, "a name stands twice")


def _keys_of_settings() -> dict[str, str]:
    """Keys of the file by the names of the settings that they become."""
    keys = {item.name: f"routing.{item.encode_name}" for item in msgspec.structs.fields(RoutingTable)}
    keys["connect_timeout_ms"] = "limits.connect_timeout_ms"
    for table in (OperatorConfig, ClassTable, TenantTable):
        keys |= {item.name: item.encode_name for item in msgspec.structs.fields(table)}
    return keys


def _file_key(path: str) -> str:
    """A setting's path by the keys of the file: `classes[0].deadline_ms` is `class[0].give_up_ms`."""
    keys = _keys_of_settings()
    return re.sub(r"[a-z_]+", lambda name: keys.get(name[0], name[0]), path)
