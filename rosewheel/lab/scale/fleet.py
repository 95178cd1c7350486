"""Starts and ends the processes of a scale run."""

from __future__ import annotations

import asyncio
from enum import StrEnum
from pathlib import Path
from typing import TypeVar

import msgspec

from rosewheel.lab.random_streams import random_stream
from rosewheel.lab.scale.call_scenario import DIRECT_PREFIX, call_scenario, direct_targets
from rosewheel.lab.scale.control_machine import ControlMachineProcess
from rosewheel.lab.scale.control_operator import Operator, initial_document, service_name
from rosewheel.lab.scale.errors import ProcessError
from rosewheel.lab.scale.messages import (
    CallsReady,
    CallsSetup,
    DiscoveryReady,
    DiscoverySetup,
    EmulatorReady,
    EndpointSetup,
    NetworkReady,
    SimulatedNodeSetup,
    SimulatedNodesReady,
    SimulatedNodesSetup,
)
from rosewheel.lab.scale.network_layout import DISCOVERY, NetworkLayout
from rosewheel.lab.scale.plan import Machine, Plan, zone_name
from rosewheel.lab.scale.real_node import RealNode, RealNodeSetup
from rosewheel.lab.scale.version_log import SIMULATED_WORKER_PREFIX
from rosewheel.lab.scale.worker import WorkerProcess
from rosewheel.lab.wire import Address

SIMULATED_NODES_PER_PROCESS = 120
CONCURRENT_NODE_STARTS = 8  # bounds the CPU load: a start takes almost one CPU second
UNUSED_ENDPOINT = "127.0.0.1:9"  # address of all servers in a run without real nodes, which sends no calls
EMULATOR_MODULE = "rosewheel.lab.emulator_process"
PACKAGE = "rosewheel.lab.scale"

Ready = TypeVar("Ready")


class WorkerName(StrEnum):
    """Workers with one process; the values are names of files in the run's folder."""

    SERVERS = "equipos"
    DISCOVERY = "membership"
    NETWORK = "network"
    CALLS = "calls"


class Fleet:
    """The processes of a run.

    Attributes:
        workers: Worker processes by name.
        simulated: The workers of simulated nodes.
        real: Real nodes by number.
        control_machines: Control machines by name.
        operator: Publishes configurations through the leader.
    """

    def __init__(self, plan: Plan, folder: Path) -> None:
        self.plan, self.folder, self.options = plan, folder, plan.options
        self.workers: dict[str, WorkerProcess] = {}
        self.simulated: list[WorkerProcess] = []
        self.real: dict[int, RealNode] = {}
        self.control_machines = {
            machine.name: ControlMachineProcess(machine, folder / "control")
            for machine in plan.control_machines
        }
        self.operator = Operator(self.control_machines[plan.leader.name])
        self._listeners: dict[str, dict[str, Address]] = {}  # by user, then by destination

    @property
    def network(self) -> WorkerProcess:
        """The network worker."""
        return self.workers[WorkerName.NETWORK]

    @property
    def discovery(self) -> WorkerProcess:
        """The discovery worker."""
        return self.workers[WorkerName.DISCOVERY]

    @property
    def has_calls(self) -> bool:
        """Whether the run sends calls."""
        return bool(self.options.real and self.options.calls)

    async def start(self) -> None:
        """Start all processes.

        Raises:
            ProcessError: A process did not start.
        """
        servers = await self._start_servers()
        setup = self._discovery_setup(servers)
        discovery = await self._start_worker(WorkerName.DISCOVERY, "discovery_worker", setup, DiscoveryReady)
        await self._start_network(discovery.address)
        await self._start_control()
        await self._start_simulated_nodes()
        await self._start_real_nodes()
        if self.has_calls:
            await self._start_calls(servers)

    async def _start_worker(
        self, name: str, module: str, setup: msgspec.Struct, ready_type: type[Ready]
    ) -> Ready:
        path = self.folder / f"{name}.json"
        path.write_bytes(msgspec.json.encode(setup))
        self.workers[name] = worker = await WorkerProcess.start(
            name, self.folder, f"{PACKAGE}.{module}", str(path)
        )
        return await worker.receive(ready_type)

    async def _start_servers(self) -> list[str]:
        """Start the emulated servers if there are real nodes; return their addresses as `host:port`."""
        if not self.options.real:
            return [UNUSED_ENDPOINT]
        path = self.folder / "scenario.json"
        path.write_bytes(msgspec.json.encode(call_scenario(self.options)))
        name, seed = WorkerName.SERVERS, str(self.options.seed)
        self.workers[name] = worker = await WorkerProcess.start(
            name, self.folder, EMULATOR_MODULE, str(path), seed, str(self.folder)
        )
        ready = await worker.receive(EmulatorReady)
        return [endpoint.address for endpoint in ready.discovery.endpoints]

    def _discovery_setup(self, servers: list[str]) -> DiscoverySetup:
        services: list[list[EndpointSetup]] = [[] for _ in range(self.options.services)]
        for machine in self.plan.machines:
            server = servers[machine.number % len(servers)]
            endpoint = EndpointSetup(machine.name, server, zone_name(machine.zone), machine.rack)
            services[machine.service].append(endpoint)
        return DiscoverySetup(services, {machine.address: machine.service for machine in self.plan.machines})

    async def _start_network(self, discovery: Address) -> None:
        addresses = {name: process.address for name, process in self.control_machines.items()}
        layout = NetworkLayout(self.plan, discovery, addresses)
        ready = await self._start_worker(WorkerName.NETWORK, "network_worker", layout.setup(), NetworkReady)
        for key, address in zip(layout.keys, ready.addresses, strict=True):
            self._listeners.setdefault(key.user, {})[key.destination] = address

    def _discovery_address(self, user: str) -> Address:
        """Return the address at which a zone or real node reaches discovery."""
        return self._listeners[user][DISCOVERY]

    def _control_addresses(self, user: str) -> dict[str, Address]:
        """Return the addresses at which a zone, real node or control machine reaches the control machines."""
        return {name: address for name, address in self._listeners[user].items() if name != DISCOVERY}

    async def _start_control(self) -> None:
        for name, process in self.control_machines.items():
            process.start(self._control_addresses(name), self.plan.leader.name)
        await self.operator.wait_until_up()
        await self.operator.publish(initial_document(self.options.services))

    async def _start_simulated_nodes(self) -> None:
        machines = [machine for machine in self.plan.machines if not machine.real]
        for begin in range(0, len(machines), SIMULATED_NODES_PER_PROCESS):
            name = f"{SIMULATED_WORKER_PREFIX}{begin // SIMULATED_NODES_PER_PROCESS}"
            group = machines[begin : begin + SIMULATED_NODES_PER_PROCESS]
            nodes = [self._simulated_node_setup(machine) for machine in group]
            setup = SimulatedNodesSetup(nodes, self.options.seed, str(self.folder), name)
            await self._start_worker(name, "simulated_nodes_worker", setup, SimulatedNodesReady)
            self.simulated.append(self.workers[name])

    def _simulated_node_setup(self, machine: Machine) -> SimulatedNodeSetup:
        zone = zone_name(machine.zone)
        return SimulatedNodeSetup(
            machine.number,
            service_name(machine.service),
            machine.address,
            self._discovery_address(zone),
            self._control_addresses(zone),
        )

    async def _start_real_nodes(self) -> None:
        for machine in self.plan.machines:
            if machine.real:
                setup = self._real_node_setup(machine)
                self.real[machine.number] = RealNode(setup, self.folder / "nodes")
        nodes = list(self.real.values())
        for begin in range(0, len(nodes), CONCURRENT_NODE_STARTS):
            group = nodes[begin : begin + CONCURRENT_NODE_STARTS]
            for node in group:
                node.start()
            healthy = await asyncio.gather(*(node.wait_until_healthy() for node in group))
            for node, is_healthy in zip(group, healthy, strict=True):
                if not is_healthy:
                    raise ProcessError(f"node {node.machine.name} did not start: {node.last_log_line()}")

    def _real_node_setup(self, machine: Machine) -> RealNodeSetup:
        return RealNodeSetup(
            machine,
            self._discovery_address(machine.name),
            self._control_addresses(machine.name),
            service_name(machine.service),
            sum(other.service == machine.service for other in self.plan.machines),
        )

    async def _start_calls(self, servers: list[str]) -> None:
        targets = {node.machine.name: node.listen for node in self.real.values()}
        for number in range(direct_targets(self.options)):
            host, _, port = servers[number % len(servers)].rpartition(":")
            targets[f"{DIRECT_PREFIX}-{number}"] = (host, int(port))
        seed = int(random_stream(self.options.seed, "scale", "calls").integers(1 << 31))
        scenario = msgspec.to_builtins(call_scenario(self.options))
        setup = CallsSetup(scenario, seed, targets, str(self.folder))
        await self._start_worker(WorkerName.CALLS, "calls_worker", setup, CallsReady)

    async def close(self) -> None:
        """End all processes and wait until they have ended."""
        self.operator.close()
        for node in self.real.values():
            node.close()
        for process in self.control_machines.values():
            process.close()
        # All workers are stopped at the same time, since the servers take time to write their last records.
        await asyncio.gather(*(worker.stop() for worker in self.workers.values()))
