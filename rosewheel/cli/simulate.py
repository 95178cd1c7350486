"""`simulate`: the lab in virtual time."""

from __future__ import annotations

import multiprocessing
import sys
import time
from collections.abc import Sequence
from concurrent.futures import ProcessPoolExecutor
from concurrent.futures.process import BrokenProcessPool
from pathlib import Path
from typing import Any

import click

from rosewheel.cli.lab import (
    INTERRUPTED,
    bad_input,
    changes_from,
    json_line,
    plan_option,
    print_plan,
    repeat_option,
    rules_text,
    seconds_option,
    seed_option,
    vary_option,
)
from rosewheel.config.errors import InvalidFileError
from rosewheel.lab import experiment as experiments
from rosewheel.lab import plan as plans
from rosewheel.lab.simulation.simulate import check_simulated, simulate

PROGRESS_S = 5.0  # of wall clock, between two lines of a run


def play(item: experiments.PlannedRun, records: bool) -> dict[str, Any]:
    """One run, in whatever process this is called in."""
    plan = plans.make(item.variant.scenario, item.seed)
    length, told = plan.scenario.seconds, time.monotonic()

    def progress(at_s: float, events: int, wall_s: float) -> None:
        nonlocal told
        if time.monotonic() - told >= PROGRESS_S:
            told = time.monotonic()
            pace = f"{events / wall_s:,.0f} events a second"
            click.echo(
                f"  {item.variant.name}, seed {item.seed}: {at_s:.1f} of {length:g} s, {pace}", err=True
            )

    if records:
        item.folder.mkdir(parents=True, exist_ok=True)
    summary = simulate(plan, item.folder if records else None, progress)
    return {"variant": item.variant.name, "folder": item.folder.name, **summary}


@click.command("simulate")
@click.argument("names", nargs=-1, required=True, metavar="SCENARIO...")
@seed_option
@seconds_option
@plan_option
@repeat_option
@vary_option
@click.option("--jobs", type=click.IntRange(1), default=1, show_default=True, help="Runs side by side.")
@click.option("--out", type=click.Path(path_type=Path), help="Keep records there, with the report of them.")
def command(
    names: tuple[str, ...],
    seed: int | None,
    seconds: float | None,
    only_plan: bool,
    repeat: int,
    vary: tuple[str, ...],
    jobs: int,
    out: Path | None,
) -> None:
    """Scenarios in virtual time: real nodes' decisions on one queue of events, no sockets, no waiting.

    The same seed gives the same records byte for byte; their digest is printed. 1 where a rule broke.
    """
    try:
        found = experiments.variants(names, changes_from(vary, seconds))
        items = list(experiments.plan_runs(found, seed, repeat, out or Path()))
        for variant in found:
            check_simulated(variant.scenario)
    except InvalidFileError as error:
        bad_input(error)
    if only_plan:
        for item in items:
            print_plan(plans.make(item.variant.scenario, item.seed))
        return
    summaries = _play_all(items, jobs, out is not None)
    rows = experiments.summarize(summaries)
    click.echo(_table(summaries))
    last = summaries[0] if len(summaries) == 1 else {"runs": len(summaries)}
    if out is not None:
        from rosewheel.lab import report

        last = {**last, "report": str(report.write_report(out, summaries, rows))}
    good = all(one["ok"] for one in summaries)
    json_line({**last, "ok": good, "services": {row.variant: round(row.service, 4) for row in rows}})
    sys.exit(0 if good else 1)


def _play_all(items: Sequence[experiments.PlannedRun], jobs: int, records: bool) -> list[dict[str, Any]]:
    summaries = []
    try:
        if jobs == 1 or len(items) == 1:
            for item in items:
                summaries.append(play(item, records))
                _tell(summaries[-1])
            return summaries
        # New interpreters: nothing of this process's state may reach a run.
        with ProcessPoolExecutor(jobs, mp_context=multiprocessing.get_context("spawn")) as pool:
            for summary in pool.map(play, items, [records] * len(items)):
                summaries.append(summary)
                _tell(summary)
    except KeyboardInterrupt:
        click.echo("rosewheel: interrupted", err=True)
        sys.exit(INTERRUPTED)
    except BrokenProcessPool:
        click.echo("rosewheel: a run was ended from outside; out of memory, as like as not", err=True)
        sys.exit(1)
    return summaries


def _tell(one: dict[str, Any]) -> None:
    click.echo(
        f"{one['variant']}, seed {one['seed']}: service {one['service']:.3f}  rules {rules_text(one)}  "
        f"digest {one['digest']}  {one['wall_s']} s",
        err=True,
    )


def _table(summaries: Sequence[dict[str, Any]]) -> str:
    """One line a variant: means over its runs."""
    width = max(8, *(len(one["variant"]) for one in summaries))
    lines = [f"{'variant':{width}}  runs  service  worst 10 s  wasted  fell  swing  tiers: max use over mean"]
    for name in dict.fromkeys(one["variant"] for one in summaries):
        mine = [one for one in summaries if one["variant"] == name]
        tiers = mine[0]["tiers"]
        balance = "  ".join(
            f"{tier} {_mean([one['tiers'][tier]['balance'] for one in mine]):.2f}" for tier in tiers
        )
        wasted = max(_mean([one["tiers"][tier]["wasted"] for one in mine]) for tier in tiers)
        swings = [one["swing"] for one in mine if one["swing"] is not None]
        lines.append(
            f"{name:{width}}  {len(mine):4}  {_mean([one['service'] for one in mine]):7.3f}  "
            f"{_mean([one['worst_10_s'] for one in mine]):10.3f}  {wasted:6.3f}  "
            f"{_mean([one['fell'] for one in mine]):4.1f}  {f'{_mean(swings):5.2f}' if swings else '    -'}  {balance}"
        )
    return "\n".join(lines)


def _mean(values: Sequence[float | None]) -> float:
    known = [value for value in values if value is not None]
    return sum(known) / len(known) if known else float("nan")
