"""What a simulated run says of itself: service over time, latencies, attempts, how evenly equipos were used."""

from __future__ import annotations

import statistics
from typing import Any

from hdrh.histogram import HdrHistogram

from rosewheel.lab.plan import Plan
from rosewheel.lab.simulation.clients import SimulatedOperation
from rosewheel.lab.simulation.fleet import SimulatedFleet
from rosewheel.policy.events import AttemptResult

BIN_MS = 100.0
WORST_WINDOW_MS = 10_000.0


class RunStatistics:
    """Takes each wish as it ends."""

    def __init__(self, plan: Plan) -> None:
        self.plan = plan
        bins = int(plan.scenario.seconds * 1000.0 / BIN_MS) + 1
        self.offered_weight, self.earned_weight = [0.0] * bins, [0.0] * bins  # worth, by planned moment
        self.rejections = [0] * bins  # tries, by when they were refused
        names = [row.name for row in plan.scenario.classes]
        self.latency = {name: HdrHistogram(1, 60_000, 3) for name in names}
        self.counts = {name: {"asked": 0, "served": 0, "in_time": 0} for name in names}
        self.attempts = 0

    def record(self, op: SimulatedOperation, in_time: bool) -> None:
        arrival, last = op.arrival, op.attempts[-1]
        served = last["status"] == 200
        counts = self.counts[arrival.class_name]
        counts["asked"] += 1
        counts["served"] += served
        counts["in_time"] += in_time
        worth, at = op.table.priority_weight * arrival.work_ms, int(arrival.at_ms / BIN_MS)
        self.offered_weight[at] += worth
        self.earned_weight[at] += worth * in_time
        if served:
            self.latency[arrival.class_name].record_value(max(1, round(last["ended"] - arrival.at_ms)))
        self.attempts += len(op.attempts)
        for item in op.attempts:
            if item["status"] == 503 and (when := int(item["ended"] / BIN_MS)) < len(self.rejections):
                self.rejections[when] += 1

    def service(self, begin_ms: float, end_ms: float) -> float:
        """Worth answered in time over worth asked for, of what was planned between these moments, to 100 ms."""
        first, last = round(begin_ms / BIN_MS), round(end_ms / BIN_MS)
        asked = sum(self.offered_weight[first:last])
        return sum(self.earned_weight[first:last]) / asked if asked else 1.0

    @property
    def measured_span(self) -> tuple[float, float]:
        """From the end of the warm-up to that of the run, in ms."""
        scenario = self.plan.scenario
        return scenario.warm_up_s * 1000.0, scenario.seconds * 1000.0 + BIN_MS

    def worst_window(self) -> float:
        """Service in the worst 10 s, or in all where that is shorter."""
        begin, end = self.measured_span
        starts = range(round(begin), round(end - BIN_MS - WORST_WINDOW_MS) + 1, 1000)
        return min(
            (self.service(at, at + WORST_WINDOW_MS) for at in starts), default=self.service(begin, end)
        )

    def rejection_variation(self) -> float | None:
        """How much refusals come and go: the standard deviation of their number in each second over its mean.
        None where there were fewer than ten a second."""
        first = round(self.measured_span[0] / BIN_MS)
        seconds = [sum(self.rejections[at : at + 10]) for at in range(first, len(self.rejections) - 10, 10)]
        if not seconds or statistics.fmean(seconds) < 10.0:
            return None
        return statistics.pstdev(seconds) / statistics.fmean(seconds)


def tier_statistics(world: SimulatedFleet) -> dict[str, dict[str, Any]]:
    """By tier: attempts for each request served there, attempts by how they ended, and the most used equipo's share
    of its capacity over the mean."""
    found: dict[str, dict[str, Any]] = {}
    for at, tier in enumerate(world.plan.scenario.tiers):
        hosts = [host for host in world.hosts.values() if host.spec.tier == at]
        shares = [
            share for host in hosts if host.listening and (share := host.utilization(world.queue.now)) > 0.0
        ]
        results = world.results[at]
        attempts = sum(results.values())
        found[tier.name] = {
            "equipos": len(hosts),
            "attempts": attempts,
            "wasted": round(1.0 - results[AttemptResult.OK] / attempts, 4) if attempts else 0.0,
            "results": {result.value: results[result] for result in AttemptResult if results[result]},
            "used": round(statistics.fmean(shares), 4) if shares else 0.0,
            "balance": round(max(shares) / statistics.fmean(shares), 3) if shares else None,
            "slowed": sum(host.model.slowed_since_ms is not None for host in hosts),
        }
    return found
