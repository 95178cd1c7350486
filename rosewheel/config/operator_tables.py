"""Tables of the operator's TOML file, as typed values.

Fields are named as in the code; where the file's key differs, `field(name=...)` gives it. Names of quantities end in
their unit, if they have one.
"""

from __future__ import annotations

from typing import Annotated, Literal

import msgspec
from msgspec import Meta, field

from rosewheel.config.address import Address, parse_address
from rosewheel.config.errors import InvalidValueError
from rosewheel.policy.settings import DedupScope, Idempotency

MAX_NUMBER = 1e15  # excludes TOML's `inf`, which no timer accepts

NonNegative = Annotated[float, Meta(ge=0, lt=MAX_NUMBER)]
Positive = Annotated[float, Meta(gt=0, lt=MAX_NUMBER)]
Count = Annotated[int, Meta(ge=1)]
Index = Annotated[int, Meta(ge=0)]
Fraction = Annotated[float, Meta(ge=0, le=1)]
NonEmptyText = Annotated[str, Meta(min_length=1)]


class ConfigTable(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Base class of the tables of a configuration file."""

    def check_addresses(self, *names: str) -> None:
        """Check that each of these fields is empty or a valid address.

        Raises:
            InvalidValueError: a field is neither; the error has the key of the first one.
        """
        keys = {item.name: item.encode_name for item in msgspec.structs.fields(self)}
        for name in names:
            value = getattr(self, name)
            if not value:
                continue
            try:
                parse_address(value)
            except ValueError as error:
                raise InvalidValueError(keys[name], str(error)) from error


class NodeTable(ConfigTable, frozen=True, kw_only=True):
    """Table `node`: name, addresses and state of the node.

    Attributes:
        name: name of the node in logs.
        listen_address: address that clients connect to.
        admin_address: address of the admin server; empty to run without one.
        seed: hexadecimal seed of the random number generator; empty for a random seed.
        state_folder: folder for files that outlive the process; if empty, $TMPDIR; if that is unset, no files are kept.
    """

    name: NonEmptyText = "node"
    listen_address: NonEmptyText = field(name="listen")
    admin_address: str = field(name="ops", default="")
    seed: Annotated[str, Meta(pattern="^[0-9a-f]{0,32}$")] = ""
    state_folder: str = field(name="state_dir", default="")

    def __post_init__(self) -> None:
        self.check_addresses("listen_address", "admin_address")


class EndpointTable(ConfigTable, frozen=True, kw_only=True):
    """Table `discovery.known`: an endpoint to use until discovery has answered.

    Attributes:
        host: name of the server.
        address: address of the server.
        zone: zone of the server.
        cell: number of its cell within the zone.
    """

    host: NonEmptyText
    address: NonEmptyText = field(name="dial")
    zone: str = ""
    cell: Index = 0

    def __post_init__(self) -> None:
        self.check_addresses("address")


class DiscoveryTable(ConfigTable, frozen=True, kw_only=True):
    """Table `discovery`: the source of endpoint lists.

    Attributes:
        address: address of discovery.
        poll: whether the node polls the endpoint list; otherwise discovery pushes it.
        initial_endpoints: endpoint list to use until discovery has answered.
    """

    address: NonEmptyText
    poll: bool = field(name="ask", default=False)
    initial_endpoints: tuple[EndpointTable, ...] = field(name="known", default=())

    def __post_init__(self) -> None:
        self.check_addresses("address")


class LimitsTable(ConfigTable, frozen=True, kw_only=True):
    """Table `limits`: limits that the node enforces independently of its policy.

    Attributes:
        memory_mb: limit of memory, in MiB.
        sockets: limit of file descriptors; the system's limit applies if it is lower.
        max_open: limit of requests without a final response.
        connect_timeout_ms: time limit for opening a connection to a server.
        connection_idle_ms: how long servers keep an idle connection open.
    """

    memory_mb: Annotated[float, Meta(ge=32)] = 128.0
    sockets: Annotated[int, Meta(ge=64)] = 1024
    max_open: Count = 20000
    connect_timeout_ms: Positive = 250.0
    connection_idle_ms: Positive = 10000.0


class RoutingTable(ConfigTable, frozen=True, kw_only=True):
    """Table `routing`: how the node forwards requests. `policy.settings.Settings` documents the other fields.

    Attributes:
        hedging: whether a request may have several attempts in flight at once.
        may_probe: whether the node may send health checks.
        drain_grace_ms: time within which the node has to learn that a server is draining.
    """

    zone: str = ""
    tier: Index = 0
    balancer_count: Count = field(name="siblings", default=1)
    max_attempts: Count = 3
    may_cancel: bool = field(name="cancel", default=True)
    hedging: bool = field(name="second_copies", default=True)
    may_probe: bool = field(name="probes", default=False)
    retry_after: bool = True
    max_retry_after_ms: NonNegative = 2000.0
    cross_zone_cost: NonNegative = field(name="cross_zone_price", default=0.0)
    weight_by_work: bool = field(name="worth_by_work", default=False)
    over_quota_weight: Fraction = field(name="over_share_worth", default=1.0)
    warm_up_initial_share: Annotated[float, Meta(gt=0, le=1)] = field(name="cold_from", default=1.0)
    warm_up_ms: NonNegative = field(name="cold_ms", default=0.0)
    overload_factor: Positive = 4.0
    overload_window_ms: Positive = field(name="tip_after_ms", default=1500.0)
    drain_grace_ms: Positive = 400.0


class ClassTable(ConfigTable, frozen=True, kw_only=True):
    """Table `class`: a class of requests. `policy.settings.ServiceClass` documents the fields."""

    name: NonEmptyText
    latency_objective_ms: Positive = field(name="aim_ms")
    deadline_ms: Positive = field(name="give_up_ms")
    priority_weight: NonNegative = field(name="worth", default=1.0)
    late_weight: Fraction = field(name="late_worth", default=0.0)
    idempotency: Idempotency = field(name="effect", default=Idempotency.NON_IDEMPOTENT)
    dedup_scope: DedupScope = field(name="group", default=DedupScope.ALL)
    dedup_window_ms: NonNegative = field(name="memory_ms", default=0.0)
    streaming: bool = field(name="stream", default=False)

    def __post_init__(self) -> None:
        if self.latency_objective_ms > self.deadline_ms:
            raise InvalidValueError("aim_ms", "longer than give_up_ms")
        if self.idempotency is Idempotency.IDEMPOTENT_WITH_KEY and not self.dedup_window_ms:
            raise InvalidValueError(
                "memory_ms", "a keyed class needs the time for which servers remember a key"
            )


class TenantTable(ConfigTable, frozen=True, kw_only=True):
    """Table `tenant`: a tenant and its quota in requests per second."""

    name: NonEmptyText
    quota_per_s: NonNegative


class ControlTable(ConfigTable, frozen=True, kw_only=True):
    """Table `control`: the control machines that provide the fleet's configuration.

    Attributes:
        machines: the control machines, each as `NAME=ADDRESS:PORT`.
        service: name of the service that this node belongs to.
    """

    machines: Annotated[tuple[NonEmptyText, ...], Meta(min_length=1)]
    service: NonEmptyText

    def __post_init__(self) -> None:
        self.addresses()

    def addresses(self) -> dict[str, Address]:
        """Return the addresses of the control machines by name.

        Raises:
            InvalidValueError: an entry is malformed or repeats a name.
        """
        addresses: dict[str, Address] = {}
        for machine in self.machines:
            name, equals, address = machine.partition("=")
            if not equals or not name or name in addresses:
                raise InvalidValueError(
                    "machines", f"{machine!r} is not NAME=ADDRESS:PORT with a unique name"
                )
            try:
                addresses[name] = parse_address(address)
            except ValueError as error:
                raise InvalidValueError("machines", str(error)) from error
        return addresses


class LogTable(ConfigTable, frozen=True, kw_only=True):
    """Table `log`: format and lowest level of log lines."""

    form: Literal["plain", "json"] = "plain"
    level: Literal["debug", "info", "warning", "error"] = "info"
