"""`rosewheel simulate`: runs scenarios in virtual time."""

from __future__ import annotations

import multiprocessing
import time
from collections.abc import Callable, Iterator, Sequence
from concurrent.futures import ProcessPoolExecutor
from concurrent.futures.process import BrokenProcessPool
from pathlib import Path

import click

from rosewheel.cli.experiment import RunSummary, rules_text
from rosewheel.cli.output import (
    exit_failed,
    exit_interrupted,
    exit_invalid_file,
    exit_with_result,
    print_json,
)
from rosewheel.cli.scenario_options import (
    parse_variations,
    plan_option,
    print_plan,
    repeat_option,
    seconds_option,
    seed_option,
    vary_option,
)
from rosewheel.config.errors import InvalidFileError
from rosewheel.lab import experiment as experiments
from rosewheel.lab import plan as plans
from rosewheel.lab.simulation.simulate import check_simulated
from rosewheel.lab.simulation.simulate import simulate as run_simulation

PROGRESS_INTERVAL_S = 5.0  # wall-clock time


@click.command()
@click.argument("names", nargs=-1, required=True, metavar="SCENARIO...")
@seed_option
@seconds_option
@plan_option
@repeat_option
@vary_option
@click.option("--jobs", type=click.IntRange(1), default=1, show_default=True, help="Number of parallel runs.")
@click.option("--out", type=click.Path(path_type=Path), help="Folder for records and the report.")
def simulate(
    names: tuple[str, ...],
    seed: int | None,
    seconds: float | None,
    only_plan: bool,
    repeat: int,
    vary: tuple[str, ...],
    jobs: int,
    out: Path | None,
) -> None:
    """Run scenarios in virtual time: the decisions of real nodes on one event queue, without sockets.

    The same seed gives the same records byte for byte; their digest is printed. Exit code 1 if a rule was violated.
    """
    try:
        variants = experiments.variants(names, parse_variations(vary, seconds))
        runs = list(experiments.plan_runs(variants, seed, repeat, out or Path()))
        for variant in variants:
            check_simulated(variant.scenario)
    except InvalidFileError as error:
        exit_invalid_file(error)
    if only_plan:
        for run in runs:
            print_plan(plans.make(run.variant.scenario, run.seed))
        return
    _report(_simulate_runs(runs, jobs, out is not None), out)


def simulate_run(run: experiments.PlannedRun, keep_records: bool) -> RunSummary:
    """Simulate one run in the calling process."""
    plan = plans.make(run.variant.scenario, run.seed)
    if keep_records:
        run.folder.mkdir(parents=True, exist_ok=True)
    progress = _progress_printer(run, plan.scenario.seconds)
    summary = run_simulation(plan, run.folder if keep_records else None, progress)
    return {"variant": run.variant.name, "folder": run.folder.name, **summary}


def _progress_printer(run: experiments.PlannedRun, length_s: float) -> Callable[[float, int, float], None]:
    """Return a progress callback that prints a line at most every PROGRESS_INTERVAL_S."""
    last_printed_s = time.monotonic()

    def progress(simulated_s: float, events: int, wall_s: float) -> None:
        nonlocal last_printed_s
        if time.monotonic() - last_printed_s < PROGRESS_INTERVAL_S:
            return
        last_printed_s = time.monotonic()
        click.echo(
            f"  {run.variant.name}, seed {run.seed}: {simulated_s:.1f} of {length_s:g} s, "
            f"{events / wall_s:,.0f} events/s",
            err=True,
        )

    return progress


def _simulate_runs(runs: Sequence[experiments.PlannedRun], jobs: int, keep_records: bool) -> list[RunSummary]:
    summaries = []
    try:
        for summary in _summaries(runs, jobs, keep_records):
            summaries.append(summary)
            _print_summary(summary)
    except KeyboardInterrupt:
        exit_interrupted()
    except BrokenProcessPool:
        exit_failed("the process of a run was killed, probably because memory ran out")
    return summaries


def _summaries(runs: Sequence[experiments.PlannedRun], jobs: int, keep_records: bool) -> Iterator[RunSummary]:
    """Yield the summaries of the runs, in order."""
    if jobs == 1 or len(runs) == 1:
        yield from (simulate_run(run, keep_records) for run in runs)
        return
    # New interpreters, so that no state of this process can affect a run.
    with ProcessPoolExecutor(jobs, mp_context=multiprocessing.get_context("spawn")) as pool:
        yield from pool.map(simulate_run, runs, [keep_records] * len(runs))


def _print_summary(summary: RunSummary) -> None:
    click.echo(
        f"{summary['variant']}, seed {summary['seed']}: service {summary['service']:.3f}  "
        f"rules {rules_text(summary)}  digest {summary['digest']}  {summary['wall_s']} s",
        err=True,
    )


def _report(summaries: Sequence[RunSummary], out: Path | None) -> None:
    """Print the table and the result as JSON, and exit with 1 if a rule was violated."""
    rows = experiments.summarize(summaries)
    click.echo(_variants_table(summaries))
    result = summaries[0] if len(summaries) == 1 else {"runs": len(summaries)}
    if out is not None:
        from rosewheel.lab import report  # imports matplotlib, which takes long to load

        result = {**result, "report": str(report.write_report(out, summaries, rows))}
    ok = all(summary["ok"] for summary in summaries)
    print_json({**result, "ok": ok, "services": {row.variant: round(row.service, 4) for row in rows}})
    exit_with_result(ok)


def _variants_table(summaries: Sequence[RunSummary]) -> str:
    """Return a table with a line for each variant: means over its runs."""
    width = max(8, *(len(summary["variant"]) for summary in summaries))
    lines = [f"{'variant':{width}}  runs  service  worst 10 s  wasted  fell  swing  tiers: max use over mean"]
    for name in dict.fromkeys(summary["variant"] for summary in summaries):
        lines.append(
            _variant_line(name, width, [summary for summary in summaries if summary["variant"] == name])
        )
    return "\n".join(lines)


def _variant_line(name: str, width: int, summaries: Sequence[RunSummary]) -> str:
    tiers = summaries[0]["tiers"]
    balance = "  ".join(
        f"{tier} {_mean([summary['tiers'][tier]['balance'] for summary in summaries]):.2f}" for tier in tiers
    )
    wasted = max(_mean([summary["tiers"][tier]["wasted"] for summary in summaries]) for tier in tiers)
    swings = [summary["swing"] for summary in summaries if summary["swing"] is not None]
    swing = f"{_mean(swings):5.2f}" if swings else "    -"
    return (
        f"{name:{width}}  {len(summaries):4}  {_mean([summary['service'] for summary in summaries]):7.3f}  "
        f"{_mean([summary['worst_10_s'] for summary in summaries]):10.3f}  {wasted:6.3f}  "
        f"{_mean([summary['fell'] for summary in summaries]):4.1f}  {swing}  {balance}"
    )


def _mean(values: Sequence[float | None]) -> float:
    numbers = [value for value in values if value is not None]
    return sum(numbers) / len(numbers) if numbers else float("nan")
