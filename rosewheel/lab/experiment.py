"""Several runs of scenarios and their variants, one after another, and their results together."""

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
    """One scenario with some keys changed."""

    name: str
    scenario: Scenario


def variants(names: Sequence[str], vary: Sequence[tuple[str, Sequence[object]]]) -> list[Variant]:
    """Every scenario under every combination of the changes.

    Args:
        vary: keys of the scenario file, each with its values.

    Raises:
        InvalidFileError: a scenario or a change is invalid.
    """
    found: list[Variant] = []
    for name in names:
        for values in itertools.product(*(options for _, options in vary)):
            changes = dict(zip((key for key, _ in vary), values, strict=True))
            scenario = scenarios.load(name, changes)
            label = " ".join(f"{key}={value}" for key, value in changes.items())
            found.append(Variant(f"{scenario.name} {label}".strip(), scenario))
    return found


def check_emulation_supported(scenario: Scenario) -> None:
    """Check that a scenario can be emulated on sockets.

    Raises:
        InvalidFileError: it needs what only the simulation has.
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
            why = "services, regions and ways between them are not emulated on sockets: `simulate` plays them"
            raise InvalidFileError(scenario.name, [Problem(key, None, why)])


def parse_value(text: str) -> object:
    """A value of the command line: a number, true or false, or else text."""
    try:
        value: object = msgspec.json.decode(text)
    except msgspec.DecodeError:
        return text
    return value


@dataclass(slots=True, frozen=True)
class PlannedRun:
    """One run of a variant, with its seed and the folder of its records."""

    variant: Variant
    seed: int
    folder: Path


def plan_runs(found: Sequence[Variant], seed: int | None, repeat: int, out: Path) -> Iterator[PlannedRun]:
    """Every run. Repeats take the seeds that follow, the same for each variant, so that runs are paired."""
    for number in range(repeat):
        for index, variant in enumerate(found):
            first = variant.scenario.seed if seed is None else seed
            yield PlannedRun(variant, first + number, out / f"v{index}-s{first + number}")


async def execute_run(item: PlannedRun) -> dict[str, Any]:
    """Carry out one run; its records are in `item.folder`, its summary is returned."""
    item.folder.mkdir(parents=True, exist_ok=True)
    plan = plans.make(item.variant.scenario, item.seed)
    summary = await ExperimentRun(plan, item.folder).execute()
    return {"variant": item.variant.name, "folder": item.folder.name, **summary}


@dataclass(slots=True, frozen=True)
class VariantRow:
    """The results of a variant over its runs.

    Attributes:
        service: mean service; void runs are left out of it.
        half_width: half the width of its confidence interval; None where one run has none.
        p99_ms: mean 99th percentile of the latency, by class.
        violated_runs: runs in which a rule was violated.
        after_restarts: mean service after restarts of nodes, and its interval likewise.
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
    """One row for each variant; void runs are counted and left out of the means."""
    names = dict.fromkeys(summary["variant"] for summary in summaries)
    return [_row(name, [one for one in summaries if one["variant"] == name]) for name in names]


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
    """Half the width of the mean's confidence interval, by Student's t."""
    if len(values) < 2:
        return None
    from scipy import stats

    quantile = (1.0 + CONFIDENCE) / 2.0
    return float(stats.sem(values) * stats.t.ppf(quantile, len(values) - 1))
