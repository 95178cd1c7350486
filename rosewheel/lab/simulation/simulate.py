"""Runs a plan in the simulation and returns a summary with the digest of all records."""

from __future__ import annotations

import hashlib
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any

import msgspec

from rosewheel.config.errors import InvalidFileError, Problem
from rosewheel.lab.fault_table import FaultKind
from rosewheel.lab.invariant_checker import InvariantChecker
from rosewheel.lab.plan import Plan
from rosewheel.lab.plan_codec import plan_digest
from rosewheel.lab.plan_faults import FaultPhase
from rosewheel.lab.record_types import NodeReadyRecord, OperationRecord, Record, RecordFile
from rosewheel.lab.records import RecordWriter
from rosewheel.lab.scenario import Scenario
from rosewheel.lab.simulation.clients import SimulatedClients, SimulatedDispatcher
from rosewheel.lab.simulation.events import EventQueue
from rosewheel.lab.simulation.fault_injector import SimulatedFaultInjector
from rosewheel.lab.simulation.fleet import SimulatedFleet
from rosewheel.lab.simulation.statistics import RunStatistics, tier_statistics

START_DELAY_MS = 500.0  # time between the start of the last node and the beginning of the plan
RUN_STEP_MS = 100.0  # virtual time between two calls of the progress function
AFTER_RESTART_MS = 10_000.0  # time after the restart of a node over which service is measured
MAX_TAIL_MS = 120_000.0  # limit of the time after the plan in which operations may finish
DIGEST_BYTES = 8

Progress = Callable[[float, int, float], None]  # simulated s, number of events, wall-clock s


class Recorder:
    """Passes records to the digest, the invariant checker, and files if there is a folder.

    Attributes:
        restarts_ms: times at which restarted nodes began to serve.
        record_count: number of records so far.
    """

    def __init__(self, checker: InvariantChecker, folder: Path | None) -> None:
        self.checker = checker
        self.restarts_ms: list[float] = []
        self.record_count = 0
        self._hash = hashlib.blake2b(digest_size=DIGEST_BYTES)
        self._encode = msgspec.json.Encoder().encode
        self._files: dict[RecordFile, RecordWriter] = {}
        if folder is not None:
            self._files = {name: RecordWriter(folder / f"{name}.jsonl") for name in RecordFile}

    def write(self, name: RecordFile, record: Record) -> None:
        """Process a record.

        Args:
            name: file to which it is written.
        """
        self.record_count += 1
        line = self._encode(record)
        self._hash.update(line)
        self.checker.observe(record)
        if isinstance(record, NodeReadyRecord):
            self.restarts_ms.append(record.at_ms)
        if self._files:
            self._files[name].write_line(line)

    def close(self) -> str:
        """Close the files and return the digest of all records."""
        for file in self._files.values():
            file.close()
        return self._hash.hexdigest()


def check_simulated(scenario: Scenario) -> None:
    """Check that a scenario can be simulated.

    Raises:
        InvalidFileError: The scenario has a fault that only the emulator can inject.
    """
    for index, fault in enumerate(scenario.faults):
        if fault.killed_process:
            why = "a process that is killed in the middle of an upgrade is not simulated"
            raise InvalidFileError(scenario.name, [Problem(f"trouble[{index}].kills", None, why)])


class Simulation:
    """One run of a plan.

    Attributes:
        clients: clients of the run; None until all nodes have started.
    """

    def __init__(self, plan: Plan, folder: Path | None = None) -> None:
        self.plan = plan
        spread_ms = plan.scenario.nodes.start_spread_s * 1000.0
        self.checker = InvariantChecker(plan.scenario)
        self.recorder = Recorder(self.checker, folder)
        self.queue = EventQueue(-(spread_ms + START_DELAY_MS))
        self.fleet = SimulatedFleet(plan, self.queue, self.recorder.write)
        self.statistics = RunStatistics(plan)
        self.clients: SimulatedClients | None = None
        self.fleet.start(self._begin)

    def _begin(self) -> None:
        """Schedule clients and faults after all nodes have started."""
        plan, queue = self.plan, self.queue
        dispatcher = SimulatedDispatcher(queue, self.fleet.nodes, plan.node_notice_ms)
        self.clients = clients = SimulatedClients(
            plan, queue, dispatcher, self._record_operation, self.statistics.record
        )
        injector = SimulatedFaultInjector(self.fleet, dispatcher)
        for step in plan.steps:
            if plan.scenario.faults[step.fault].kind is FaultKind.RETRY_STORM:
                extra_retries = round(step.size) if step.phase is FaultPhase.BEGIN else 0
                queue.call_at(step.at_ms, self._set_extra_retries, clients, extra_retries)
            else:
                queue.call_at(step.at_ms, injector.inject, step)

    def _record_operation(self, record: OperationRecord) -> None:
        self.recorder.write(RecordFile.LOAD, record)

    @staticmethod
    def _set_extra_retries(clients: SimulatedClients, extra_retries: int) -> None:
        clients.extra_retries = extra_retries

    @property
    def finished(self) -> bool:
        """Whether the plan is over and no operation is open, or `MAX_TAIL_MS` have passed since its end."""
        end_ms = self.plan.scenario.seconds * 1000.0
        if self.clients is None or self.queue.now < end_ms:
            return False
        return self.clients.done or self.queue.now >= end_ms + MAX_TAIL_MS

    def run(self, progress: Progress | None = None) -> dict[str, Any]:
        """Run the plan to its end and return the summary."""
        started_s = time.monotonic()
        while not self.finished:
            self.queue.run(self.queue.now + RUN_STEP_MS)
            if progress is not None:
                progress(self.queue.now / 1000.0, self.queue.processed, time.monotonic() - started_s)
        for record in self.statistics.latency_records():
            self.recorder.write(RecordFile.LOAD, record)
        return {**self._summary(), "wall_s": round(time.monotonic() - started_s, 1)}

    def _summary(self) -> dict[str, Any]:
        """Return the summary, which shares keys with that of an experiment."""
        statistics, checker = self.statistics, self.checker
        digest, violations = self.recorder.close(), checker.finish()
        variation = statistics.rejection_variation()
        return {
            "ok": violations.count() == 0 and self.clients is not None and self.clients.done,
            "scenario": self.plan.scenario.name,
            "seed": self.plan.seed,
            "plan": plan_digest(self.plan),
            "digest": digest,
            "service": round(statistics.service(*statistics.measured_span), 4),
            "worst_10_s": round(statistics.worst_window(), 4),
            "after_restarts": self._service_after_restarts(),
            "void": False,
            "classes": statistics.class_summaries(),
            "tries": statistics.attempts,
            "swing": None if variation is None else round(variation, 3),
            "fell": checker.collapses,
            "overloads": len(checker.overloads),
            "cold_most": round(checker.max_bound_share, 3),
            "tiers": tier_statistics(self.fleet),
            "rules": violations.as_record(),
            "crashed": [],
            "events": self.queue.processed,
            "records": self.recorder.record_count,
        }

    def _service_after_restarts(self) -> float | None:
        """Return the mean service in the windows after restarts of nodes; None without restarts."""
        end_ms = self.plan.scenario.seconds * 1000.0
        windows = [
            self.statistics.service(at_ms, at_ms + AFTER_RESTART_MS)
            for at_ms in self.recorder.restarts_ms
            if 0.0 <= at_ms < end_ms
        ]
        return round(sum(windows) / len(windows), 4) if windows else None


def simulate(plan: Plan, folder: Path | None = None, progress: Progress | None = None) -> dict[str, Any]:
    """Run a plan and return the summary. The same plan gives byte-identical records.

    Args:
        folder: where records are written; None for no files.
        progress: called after each step of the run.
    """
    return Simulation(plan, folder).run(progress)
