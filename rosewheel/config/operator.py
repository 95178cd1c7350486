"""The operator's own configuration of a node: a TOML file in place of the platform's JSON.

Every key has a unit in its name where it needs one, and a default where that makes sense. The platform's `LB_`
variables come before the file, as they come before the JSON.
"""

from __future__ import annotations

import os
from collections.abc import Mapping
from typing import Annotated, Literal

import msgspec
from msgspec import Meta

from rosewheel.config import platform
from rosewheel.config.checked import KeyedError, ProblemsError, read
from rosewheel.config.platform import VARIABLES, Address, Config, ConfigError, parse_address
from rosewheel.decide.interface import Effect, Scope, ServiceClass, Settings, Tenant
from rosewheel.node.bounds import Bounds

Natural = Annotated[float, Meta(ge=0)]
Positive = Annotated[float, Meta(gt=0)]
Count = Annotated[int, Meta(ge=1)]
Share = Annotated[float, Meta(ge=0, le=1)]
Text = Annotated[str, Meta(min_length=1)]


class Table(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    def _addresses(self, *keys: str) -> None:
        for key in keys:
            value = getattr(self, key)
            if value:
                try:
                    parse_address(value)
                except ValueError as error:
                    raise KeyedError(key, str(error)) from error


class NodeTable(Table, frozen=True, kw_only=True):
    name: Text = "node"
    listen: Text
    ops: str = ""  # the operators' door; empty: none
    seed: Annotated[str, Meta(pattern="^[0-9a-f]{0,32}$")] = ""  # empty: the system's random source
    state_dir: str = ""  # for what outlives a process; empty: $TMPDIR, or nothing is kept

    def __post_init__(self) -> None:
        self._addresses("listen", "ops")


class EquipoTable(Table, frozen=True, kw_only=True):
    host: Text
    dial: Text
    zone: str = ""
    cell: Annotated[int, Meta(ge=0)] = 0

    def __post_init__(self) -> None:
        self._addresses("dial")


class DiscoveryTable(Table, frozen=True, kw_only=True):
    address: Text
    ask: bool = False  # the list must be asked for; otherwise it is pushed
    known: tuple[EquipoTable, ...] = ()  # to begin with, until discovery has spoken

    def __post_init__(self) -> None:
        self._addresses("address")


class LimitsTable(Table, frozen=True, kw_only=True):
    memory_mb: Annotated[float, Meta(ge=32)] = 128.0
    sockets: Annotated[int, Meta(ge=64)] = 1024
    max_open: Count = 20000
    connect_timeout_ms: Positive = 250.0
    connection_idle_ms: Positive = 10000.0  # after which an equipo may close a connection


class RoutingTable(Table, frozen=True, kw_only=True):
    zone: str = ""
    tier: Annotated[int, Meta(ge=0)] = 0
    siblings: Count = 1
    max_attempts: Count = 3
    cancel: bool = True
    second_copies: bool = True
    probes: bool = False
    retry_after: bool = True
    max_retry_after_ms: Natural = 2000.0
    cross_zone_price: Natural = 0.0
    worth_by_work: bool = False
    over_share_worth: Share = 1.0
    cold_from: Annotated[float, Meta(gt=0, le=1)] = 1.0
    cold_ms: Natural = 0.0
    tip_after_ms: Positive = 1500.0
    drain_grace_ms: Positive = 400.0


class ClassTable(Table, frozen=True, kw_only=True):
    name: Text
    aim_ms: Positive
    give_up_ms: Positive
    worth: Natural = 1.0
    late_worth: Share = 0.0
    effect: Literal["safe", "keyed", "unsafe"] = "unsafe"
    group: Literal["all", "zone", "cell"] = "all"
    memory_ms: Natural = 0.0
    stream: bool = False

    def __post_init__(self) -> None:
        if self.aim_ms > self.give_up_ms:
            raise KeyedError("aim_ms", "an answer is wanted after the client has given up")
        if self.effect == "keyed" and not self.memory_ms:
            raise KeyedError("memory_ms", "a keyed class needs the time for which equipos drop repeats")


class TenantTable(Table, frozen=True, kw_only=True):
    name: Text
    quota_per_s: Natural


class LogTable(Table, frozen=True, kw_only=True):
    form: Literal["plain", "json"] = "plain"
    level: Literal["debug", "info", "warning", "error"] = "info"


class Operator(Table, frozen=True, kw_only=True):
    """The whole file."""

    node: NodeTable
    discovery: DiscoveryTable
    limits: LimitsTable = LimitsTable()
    routing: RoutingTable = RoutingTable()
    classes: tuple[ClassTable, ...] = msgspec.field(name="class")
    tenants: tuple[TenantTable, ...] = msgspec.field(name="tenant", default=())
    log: LogTable = LogTable()

    def __post_init__(self) -> None:
        if not self.classes:
            raise KeyedError("class", "no class of requests")
        for key, items in (("class", self.classes), ("tenant", self.tenants)):
            names = [item.name for item in items]
            if len(set(names)) != len(names):
                raise KeyedError(key, "a name stands twice")
        self.settings()  # what the module itself finds wrong

    def settings(self) -> Settings:
        routing = self.routing
        return Settings(
            classes=tuple(
                ServiceClass(
                    name=row.name,
                    aim_ms=row.aim_ms,
                    give_up_ms=row.give_up_ms,
                    worth=row.worth,
                    late_worth=row.late_worth,
                    effect=Effect(row.effect),
                    scope=Scope(row.group),
                    memory_ms=row.memory_ms,
                    stream=row.stream,
                )
                for row in self.classes
            ),
            tenants=tuple(Tenant(row.name, row.quota_per_s) for row in self.tenants),
            zone=routing.zone,
            tier=routing.tier,
            siblings=routing.siblings,
            ask_discovery=self.discovery.ask,
            worth_by_work=routing.worth_by_work,
            over_share_worth=routing.over_share_worth,
            report_fields=("queue", "util"),
            may_cancel=routing.cancel,
            retry_after=routing.retry_after,
            max_retry_after_ms=routing.max_retry_after_ms,
            max_attempts=routing.max_attempts,
            cross_zone_price=routing.cross_zone_price,
            cold_from=routing.cold_from,
            cold_ms=routing.cold_ms,
            tip_after_ms=routing.tip_after_ms,
            connect_ms=self.limits.connect_timeout_ms,
        )


def load(path: str, environ: Mapping[str, str] = os.environ, again: bool = False) -> Config:
    """The node's configuration, or a ConfigError that says in one line what is wrong with it first. When it is
    read again, the file is newer than the environment, so its discovery comes before LB_DISCOVERY."""
    try:
        told = read(path, Operator)
    except ProblemsError as error:
        more = len(error.problems) - 1
        tail = f" (and {more} more: `rosewheel check {path}` lists all)" if more else ""
        raise ConfigError(error.lines()[0] + tail) from error
    given = {"name": told.node.name, "listen": told.node.listen, "ops": told.node.ops}
    given["discovery"] = told.discovery.address
    for variable, key in VARIABLES:
        if environ.get(variable) and not (again and key == "discovery"):
            given[key] = environ[variable]
    return Config(
        name=given["name"],
        listen=_address(given, "listen"),
        discovery=_address(given, "discovery"),
        seed=int(told.node.seed, 16) if told.node.seed else int.from_bytes(os.urandom(8), "big"),
        settings=told.settings(),
        bounds=Bounds(
            conn_idle_ms=told.limits.connection_idle_ms,
            connect_timeout_ms=told.limits.connect_timeout_ms,
            drain_grace_ms=told.routing.drain_grace_ms,
            max_open=told.limits.max_open,
            second_copies=told.routing.second_copies,
            may_probe=told.routing.probes,
            sockets=platform.descriptors(told.limits.sockets),
            memory_mb=told.limits.memory_mb,
        ),
        known={"seq": 0, "hosts": [_known(row) for row in told.discovery.known]},
        ops=_address(given, "ops") if given["ops"] else None,
        inherited=platform.descriptor(environ.get("LB_INHERITED_FD")),
        state=told.node.state_dir or environ.get("TMPDIR") or None,
    )


def _address(given: Mapping[str, str], key: str) -> Address:
    try:
        return parse_address(given[key])
    except ValueError as error:
        raise ConfigError(f"{key}: {error}") from error


def _known(row: EquipoTable) -> dict[str, object]:
    return {"host": row.host, "dial": row.dial, "site": row.zone, "block": row.cell, "health": "active"}
