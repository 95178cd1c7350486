"""Which service calls which: levels, visits for each request, and no circles.

Services go by their place in the scenario; the first is the one that clients ask.
"""

from __future__ import annotations

from collections.abc import Sequence
from graphlib import CycleError, TopologicalSorter

MAX_DEPTH = 20  # services one below the other, the first included

CallEdges = tuple[tuple[tuple[int, float], ...], ...]  # by caller: whom it calls, and how often on average


class CallCycleError(ValueError):
    """Services that call one another in a circle, the first of them once more at the end."""

    def __init__(self, circle: Sequence[int]) -> None:
        super().__init__(circle)
        self.circle = tuple(circle)


def topological_order(called: Sequence[Sequence[int]]) -> tuple[int, ...]:
    """Every caller before all that it calls; CircleError where there is no such order."""
    sorter: TopologicalSorter[int] = TopologicalSorter({at: () for at in range(len(called))})
    for at, below in enumerate(called):
        for to in below:
            sorter.add(to, at)
    try:
        return tuple(sorter.static_order())
    except CycleError as error:
        raise CallCycleError(error.args[1]) from error


def depths(called: Sequence[Sequence[int]]) -> tuple[int, ...]:
    """How deep each service lies on the longest way to it: the first is 1, one that no request reaches is 0."""
    deep = [0] * len(called)
    deep[0] = 1
    for at in topological_order(called):
        for to in called[at] if deep[at] else ():
            deep[to] = max(deep[to], deep[at] + 1)
    return tuple(deep)


def mean_visits(edges: CallEdges) -> tuple[float, ...]:
    """How often a request of a client comes to each service on average, over all ways, where nothing fails."""
    means = [0.0] * len(edges)
    means[0] = 1.0
    for at in topological_order([[to for to, _ in row] for row in edges]):
        for to, mean in edges[at]:
            means[to] += means[at] * mean
    return tuple(means)
