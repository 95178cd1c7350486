"""Reads the state of a running fleet: samples of its processes, and the number of stale nodes."""

from __future__ import annotations

import os

from rosewheel.lab.scale.control_operator import ControlStatus
from rosewheel.lab.scale.fleet import Fleet, WorkerName
from rosewheel.lab.scale.measurements import Role, Sample
from rosewheel.lab.scale.messages import (
    DiscoveryStatistics,
    NetworkStatistics,
    ReadStatistics,
    SimulatedNodesStatistics,
)
from rosewheel.lab.scale.resource_usage import process_usage
from rosewheel.lab.wire import now_ms


async def take_sample(fleet: Fleet, phase: str) -> Sample:
    """Sample all processes at the end of a phase."""
    network = await fleet.network.request(ReadStatistics(), NetworkStatistics)
    discovery = await fleet.discovery.request(ReadStatistics(), DiscoveryStatistics)
    simulated = await _simulated_statistics(fleet)
    usage = {
        role: {pid: process_usage(pid) for pid in pids if pid} for role, pids in _process_ids(fleet).items()
    }
    return Sample(
        phase, now_ms(), usage, network, discovery, simulated, os.getloadavg()[0], fleet.operator.version
    )


async def _simulated_statistics(fleet: Fleet) -> list[SimulatedNodesStatistics]:
    return [await worker.request(ReadStatistics(), SimulatedNodesStatistics) for worker in fleet.simulated]


def _process_ids(fleet: Fleet) -> dict[Role, list[int]]:
    """Return the process ids by role, in the order of reports; 0 for a process that is not running."""
    leader, *followers = (fleet.control_machines[machine.name] for machine in fleet.plan.control_machines)
    pids = {
        Role.NETWORK: [fleet.network.pid],
        Role.DISCOVERY: [fleet.discovery.pid],
        Role.SIMULATED_NODES: [worker.pid for worker in fleet.simulated],
        Role.REAL_NODES: [node.pid for node in fleet.real.values()],
        Role.LEADER: [leader.pid],
        Role.FOLLOWERS: [process.pid for process in followers],
    }
    for role, name in ((Role.SERVERS, WorkerName.SERVERS), (Role.CALLS, WorkerName.CALLS)):
        if name in fleet.workers:
            pids[role] = [fleet.workers[name].pid]
    pids[Role.RUN] = [os.getpid()]
    return pids


async def count_stale_nodes(fleet: Fleet) -> int:
    """Return the larger of two numbers of nodes.

    They are the nodes that are stopped or lack the last list or configuration, and the nodes that have not acknowledged
    the last configuration to the leader.
    """
    discovery = await fleet.discovery.request(ReadStatistics(), DiscoveryStatistics)
    machines = fleet.plan.machines
    running = stale = 0
    for worker in await _simulated_statistics(fleet):
        for node in worker.versions:
            running += 1
            has_list = node.list_version == discovery.versions[machines[node.number].service]
            stale += not has_list or node.config_version != fleet.operator.version
    for real_node in fleet.real.values():
        expected = discovery.active_endpoints[real_node.machine.service]
        stale += await real_node.endpoint_count() != expected
    nodes = fleet.options.nodes
    stopped = nodes - len(fleet.real) - running
    status = await fleet.operator.status() or ControlStatus()
    return max(stale + stopped, nodes - status.nodes_current)
