"""Several runs of scenarios and their variants, one after another, and what they say together."""

from __future__ import annotations

import itertools
from collections.abc import Iterator, Sequence
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import msgspec

from rosewheel.config.checked import Problem, ProblemsError
from rosewheel.lab import plan as plans
from rosewheel.lab import scenario as scenarios
from rosewheel.lab.fault_table import ZONE_FAULT_KINDS
from rosewheel.lab.run import ExperimentRun
from rosewheel.lab.scenario import Scenario
from rosewheel.lab.tables import NetworkTable


@dataclass(slots=True, frozen=True)
class Variant:
    """One scenario with some keys changed."""

    name: str
    scenario: Scenario


def variants(names: Sequence[str], vary: Sequence[tuple[str, Sequence[object]]]) -> list[Variant]:
    """Every scenario under every combination of the changes; ProblemsError where one of them can't be used."""
    found: list[Variant] = []
    for name in names:
        for values in itertools.product(*(options for _, options in vary)):
            changes = dict(zip((key for key, _ in vary), values, strict=True))
            told = scenarios.load(name, changes)
            label = " ".join(f"{key}={value}" for key, value in changes.items())
            found.append(Variant(f"{told.name} {label}".strip(), told))
    return found


def check_emulated(scenario: Scenario) -> None:
    """ProblemsError where a scenario wants what is not emulated on sockets."""
    wanted = {
        "service": bool(scenario.services),
        "region": bool(scenario.regions),
        "network": scenario.network != NetworkTable(),
    }
    for at, trouble in enumerate(scenario.faults):
        wanted[f"trouble[{at}].kind"] = trouble.kind in ZONE_FAULT_KINDS
    for key, there in wanted.items():
        if there:
            why = "services, regions and ways between them are not emulated on sockets: `simulate` plays them"
            raise ProblemsError(scenario.name, [Problem(key, None, why)])


def parse_value(text: str) -> object:
    """A value on the command line: a number, true or false, or else text."""
    try:
        parsed: object = msgspec.json.decode(text)
    except msgspec.DecodeError:
        return text
    return parsed


@dataclass(slots=True, frozen=True)
class PlannedRun:
    variant: Variant
    seed: int
    folder: Path


def plan_runs(found: Sequence[Variant], seed: int | None, repeat: int, out: Path) -> Iterator[PlannedRun]:
    """Every run there is to make. Repeats take the seeds that follow, the same for each variant: they are paired."""
    for number in range(repeat):
        for at, variant in enumerate(found):
            first = variant.scenario.seed if seed is None else seed
            yield PlannedRun(variant, first + number, out / f"v{at}-s{first + number}")


async def play_run(item: PlannedRun) -> dict[str, Any]:
    """One run; its records are in `item.folder`, its summary is returned."""
    item.folder.mkdir(parents=True, exist_ok=True)
    plan = plans.make(item.variant.scenario, item.seed)
    summary = await ExperimentRun(plan, item.folder).execute()
    return {"variant": item.variant.name, "folder": item.folder.name, **summary}


@dataclass(slots=True, frozen=True)
class VariantRow:
    """A variant's service over its runs: mean and the half-width of its 95% confidence interval."""

    variant: str
    runs: int
    void_runs: int
    service: float
    half_width: float | None  # None: one run says nothing of chance
    p99_ms: dict[str, float]
    violated_runs: int
    after_restarts: float | None = None  # service in the 10 s after restarts of nodes, and its interval
    after_restarts_half_width: float | None = None


def summarize(summaries: Sequence[dict[str, Any]]) -> list[VariantRow]:
    """One row a variant; runs that are void are counted and left out."""
    rows: list[VariantRow] = []
    for name in dict.fromkeys(one["variant"] for one in summaries):
        mine = [one for one in summaries if one["variant"] == name]
        good = [one for one in mine if not one["void"]]
        services = [one["service"] for one in good]
        mean = sum(services) / len(services) if services else float("nan")
        classes = good[0]["classes"] if good else {}
        after = [one["after_restarts"] for one in good if one.get("after_restarts") is not None]
        rows.append(
            VariantRow(
                variant=name,
                runs=len(mine),
                void_runs=len(mine) - len(good),
                service=mean,
                half_width=_half_width(services),
                p99_ms={
                    key: sum(one["classes"][key]["p99_ms"] for one in good) / len(good) for key in classes
                },
                violated_runs=sum(not one["ok"] for one in mine),
                after_restarts=sum(after) / len(after) if after else None,
                after_restarts_half_width=_half_width(after),
            )
        )
    return rows


def _half_width(values: Sequence[float]) -> float | None:
    if len(values) < 2:
        return None
    from scipy import stats

    return float(stats.sem(values) * stats.t.ppf(0.975, len(values) - 1))
