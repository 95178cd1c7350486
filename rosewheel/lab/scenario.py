"""Scenarios: a fleet, its clients and a timeline of faults, as a TOML file.

A value may be a number or a range `[low, high]`, from which the seed draws when the plan is made. Units are the
suffixes of the names. `base` names a scenario to build on: its tables hold where the file has none.

Servers stand either in a list of tiers, each of which calls the next, or in a call graph of services (`service`).
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

BASE_DEPTH = 4  # scenarios that may build on one another
WORK_TOLERANCE = 0.01  # of the sum of the tiers' parts of the work, which is 1


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
    """A scenario as its file states it.

    Attributes:
        about: one line for the list of scenarios.
        warm_up_s: the beginning of the run, left out of the statistics.
        zone: the only zone, where no regions are given.
        propagate_deadline: a call to the next tier carries the time that its caller has left.
        chain: tiers, each of which calls the next; empty where `services` are given.
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
            raise InvalidValueError("service", "a list of tiers stands in the file as well")
        if not self.tiers:
            raise InvalidValueError("tier", "no tier")
        key = "service" if self.services else "tier"
        self._check_tiers(key)
        self._check_calls()
        self._check_regions(key)
        if self.warm_up_s >= self.seconds:
            raise InvalidValueError("warm_up_s", "nothing is left of the run")
        for index, fault in enumerate(self.faults):
            self._check_fault(f"trouble[{index}]", fault)

    @property
    def tiers(self) -> tuple[TierTable, ...]:
        """The tiers or services, whichever the file has."""
        return self.chain or self.services

    @property
    def zones(self) -> tuple[str, ...]:
        """All zones."""
        return tuple(zone for region in self.regions for zone in region.zones) or (self.zone,)

    @property
    def callees(self) -> list[list[int]]:
        """The tiers that each tier calls, in order of the calls."""
        if not self.services:
            return [[at + 1] if at + 1 < len(self.chain) else [] for at in range(len(self.chain))]
        place = {service.name: at for at, service in enumerate(self.services)}
        return [[place[call.service] for call in service.outgoing_calls] for service in self.services]

    def _check_tiers(self, key: str) -> None:
        for path, names in (("class", self.classes), (key, self.tiers)):
            if len({item.name for item in names}) != len(names):
                raise InvalidValueError(path, "duplicate name")
        for index, tier in enumerate(self.tiers):
            if tier.work == 0.0:
                raise InvalidValueError(f"{key}[{index}].work", f"a {key} that does nothing")
            if index and upper_bound(tier.calls_per_request) == 0.0:
                raise InvalidValueError(f"{key}[{index}].calls", f"a {key} that nobody calls: {tier.name}")
        total = sum(tier.work for tier in self.tiers)
        if abs(total - 1.0) > WORK_TOLERANCE:
            raise InvalidValueError(key, f"the {key}s together do {total:g} of the work, not 1")

    def _check_calls(self) -> None:
        names = [service.name for service in self.services]
        for index, service in enumerate(self.services):
            for number, call in enumerate(service.outgoing_calls):
                path = f"service[{index}].call[{number}].to"
                if call.service not in names:
                    raise InvalidValueError(path, f"no service is called {call.service!r}")
                if any(call.service == earlier.service for earlier in service.outgoing_calls[:number]):
                    raise InvalidValueError(path, f"{call.service} is called above already: say `times`")
        if self.services:
            self._check_depths(names)

    def _check_depths(self, names: list[str]) -> None:
        try:
            depths = service_graph.depths(self.callees)
        except service_graph.CallCycleError as error:
            cycle = [names[index] for index in error.cycle]
            index = error.cycle[0]
            number = [call.service for call in self.services[index].outgoing_calls].index(cycle[1])
            # A bounded depth would not do: a server's slot is held while the call below lasts, so a cycle can fill
            # all slots with calls that wait for one.
            raise InvalidValueError(
                f"service[{index}].call[{number}].to", f"calls in a circle: {' -> '.join(cycle)}"
            ) from error
        for index, depth in enumerate(depths):
            if depth == 0:
                raise InvalidValueError(
                    f"service[{index}].name", f"a service that nobody calls: {names[index]}"
                )
            if depth > service_graph.MAX_DEPTH:
                raise InvalidValueError(
                    f"service[{index}].name", f"{depth} deep; {service_graph.MAX_DEPTH} at most"
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
                    raise InvalidValueError(f"{key}[{index}].zones", f"no zone is called {zone!r}")
            if len(set(tier.zones)) != len(tier.zones):
                raise InvalidValueError(f"{key}[{index}].zones", "duplicate name")
        for index, row in enumerate(self.classes):
            # Deduplication tables belong to cells here; for a whole zone they would have to belong to zones.
            keyed = row.idempotency is Idempotency.IDEMPOTENT_WITH_KEY
            if len(zones) > 1 and keyed and row.dedup_scope is DedupScope.ZONE:
                raise InvalidValueError(
                    f"class[{index}].group", "keys kept by zone are not played with several zones"
                )

    def _check_fault(self, path: str, fault: FaultTable) -> None:
        if fault.at_s >= self.seconds:
            raise InvalidValueError(f"{path}.at_s", f"after the end of the run ({self.seconds:g} s)")
        key = "service" if fault.service else "tier"
        if fault.tier_name and fault.tier_name not in {tier.name for tier in self.tiers}:
            raise InvalidValueError(f"{path}.{key}", f"no {key} is called {fault.tier_name!r}")
        if fault.zone and fault.zone not in self.zones:
            raise InvalidValueError(f"{path}.zone", f"no zone is called {fault.zone!r}")
        if fault.region and fault.region not in {region.name for region in self.regions}:
            raise InvalidValueError(f"{path}.region", f"no region is called {fault.region!r}")
        concerns_node = fault.kind in (FaultKind.NODE_CRASH, FaultKind.NODE_UPGRADE)
        if concerns_node and fault.node_index >= self.nodes.count:
            raise InvalidValueError(f"{path}.node", f"there are {self.nodes.count} nodes, counted from 0")
        if fault.kind not in OPEN_ENDED_FAULT_KINDS and upper_bound(fault.duration_s) == 0.0:
            raise InvalidValueError(f"{path}.for_s", "it lasts no time")


BUNDLED_FOLDER = Path(__file__).parent / "scenarios"


def bundled_names() -> list[str]:
    """The names of the scenarios that come with the program."""
    return sorted(path.stem for path in BUNDLED_FOLDER.glob("*.toml"))


def load(name: str, changes: Mapping[str, object] | None = None) -> Scenario:
    """Load a scenario.

    Args:
        name: name of a bundled scenario, or path of a file.
        changes: values by dotted keys of the file, such as `clients.rate_per_s` or `trouble.0.size`.

    Raises:
        InvalidFileError: with every error of the file.
    """
    path = _path(name)
    text = read_text(path)
    rows = parse_tables(text, str(path))
    rows = _merged(_base(rows, path), rows) if "base" in rows else rows
    for key, value in (changes or {}).items():
        _change(rows, key, value, str(path))
    return convert_tables(rows, Scenario, str(path), key_lines(text))


def _path(name: str, relative_to: Path | None = None) -> Path:
    path = BUNDLED_FOLDER / f"{name}.toml"
    if "/" not in name and path.exists():
        return path
    return Path(name) if relative_to is None else relative_to.parent / name


def _base(rows: dict[str, Any], path: Path, depth: int = BASE_DEPTH) -> dict[str, Any]:
    """The tables of the scenario that this one builds on."""
    name = rows.pop("base")
    if not isinstance(name, str) or not depth:
        raise InvalidFileError(
            str(path), [Problem("base", None, "not a scenario's name, or a circle of them")]
        )
    base_path = _path(name, path)
    base = parse_tables(read_text(base_path), str(base_path))
    return _merged(_base(base, base_path, depth - 1), base) if "base" in base else base


def _merged(base: dict[str, Any], rows: dict[str, Any]) -> dict[str, Any]:
    """Tables merged key by key; anything else, lists of tables included, is replaced."""
    merged = dict(base)
    for key, other in (("tier", "service"), ("service", "tier")):
        if key in rows and other not in rows:  # a call graph replaces a list of tiers, and the reverse
            merged.pop(other, None)
    for key, value in rows.items():
        old = merged.get(key)
        both_tables = isinstance(old, dict) and isinstance(value, dict)
        merged[key] = _merged(old, value) if both_tables else value  # type: ignore[arg-type]
    return merged


def _change(rows: Any, key: str, value: object, name: str) -> None:
    *parents, last = key.split(".")
    try:
        for parent in parents:
            rows = rows[int(parent)] if isinstance(rows, list) else rows.setdefault(parent, {})
        if isinstance(rows, list):
            rows[int(last)] = value
        else:
            rows[last] = value
    except (IndexError, ValueError, TypeError, AttributeError) as error:
        raise InvalidFileError(name, [Problem(key, None, "no such place")]) from error
