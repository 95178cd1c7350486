"""`rosewheel experiment`: runs emulator, real nodes and load together."""

from __future__ import annotations

import tempfile
from collections.abc import Sequence
from pathlib import Path
from typing import Any

import click

from rosewheel.cli.output import exit_interrupted, exit_invalid_file, exit_with_result, print_json
from rosewheel.cli.runner import run_until_interrupted
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

RunSummary = dict[str, Any]  # summary of one run, in its JSON form


@click.command()
@click.argument("names", nargs=-1, required=True, metavar="SCENARIO...")
@seed_option
@seconds_option
@plan_option
@repeat_option
@vary_option
@click.option("--out", type=click.Path(path_type=Path), help="Folder for records and the report.")
def experiment(
    names: tuple[str, ...],
    seed: int | None,
    seconds: float | None,
    only_plan: bool,
    repeat: int,
    vary: tuple[str, ...],
    out: Path | None,
) -> None:
    """Run emulator, real nodes and load together; write records, a table, and a page with plots.

    Exit code 1 if a rule was violated.
    """
    variants = _load_variants(names, vary, seconds)
    if only_plan:
        for variant in variants:
            print_plan(plans.make(variant.scenario, seed))
        return
    folder = out or Path(tempfile.mkdtemp(prefix="rosewheel-"))
    folder.mkdir(parents=True, exist_ok=True)
    summaries = [_execute_run(run, folder) for run in experiments.plan_runs(variants, seed, repeat, folder)]
    _report(folder, summaries)


def _load_variants(
    names: Sequence[str], vary: Sequence[str], seconds: float | None
) -> list[experiments.Variant]:
    try:
        variants = experiments.variants(names, parse_variations(vary, seconds))
        for variant in variants:
            experiments.check_emulation_supported(variant.scenario)
    except InvalidFileError as error:
        exit_invalid_file(error)
    return variants


def _execute_run(run: experiments.PlannedRun, folder: Path) -> RunSummary:
    click.echo(f"running {run.variant.name}, seed {run.seed} ...", err=True)
    summary = run_until_interrupted(experiments.execute_run(run))
    if summary is None:
        exit_interrupted(f"interrupted; records so far are in {folder}")
    void = "  VOID: the emulator or the clients were late" if summary["void"] else ""
    click.echo(f"  service {summary['service']:.3f}  rules {rules_text(summary)}{void}", err=True)
    return summary


def _report(folder: Path, summaries: Sequence[RunSummary]) -> None:
    """Write the report, print its table and the result as JSON, and exit with 1 if a rule was violated."""
    from rosewheel.lab import report  # imports matplotlib, which takes long to load

    rows = experiments.summarize(summaries)
    click.echo(report.text_table(rows))
    page = report.write_report(folder, summaries, rows)
    ok = all(summary["ok"] for summary in summaries)
    result = summaries[0] if len(summaries) == 1 else {"runs": len(summaries)}
    services = {row.variant: round(row.service, 4) for row in rows}
    print_json({**result, "ok": ok, "services": services, "report": str(page)})
    exit_with_result(ok)


def rules_text(summary: RunSummary) -> str:
    """Return `kept`, or the rules that a run violated and the nodes that crashed."""
    violated = [name for name, violations in summary["rules"].items() if violations] + summary["crashed"]
    return "kept" if not violated else "BROKEN: " + ", ".join(violated)
