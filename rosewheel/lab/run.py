"""One run of a plan: emulator and nodes in child processes, clients in this process."""

from __future__ import annotations

import asyncio
import signal
import time
from pathlib import Path
from typing import Any

import msgspec

from rosewheel.lab.emulator_child import EmulatorChild
from rosewheel.lab.errors import RunError
from rosewheel.lab.fault_table import FaultKind
from rosewheel.lab.garbage_collection import tune_garbage_collector
from rosewheel.lab.load import LoadGenerator
from rosewheel.lab.plan import Plan
from rosewheel.lab.plan_clock import PlanClock
from rosewheel.lab.plan_faults import FaultPhase, FaultStep
from rosewheel.lab.record_types import RecordFile
from rosewheel.lab.records import RecordWriter
from rosewheel.lab.run_nodes import RunNodes
from rosewheel.lab.run_summary import RunMeasurements, summarize_run
from rosewheel.lab.wire import now_ms

__all__ = ["ExperimentRun", "RunError", "cancel_on_signals"]

START_DELAY_MS = 500.0  # time between the readiness of all processes and the start of the plan
FLUSH_PERIOD_S = 0.5  # interval between resource samples of the nodes and between flushes of the records


class ExperimentRun:
    """Executes a plan once and writes its records to a folder."""

    def __init__(self, plan: Plan, folder: Path) -> None:
        self.plan, self.folder = plan, folder
        self.records = RecordWriter(folder / f"{RecordFile.RUN}.jsonl")
        self.clock = PlanClock()
        self.nodes = RunNodes(plan, folder, self.records, self.clock)
        self.emulator = EmulatorChild(folder)

    async def execute(self) -> dict[str, Any]:
        """Execute the plan, write its summary to `summary.json`, and return it.

        Raises:
            RunError: the emulator or a node did not start.
        """
        started_s = time.monotonic()
        try:
            ready = await self.emulator.start(self.plan)
            await self.nodes.start(ready)
            tune_garbage_collector()
            self.clock.start(now_ms() + START_DELAY_MS)
            await self.emulator.start_clock(self.clock.started_ms)
            load = await self._run_load()
            crashed = self.nodes.crashed()
            cpu_s, memory_mb = self.nodes.cpu_s(), self.nodes.max_memory_mb()
        finally:
            await self.close()
        measured = RunMeasurements(time.monotonic() - started_s, crashed, cpu_s, memory_mb)
        summary = summarize_run(self.plan, self.folder, load, measured)
        (self.folder / "summary.json").write_bytes(msgspec.json.encode(summary))
        return summary

    async def _run_load(self) -> LoadGenerator:
        loop = asyncio.get_running_loop()
        records = RecordWriter(self.folder / f"{RecordFile.LOAD}.jsonl")
        addresses = {name: process.listen_address for name, process in self.nodes.processes.items()}
        load = LoadGenerator(self.plan, addresses, records)
        timers = [
            loop.call_later(self.clock.delay_s(step.at_ms), self._inject, step, load)
            for step in self.plan.steps
        ]
        flush = loop.create_task(self._flush(records))
        try:
            await load.run(self.clock.started_ms)
        finally:
            flush.cancel()
            for timer in timers:
                timer.cancel()
            records.close()
        return load

    async def _flush(self, load_records: RecordWriter) -> None:
        while True:
            await asyncio.sleep(FLUSH_PERIOD_S)
            self.nodes.record_resources()
            load_records.flush()
            self.records.flush()

    def _inject(self, step: FaultStep, load: LoadGenerator) -> None:
        """Inject a fault step of nodes or clients; the emulator injects all others."""
        fault, begins = self.plan.scenario.faults[step.fault], step.phase is FaultPhase.BEGIN
        match fault.kind:
            case FaultKind.CLIENT_SHIFT:
                load.dispatcher.allowed_nodes = step.targets if begins else ()
            case FaultKind.RETRY_STORM:
                load.extra_retries = round(step.size) if begins else 0
            case FaultKind.NODE_CRASH | FaultKind.NODE_UPGRADE | FaultKind.NODE_LOSS if begins:
                self.nodes.inject(step, fault)
            case _:
                pass

    async def close(self) -> None:
        """Stop the nodes and the emulator, and close the records of the run."""
        self.nodes.terminate()
        await self.emulator.close()
        await self.nodes.close()
        self.records.close()


def cancel_on_signals(task: asyncio.Task[Any]) -> None:
    """Cancel the task on SIGINT and SIGTERM, so that it stops the processes that it started."""
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGINT, signal.SIGTERM):
        loop.add_signal_handler(signal_number, task.cancel)
