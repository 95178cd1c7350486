"""Call graph of services: topological order, depth, and mean number of visits of each service.

Services are identified by their index in the scenario. Clients send their requests to service 0.
"""

from __future__ import annotations

from collections.abc import Sequence
from graphlib import CycleError, TopologicalSorter

MAX_DEPTH = 20  # maximum number of services on a path

# By caller: each called service with the mean number of calls for one request.
CallEdges = tuple[tuple[tuple[int, float], ...], ...]


class CallCycleError(ValueError):
    """Services call one another in a cycle.

    Attributes:
        cycle: services of the cycle in order of the calls, with the first one repeated at the end.
    """

    def __init__(self, cycle: Sequence[int]) -> None:
        super().__init__(cycle)
        self.cycle = tuple(cycle)


def topological_order(callees: Sequence[Sequence[int]]) -> tuple[int, ...]:
    """Return all services in an order in which each caller precedes the services that it calls.

    Raises:
        CallCycleError: the graph has a cycle.
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
    """Return the number of services on the longest path to each service; 0 for an unreachable service."""
    depth = [0] * len(callees)
    depth[0] = 1
    for caller in topological_order(callees):
        for callee in callees[caller] if depth[caller] else ():
            depth[callee] = max(depth[callee], depth[caller] + 1)
    return tuple(depth)


def mean_visits(edges: CallEdges) -> tuple[float, ...]:
    """Return the mean number of calls to each service for one client request, over all paths and without failures."""
    means = [0.0] * len(edges)
    means[0] = 1.0
    for caller in topological_order([[callee for callee, _ in calls] for calls in edges]):
        for callee, mean in edges[caller]:
            means[callee] += means[caller] * mean
    return tuple(means)
