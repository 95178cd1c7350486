"""Experiments: consecutive runs of scenarios and their variants, and statistics over the runs."""

from __future__ import annotations

import itertools
from collections.abc import Iterator, Sequence
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import msgspec

from rosewheel.config.errors import InvalidFileError, Problem
from rosewheel.lab import plan as plans
from rosewheel.lab import scenario as scenarios
from rosewheel.lab.fault_table import ZONE_FAULT_KINDS
from rosewheel.lab.run import ExperimentRun
from rosewheel.lab.scenario import Scenario
from rosewheel.lab.tables import NetworkTable

CONFIDENCE = 0.95


@dataclass(slots=True, frozen=True)
class Variant:
    """A scenario with changed keys, and the name that identifies it in results."""

    name: str
    scenario: Scenario


def variants(names: Sequence[str], vary: Sequence[tuple[str, Sequence[object]]]) -> list[Variant]:
    """Load each scenario with every combination of the changes.

    Args:
        names: names or paths of the scenarios.
        vary: keys of the scenario file, each with its values.

    Raises:
        InvalidFileError: a scenario or a change is invalid.
    """
    loaded: list[Variant] = []
    for name in names:
        for values in itertools.product(*(options for _, options in vary)):
            changes = dict(zip((key for key, _ in vary), values, strict=True))
            scenario = scenarios.load(name, changes)
            label = " ".join(f"{key}={value}" for key, value in changes.items())
            loaded.append(Variant(f"{scenario.name} {label}".strip(), scenario))
    return loaded


def check_emulation_supported(scenario: Scenario) -> None:
    """Check that a scenario can be emulated on sockets.

    Raises:
        InvalidFileError: the scenario uses a feature that only the simulation supports.
    """
    simulated_only = {
        "service": bool(scenario.services),
        "region": bool(scenario.regions),
        "network": scenario.network != NetworkTable(),
    }
    for index, fault in enumerate(scenario.faults):
        simulated_only[f"trouble[{index}].kind"] = fault.kind in ZONE_FAULT_KINDS
    for key, present in simulated_only.items():
        if present:
            why = "services, regions, network delays and zone faults are supported only by `simulate`"
            raise InvalidFileError(scenario.name, [Problem(key, None, why)])


def parse_value(text: str) -> object:
    """Return a value of the command line as JSON, or as text if it is not valid JSON."""
    try:
        value: object = msgspec.json.decode(text)
    except msgspec.DecodeError:
        return text
    return value


@dataclass(slots=True, frozen=True)
class PlannedRun:
    """A run of a variant, with its seed and the folder of its records."""

    variant: Variant
    seed: int
    folder: Path


def plan_runs(selected: Sequence[Variant], seed: int | None, repeat: int, out: Path) -> Iterator[PlannedRun]:
    """Yield all runs of an experiment, one repetition of all variants after another.

    Repetitions use consecutive seeds, the same for all variants of a scenario, so that their runs are paired.

    Args:
        selected: the variants.
        seed: seed of the first repetition; that of each scenario if None.
        repeat: number of repetitions.
        out: parent of the folders of the runs.
    """
    for number in range(repeat):
        for index, variant in enumerate(selected):
            first_seed = variant.scenario.seed if seed is None else seed
            yield PlannedRun(variant, first_seed + number, out / f"v{index}-s{first_seed + number}")


async def execute_run(item: PlannedRun) -> dict[str, Any]:
    """Execute one run, write its records to `item.folder`, and return its summary."""
    item.folder.mkdir(parents=True, exist_ok=True)
    plan = plans.make(item.variant.scenario, item.seed)
    summary = await ExperimentRun(plan, item.folder).execute()
    return {"variant": item.variant.name, "folder": item.folder.name, **summary}


@dataclass(slots=True, frozen=True)
class VariantRow:
    """Results of a variant over its runs. Means exclude void runs.

    Attributes:
        variant: name of the variant.
        runs: number of runs, including void ones.
        void_runs: number of runs whose results are invalid because of timer lag.
        service: mean service.
        half_width: half the width of the confidence interval of `service`; None for fewer than two valid runs.
        p99_ms: mean 99th percentile of the latency, by class.
        violated_runs: number of runs in which a rule was violated.
        after_restarts: mean service after restarts of nodes; None without one.
        after_restarts_half_width: half the width of the confidence interval of `after_restarts`.
    """

    variant: str
    runs: int
    void_runs: int
    service: float
    half_width: float | None
    p99_ms: dict[str, float]
    violated_runs: int
    after_restarts: float | None = None
    after_restarts_half_width: float | None = None


def summarize(summaries: Sequence[dict[str, Any]]) -> list[VariantRow]:
    """Return one row for each variant, in order of their first runs."""
    names = dict.fromkeys(summary["variant"] for summary in summaries)
    return [_row(name, [summary for summary in summaries if summary["variant"] == name]) for name in names]


def _row(name: str, summaries: list[dict[str, Any]]) -> VariantRow:
    valid = [summary for summary in summaries if not summary["void"]]
    services = [summary["service"] for summary in valid]
    classes = valid[0]["classes"] if valid else {}
    after_restarts = [
        summary["after_restarts"] for summary in valid if summary.get("after_restarts") is not None
    ]
    return VariantRow(
        variant=name,
        runs=len(summaries),
        void_runs=len(summaries) - len(valid),
        service=_mean(services) if services else float("nan"),
        half_width=_half_width(services),
        p99_ms={key: _mean([summary["classes"][key]["p99_ms"] for summary in valid]) for key in classes},
        violated_runs=sum(not summary["ok"] for summary in summaries),
        after_restarts=_mean(after_restarts) if after_restarts else None,
        after_restarts_half_width=_half_width(after_restarts),
    )


def _mean(values: Sequence[float]) -> float:
    return sum(values) / len(values)


def _half_width(values: Sequence[float]) -> float | None:
    """Return half the width of the confidence interval of the mean, by Student's t-distribution."""
    if len(values) < 2:
        return None
    from scipy import stats

    quantile = (1.0 + CONFIDENCE) / 2.0
    return float(stats.sem(values) * stats.t.ppf(quantile, len(values) - 1))
