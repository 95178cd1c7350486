"""What a run's figures mean: when changes were in force everywhere, and which targets hold. No I/O."""

from __future__ import annotations

import math
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass, field

import numpy as np

IN_FORCE_MOST_S = 6.0
ADDED_MOST_MS = 1.4  # of 99 calls in 100
CPU_MOST = 0.034  # of a core, of a node for control
MEMORY_MOST_MB = 256.0
TRAFFIC_MOST_KB_S = 15.0
CALLS_A_S = 54_000.0
PROCESSES_MOST = 150
MEMORY_ALL_MOST_GB = 12.0


@dataclass(slots=True, frozen=True)
class Made:
    """A change: its version, its moment (ms), and the nodes that it is for."""

    version: int
    at: float
    nodes: frozenset[int]


@dataclass(slots=True)
class InForce:
    """Of some changes, how long they took; ms. A change is in force everywhere when the last node has it that could be
    reached from its moment on; a node that could not, for a time, has its own time since it could again."""

    everywhere: list[float] = field(default_factory=list)
    returned: list[float] = field(default_factory=list)
    missing: int = 0  # nodes that a change never reached, over all changes

    def row(self) -> dict[str, float | int | None]:
        return {
            "changes": len(self.everywhere),
            "p50_s": quantile(self.everywhere, 50.0),
            "p99_s": quantile(self.everywhere, 99.0),
            "most_s": quantile(self.everywhere, 100.0),
            "returned_most_s": quantile(self.returned, 100.0),
            "missing": self.missing,
        }


def quantile(values: Sequence[float], at: float) -> float | None:
    """Of values in ms, in seconds."""
    return round(float(np.percentile(values, at)) / 1000.0, 3) if values else None


def in_force(
    made: Iterable[Made],
    heard: Mapping[int, tuple[np.ndarray, np.ndarray]],
    away: Mapping[int, Sequence[tuple[float, float]]],
) -> InForce:
    """`heard`: by node the versions it had, each with its moment, in order. `away`: when a node could not be
    reached, from and to; one whose process began anew could not at that moment."""
    changes = list(made)
    at, versions = np.array([one.at for one in changes]), np.array([one.version for one in changes])
    concerned: dict[int, list[int]] = {}
    for index, change in enumerate(changes):
        for node in change.nodes:
            concerned.setdefault(node, []).append(index)
    told, most = InForce(), np.zeros(len(changes))
    nothing = (np.zeros(0, dtype=np.int64), np.zeros(0))
    for node, indexes in concerned.items():
        had, when = heard.get(node, nothing)
        mine = np.array(indexes)
        place = np.searchsorted(had, versions[mine])
        there = place < len(had)
        told.missing += int((~there).sum())
        mine, came = mine[there], when[place[there]]
        back = np.zeros(len(mine))
        for begin, to in away.get(node, ()):
            hit = (begin <= came) & (to >= at[mine])
            back[hit] = np.maximum(back[hit], to)
        was = back > 0.0
        told.returned += np.maximum(0.0, came - back)[was].tolist()
        np.maximum.at(most, mine[~was], (came - at[mine])[~was])
    told.everywhere = most.tolist()
    return told


def ordered(
    nodes: np.ndarray, versions: np.ndarray, at: np.ndarray
) -> dict[int, tuple[np.ndarray, np.ndarray]]:
    """By node, its versions as they rose, each with its moment."""
    told: dict[int, tuple[np.ndarray, np.ndarray]] = {}
    order = np.lexsort((at, nodes))
    nodes, versions, at = nodes[order], versions[order], at[order]
    bounds = np.flatnonzero(np.diff(nodes)) + 1
    for mine, version, moment in zip(
        np.split(nodes, bounds), np.split(versions, bounds), np.split(at, bounds), strict=True
    ):
        if len(mine):
            # A process that begins anew hears what it had before: what has been in force once, was.
            rising = np.concatenate(([True], version[1:] > np.maximum.accumulate(version)[:-1]))
            told[int(mine[0])] = (version[rising], moment[rising])
    return told


# -------------------------------------------------------------------- targets


@dataclass(slots=True, frozen=True)
class Verdict:
    """`holds` is None where the run does not cover the target."""

    target: str
    limit: float
    unit: str
    measured: float | None
    holds: bool | None
    note: str = ""


def at_most(target: str, limit: float, unit: str, measured: float | None, note: str = "") -> Verdict:
    if measured is None or not math.isfinite(measured):
        return Verdict(target, limit, unit, None, None, note or "not covered")
    return Verdict(target, limit, unit, measured, measured <= limit, note)


@dataclass(slots=True, frozen=True)
class Found:
    """What the targets are held against; None where the run did not measure it."""

    config_most_s: float | None
    lists_most_s: float | None
    stale: int  # nodes that did not have the last of everything at the end
    cpu_most: float | None  # of a core, by a hollow node in the worst phase
    memory_most_mb: float | None  # of a real node
    traffic_most_kb_s: float | None  # in and out, by the worst node in the worst phase
    added_p99_ms: float | None
    direct_p99_ms: float | None  # the same calls past the nodes: the machine and the emulator by themselves
    calls_a_s: float | None
    processes: int
    memory_all_gb: float


def verdicts(found: Found) -> list[Verdict]:
    calls = found.calls_a_s
    return [
        Verdict("stale nodes at the end", 0, "nodes", found.stale, found.stale == 0),
        at_most("configuration in force everywhere", IN_FORCE_MOST_S, "s", found.config_most_s),
        at_most("list heard everywhere", IN_FORCE_MOST_S, "s", found.lists_most_s),
        at_most("control, CPU of a node", CPU_MOST, "core", found.cpu_most, "hollow nodes, worst phase"),
        at_most("memory of a node", MEMORY_MOST_MB, "MB", found.memory_most_mb, "real nodes, with calls"),
        at_most(
            "control, traffic of a node",
            TRAFFIC_MOST_KB_S,
            "KB/s",
            found.traffic_most_kb_s,
            "in and out, worst node in the worst phase",
        ),
        _added(found),
        Verdict(
            "calls",
            CALLS_A_S,
            "1/s",
            calls,
            None,
            "one machine can't: the rate at which the rest was measured",
        ),
        at_most("processes of the run", PROCESSES_MOST, "", float(found.processes)),
        at_most("memory of the run", MEMORY_ALL_MOST_GB, "GB", found.memory_all_gb),
    ]


def _added(found: Found) -> Verdict:
    """Void where the machine by itself already takes longer: then the difference tells of the machine."""
    name, measured, direct = "added to 99 calls in 100", found.added_p99_ms, found.direct_p99_ms
    if measured is not None and direct is not None and direct > ADDED_MOST_MS:
        note = f"void: {direct:.1f} ms on the direct way alone, the machine is too busy"
        return Verdict(name, ADDED_MOST_MS, "ms", measured, None, note)
    return at_most(name, ADDED_MOST_MS, "ms", measured, "one node, less the direct way")
