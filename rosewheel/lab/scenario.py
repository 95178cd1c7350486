"""Scenarios: TOML files that describe a fleet, its clients and a timeline of faults.

The key `base` names a scenario whose values apply where the file has none. Servers are described either by a list of
tiers, each of which calls the next, or by a call graph of services.
"""

from __future__ import annotations

from collections.abc import Mapping
from pathlib import Path
from typing import Annotated, Any

from msgspec import Meta

from rosewheel.config.errors import InvalidFileError, InvalidValueError, Problem
from rosewheel.config.toml_file import key_lines, parse_tables, read_text
from rosewheel.config.typed_tables import convert_tables
from rosewheel.lab import service_graph
from rosewheel.lab.fault_table import OPEN_ENDED_FAULT_KINDS, FaultKind, FaultTable
from rosewheel.lab.run_tables import ClientsTable, DiscoveryTable, NodesTable, RulesTable
from rosewheel.lab.tables import (
    ClassTable,
    Name,
    NetworkTable,
    NonNegative,
    Positive,
    RegionTable,
    ServiceTable,
    Table,
    TierTable,
    upper_bound,
)
from rosewheel.policy.settings import DedupScope, Idempotency

MAX_BASE_DEPTH = 4  # maximum length of a chain of base scenarios
WORK_TOLERANCE = 0.01  # tolerance of the sum of the work of all tiers, which must be 1


class Scenario(
    Table,
    frozen=True,
    kw_only=True,
    rename={
        "propagate_deadline": "passes_deadline",
        "classes": "class",
        "chain": "tier",
        "services": "service",
        "regions": "region",
        "faults": "trouble",
    },
):
    """The contents of a scenario file.

    Attributes:
        seconds: length of the run.
        about: one-line description for the list of scenarios.
        warm_up_s: time at the start of the run that is left out of the statistics.
        zone: name of the only zone if no regions are given.
        propagate_deadline: whether a call carries the time that its caller has left.
        chain: tiers, each of which calls the next; empty if `services` are given.
        services: call graph; empty if `chain` is given.
    """

    name: Name
    seconds: Positive
    seed: Annotated[int, Meta(ge=0)] = 1
    about: str = ""
    warm_up_s: NonNegative = 0.0
    zone: str = "sala"
    propagate_deadline: bool = True
    classes: tuple[ClassTable, ...]
    chain: tuple[TierTable, ...] = ()
    services: tuple[ServiceTable, ...] = ()
    regions: tuple[RegionTable, ...] = ()
    network: NetworkTable = NetworkTable()
    clients: ClientsTable
    nodes: NodesTable = NodesTable()
    discovery: DiscoveryTable = DiscoveryTable()
    rules: RulesTable = RulesTable()
    faults: tuple[FaultTable, ...] = ()

    def __post_init__(self) -> None:
        if not self.classes:
            raise InvalidValueError("class", "at least one class is needed")
        if self.chain and self.services:
            raise InvalidValueError("service", "must not be given together with tier")
        if not self.tiers:
            raise InvalidValueError("tier", "at least one tier or service is needed")
        key = "service" if self.services else "tier"
        self._check_tiers(key)
        self._check_calls()
        self._check_regions(key)
        if self.warm_up_s >= self.seconds:
            raise InvalidValueError("warm_up_s", "must be shorter than the run")
        for index, fault in enumerate(self.faults):
            self._check_fault(f"trouble[{index}]", fault)

    @property
    def tiers(self) -> tuple[TierTable, ...]:
        """The tiers or the services, whichever are given."""
        return self.chain or self.services

    @property
    def zones(self) -> tuple[str, ...]:
        """Names of all zones."""
        return tuple(zone for region in self.regions for zone in region.zones) or (self.zone,)

    @property
    def callees(self) -> list[list[int]]:
        """Indices of the tiers that each tier calls, in order of the calls."""
        if not self.services:
            return [[i + 1] if i + 1 < len(self.chain) else [] for i in range(len(self.chain))]
        index_of = {service.name: index for index, service in enumerate(self.services)}
        return [[index_of[call.service] for call in service.outgoing_calls] for service in self.services]

    def _check_tiers(self, key: str) -> None:
        for path, names in (("class", self.classes), (key, self.tiers)):
            if len({item.name for item in names}) != len(names):
                raise InvalidValueError(path, "duplicate name")
        for index, tier in enumerate(self.tiers):
            if tier.work == 0.0:
                raise InvalidValueError(f"{key}[{index}].work", "must be above zero")
            if index and upper_bound(tier.calls_per_request) == 0.0:
                raise InvalidValueError(f"{key}[{index}].calls", f"a {key} that is never called: {tier.name}")
        total = sum(tier.work for tier in self.tiers)
        if abs(total - 1.0) > WORK_TOLERANCE:
            raise InvalidValueError(key, f"the work of all {key}s must add up to 1, not {total:g}")

    def _check_calls(self) -> None:
        names = [service.name for service in self.services]
        for index, service in enumerate(self.services):
            for number, call in enumerate(service.outgoing_calls):
                path = f"service[{index}].call[{number}].to"
                if call.service not in names:
                    raise InvalidValueError(path, f"unknown service {call.service!r}")
                if any(call.service == earlier.service for earlier in service.outgoing_calls[:number]):
                    raise InvalidValueError(
                        path, f"{call.service} is already listed; use `times` for several calls"
                    )
        if self.services:
            self._check_depths(names)

    def _check_depths(self, names: list[str]) -> None:
        try:
            depths = service_graph.depths(self.callees)
        except service_graph.CallCycleError as error:
            cycle = [names[index] for index in error.cycle]
            index = error.cycle[0]
            number = [call.service for call in self.services[index].outgoing_calls].index(cycle[1])
            # A server holds a slot during its own calls, so in a cycle all slots may be held by calls that wait for
            # one. Limiting the depth of calls would not prevent this deadlock.
            raise InvalidValueError(
                f"service[{index}].call[{number}].to", f"circular calls: {' -> '.join(cycle)}"
            ) from error
        for index, depth in enumerate(depths):
            if depth == 0:
                raise InvalidValueError(
                    f"service[{index}].name", f"a service that is never called: {names[index]}"
                )
            if depth > service_graph.MAX_DEPTH:
                raise InvalidValueError(
                    f"service[{index}].name", f"call depth {depth}, at most {service_graph.MAX_DEPTH}"
                )

    def _check_regions(self, key: str) -> None:
        zones = [zone for region in self.regions for zone in region.zones]
        for path, names in (("name", [region.name for region in self.regions]), ("zones", zones)):
            for index in range(len(self.regions)):
                if len(set(names)) != len(names):
                    raise InvalidValueError(f"region[{index}].{path}", "duplicate name")
        for index, tier in enumerate(self.tiers):
            for zone in tier.zones:
                if zone not in zones:
                    raise InvalidValueError(f"{key}[{index}].zones", f"unknown zone {zone!r}")
            if len(set(tier.zones)) != len(tier.zones):
                raise InvalidValueError(f"{key}[{index}].zones", "duplicate name")
        for index, row in enumerate(self.classes):
            # A deduplication table belongs to a cell, which lies within a zone.
            keyed = row.idempotency is Idempotency.IDEMPOTENT_WITH_KEY
            if len(zones) > 1 and keyed and row.dedup_scope is DedupScope.ZONE:
                raise InvalidValueError(
                    f"class[{index}].group", "group zone is not supported with several zones"
                )

    def _check_fault(self, path: str, fault: FaultTable) -> None:
        if fault.at_s >= self.seconds:
            raise InvalidValueError(f"{path}.at_s", f"after the end of the run ({self.seconds:g} s)")
        key = "service" if fault.service else "tier"
        if fault.tier_name and fault.tier_name not in {tier.name for tier in self.tiers}:
            raise InvalidValueError(f"{path}.{key}", f"unknown {key} {fault.tier_name!r}")
        if fault.zone and fault.zone not in self.zones:
            raise InvalidValueError(f"{path}.zone", f"unknown zone {fault.zone!r}")
        if fault.region and fault.region not in {region.name for region in self.regions}:
            raise InvalidValueError(f"{path}.region", f"unknown region {fault.region!r}")
        names_node = fault.kind in (FaultKind.NODE_CRASH, FaultKind.NODE_UPGRADE)
        if names_node and fault.node_index >= self.nodes.count:
            raise InvalidValueError(f"{path}.node", f"there are {self.nodes.count} nodes, counted from 0")
        if fault.kind not in OPEN_ENDED_FAULT_KINDS and upper_bound(fault.duration_s) == 0.0:
            raise InvalidValueError(f"{path}.for_s", "must be above zero")


BUNDLED_FOLDER = Path(__file__).parent / "scenarios"


def bundled_names() -> list[str]:
    """Return the names of the bundled scenarios."""
    return sorted(path.stem for path in BUNDLED_FOLDER.glob("*.toml"))


def load(name: str, changes: Mapping[str, object] | None = None) -> Scenario:
    """Load a scenario.

    Args:
        name: name of a bundled scenario, or path of a file.
        changes: replaced values by dotted key of the file, such as `clients.rate_per_s` or `trouble.0.size`.

    Raises:
        InvalidFileError: the file or a changed key is invalid; lists all errors of the tables.
    """
    path = _path(name)
    text = read_text(path)
    tables = parse_tables(text, str(path))
    tables = _merged(_base(tables, path), tables) if "base" in tables else tables
    for key, value in (changes or {}).items():
        _change(tables, key, value, str(path))
    return convert_tables(tables, Scenario, str(path), key_lines(text))


def _path(name: str, relative_to: Path | None = None) -> Path:
    path = BUNDLED_FOLDER / f"{name}.toml"
    if "/" not in name and path.exists():
        return path
    return Path(name) if relative_to is None else relative_to.parent / name


def _base(tables: dict[str, Any], path: Path, depth: int = MAX_BASE_DEPTH) -> dict[str, Any]:
    """Return the tables of the scenario that `base` names; removes the key from `tables`."""
    name = tables.pop("base")
    if not isinstance(name, str) or not depth:
        raise InvalidFileError(
            str(path), [Problem("base", None, "not the name of a scenario, or too long a chain of bases")]
        )
    base_path = _path(name, path)
    base = parse_tables(read_text(base_path), str(base_path))
    return _merged(_base(base, base_path, depth - 1), base) if "base" in base else base


def _merged(base: dict[str, Any], tables: dict[str, Any]) -> dict[str, Any]:
    """Return `base` with the values of `tables`: tables are merged by key, other values and lists are replaced."""
    merged = dict(base)
    for key, other in (("tier", "service"), ("service", "tier")):
        if key in tables and other not in tables:  # a call graph replaces a list of tiers, and vice versa
            merged.pop(other, None)
    for key, value in tables.items():
        old = merged.get(key)
        both_tables = isinstance(old, dict) and isinstance(value, dict)
        merged[key] = _merged(old, value) if both_tables else value  # type: ignore[arg-type]
    return merged


def _change(tables: Any, key: str, value: object, name: str) -> None:
    *parents, last = key.split(".")
    try:
        for parent in parents:
            tables = tables[int(parent)] if isinstance(tables, list) else tables.setdefault(parent, {})
        if isinstance(tables, list):
            tables[int(last)] = value
        else:
            tables[last] = value
    except (IndexError, ValueError, TypeError, AttributeError) as error:
        raise InvalidFileError(name, [Problem(key, None, "no such key")]) from error
