"""Scenarios: a fleet, its clients and a timeline of troubles, as a TOML file.

A figure may be a number or a range `[low, high]`; a range is drawn by the seed when the plan is made. Times are in
the unit that the key's ending tells. `base` names a scenario to build on: its tables hold where this one says nothing.
"""

from __future__ import annotations

import math
from collections.abc import Mapping
from pathlib import Path
from typing import Annotated, Any, Literal

import msgspec
from msgspec import Meta

from rosewheel.config.checked import KeyedError, Problem, ProblemsError, convert, places, tables, text_of

Share = Annotated[float, Meta(ge=0, le=1)]
Positive = Annotated[float, Meta(gt=0)]
Natural = Annotated[float, Meta(ge=0)]
Count = Annotated[int, Meta(ge=1)]
Range = (
    float | tuple[float, float]
)  # its bounds are checked by the table: msgspec 0.23 crashes on them in a tuple
Name = Annotated[str, Meta(pattern=r"^[a-z0-9][a-z0-9-]{0,39}$")]

TROUBLES = Literal[
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
]
FAULTS = Literal["refuse", "reset", "silence", "delay", "half", "spoilt"]
# Without an end: an equipo stays away, a node is started again at once.
ENDLESS = ("crash", "node-crash", "node-upgrade", "node-loss")
NEEDS_SIZE = (
    "slow",
    "neighbour",
    "errors",
    "deploy",
    "discovery-lag",
    "surge",
    "discovery-storm",
    "retry-storm",
)


class Table(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """One table of the file; unknown keys are errors."""

    def _ordered(self, *keys: str) -> None:
        """Ranges, or single figures in their place: none below zero, none that ends below its beginning."""
        for key in keys:
            value = getattr(self, key)
            low, high = value if isinstance(value, tuple) else (value, value)
            if not 0.0 <= low <= high < math.inf:
                raise KeyedError(key, "not a number from zero up, or a range that ends below its beginning")


class ClassTable(Table, frozen=True, kw_only=True):
    name: Name
    share: Positive  # of the requests; all shares together count as the whole
    work_ms: Range  # mean work over all tiers, in ms of a yardstick core
    cv: Range = 0.5  # of the work, from request to request
    distribution: Literal["lognormal", "exp", "fixed"] = "lognormal"
    attempt_noise: Range = 0.0  # cv of what the same request takes at one equipo or another
    aim_ms: Positive = 2500.0
    give_up_ms: Positive = 6000.0
    worth: Natural = 1.0
    effect: Literal["safe", "keyed", "unsafe"] = "unsafe"
    group: Literal["all", "zone", "cell"] = "all"
    memory_ms: Natural = 10000.0
    body_bytes: Annotated[int, Meta(ge=0, le=32 << 20)] = 200
    answer_bytes: Annotated[int, Meta(ge=1, le=32 << 20)] = 200

    def __post_init__(self) -> None:
        self._ordered("work_ms", "cv", "attempt_noise")
        if self.aim_ms > self.give_up_ms:
            raise KeyedError("aim_ms", "an answer is wanted after the client has given up")


class ChokeTable(Table, frozen=True, kw_only=True):
    """The lasting slowdown of an equipo with far more waiting than cores."""

    at: Range = (4.0, 7.0)
    over_s: Range = (1.5, 2.5)
    slower: Range = (2.0, 3.5)
    rest_s: Range = (2.4, 4.5)
    below: Range = (0.25, 0.4)
    most_s: Range = (16.0, 27.0)

    def __post_init__(self) -> None:
        self._ordered("at", "over_s", "slower", "rest_s", "below", "most_s")


class KindTable(Table, frozen=True, kw_only=True):
    name: Name
    count: Annotated[int, Meta(ge=0)]
    cores: Count = 2
    speed: Range = 1.0
    speeds: tuple[Positive, ...] = ()  # each equipo's own, in place of `speed`
    slots: Range = (28, 66)
    queue: Range = (3, 8)
    thrash: Range = 0.0
    knee: Range = (25.0, 44.0)
    cold_from: Range = (0.12, 0.33)
    cold_s: Range = (10.0, 24.0)
    pause_every_s: Range = (2.2, 12.0)
    pause_ms: Range = 0.0
    pause_grow: Range = 0.0
    error_rate: Range = 0.0

    def __post_init__(self) -> None:
        self._ordered("speed", "slots", "queue", "thrash", "knee", "cold_from", "cold_s")
        self._ordered("pause_every_s", "pause_ms", "pause_grow", "error_rate")
        if self.speeds and len(self.speeds) != self.count:
            raise KeyedError("speeds", f"{len(self.speeds)} speeds for {self.count} equipos")


class ReportTable(Table, frozen=True, kw_only=True):
    """What answers tell of an equipo's queue."""

    period_ms: Range = (57.0, 420.0)
    delay_ms: Range = (24.0, 110.0)
    noise: Range = (0.044, 0.18)
    on: bool = True

    def __post_init__(self) -> None:
        self._ordered("period_ms", "delay_ms", "noise")


class TierTable(Table, frozen=True, kw_only=True):
    name: Name
    work: Share  # the part of a request's work that this tier does
    calls: Range = 1.0  # how often a request of the tier above calls this one, on average
    cell_size: Count = 8
    kind: tuple[KindTable, ...]
    choke: ChokeTable | None = ChokeTable()
    report: ReportTable = ReportTable()
    connections_per_core: Range = (600.0, 900.0)
    connection_tax: Range = (0.15, 0.31)
    handshake_ms: Range = (0.95, 3.0)
    probe_ms: Range = (0.045, 0.091)

    def __post_init__(self) -> None:
        self._ordered("calls", "connections_per_core", "connection_tax", "handshake_ms", "probe_ms")
        if sum(kind.count for kind in self.kind) == 0:
            raise KeyedError("kind", "a tier without equipos")


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


class TroubleTable(Table, frozen=True, kw_only=True):
    kind: TROUBLES
    at_s: Natural
    for_s: Range = 0.0
    tier: str = ""  # whose equipos; empty: the first tier
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
    how: FAULTS = "reset"
    delay_ms: Natural = 500.0  # faults: of `delay`
    node: Annotated[int, Meta(ge=0)] = 0  # node-crash, node-upgrade: which of the front's
    # node-upgrade: which process is killed outright in the middle of it. `starting`: the new one, before the old one
    # is told to stop; `new`, `old`: after that. A process that is killed last of its node is started again.
    kills: Literal["", "starting", "new", "old"] = ""
    kill_ms: Range = 0.0  # how long after the new one was started, or the old one told to stop

    def __post_init__(self) -> None:
        self._ordered("for_s", "size", "on_s", "drain_s", "boot_s", "kill_ms")
        if self.kills and self.kind != "node-upgrade":
            raise KeyedError("kills", f"no process is killed by a trouble of kind {self.kind}")
        if self.kind in NEEDS_SIZE and self.size == 0.0:
            raise KeyedError("size", f"a trouble of kind {self.kind} needs one above zero")
        if self.cold and self.kind != "vanish":
            raise KeyedError("cold", f"a trouble of kind {self.kind} brings nothing back that could be")
        if self.fresh and self.kind not in ("errors", "slow"):
            raise KeyedError(
                "fresh", f"a trouble of kind {self.kind} does not tell new equipos from old ones"
            )
        if self.kind == "errors" and _top(self.size) > 1.0:
            raise KeyedError("size", "more than all of what comes")
        if self.kind == "neighbour" and _top(self.size) >= 1.0:
            raise KeyedError("size", "the other program leaves nothing")


class Scenario(Table, frozen=True, kw_only=True):
    name: Name
    seconds: Positive
    seed: Annotated[int, Meta(ge=0)] = 1
    about: str = ""
    warm_up_s: Natural = 0.0  # at the beginning, left out of the figures
    zone: str = "sala"
    passes_deadline: bool = True  # a call carries the time its caller has left
    classes: tuple[ClassTable, ...] = msgspec.field(name="class")
    tiers: tuple[TierTable, ...] = msgspec.field(name="tier")
    clients: ClientsTable
    nodes: NodesTable = NodesTable()
    discovery: DiscoveryTable = DiscoveryTable()
    rules: RulesTable = RulesTable()
    troubles: tuple[TroubleTable, ...] = msgspec.field(name="trouble", default=())

    def __post_init__(self) -> None:
        if not self.classes:
            raise KeyedError("class", "no class of requests")
        if not self.tiers:
            raise KeyedError("tier", "no tier")
        for key, names in (("class", self.classes), ("tier", self.tiers)):
            if len({item.name for item in names}) != len(names):
                raise KeyedError(key, "a name stands twice")
        for at, tier in enumerate(self.tiers):
            if tier.work == 0.0:
                raise KeyedError(f"tier[{at}].work", "a tier that does nothing")
            if at and _top(tier.calls) == 0.0:
                raise KeyedError(f"tier[{at}].calls", f"a tier that nobody calls: {tier.name}")
        total = sum(tier.work for tier in self.tiers)
        if abs(total - 1.0) > 0.01:
            raise KeyedError("tier", f"the tiers together do {total:g} of the work, not 1")
        if self.warm_up_s >= self.seconds:
            raise KeyedError("warm_up_s", "nothing is left of the run")
        for at, trouble in enumerate(self.troubles):
            self._check_trouble(f"trouble[{at}]", trouble)

    def _check_trouble(self, path: str, trouble: TroubleTable) -> None:
        if trouble.at_s >= self.seconds:
            raise KeyedError(f"{path}.at_s", f"after the end of the run ({self.seconds:g} s)")
        if trouble.tier and trouble.tier not in {tier.name for tier in self.tiers}:
            raise KeyedError(f"{path}.tier", f"no tier is called {trouble.tier!r}")
        if trouble.kind in ("node-crash", "node-upgrade") and trouble.node >= self.nodes.count:
            raise KeyedError(f"{path}.node", f"there are {self.nodes.count} nodes, counted from 0")
        if trouble.kind not in ENDLESS and _top(trouble.for_s) == 0.0:
            raise KeyedError(f"{path}.for_s", "it lasts no time")


def _top(value: Range) -> float:
    return value[1] if isinstance(value, tuple) else value


SHIPPED = Path(__file__).parent / "scenarios"


def shipped() -> list[str]:
    """The names of the scenarios that come with the program."""
    return sorted(path.stem for path in SHIPPED.glob("*.toml"))


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
    path = SHIPPED / f"{name}.toml"
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
