"""Executes a scale run: starts the fleet, carries out the plan and waits until all nodes are up to date."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from functools import partial
from pathlib import Path

from rosewheel.lab.scale.call_statistics import call_statistics
from rosewheel.lab.scale.changes import ChangePublisher
from rosewheel.lab.scale.faults import FaultInjector
from rosewheel.lab.scale.fleet import Fleet, WorkerName
from rosewheel.lab.scale.measurements import Measurements
from rosewheel.lab.scale.messages import LoadStopped, RecordsSaved, SaveRecords, StartLoad, StopLoad
from rosewheel.lab.scale.plan import Plan
from rosewheel.lab.scale.sampling import count_stale_nodes, take_sample
from rosewheel.lab.scale.summary import Summary, summarize
from rosewheel.lab.wire import now_ms

START_DELAY_S = 1.0  # time for callers and servers to receive the start command
CONVERGENCE_TIMEOUT_S = 30.0  # limit for pending restarts, and then for all nodes to be up to date
CONVERGENCE_CHECK_INTERVAL_S = 0.2
FIRST_SAMPLE = "begin"
# Order of actions that are due at the same time: a phase is sampled before the next one begins.
SAMPLE_PRIORITY, FAULT_PRIORITY, CHANGE_PRIORITY = range(3)


@dataclass(slots=True, frozen=True)
class _ScheduledAction:
    at_s: float
    priority: int
    execute: Callable[[], Awaitable[None]]


class ScaleRun:
    """Carries out a plan once.

    Args:
        plan: The plan of the run.
        folder: Existing folder for logs and records.
    """

    def __init__(self, plan: Plan, folder: Path) -> None:
        self.plan, self.folder = plan, folder
        self.fleet = Fleet(plan, folder)
        self.measurements = Measurements(plan)
        self.publisher = ChangePublisher(self.fleet, self.measurements)
        self.faults = FaultInjector(self.fleet, self.measurements, self.publisher)

    async def execute(self) -> Summary:
        """Execute the plan and return the summary.

        Raises:
            ProcessError: A process of the run failed.
        """
        try:
            await self.fleet.start()
            await self._carry_out_plan()
            stale_nodes = await self._wait_for_convergence()
            await self._save_records()
        finally:
            self.faults.close()
            self.publisher.close()
            await self.fleet.close()
        calls = call_statistics(self.folder, self.plan.faults_begin_s) if self.fleet.has_calls else None
        return summarize(self.measurements, self.folder, stale_nodes, calls)

    async def _carry_out_plan(self) -> None:
        self.measurements.start_ms = now_ms() + START_DELAY_S * 1000.0
        for name in (WorkerName.SERVERS, WorkerName.CALLS):
            if name in self.fleet.workers:
                self.fleet.workers[name].send(StartLoad(self.measurements.start_ms))
        await self._sleep_until(0.0)
        self.publisher.start()
        await self._sample(FIRST_SAMPLE)
        for action in self._schedule():
            await self._sleep_until(action.at_s)
            await action.execute()

    def _schedule(self) -> list[_ScheduledAction]:
        plan = self.plan
        actions = [
            _ScheduledAction(phase.end_s, SAMPLE_PRIORITY, partial(self._sample, phase.name))
            for phase in plan.phases
        ]
        actions += [
            _ScheduledAction(step.at_s, FAULT_PRIORITY, partial(self.faults.apply, step))
            for step in plan.steps
        ]
        actions += [
            _ScheduledAction(change.at_s, CHANGE_PRIORITY, partial(self.publisher.publish, change))
            for change in plan.changes
        ]
        return sorted(actions, key=lambda action: (action.at_s, action.priority))

    async def _sleep_until(self, at_s: float) -> None:
        at_ms = self.measurements.start_ms + at_s * 1000.0
        await asyncio.sleep(max(0.0, (at_ms - now_ms()) / 1000.0))

    async def _sample(self, phase: str) -> None:
        self.measurements.samples.append(await take_sample(self.fleet, phase))

    async def _wait_for_convergence(self) -> int:
        """Wait until all nodes are up to date; return the number of stale nodes after the timeout."""
        await self.faults.wait_for_restarts(CONVERGENCE_TIMEOUT_S)
        if WorkerName.CALLS in self.fleet.workers:
            await self.fleet.workers[WorkerName.CALLS].request(StopLoad(), LoadStopped)
        await self.publisher.wait_until_published()
        deadline_s = time.monotonic() + CONVERGENCE_TIMEOUT_S
        while (stale := await count_stale_nodes(self.fleet)) and time.monotonic() < deadline_s:
            await asyncio.sleep(CONVERGENCE_CHECK_INTERVAL_S)
        return stale

    async def _save_records(self) -> None:
        for worker in self.fleet.simulated:
            await worker.request(SaveRecords(), RecordsSaved)
