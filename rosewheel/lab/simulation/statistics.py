"""Statistics of a simulated run: service over time, latency, attempts, and utilization of servers."""

from __future__ import annotations

import statistics
from dataclasses import dataclass

from hdrh.histogram import HdrHistogram

from rosewheel.lab.plan import Plan
from rosewheel.lab.record_types import LatencyRecord
from rosewheel.lab.simulation.clients import HTTP_OK, SimulatedOperation
from rosewheel.lab.simulation.fleet import SimulatedFleet
from rosewheel.lab.simulation.host import SimulatedServerHost
from rosewheel.policy.events import AttemptResult

BIN_MS = 100.0
BINS_PER_SECOND = 10
WORST_WINDOW_MS = 10_000.0  # length of the window with the worst service
WORST_STEP_MS = 1000  # time between the starts of two such windows
REJECTED_STATUS = 503
MIN_REJECTIONS_PER_S = 10.0  # lowest mean rate for which the variation of rejections is meaningful
MAX_LATENCY_MS = 60_000
LATENCY_SIGNIFICANT_DIGITS = 3


@dataclass(slots=True)
class OperationCounts:
    """Numbers of operations of one class.

    Attributes:
        offered: finished operations.
        served: operations with a successful response.
        in_time: served operations that met the latency objective.
    """

    offered: int = 0
    served: int = 0
    in_time: int = 0

    def as_record(self) -> dict[str, int]:
        """Return the counts by their keys in a summary."""
        return {"asked": self.offered, "served": self.served, "in_time": self.in_time}


class RunStatistics:
    """Statistics of the finished operations of a run.

    Weights are the priority weight of an operation times its work.

    Attributes:
        offered_weight: weight of all operations, by bins of the planned time.
        earned_weight: weight of operations served in time, by bins of the planned time.
        rejections: number of rejected attempts, by bins of the end of the attempt.
        latency: latency histogram by class.
        counts: numbers of operations by class.
        attempts: number of attempts of all operations.
    """

    def __init__(self, plan: Plan) -> None:
        self.plan = plan
        bins = int(plan.scenario.seconds * 1000.0 / BIN_MS) + 1
        self.offered_weight, self.earned_weight = [0.0] * bins, [0.0] * bins
        self.rejections = [0] * bins
        names = [row.name for row in plan.scenario.classes]
        self.latency = {name: HdrHistogram(1, MAX_LATENCY_MS, LATENCY_SIGNIFICANT_DIGITS) for name in names}
        self.counts = {name: OperationCounts() for name in names}
        self.attempts = 0

    def record(self, operation: SimulatedOperation, in_time: bool) -> None:
        """Add a finished operation."""
        arrival, last = operation.arrival, operation.attempts[-1]
        served = last.status == HTTP_OK
        counts = self.counts[arrival.class_name]
        counts.offered += 1
        counts.served += served
        counts.in_time += in_time
        weight = operation.table.priority_weight * arrival.work_ms
        planned_bin = int(arrival.at_ms / BIN_MS)
        self.offered_weight[planned_bin] += weight
        self.earned_weight[planned_bin] += weight * in_time
        if served:
            latency_ms = max(1, round(last.ended_ms - arrival.at_ms))
            self.latency[arrival.class_name].record_value(latency_ms)
        self.attempts += len(operation.attempts)
        for attempt in operation.attempts:
            end_bin = int(attempt.ended_ms / BIN_MS)
            if attempt.status == REJECTED_STATUS and end_bin < len(self.rejections):
                self.rejections[end_bin] += 1

    def service(self, begin_ms: float, end_ms: float) -> float:
        """Return the weight served in time as a share of the weight offered in an interval.

        Operations count at their planned time. The ends of the interval are rounded to `BIN_MS`. Returns 1 if no
        operations were planned.
        """
        first, last = round(begin_ms / BIN_MS), round(end_ms / BIN_MS)
        offered = sum(self.offered_weight[first:last])
        return sum(self.earned_weight[first:last]) / offered if offered else 1.0

    @property
    def measured_span(self) -> tuple[float, float]:
        """Interval from the end of the warm-up to that of the run, in ms."""
        scenario = self.plan.scenario
        return scenario.warm_up_s * 1000.0, scenario.seconds * 1000.0 + BIN_MS

    def worst_window(self) -> float:
        """Return the service in the worst window of `WORST_WINDOW_MS`, or of the whole span if that is shorter."""
        begin, end = self.measured_span
        starts = range(round(begin), round(end - BIN_MS - WORST_WINDOW_MS) + 1, WORST_STEP_MS)
        windows = (self.service(start, start + WORST_WINDOW_MS) for start in starts)
        return min(windows, default=self.service(begin, end))

    def rejection_variation(self) -> float | None:
        """Return the coefficient of variation of rejections per second; None if there are too few."""
        first = round(self.measured_span[0] / BIN_MS)
        last = len(self.rejections) - BINS_PER_SECOND
        per_second = [
            sum(self.rejections[start : start + BINS_PER_SECOND])
            for start in range(first, last, BINS_PER_SECOND)
        ]
        if not per_second or statistics.fmean(per_second) < MIN_REJECTIONS_PER_S:
            return None
        return statistics.pstdev(per_second) / statistics.fmean(per_second)

    def latency_records(self) -> list[LatencyRecord]:
        """Return the counts and latency quantiles of each class as records."""
        records = []
        for name, histogram in self.latency.items():
            quantiles = [histogram.get_value_at_percentile(q) for q in (50.0, 90.0, 99.0, 99.9)]
            counts = self.counts[name]
            records.append(LatencyRecord(name, counts.offered, counts.served, counts.in_time, *quantiles))
        return records

    def class_summaries(self) -> dict[str, dict[str, object]]:
        """Return the counts and latency quantiles of each class by their keys in a summary."""
        return {
            name: {
                **counts.as_record(),
                "p50_ms": self.latency[name].get_value_at_percentile(50.0),
                "p99_ms": self.latency[name].get_value_at_percentile(99.0),
            }
            for name, counts in self.counts.items()
        }


def tier_statistics(fleet: SimulatedFleet) -> dict[str, dict[str, object]]:
    """Return the attempts and server utilization of each tier by their keys in a summary."""
    return {
        tier.name: _tier_statistics(
            [host for host in fleet.hosts.values() if host.spec.tier == index],
            fleet.attempt_results[index],
            fleet.queue.now,
        )
        for index, tier in enumerate(fleet.plan.scenario.tiers)
    }


def _tier_statistics(
    hosts: list[SimulatedServerHost], results: dict[AttemptResult, int], now: float
) -> dict[str, object]:
    utilizations = [
        utilization for host in hosts if host.listening and (utilization := host.utilization(now)) > 0.0
    ]
    attempts = sum(results.values())
    succeeded = results.get(AttemptResult.OK, 0)
    mean = statistics.fmean(utilizations) if utilizations else 0.0
    return {
        "equipos": len(hosts),
        "attempts": attempts,
        "wasted": round(1.0 - succeeded / attempts, 4) if attempts else 0.0,
        "results": {result.value: results[result] for result in AttemptResult if results.get(result)},
        "used": round(mean, 4),
        "balance": round(max(utilizations) / mean, 3) if utilizations else None,
        "slowed": sum(host.model.slowed_since_ms is not None for host in hosts),
    }
