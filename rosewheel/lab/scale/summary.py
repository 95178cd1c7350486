"""The result of a scale run: statistics, propagation of changes and checks against the targets."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path

from rosewheel.lab.scale.call_statistics import CallStatistics
from rosewheel.lab.scale.change_propagation import ALL_PHASES, ChangePropagation, change_propagation
from rosewheel.lab.scale.measurements import Measurements, Role
from rosewheel.lab.scale.options import Options
from rosewheel.lab.scale.propagation import Propagation, percentile_s
from rosewheel.lab.scale.role_statistics import RoleStatistics, maximum, role_statistics
from rosewheel.lab.scale.targets import TargetCheck, TargetMeasurements, check_targets


@dataclass(slots=True, frozen=True)
class Summary:
    """The result of a run.

    Attributes:
        options: Options of the run.
        load_1min: Load average of the machine at the end.
        checks: Checks of the targets.
        statistics: Usage and traffic by phase and role.
        propagation: Propagation of changes to the nodes.
        publish_times_ms: For each configuration, the time from the first attempt to the leader's acknowledgement.
        calls: Statistics of the calls; None if the run sent none.
    """

    options: Options
    load_1min: float
    checks: list[TargetCheck]
    statistics: list[RoleStatistics]
    propagation: ChangePropagation
    publish_times_ms: list[float]
    calls: CallStatistics | None

    @property
    def ok(self) -> bool:
        """Whether no measured target was missed."""
        return all(check.holds is not False for check in self.checks)


def summarize(
    measurements: Measurements, folder: Path, stale_nodes: int, calls: CallStatistics | None
) -> Summary:
    """Summarize a run whose records are in this folder."""
    statistics = role_statistics(measurements.plan, measurements.samples)
    propagation = change_propagation(measurements, folder)
    measured = _target_measurements(measurements, statistics, propagation, stale_nodes, calls)
    return Summary(
        options=measurements.plan.options,
        load_1min=round(measurements.samples[-1].load_1min, 2),
        checks=check_targets(measured),
        statistics=statistics,
        propagation=propagation,
        publish_times_ms=[config.acknowledged_after_ms for config in measurements.configs],
        calls=calls,
    )


def _target_measurements(
    measurements: Measurements,
    statistics: list[RoleStatistics],
    propagation: ChangePropagation,
    stale_nodes: int,
    calls: CallStatistics | None,
) -> TargetMeasurements:
    last = measurements.samples[-1].usage
    rss_mb = sum(usage.rss_mb for processes in last.values() for usage in processes.values())

    def phase_maximum(
        role: Role, value: Callable[[RoleStatistics], float | None], unit: float = 1.0
    ) -> float | None:
        """Return the largest value over all phases, divided by the unit."""
        largest = maximum(statistics, role, value)
        return None if largest is None else round(largest / unit, 5)

    return TargetMeasurements(
        config_max_s=_longest_s(propagation.acked),
        lists_max_s=_longest_s(propagation.lists),
        stale_nodes=stale_nodes,
        cpu_max=phase_maximum(Role.SIMULATED_NODES, lambda row: row.usage.cpu_per_member),
        memory_max_mb=phase_maximum(Role.REAL_NODES, lambda row: row.usage.rss_mb_max),
        traffic_max_kb_s=phase_maximum(Role.SIMULATED_NODES, lambda row: row.traffic.max_bytes_s, 1000.0),
        added_p99_ms=None if calls is None else calls.added_p99_ms,
        direct_p99_ms=None if calls is None else calls.direct.p99_ms,
        calls_per_s=None if calls is None else round(calls.sent / measurements.plan.options.seconds, 1),
        processes=sum(len(processes) for processes in last.values()),
        run_memory_gb=round(rss_mb / 1024.0, 2),
    )


def _longest_s(by_phase: dict[str, Propagation]) -> float | None:
    all_changes = by_phase.get(ALL_PHASES)
    return None if all_changes is None else percentile_s(all_changes.durations_ms, 100.0)
