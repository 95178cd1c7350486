"""Nodes that the clients of a run reach: processes, crashes, upgrades and resource usage."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Coroutine
from pathlib import Path

from rosewheel.lab.emulator_child import EmulatorReady
from rosewheel.lab.errors import RunError
from rosewheel.lab.fault_table import FaultKind, FaultTable, KilledProcess
from rosewheel.lab.node_process import NodeProcess, http_status, listening_socket
from rosewheel.lab.node_settings import node_configuration
from rosewheel.lab.plan import Plan
from rosewheel.lab.plan_clock import PlanClock
from rosewheel.lab.plan_faults import FaultStep
from rosewheel.lab.random_streams import random_stream
from rosewheel.lab.record_types import (
    NodeCrashRecord,
    NodeKilledRecord,
    NodeLossRecord,
    NodeProcessRecord,
    NodeReadyRecord,
    NodeUpgradeRecord,
)
from rosewheel.lab.records import RecordWriter
from rosewheel.lab.tables import Range
from rosewheel.proxy import snapshots

UPGRADE_HEALTHY_TIMEOUT_S = 6.0
UPGRADE_EXIT_TIMEOUT_S = 3.7
HEALTH_POLL_S = 0.05
EXIT_TIMEOUT_S = 5.0
ADMIN_HEALTH_PATH = b"/admin/health"


class RunNodes:
    """Nodes that the clients of a run reach.

    Attributes:
        processes: current process of each node, by name.
        ended_cpu_s: CPU time of processes that were replaced.
    """

    def __init__(self, plan: Plan, folder: Path, records: RecordWriter, clock: PlanClock) -> None:
        self.plan, self.folder, self.records, self.clock = plan, folder, records, clock
        self.processes: dict[str, NodeProcess] = {}
        self.ended_cpu_s = 0.0
        self._ready: EmulatorReady | None = None
        self._sockets: dict[str, socket.socket] = {}
        self._replaced: list[NodeProcess] = []
        self._tasks: set[asyncio.Task[None]] = set()

    async def start(self, ready: EmulatorReady) -> None:
        """Start all nodes and wait until they are healthy.

        Raises:
            RunError: a node did not become healthy in time.
        """
        self._ready = ready
        upgrades = any(fault.kind is FaultKind.NODE_UPGRADE for fault in self.plan.scenario.faults)
        for name in ready.agents:
            if upgrades:
                self._sockets[name] = listening_socket()
            self.processes[name] = self._new_process(name)
        for name, process in self.processes.items():
            if not await process.wait_healthy():
                raise RunError(f"node {name} did not become healthy: {process.last_log_line()}")

    def _new_process(self, name: str, predecessor: NodeProcess | None = None) -> NodeProcess:
        if self._ready is None:
            raise RunError("emulator is not ready")
        stream = random_stream(self.plan.seed, "node", name, len(self._replaced))
        seed = int(stream.integers(1 << 62))
        count = self.plan.scenario.nodes.count
        return NodeProcess(
            name,
            self.folder / "nodes",
            self._ready.agents[name],
            node_configuration(self.plan, 0, count, seed, self._ready.known),
            self._sockets.get(name),
            admin=True,
            predecessor=predecessor,
        )

    def inject(self, step: FaultStep, fault: FaultTable) -> None:
        """Begin a crash, loss or upgrade of nodes."""
        named_node = (list(self.processes)[fault.node_index],)
        names = step.targets if fault.kind is FaultKind.NODE_LOSS else named_node
        for name in names:
            at_ms = self.clock.plan_time()
            match fault.kind:
                case FaultKind.NODE_UPGRADE:
                    self.records.write(NodeUpgradeRecord(at_ms, name))
                    self._run_task(self._upgrade(name, step.fault))
                    continue
                case FaultKind.NODE_CRASH:
                    self.records.write(NodeCrashRecord(at_ms, name))
                case _:
                    self.records.write(NodeLossRecord(at_ms, name))
            down_s = self.plan.fault_duration_ms(step) / 1000.0
            work = self._crash(name, down_s)
            self.records.write(NodeKilledRecord(self.clock.plan_time(), name))
            self._run_task(work)

    def _run_task(self, work: Coroutine[None, None, None]) -> None:
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _crash(self, name: str, down_s: float) -> None:
        """Kill the process of a node, and start a new one on the same address after a time."""
        old = self.processes[name]
        self.ended_cpu_s += old.cpu_s()
        old.kill(keep_address=True)
        self._replaced.append(old)
        await asyncio.sleep(down_s)
        self._forget_learned_state(old)
        self.processes[name] = self._new_process(name, predecessor=old)
        if await self.processes[name].wait_healthy():
            self._record_back(name)

    async def _upgrade(self, name: str, fault_index: int) -> None:
        """Start a new process of a node, and stop the old one when the new one is healthy.

        Kill one of them during the upgrade if the fault says so.
        """
        killed = self.plan.scenario.faults[fault_index].killed_process
        kill_delay_s = self._draw_kill_delay_s(fault_index)
        old = self.processes[name]
        self._forget_learned_state(old)
        new = self._new_process(name)
        if killed is KilledProcess.STARTING:
            await asyncio.sleep(kill_delay_s)
            self._kill(new)
            return
        self.processes[name] = new
        self._replaced.append(old)
        await self._wait_admin_healthy(new)
        self._record_back(name)
        self.ended_cpu_s += old.cpu_s()
        old.terminate()
        if killed:
            await asyncio.sleep(kill_delay_s)
            self._kill(old if killed is KilledProcess.OLD else new)
        if killed is KilledProcess.NEW:
            self._replaced.append(new)
            self.processes[name] = self._new_process(name)
        if not await old.wait_ended(UPGRADE_EXIT_TIMEOUT_S):
            self._kill(old)

    def _draw_kill_delay_s(self, fault_index: int) -> float:
        delay_ms: Range = self.plan.scenario.faults[fault_index].kill_delay_ms
        low, high = delay_ms if isinstance(delay_ms, tuple) else (delay_ms, delay_ms)
        rng = random_stream(self.plan.seed, "trouble", fault_index, "kill")
        return float(rng.uniform(low, high)) / 1000.0

    @staticmethod
    async def _wait_admin_healthy(process: NodeProcess) -> None:
        """Wait until the admin server of a process reports that it is healthy, or until the timeout."""
        loop = asyncio.get_running_loop()
        deadline = loop.time() + UPGRADE_HEALTHY_TIMEOUT_S
        while loop.time() < deadline:
            address = process.admin_address
            if address is not None and await http_status(address, ADMIN_HEALTH_PATH) == 200:
                return
            await asyncio.sleep(HEALTH_POLL_S)

    def _forget_learned_state(self, process: NodeProcess) -> None:
        """Delete the snapshot of the learned state of a process, unless the scenario keeps it."""
        if not self.plan.scenario.nodes.keep_learned_state:
            (process.folder / "tmp" / snapshots.SNAPSHOT_NAME).unlink(missing_ok=True)

    def _kill(self, process: NodeProcess) -> None:
        self.records.write(NodeKilledRecord(self.clock.plan_time(), process.name))
        process.kill()

    def _record_back(self, name: str) -> None:
        self.records.write(NodeReadyRecord(self.clock.plan_time(), name))

    def record_resources(self) -> None:
        """Record the memory and open descriptors of each running process."""
        at_ms = self.clock.plan_time()
        for process in (*self.processes.values(), *self._replaced):
            memory_mb, descriptors = process.memory_mb(), process.descriptor_count()
            if memory_mb and descriptors:
                pid = process.process.pid
                self.records.write(
                    NodeProcessRecord(at_ms, process.name, pid, round(memory_mb, 2), descriptors)
                )

    def crashed(self) -> list[str]:
        """Return the nodes whose process has exited unexpectedly; none while a fault is in progress."""
        if self._tasks:
            return []
        return [name for name, process in self.processes.items() if not process.alive]

    def cpu_s(self) -> float:
        """Return the CPU time of all processes so far, in s."""
        return self.ended_cpu_s + sum(process.cpu_s() for process in self.processes.values())

    def max_memory_mb(self) -> float:
        """Return the resident memory of the largest current process, in MB."""
        return max((process.memory_mb() for process in self.processes.values()), default=0.0)

    def terminate(self) -> None:
        """Cancel faults in progress and send SIGTERM to all processes."""
        for task in list(self._tasks):
            task.cancel()
        for process in (*self.processes.values(), *self._replaced):
            process.terminate()

    async def close(self) -> None:
        """Wait for all processes, kill those that do not exit in time, and close the inherited sockets."""
        for process in (*self.processes.values(), *self._replaced):
            await process.wait_ended(EXIT_TIMEOUT_S)
            process.kill()
        for inherited in self._sockets.values():
            inherited.close()
