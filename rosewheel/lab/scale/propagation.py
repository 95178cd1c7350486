"""Measures the time that changes take to reach all nodes, from the versions that nodes had over time. No I/O."""

from __future__ import annotations

from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass, field

import numpy as np
import numpy.typing as npt

IntArray = npt.NDArray[np.integer]
FloatArray = npt.NDArray[np.floating]


@dataclass(slots=True, frozen=True)
class PublishedChange:
    """A published change.

    Attributes:
        version: Its version.
        at_ms: Time of publication, in ms.
        nodes: The nodes that have to receive it.
    """

    version: int
    at_ms: float
    nodes: frozenset[int]


@dataclass(slots=True, frozen=True)
class Outage:
    """An interval in which a node could not be reached, in ms; empty for a restart."""

    begin_ms: float
    end_ms: float


@dataclass(slots=True, frozen=True)
class NodeHistory:
    """Versions of one node in rising order, and the time at which it first had each, in ms."""

    versions: IntArray
    times_ms: FloatArray


NO_HISTORY = NodeHistory(np.zeros(0, dtype=np.int64), np.zeros(0))


@dataclass(slots=True)
class Propagation:
    """Propagation times of a set of changes.

    Attributes:
        durations_ms: For each change, the time until it had reached all nodes that had no outage meanwhile.
        after_return_ms: For each change and node that had an outage meanwhile, the time from the end of the outage to
            the receipt of the change.
        missing: Number of pairs of a change and a node that it never reached.
    """

    durations_ms: list[float] = field(default_factory=list)
    after_return_ms: list[float] = field(default_factory=list)
    missing: int = 0


def percentile_s(values_ms: Sequence[float], percent: float) -> float | None:
    """Return a percentile, in seconds, of values in ms; None if there are no values."""
    return round(float(np.percentile(values_ms, percent)) / 1000.0, 3) if values_ms else None


def measure_propagation(
    published: Iterable[PublishedChange],
    histories: Mapping[int, NodeHistory],
    outages: Mapping[int, Sequence[Outage]],
) -> Propagation:
    """Measure the propagation of changes from the histories and outages of the nodes.

    A change has reached a node once the node has its version or a later one.
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
        arrived, received_ms = indexes[reached], history.times_ms[positions[reached]]
        returned_ms = _returned_ms(outages.get(node, ()), published_ms[arrived], received_ms)
        had_outage = returned_ms > 0.0
        result.after_return_ms += np.maximum(0.0, received_ms - returned_ms)[had_outage].tolist()
        np.maximum.at(durations_ms, arrived[~had_outage], (received_ms - published_ms[arrived])[~had_outage])
    result.durations_ms = durations_ms.tolist()
    return result


def _changes_by_node(changes: Sequence[PublishedChange]) -> dict[int, IntArray]:
    """Return, by node, the indexes of the changes that it has to receive."""
    indexes: dict[int, list[int]] = {}
    for index, change in enumerate(changes):
        for node in change.nodes:
            indexes.setdefault(node, []).append(index)
    return {node: np.array(node_indexes) for node, node_indexes in indexes.items()}


def _returned_ms(outages: Iterable[Outage], published_ms: FloatArray, received_ms: FloatArray) -> FloatArray:
    """Return, for each change, the end of the last outage between publication and receipt; 0 if there was none."""
    returned_ms = np.zeros(len(received_ms))
    for outage in outages:
        overlaps = (outage.begin_ms <= received_ms) & (outage.end_ms >= published_ms)
        returned_ms[overlaps] = np.maximum(returned_ms[overlaps], outage.end_ms)
    return returned_ms


def node_histories(nodes: IntArray, versions: IntArray, times_ms: FloatArray) -> dict[int, NodeHistory]:
    """Return the history of each node, from records in any order."""
    histories: dict[int, NodeHistory] = {}
    order = np.lexsort((times_ms, nodes))
    nodes, versions, times_ms = nodes[order], versions[order], times_ms[order]
    bounds = np.flatnonzero(np.diff(nodes)) + 1
    for group, group_versions, group_times_ms in zip(
        np.split(nodes, bounds), np.split(versions, bounds), np.split(times_ms, bounds), strict=True
    ):
        if len(group):
            # A restarted node receives versions again; only the first receipt counts.
            highest_before = np.maximum.accumulate(group_versions)[:-1]
            rising = np.concatenate(([True], group_versions[1:] > highest_before))
            histories[int(group[0])] = NodeHistory(group_versions[rising], group_times_ms[rising])
    return histories
