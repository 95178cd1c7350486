"""What a decision module has learned, as a value that outlives its process, and how much of it still counts.

Pure: ages come in, weights go out. A part counts the less the older it is, each at a pace of its own, and
past `OLDEST_MS` nothing counts. Clocks differ between processes, so a value holds ages and never moments.
"""

from __future__ import annotations

import dataclasses
import math
from dataclasses import dataclass, field
from typing import Any

VERSION = 1
OLDEST_MS = 600_000.0  # past this age a fleet is another one
POOL_MS = (
    120_000.0  # pace of the quiet baseline and of what classes take: they change with releases, not with load
)
CURSOR_MS = 3_000.0  # pace of the cursor: it answers to the load of this moment
RATE_MS = 15_000.0  # pace of rates
SERVER_MS = 8_000.0  # pace of what is known of one server
OTHER_AIM = 100.0  # an aim that changed by more than so many times is that of another class
SAME_START_MS = 1_000.0  # two processes read one start time on clocks that they compare each for itself
CLOCKS_AGREE_MS = (
    5_000.0  # two clocks that tell ages this far apart: one of them was set, or the machine started anew
)


@dataclass(slots=True, frozen=True)
class LearnedServer:
    """One server, its times as ages in ms at the moment of saving; None: never."""

    started_ago_ms: float | None  # None: long ago
    slow: float | None = None
    errs: float = 0.0
    heard_ago_ms: float | None = None
    queue: float = 0.0
    told_ago_ms: float | None = None
    util: float | None = None
    credit: float = 0.0
    returned_ago_ms: float | None = None


@dataclass(slots=True, frozen=True)
class Learned:
    """All of it, as it was when it was saved."""

    servers: dict[str, LearnedServer] = field(default_factory=dict)
    class_ms: dict[str, float] = field(default_factory=dict)
    aims: dict[str, float] = field(default_factory=dict)  # of the classes, in ms; empty: those of today
    base: float | None = None
    level: float = 0.0
    outcomes: int = 0  # that the baseline rests on
    cursor: int = 0
    rate: float = 0.0
    peak: float = 0.0
    asked_rate: float = 0.0
    erring: float = 0.0
    usual: float = 0.0


def weight(age_ms: float, pace_ms: float) -> float:
    """The share with which something of this age still counts: 1 when new, 0 past `OLDEST_MS`."""
    return 0.0 if not 0.0 <= age_ms <= OLDEST_MS else math.exp(-age_ms / pace_ms)


def stretch(was: dict[str, float], now: dict[str, float]) -> float | None:
    """By how much larger a share of its aim an answer takes, classes having had other aims; None where what
    was learned as such shares means nothing any more. Where aims changed unlike, the most of them: a baseline
    that is too high falls within seconds, one that is too low has a node shed for minutes."""
    most = max((was[name] / aim for name, aim in now.items() if name in was), default=0.0)
    return most if 1.0 / OTHER_AIM <= most <= OTHER_AIM else None


def same_start(saved_ago_ms: float | None, age_ms: float, now_ago_ms: float | None) -> bool:
    """Whether a server is the process that it was: saved and seen now, it started at one moment."""
    if saved_ago_ms is None or now_ago_ms is None:
        return saved_ago_ms is now_ago_ms
    return abs(saved_ago_ms + age_ms - now_ago_ms) <= SAME_START_MS


def age(saved: tuple[float, float], now: tuple[float, float]) -> float | None:
    """How old a value is, in ms, by (monotonic, time of day) then and now; None where neither clock can tell.
    The monotonic clock is believed where the other agrees; a machine that started anew began it again."""
    monotonic, wall = now[0] - saved[0], now[1] - saved[1]
    if monotonic >= 0.0 and abs(monotonic - wall) <= CLOCKS_AGREE_MS:
        return monotonic
    return wall if wall >= 0.0 and monotonic < 0.0 else None


# --------------------------------------------------------------- from a file


def learned_from(row: Any) -> Learned:
    """A value that was written somewhere; ValueError where it is none. Figures that no module can have are
    refused: an absurd one would make its server always best or never used."""
    if not isinstance(row, dict):
        raise ValueError("not an object")
    servers = row.get("servers")
    if not isinstance(servers, dict):
        raise ValueError("servers is not an object")
    figures = _figures(row, Learned, {"servers", "class_ms", "aims"})
    return Learned(
        servers={
            str(name): LearnedServer(**_figures(one, LearnedServer, set())) for name, one in servers.items()
        },
        class_ms=_by_class("class_ms", row.get("class_ms")),
        aims=_by_class("aims", row.get("aims", {})),
        **figures,
    )


def _by_class(key: str, row: Any) -> dict[str, float]:
    if not isinstance(row, dict):
        raise ValueError(f"{key} is not an object")
    return {str(name): _figure(name, value) for name, value in row.items()}


def _figures(row: Any, kind: type[Learned] | type[LearnedServer], apart: set[str]) -> dict[str, Any]:
    if not isinstance(row, dict):
        raise ValueError("not an object")
    figures: dict[str, Any] = {}
    for item in dataclasses.fields(kind):
        if item.name in apart or item.name not in row:
            continue
        value = row[item.name]
        if value is None and "None" in str(item.type):
            figures[item.name] = None
        else:
            figure = _figure(item.name, value)
            figures[item.name] = int(figure) if item.type == "int" else figure
    return figures


def _figure(name: str, value: Any) -> float:
    if isinstance(value, bool) or not isinstance(value, int | float) or not 0.0 <= value < 1e12:
        raise ValueError(f"{name}: {value!r} is no figure")
    return float(value)
