"""The operator's own configuration of a node: a TOML file in place of the platform's JSON.

Every key has a unit in its name where it needs one, and a default where that makes sense. The platform's `LB_`
variables come before the file, as they come before the JSON.
"""

from __future__ import annotations

import os
import re
from collections.abc import Mapping
from typing import Annotated, Any, Literal

import msgspec
from msgspec import Meta

from rosewheel.config import platform
from rosewheel.config.checked import KeyedError, ProblemsError, convert, read
from rosewheel.config.platform import VARIABLES, Address, Config, ConfigError, Control, parse_address
from rosewheel.node.limits import Limits
from rosewheel.policy.settings import (
    DedupScope,
    Idempotency,
    InvalidSettingError,
    ServiceClass,
    Settings,
    Tenant,
)

Natural = Annotated[float, Meta(ge=0, lt=1e15)]  # TOML has an `inf`, for which no timer can be set
Positive = Annotated[float, Meta(gt=0, lt=1e15)]
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


# Keys of the file where a setting of the decision module has another name.
FILE_KEYS = {
    "classes": "class",
    "latency_objective_ms": "aim_ms",
    "deadline_ms": "give_up_ms",
    "priority_weight": "worth",
    "late_weight": "late_worth",
    "dedup_window_ms": "memory_ms",
    "tenants": "tenant",
    "balancer_count": "routing.siblings",
    "tier": "routing.tier",
    "over_quota_weight": "routing.over_share_worth",
    "max_retry_after_ms": "routing.max_retry_after_ms",
    "max_attempts": "routing.max_attempts",
    "cross_zone_cost": "routing.cross_zone_price",
    "warm_up_initial_share": "routing.cold_from",
    "warm_up_ms": "routing.cold_ms",
    "overload_factor": "routing.overload_factor",
    "overload_window_ms": "routing.tip_after_ms",
    "connect_timeout_ms": "limits.connect_timeout_ms",
}


def _file_path(path: str) -> str:
    """A setting's path by the keys of the file: `classes[0].deadline_ms` is `class[0].give_up_ms`."""
    return re.sub(r"[a-z_]+", lambda name: FILE_KEYS.get(name[0], name[0]), path)


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
    overload_factor: Positive = 4.0
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


class ControlTable(Table, frozen=True, kw_only=True):
    machines: Annotated[tuple[Text, ...], Meta(min_length=1)]  # NAME=ADDRESS:PORT each
    service: Text

    def __post_init__(self) -> None:
        self.addresses()

    def addresses(self) -> dict[str, Address]:
        found: dict[str, Address] = {}
        for row in self.machines:
            name, equals, address = row.partition("=")
            if not equals or not name or name in found:
                raise KeyedError("machines", f"{row!r} is not NAME=ADDRESS:PORT, each name once")
            try:
                found[name] = parse_address(address)
            except ValueError as error:
                raise KeyedError("machines", str(error)) from error
        return found


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
    control: ControlTable | None = None  # where the fleet's configuration comes from; without it from nowhere

    def __post_init__(self) -> None:
        if not self.classes:
            raise KeyedError("class", "no class of requests")
        for key, items in (("class", self.classes), ("tenant", self.tenants)):
            names = [item.name for item in items]
            if len(set(names)) != len(names):
                raise KeyedError(key, "a name stands twice")
        try:
            self.settings()
        except InvalidSettingError as error:
            raise KeyedError(_file_path(error.key), error.reason) from error

    def settings(self) -> Settings:
        routing = self.routing
        return Settings(
            classes=tuple(
                ServiceClass(
                    name=row.name,
                    latency_objective_ms=row.aim_ms,
                    deadline_ms=row.give_up_ms,
                    priority_weight=row.worth,
                    late_weight=row.late_worth,
                    idempotency=Idempotency(row.effect),
                    dedup_scope=DedupScope(row.group),
                    dedup_window_ms=row.memory_ms,
                    streaming=row.stream,
                )
                for row in self.classes
            ),
            tenants=tuple(Tenant(row.name, row.quota_per_s) for row in self.tenants),
            zone=routing.zone,
            tier=routing.tier,
            balancer_count=routing.siblings,
            poll_discovery=self.discovery.ask,
            weight_by_work=routing.worth_by_work,
            over_quota_weight=routing.over_share_worth,
            report_fields=("queue", "util"),
            may_cancel=routing.cancel,
            retry_after=routing.retry_after,
            max_retry_after_ms=routing.max_retry_after_ms,
            max_attempts=routing.max_attempts,
            cross_zone_cost=routing.cross_zone_price,
            warm_up_initial_share=routing.cold_from,
            warm_up_ms=routing.cold_ms,
            overload_factor=routing.overload_factor,
            overload_window_ms=routing.tip_after_ms,
            connect_timeout_ms=self.limits.connect_timeout_ms,
        )

    def bounds(self) -> Limits:
        return Limits(
            idle_timeout_ms=self.limits.connection_idle_ms,
            connect_timeout_ms=self.limits.connect_timeout_ms,
            drain_notice_ms=self.routing.drain_grace_ms,
            max_open_requests=self.limits.max_open,
            hedging_allowed=self.routing.second_copies,
            health_checks_allowed=self.routing.probes,
            max_sockets=platform.descriptors(self.limits.sockets),
            memory_limit_mb=self.limits.memory_mb,
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
        bounds=told.bounds(),
        known={"seq": 0, "hosts": [_known(row) for row in told.discovery.known]},
        ops=_address(given, "ops") if given["ops"] else None,
        inherited=platform.descriptor(environ.get("LB_INHERITED_FD")),
        state=told.node.state_dir or environ.get("TMPDIR") or None,
        on_disk=bool(told.node.state_dir),
        control=Control(told.control.addresses(), told.control.service, told) if told.control else None,
    )


# What one document for all nodes may set: each of these tables key by key, each of these lists as a whole.
TUNED_TABLES, TUNED_LISTS = ("limits", "routing"), ("class", "tenant")
# But not where a node stands, nor what its machine has: these stay those of its own file.
OWN = {"limits": ("memory_mb", "sockets"), "routing": ("zone", "tier")}
# What a document is checked by where no node's own file is at hand.
ANY_NODE = {"node": {"listen": "127.0.0.1:1"}, "discovery": {"address": "127.0.0.1:1"}}


def tuned(base: Operator | Mapping[str, Any], document: Any) -> tuple[Settings, Limits]:
    """The settings and bounds of a node with this file of its own under a document for all nodes: the file's tables
    `limits`, `routing`, `class` and `tenant`, and `cordons`. What the document leaves out is as the file has it. The
    file may be given as plain tables, also without those that every file needs. Raises ValueError: one plain line
    that begins with the key."""
    cordons(document)
    rows: dict[str, Any] = {**ANY_NODE, **(_plain(base) if isinstance(base, Operator) else base)}
    for key, value in document.items():
        if key in TUNED_TABLES:
            if not isinstance(value, dict):
                raise ValueError(f"{key}: not a table")
            for own in OWN[key]:
                if own in value:
                    raise ValueError(f"{key}.{own}: is each node's own, and not the document's to set")
            rows[key] = {**_table(rows.get(key)), **value}
        elif key in TUNED_LISTS:
            rows[key] = value
        elif key in Operator.__struct_encode_fields__:
            raise ValueError(f"{key}: is each node's own, and not the document's to set")
        elif key != "cordons":
            raise ValueError(" ".join(str(key).split()) + ": unknown key")
    try:
        told = convert(rows, Operator, "")
    except ProblemsError as error:
        raise ValueError(_one_line(error)) from error
    return told.settings(), told.bounds()


def cordons(document: Any) -> frozenset[str]:
    """The servers that a document for all nodes takes out. ValueError as of `tuned`."""
    if not isinstance(document, dict):
        raise ValueError("document: not a table")
    names = document.get("cordons", [])
    if not isinstance(names, list) or not all(isinstance(name, str) and name for name in names):
        raise ValueError("cordons: not a list of equipos' names")
    return frozenset(names)


def _plain(told: Operator) -> dict[str, Any]:
    rows: dict[str, Any] = msgspec.json.decode(msgspec.json.encode(told))
    return rows


def _table(value: Any) -> dict[str, Any]:
    return value if isinstance(value, dict) else {}


def _one_line(error: ProblemsError) -> str:
    more = len(error.problems) - 1
    return str(error.problems[0]) + (f" (and {more} more)" if more else "")


def _address(given: Mapping[str, str], key: str) -> Address:
    try:
        return parse_address(given[key])
    except ValueError as error:
        raise ConfigError(f"{key}: {error}") from error


def _known(row: EquipoTable) -> dict[str, object]:
    return {"host": row.host, "dial": row.dial, "site": row.zone, "block": row.cell, "health": "active"}
