"""How long changes took to reach all nodes, from the moments at which nodes had their versions. No I/O."""

from __future__ import annotations

from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass, field

import numpy as np
import numpy.typing as npt

IntArray = npt.NDArray[np.integer]
FloatArray = npt.NDArray[np.floating]


@dataclass(slots=True, frozen=True)
class PublishedChange:
    """A change: its version, when it was published (ms), and the nodes that it is for."""

    version: int
    at_ms: float
    nodes: frozenset[int]


@dataclass(slots=True, frozen=True)
class Outage:
    """A time in which a node could not be reached; a restart is one without length. In ms."""

    begin_ms: float
    end_ms: float


@dataclass(slots=True, frozen=True)
class NodeHistory:
    """Rising versions of one node, each with the moment (ms) from which the node had it."""

    versions: IntArray
    times_ms: FloatArray


NO_HISTORY = NodeHistory(np.zeros(0, dtype=np.int64), np.zeros(0))


@dataclass(slots=True)
class Propagation:
    """How long a set of changes took; in ms.

    Attributes:
        durations_ms: Of each change, until the last node had it that could be reached all the time.
        after_return_ms: Of each node that could not be reached for a time, from its return until it had the change.
        missing: Number of nodes that a change never reached, over all changes.
    """

    durations_ms: list[float] = field(default_factory=list)
    after_return_ms: list[float] = field(default_factory=list)
    missing: int = 0


def percentile_s(values_ms: Sequence[float], percent: float) -> float | None:
    """A percentile of values in ms, in seconds; None without values."""
    return round(float(np.percentile(values_ms, percent)) / 1000.0, 3) if values_ms else None


def measure_propagation(
    published: Iterable[PublishedChange],
    histories: Mapping[int, NodeHistory],
    outages: Mapping[int, Sequence[Outage]],
) -> Propagation:
    """Propagation of these changes, by the histories and outages of the nodes.

    A node has a change once it has its version or a later one.
    """
    changes = list(published)
    published_ms = np.array([change.at_ms for change in changes])
    versions = np.array([change.version for change in changes])
    durations_ms = np.zeros(len(changes))
    result = Propagation()
    for node, indexes in _changes_by_node(changes).items():
        history = histories.get(node, NO_HISTORY)
        positions = np.searchsorted(history.versions, versions[indexes])
        reached = positions < len(history.versions)
        result.missing += int((~reached).sum())
        own, received_ms = indexes[reached], history.times_ms[positions[reached]]
        returned_ms = _returned_ms(outages.get(node, ()), published_ms[own], received_ms)
        was_away = returned_ms > 0.0
        result.after_return_ms += np.maximum(0.0, received_ms - returned_ms)[was_away].tolist()
        np.maximum.at(durations_ms, own[~was_away], (received_ms - published_ms[own])[~was_away])
    result.durations_ms = durations_ms.tolist()
    return result


def _changes_by_node(changes: Sequence[PublishedChange]) -> dict[int, IntArray]:
    """By node, the indexes of the changes that it has to receive."""
    indexes: dict[int, list[int]] = {}
    for index, change in enumerate(changes):
        for node in change.nodes:
            indexes.setdefault(node, []).append(index)
    return {node: np.array(own) for node, own in indexes.items()}


def _returned_ms(outages: Iterable[Outage], published_ms: FloatArray, received_ms: FloatArray) -> FloatArray:
    """For each change, the end of the last outage between its publication and its arrival; 0 without one."""
    returned_ms = np.zeros(len(received_ms))
    for outage in outages:
        overlaps = (outage.begin_ms <= received_ms) & (outage.end_ms >= published_ms)
        returned_ms[overlaps] = np.maximum(returned_ms[overlaps], outage.end_ms)
    return returned_ms


def node_histories(nodes: IntArray, versions: IntArray, times_ms: FloatArray) -> dict[int, NodeHistory]:
    """By node, its history from records in any order."""
    histories: dict[int, NodeHistory] = {}
    order = np.lexsort((times_ms, nodes))
    nodes, versions, times_ms = nodes[order], versions[order], times_ms[order]
    bounds = np.flatnonzero(np.diff(nodes)) + 1
    for own, own_versions, own_times_ms in zip(
        np.split(nodes, bounds), np.split(versions, bounds), np.split(times_ms, bounds), strict=True
    ):
        if len(own):
            # A restarted process receives again what it had before: only the first time counts.
            highest_before = np.maximum.accumulate(own_versions)[:-1]
            rising = np.concatenate(([True], own_versions[1:] > highest_before))
            histories[int(own[0])] = NodeHistory(own_versions[rising], own_times_ms[rising])
    return histories
