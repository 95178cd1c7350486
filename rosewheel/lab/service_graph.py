"""The call graph of services: its order, its depth, and how often a request visits each service.

Services are named by their index in the scenario; clients send their requests to the first.
"""

from __future__ import annotations

from collections.abc import Sequence
from graphlib import CycleError, TopologicalSorter

MAX_DEPTH = 20  # services on the longest path, the first included

# By caller: the services that it calls, and the mean number of calls for each request.
CallEdges = tuple[tuple[tuple[int, float], ...], ...]


class CallCycleError(ValueError):
    """Services call one another in a cycle.

    Attributes:
        cycle: the services of the cycle in order of the calls; the first one is repeated at the end.
    """

    def __init__(self, cycle: Sequence[int]) -> None:
        super().__init__(cycle)
        self.cycle = tuple(cycle)


def topological_order(callees: Sequence[Sequence[int]]) -> tuple[int, ...]:
    """All services, each caller before the services that it calls.

    Raises:
        CallCycleError: there is no such order.
    """
    sorter: TopologicalSorter[int] = TopologicalSorter({index: () for index in range(len(callees))})
    for caller, called in enumerate(callees):
        for callee in called:
            sorter.add(callee, caller)
    try:
        return tuple(sorter.static_order())
    except CycleError as error:
        raise CallCycleError(error.args[1]) from error


def depths(callees: Sequence[Sequence[int]]) -> tuple[int, ...]:
    """The length of the longest path to each service: 1 for the first one, 0 for one that no request reaches."""
    depth = [0] * len(callees)
    depth[0] = 1
    for caller in topological_order(callees):
        for callee in callees[caller] if depth[caller] else ():
            depth[callee] = max(depth[callee], depth[caller] + 1)
    return tuple(depth)


def mean_visits(edges: CallEdges) -> tuple[float, ...]:
    """The mean number of calls to each service for one request of a client, over all paths, without failures."""
    means = [0.0] * len(edges)
    means[0] = 1.0
    for caller in topological_order([[callee for callee, _ in calls] for calls in edges]):
        for callee, mean in edges[caller]:
            means[callee] += means[caller] * mean
    return tuple(means)
