"""Scenarios: a fleet, its clients and a timeline of troubles, as a TOML file.

A figure may be a number or a range `[low, high]`; a range is drawn by the seed when the plan is made. Times are in
the unit that the key's ending tells. `base` names a scenario to build on: its tables hold where this one says nothing.

Equipos stand either in a list of tiers, each of which calls the next, or in a graph of services (`service`), each of
which says whom it calls. Everything else is the same for both.
"""

from __future__ import annotations

import math
from collections.abc import Mapping
from pathlib import Path
from typing import Annotated, Any, Literal

import msgspec
from msgspec import Meta

from rosewheel.config.checked import KeyedError, Problem, ProblemsError, convert, places, tables, text_of
from rosewheel.lab import service_graph
from rosewheel.lab.tables import (
    ClassTable,
    Count,
    Name,
    Natural,
    NetworkTable,
    Positive,
    Range,
    RegionTable,
    ServiceTable,
    Share,
    Table,
    TierTable,
    upper_bound,
)

FaultKind = Literal[
    "slow",
    "neighbour",
    "errors",
    "deploy",
    "discovery-lag",
    "discovery-stall",
    "discovery-break",
    "faults",
    "crash",
    "vanish",
    "node-crash",
    "node-upgrade",
    "surge",
    "node-loss",
    "discovery-storm",
    "front-shift",
    "retry-storm",
    "loss",
    "cut-off",
]
ZONE_FAULT_KINDS = ("loss", "cut-off")  # of a zone or a region, and of all that lies in it
ZONAL_FAULT_KINDS = (*ZONE_FAULT_KINDS, "slow", "neighbour", "errors", "crash", "vanish")
ConnectionFaultKind = Literal["refuse", "reset", "silence", "delay", "half", "spoilt"]
# Without an end: an equipo stays away, a node is started again at once.
OPEN_ENDED_FAULT_KINDS = ("crash", "node-crash", "node-upgrade", "node-loss")
SIZED_FAULT_KINDS = (
    "slow",
    "neighbour",
    "errors",
    "deploy",
    "discovery-lag",
    "surge",
    "discovery-storm",
    "retry-storm",
)


class ClientsTable(Table, frozen=True, kw_only=True):
    rate_per_s: Positive
    shape: tuple[tuple[float, float], ...] = ()  # [part of the run, factor] points, joined by straight lines
    burst_cv: Natural = 0.0  # how much the rate varies from one stretch of `burst_ms` to the next
    burst_ms: Positive = 100.0
    retries: Annotated[int, Meta(ge=0, le=10)] = 2
    try_share: Range = (0.5, 0.8)  # a try is given up after this share of the class's give-up time
    backoff_ms: Range = (120.0, 1000.0)
    honour: Range = 0.85  # share of the clients that heed Retry-After
    new_connection: Share = 0.0  # share of the requests that come on a connection of their own

    def __post_init__(self) -> None:
        self._ordered("try_share", "backoff_ms", "honour")
        if any(not (0.0 <= at <= 1.0 and 0.0 <= factor < math.inf) for at, factor in self.shape):
            raise KeyedError("shape", "a part of the run outside 0 to 1, or a factor below zero")
        if any(a[0] >= b[0] for a, b in zip(self.shape, self.shape[1:], strict=False)):
            raise KeyedError("shape", "points that do not follow one another")
        if self.shape and not any(factor > 0 for _, factor in self.shape):
            raise KeyedError("shape", "no point is above zero: nobody would ask anything")


class NodesTable(Table, frozen=True, kw_only=True):
    count: Count = 2
    shares: tuple[Positive, ...] = ()  # of the clients, dealt to the first nodes; each of the others counts 1
    notice_ms: Range = (1100.0, 3700.0)  # until clients learn that a node is dead, or back
    memory_mb: Positive = 192.0
    sockets: Annotated[int, Meta(ge=64)] = 1024
    max_attempts: Count = 6
    retry_after: bool = True
    max_retry_after_ms: Natural = 2000.0
    second_copies: bool = True
    cancel: bool = True
    keeps: bool = True  # a node that starts again finds what the one before it had learned
    spread_s: Natural = (
        2.0  # `simulate`: over how long the nodes' starts are spread, and with them their periods
    )

    def __post_init__(self) -> None:
        self._ordered("notice_ms")
        if len(self.shares) > self.count:
            raise KeyedError("shares", f"{len(self.shares)} shares for {self.count} nodes")

    def share(self, name: str) -> float:
        """What this node of the front counts when clients are dealt out."""
        number = int(name[1:])
        return self.shares[number] if number < len(self.shares) else 1.0


class DiscoveryTable(Table, frozen=True, kw_only=True):
    add_ms: Range = (420.0, 3200.0)  # until a start is told
    notice_ms: Range = (790.0, 7300.0)  # until a drain or a planned stop is told
    silent_ms: Range = (4000.0, 13000.0)  # until an equipo that died is told of
    spread_ms: Range = (170.0, 560.0)  # from the first node that hears of it to the last

    def __post_init__(self) -> None:
        self._ordered("add_ms", "notice_ms", "silent_ms", "spread_ms")


class RulesTable(Table, frozen=True, kw_only=True):
    drain_ms: Natural = 400.0
    slack_ms: Natural = 50.0
    tip_multiple: Positive = 4.0
    tip_ms: Positive = 1500.0
    stated_cold_from: Annotated[float, Meta(gt=0, le=1)] = 0.12
    stated_cold_s: Natural = 24.0


class FaultTable(Table, frozen=True, kw_only=True):
    kind: FaultKind
    at_s: Natural
    for_s: Range = 0.0
    tier: str = ""  # whose equipos; empty: the first tier, or all in the zone or region that is named
    service: str = ""  # the same, by the word that a graph has for it
    zone: str = ""  # of these equipos, only those that stand there
    region: str = ""
    # of the tier's equipos; of the connections for `faults`; of the front's nodes for `node-loss` (those that die) and
    # `front-shift` (those that all clients are dealt to)
    part: Share = 1.0
    size: Range = 0.0  # slow: times slower. neighbour: share taken. deploy: share of a tier at a time.
    # errors: the share of what comes that is answered with an error at once, and not worked on.
    # discovery-lag: seconds. surge: factor of the load. discovery-storm: how often all are told as leaving and as
    # back, each time at once. retry-storm: tries more than usual, and without much of a wait.
    on_s: Range = (1.2, 4.5)  # neighbour: how long it is on, or off, at a time
    drain_s: Range = (3.6, 5.6)  # deploy: from the drain to the stop
    boot_s: Range = 1.0  # deploy: from the drain to the start of what follows
    fresh: bool = False  # errors, slow: of those that the deploys before it in the file have started by then
    cold: bool = False  # vanish: what comes back is a new process
    how: ConnectionFaultKind = "reset"
    delay_ms: Natural = 500.0  # faults: of `delay`
    node: Annotated[int, Meta(ge=0)] = 0  # node-crash, node-upgrade: which of the front's
    # node-upgrade: which process is killed outright in the middle of it. `starting`: the new one, before the old one
    # is told to stop; `new`, `old`: after that. A process that is killed last of its node is started again.
    kills: Literal["", "starting", "new", "old"] = ""
    kill_ms: Range = 0.0  # how long after the new one was started, or the old one told to stop

    @property
    def where(self) -> str:
        """The tier or service that it names, if any."""
        return self.service or self.tier

    def __post_init__(self) -> None:
        self._ordered("for_s", "size", "on_s", "drain_s", "boot_s", "kill_ms")
        self._check_area()
        if self.kills and self.kind != "node-upgrade":
            raise KeyedError("kills", f"no process is killed by a trouble of kind {self.kind}")
        if self.kind in SIZED_FAULT_KINDS and self.size == 0.0:
            raise KeyedError("size", f"a trouble of kind {self.kind} needs one above zero")
        if self.cold and self.kind != "vanish":
            raise KeyedError("cold", f"a trouble of kind {self.kind} brings nothing back that could be")
        if self.fresh and self.kind not in ("errors", "slow"):
            raise KeyedError(
                "fresh", f"a trouble of kind {self.kind} does not tell new equipos from old ones"
            )
        if self.kind == "errors" and upper_bound(self.size) > 1.0:
            raise KeyedError("size", "more than all of what comes")
        if self.kind == "neighbour" and upper_bound(self.size) >= 1.0:
            raise KeyedError("size", "the other program leaves nothing")

    def _check_area(self) -> None:
        if self.tier and self.service:
            raise KeyedError("service", "a tier is named as well")
        if self.zone and self.region:
            raise KeyedError("region", "a zone is named as well")
        area = "zone" if self.zone else "region" if self.region else ""
        if area and self.kind not in ZONAL_FAULT_KINDS:
            raise KeyedError(area, f"a trouble of kind {self.kind} is not held to a {area}")
        if self.kind in ZONE_FAULT_KINDS:
            if not area:
                raise KeyedError("zone", f"a trouble of kind {self.kind} needs a zone or a region")
            if self.where or self.part != 1.0:
                raise KeyedError(
                    "part" if self.part != 1.0 else "service" if self.service else "tier",
                    f"a trouble of kind {self.kind} befalls all that lies there",
                )


class Scenario(Table, frozen=True, kw_only=True):
    name: Name
    seconds: Positive
    seed: Annotated[int, Meta(ge=0)] = 1
    about: str = ""
    warm_up_s: Natural = 0.0  # at the beginning, left out of the figures
    zone: str = "sala"
    passes_deadline: bool = True  # a call carries the time its caller has left
    classes: tuple[ClassTable, ...] = msgspec.field(name="class")
    chain: tuple[TierTable, ...] = msgspec.field(name="tier", default=())
    services: tuple[ServiceTable, ...] = msgspec.field(name="service", default=())
    regions: tuple[RegionTable, ...] = msgspec.field(name="region", default=())
    network: NetworkTable = NetworkTable()
    clients: ClientsTable
    nodes: NodesTable = NodesTable()
    discovery: DiscoveryTable = DiscoveryTable()
    rules: RulesTable = RulesTable()
    troubles: tuple[FaultTable, ...] = msgspec.field(name="trouble", default=())

    def __post_init__(self) -> None:
        if not self.classes:
            raise KeyedError("class", "no class of requests")
        if self.chain and self.services:
            raise KeyedError("service", "a list of tiers stands in the file as well")
        if not self.tiers:
            raise KeyedError("tier", "no tier")
        key = "service" if self.services else "tier"
        for path, names in (("class", self.classes), (key, self.tiers)):
            if len({item.name for item in names}) != len(names):
                raise KeyedError(path, "a name stands twice")
        for at, tier in enumerate(self.tiers):
            if tier.work == 0.0:
                raise KeyedError(f"{key}[{at}].work", f"a {key} that does nothing")
            if at and upper_bound(tier.calls) == 0.0:
                raise KeyedError(f"{key}[{at}].calls", f"a {key} that nobody calls: {tier.name}")
        total = sum(tier.work for tier in self.tiers)
        if abs(total - 1.0) > 0.01:
            raise KeyedError(key, f"the {key}s together do {total:g} of the work, not 1")
        self._check_calls()
        self._check_regions(key)
        if self.warm_up_s >= self.seconds:
            raise KeyedError("warm_up_s", "nothing is left of the run")
        for at, trouble in enumerate(self.troubles):
            self._check_trouble(f"trouble[{at}]", trouble)

    @property
    def tiers(self) -> tuple[TierTable, ...]:
        """Tiers or services: whichever the file has."""
        return self.chain or self.services

    @property
    def zones(self) -> tuple[str, ...]:
        """All there are."""
        return tuple(zone for region in self.regions for zone in region.zones) or (self.zone,)

    @property
    def called(self) -> list[list[int]]:
        """By tier: those that it calls, in this order."""
        if not self.services:
            return [[at + 1] if at + 1 < len(self.chain) else [] for at in range(len(self.chain))]
        place = {service.name: at for at, service in enumerate(self.services)}
        return [[place[call.to] for call in service.call] for service in self.services]

    def _check_calls(self) -> None:
        names = [service.name for service in self.services]
        for at, service in enumerate(self.services):
            for number, call in enumerate(service.call):
                path = f"service[{at}].call[{number}].to"
                if call.to not in names:
                    raise KeyedError(path, f"no service is called {call.to!r}")
                if any(call.to == one.to for one in service.call[:number]):
                    raise KeyedError(path, f"{call.to} is called above already: say `times`")
        if not self.services:
            return
        try:
            deep = service_graph.depths(self.called)
        except service_graph.CallCycleError as error:
            way = [names[at] for at in error.circle]
            at = error.circle[0]
            number = [call.to for call in self.services[at].call].index(way[1])
            # Not a bounded depth: a slot is held for as long as the call below it takes, so a circle can hold all
            # its slots with calls that wait for one.
            raise KeyedError(
                f"service[{at}].call[{number}].to", f"calls in a circle: {' -> '.join(way)}"
            ) from error
        for at, level in enumerate(deep):
            if level == 0:
                raise KeyedError(f"service[{at}].name", f"a service that nobody calls: {names[at]}")
            if level > service_graph.MAX_DEPTH:
                raise KeyedError(f"service[{at}].name", f"{level} deep; {service_graph.MAX_DEPTH} at most")

    def _check_regions(self, key: str) -> None:
        zones = [zone for region in self.regions for zone in region.zones]
        for path, names in (("name", [region.name for region in self.regions]), ("zones", zones)):
            for at in range(len(self.regions)):
                if len(set(names)) != len(names):
                    raise KeyedError(f"region[{at}].{path}", "a name stands twice")
        for at, tier in enumerate(self.tiers):
            for zone in tier.zones:
                if zone not in zones:
                    raise KeyedError(f"{key}[{at}].zones", f"no zone is called {zone!r}")
            if len(set(tier.zones)) != len(tier.zones):
                raise KeyedError(f"{key}[{at}].zones", "a name stands twice")
        for at, row in enumerate(self.classes):
            # What equipos remember is kept by grupo here; for a whole zone it would have to be by zone.
            if len(zones) > 1 and row.effect == "keyed" and row.group == "zone":
                raise KeyedError(f"class[{at}].group", "keys kept by zone are not played with several zones")

    def _check_trouble(self, path: str, trouble: FaultTable) -> None:
        if trouble.at_s >= self.seconds:
            raise KeyedError(f"{path}.at_s", f"after the end of the run ({self.seconds:g} s)")
        key = "service" if trouble.service else "tier"
        if trouble.where and trouble.where not in {tier.name for tier in self.tiers}:
            raise KeyedError(f"{path}.{key}", f"no {key} is called {trouble.where!r}")
        if trouble.zone and trouble.zone not in self.zones:
            raise KeyedError(f"{path}.zone", f"no zone is called {trouble.zone!r}")
        if trouble.region and trouble.region not in {region.name for region in self.regions}:
            raise KeyedError(f"{path}.region", f"no region is called {trouble.region!r}")
        if trouble.kind in ("node-crash", "node-upgrade") and trouble.node >= self.nodes.count:
            raise KeyedError(f"{path}.node", f"there are {self.nodes.count} nodes, counted from 0")
        if trouble.kind not in OPEN_ENDED_FAULT_KINDS and upper_bound(trouble.for_s) == 0.0:
            raise KeyedError(f"{path}.for_s", "it lasts no time")


BUNDLED_FOLDER = Path(__file__).parent / "scenarios"


def bundled_names() -> list[str]:
    """The names of the scenarios that come with the program."""
    return sorted(path.stem for path in BUNDLED_FOLDER.glob("*.toml"))


def load(name: str, changes: Mapping[str, object] | None = None) -> Scenario:
    """A shipped scenario by name, or a file by path, with some keys changed (`clients.rate_per_s`, `trouble.0.size`).
    ProblemsError with all that is wrong."""
    path = _path(name)
    text = text_of(path)
    rows = tables(text, str(path))
    rows = _merged(_base(rows, path), rows) if "base" in rows else rows
    for key, value in (changes or {}).items():
        _change(rows, key, value, str(path))
    return convert(rows, Scenario, str(path), places(text))


def _path(name: str, beside: Path | None = None) -> Path:
    path = BUNDLED_FOLDER / f"{name}.toml"
    if "/" not in name and path.exists():
        return path
    return Path(name) if beside is None else beside.parent / name


def _base(rows: dict[str, Any], path: Path, depth: int = 4) -> dict[str, Any]:
    """The tables of the scenario that this one builds on."""
    name = rows.pop("base")
    if not isinstance(name, str) or not depth:
        raise ProblemsError(str(path), [Problem("base", None, "not a scenario's name, or a circle of them")])
    below = _path(name, path)
    told = tables(text_of(below), str(below))
    return _merged(_base(told, below, depth - 1), told) if "base" in told else told


def _merged(base: dict[str, Any], rows: dict[str, Any]) -> dict[str, Any]:
    """Tables key by key, all else (lists of tables as well) as the newer one has it."""
    both = dict(base)
    for key, other in (("tier", "service"), ("service", "tier")):
        if key in rows and other not in rows:  # a graph in place of a list of tiers, or the other way round
            both.pop(other, None)
    for key, value in rows.items():
        old = both.get(key)
        both[key] = _merged(old, value) if isinstance(old, dict) and isinstance(value, dict) else value
    return both


def _change(rows: Any, key: str, value: object, name: str) -> None:
    *way, last = key.split(".")
    try:
        for step in way:
            rows = rows[int(step)] if isinstance(rows, list) else rows.setdefault(step, {})
        if isinstance(rows, list):
            rows[int(last)] = value
        else:
            rows[last] = value
    except (IndexError, ValueError, TypeError, AttributeError) as error:
        raise ProblemsError(name, [Problem(key, None, "no such place")]) from error
