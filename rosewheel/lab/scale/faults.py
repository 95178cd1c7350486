"""Injects faults into the processes and the network of a scale run."""

from __future__ import annotations

import asyncio
from collections.abc import Iterable

from rosewheel.lab.scale.changes import ChangePublisher
from rosewheel.lab.scale.fleet import Fleet
from rosewheel.lab.scale.measurements import Measurements
from rosewheel.lab.scale.messages import (
    Command,
    LoseMachines,
    RestartNodes,
    RestoreMachines,
    SetPartition,
    StartNodes,
    StopNodes,
)
from rosewheel.lab.scale.plan import EndpointHealth, FaultStep, StepAction, node_name
from rosewheel.lab.scale.real_node import RealNode
from rosewheel.lab.wire import now_ms


class FaultInjector:
    """Carries out fault steps and records the outages of nodes."""

    def __init__(self, fleet: Fleet, measurements: Measurements, publisher: ChangePublisher) -> None:
        self.fleet, self.measurements, self.publisher = fleet, measurements, publisher
        self._restarts: set[asyncio.Task[None]] = set()

    async def apply(self, step: FaultStep) -> None:
        """Carry out a step."""
        match step.action:
            case StepAction.LOSE:
                await self._lose(step)
            case StepAction.RESTORE:
                await self._restore(step)
            case StepAction.RESTART:
                self._restart(step)
            case StepAction.PARTITION:
                self.fleet.network.send(SetPartition(True))
                self.measurements.record_partition(now_ms())
            case StepAction.HEAL:
                self.fleet.network.send(SetPartition(False))
                self.measurements.record_partition_healed(now_ms())

    async def _lose(self, step: FaultStep) -> None:
        at_ms = now_ms()
        self.fleet.network.send(LoseMachines(_machine_names(step)))
        self._send_to_simulated(StopNodes(step.nodes))
        for node in self._real_nodes(step.nodes):
            node.kill()
        for name in step.control_machines:
            self.fleet.control_machines[name].kill()
        self.measurements.record_nodes_lost(step.nodes, at_ms)
        await self.publisher.publish_health(step.nodes, EndpointHealth.LEFT)

    async def _restore(self, step: FaultStep) -> None:
        self.fleet.network.send(RestoreMachines(_machine_names(step)))
        self._send_to_simulated(StartNodes(step.nodes))
        for name in step.control_machines:
            self.fleet.control_machines[name].restart()
        for node in self._real_nodes(step.nodes):
            node.start()
        self.measurements.record_nodes_restored(step.nodes, now_ms())
        await self.publisher.publish_health(step.nodes, EndpointHealth.ACTIVE, returning=True)

    def _restart(self, step: FaultStep) -> None:
        at_ms = now_ms()
        self._send_to_simulated(RestartNodes(step.nodes))
        for node in self._real_nodes(step.nodes):
            task = asyncio.get_running_loop().create_task(node.restart())
            self._restarts.add(task)
            task.add_done_callback(self._restarts.discard)
        self.measurements.record_nodes_lost(step.nodes, at_ms)
        self.measurements.record_nodes_restored(step.nodes, now_ms())

    def _send_to_simulated(self, command: Command) -> None:
        for worker in self.fleet.simulated:
            worker.send(command)

    def _real_nodes(self, numbers: Iterable[int]) -> list[RealNode]:
        return [self.fleet.real[number] for number in numbers if number in self.fleet.real]

    async def wait_for_restarts(self, timeout_s: float) -> None:
        """Wait until the restarts of real nodes have finished, up to a timeout."""
        if self._restarts:
            await asyncio.wait(self._restarts, timeout=timeout_s)

    def close(self) -> None:
        """Cancel the pending restarts."""
        for task in self._restarts:
            task.cancel()


def _machine_names(step: FaultStep) -> list[str]:
    return [*(node_name(number) for number in step.nodes), *step.control_machines]
