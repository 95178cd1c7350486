"""One simulated run of a plan: records, their digest, and what they say."""

from __future__ import annotations

import hashlib
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any

import msgspec

from rosewheel.config.checked import Problem, ProblemsError
from rosewheel.lab.invariant_checker import InvariantChecker
from rosewheel.lab.plan import Plan
from rosewheel.lab.plan_codec import plan_digest
from rosewheel.lab.records import RecordWriter
from rosewheel.lab.scenario import Scenario
from rosewheel.lab.simulation.clients import SimulatedClients, SimulatedDispatcher
from rosewheel.lab.simulation.events import EventQueue
from rosewheel.lab.simulation.fleet import SimulatedFleet
from rosewheel.lab.simulation.statistics import RunStatistics, tier_statistics

LEAD_MS = 500.0  # between the start of the last node and the plan's beginning
SLICE_MS = 100.0
AFTER_RESTART_MS = 10_000.0
MAX_TAIL_MS = 120_000.0  # after the last arrival nobody waits for longer
RECORD_FILES = ("run", "load", "equipos")

Progress = Callable[[float, int, float], None]  # seconds simulated, events, seconds of wall clock


class Recorder:
    """Every record in the order in which it was made: into a digest, the ledger, and files if there is a folder."""

    def __init__(self, ledger: InvariantChecker, folder: Path | None) -> None:
        self.ledger = ledger
        self.backs: list[float] = []
        self.rows = 0
        self._hash = hashlib.blake2b(digest_size=8)
        self._encode = msgspec.json.Encoder().encode
        self._files = (
            {} if folder is None else {name: RecordWriter(folder / f"{name}.jsonl") for name in RECORD_FILES}
        )

    def write(self, name: str, row: dict[str, Any]) -> None:
        self.rows += 1
        line = self._encode(row)
        self._hash.update(line)
        self.ledger.observe(row)
        if row["e"] == "back":
            self.backs.append(row["t"])
        if self._files:
            self._files[name].put(line)

    def close(self) -> str:
        for file in self._files.values():
            file.close()
        return self._hash.hexdigest()


def check_simulated(scenario: Scenario) -> None:
    """ProblemsError where a scenario wants what is not simulated."""
    for at, trouble in enumerate(scenario.faults):
        if trouble.killed_process:
            why = "a process that is killed in the middle of an upgrade is not simulated"
            raise ProblemsError(scenario.name, [Problem(f"trouble[{at}].kills", None, why)])


class Simulation:
    """One run of a plan. `world` and `clients` are there to be looked at once it is over."""

    def __init__(self, plan: Plan, folder: Path | None = None) -> None:
        self.plan = plan
        spread_ms = plan.scenario.nodes.start_spread_s * 1000.0
        self.checker = InvariantChecker(plan.scenario)
        self.recorder = Recorder(self.checker, folder)
        self.queue = EventQueue(-(spread_ms + LEAD_MS))
        self.fleet = SimulatedFleet(plan, self.queue, self.recorder.write)
        self.statistics = RunStatistics(plan)
        self.clients: SimulatedClients | None = None
        self.fleet.start(self._begin)

    def _begin(self) -> None:
        """All nodes are up: clients and troubles take their places."""
        plan, queue = self.plan, self.queue
        front = SimulatedDispatcher(queue, self.fleet.nodes, plan.node_notice_ms)
        self.clients = SimulatedClients(
            plan, queue, front, lambda row: self.recorder.write("load", row), self.statistics.record
        )
        for step in plan.steps:
            if plan.scenario.faults[step.fault].kind == "retry-storm":
                queue.call_at(step.at_ms, self._storm, round(step.size) if step.phase == "begin" else 0)
            else:
                queue.call_at(step.at_ms, self.fleet.inject, step, front)

    def _storm(self, tries: int) -> None:
        assert self.clients is not None
        self.clients.extra_retries = tries

    @property
    def finished(self) -> bool:
        """The plan's time is up and every client has its answer, or has waited longer than any can."""
        end = self.plan.scenario.seconds * 1000.0
        if self.clients is None or self.queue.now < end:
            return False
        return self.clients.done or self.queue.now >= end + MAX_TAIL_MS

    def run(self, progress: Progress | None = None) -> dict[str, Any]:
        """Play it to its end and say what came of it."""
        began = time.monotonic()
        while not self.finished:
            self.queue.run(self.queue.now + SLICE_MS)
            if progress is not None:
                progress(self.queue.now / 1000.0, self.queue.processed, time.monotonic() - began)
        for name, histogram in self.statistics.latency.items():
            quantiles = {f"p{q:g}": histogram.get_value_at_percentile(q) for q in (50.0, 90.0, 99.0, 99.9)}
            row = {"e": "latency", "class": name, **self.statistics.counts[name], **quantiles}
            self.recorder.write("load", row)
        return {**self._summary(), "wall_s": round(time.monotonic() - began, 1)}

    def _summary(self) -> dict[str, Any]:
        scenario, tally = self.plan.scenario, self.statistics
        digest, broken, swing = self.recorder.close(), self.checker.finish(), tally.rejection_variation()
        windows = [
            tally.service(back, back + AFTER_RESTART_MS)
            for back in self.recorder.backs
            if 0.0 <= back < scenario.seconds * 1000.0
        ]
        return {
            "ok": broken.count() == 0 and self.clients is not None and self.clients.done,
            "scenario": scenario.name,
            "seed": self.plan.seed,
            "plan": plan_digest(self.plan),
            "digest": digest,
            "service": round(tally.service(*tally.measured_span), 4),
            "worst_10_s": round(tally.worst_window(), 4),
            "after_restarts": round(sum(windows) / len(windows), 4) if windows else None,
            "void": False,
            "classes": {
                name: {
                    **tally.counts[name],
                    "p50_ms": tally.latency[name].get_value_at_percentile(50.0),
                    "p99_ms": tally.latency[name].get_value_at_percentile(99.0),
                }
                for name in tally.counts
            },
            "tries": tally.attempts,
            "swing": None if swing is None else round(swing, 3),
            "fell": self.checker.collapses,
            "overloads": len(self.checker.overloads),
            "cold_most": round(self.checker.max_bound_share, 3),
            "tiers": tier_statistics(self.fleet),
            "rules": broken.as_record(),
            "crashed": [],
            "events": self.queue.processed,
            "records": self.recorder.rows,
        }


def simulate(plan: Plan, folder: Path | None = None, progress: Progress | None = None) -> dict[str, Any]:
    """Play the plan once; the same plan gives the same records byte for byte."""
    return Simulation(plan, folder).run(progress)
