"""`rosewheel scale`: runs a fleet of simulated and real nodes on one machine, and injects faults."""

from __future__ import annotations

import asyncio
import sys
import tempfile
from pathlib import Path

import click
import uvloop

from rosewheel.cli.output import EXIT_BAD_INPUT, exit_failed, exit_interrupted, exit_with_result, print_error
from rosewheel.lab.run import cancel_on_signals
from rosewheel.lab.scale.errors import InvalidOptionsError, ScaleRunError
from rosewheel.lab.scale.options import CONFIG_CHANGES_PER_DAY, FAULT_NAMES, Options
from rosewheel.lab.scale.plan import Plan
from rosewheel.lab.scale.planning import build_plan
from rosewheel.lab.scale.report_codec import plan_lines, summary_line, write_rows
from rosewheel.lab.scale.run import ScaleRun
from rosewheel.lab.scale.summary import Summary

OVERHEAD_ALLOWANCE_S = 180.0  # time for start, convergence and shutdown, added to the plan's length
NO_FAULTS = "none"


@click.command()
@click.option("--nodes", type=int, default=540, show_default=True, help="Size of the fleet.")
@click.option(
    "--real",
    type=int,
    default=24,
    show_default=True,
    help="Number of nodes that are `rosewheel node` processes.",
)
@click.option("--services", type=int, default=25, show_default=True, help="Number of services.")
@click.option(
    "--seconds",
    type=float,
    default=60.0,
    show_default=True,
    help="Length of the plan, without start and shutdown.",
)
@click.option("--seed", type=int, default=1, show_default=True, help="Seed of every random choice.")
@click.option(
    "--changes",
    type=int,
    default=CONFIG_CHANGES_PER_DAY,
    show_default=True,
    help="Number of configuration changes.",
)
@click.option(
    "--calls", type=float, default=20.0, show_default=True, help="Calls per second through each real node."
)
@click.option(
    "--troubles",
    "faults",
    default=",".join(FAULT_NAMES),
    show_default=True,
    help=f"Faults to inject, separated by commas, or `{NO_FAULTS}`.",
)
@click.option("--plan", "only_plan", is_flag=True, help="Print the plan, one JSON object per line.")
@click.option("--out", type=click.Path(path_type=Path), help="Folder for records and rows.csv.")
def scale(
    nodes: int,
    real: int,
    services: int,
    seconds: float,
    seed: int,
    changes: int,
    calls: float,
    faults: str,
    only_plan: bool,
    out: Path | None,
) -> None:
    """Run a fleet on one machine and inject faults; the last line is the result as JSON.

    Exit code 1 if a target that the run covers is missed, 2 (one line) for invalid input.
    """
    names = () if faults == NO_FAULTS else tuple(faults.split(","))
    try:
        plan = build_plan(Options(nodes, real, services, seconds, seed, names, changes, calls))
    except InvalidOptionsError as error:
        print_error(str(error))
        sys.exit(EXIT_BAD_INPUT)
    if only_plan:
        for line in plan_lines(plan):
            click.echo(line.decode())
        return
    summary = _run_or_exit(plan, out)
    click.echo(summary_line(summary).decode())
    exit_with_result(summary.ok)


def _run_or_exit(plan: Plan, out: Path | None) -> Summary:
    """Return the summary of the run. Exits with 1 if the run failed, with 130 if it was interrupted."""
    with tempfile.TemporaryDirectory(prefix="rosewheel-scale-") as temporary:
        folder = out or Path(temporary)
        try:
            folder.mkdir(parents=True, exist_ok=True)
            summary = uvloop.run(_run(plan, folder))
            if out is not None:
                write_rows(out / "rows.csv", summary)
            return summary
        except asyncio.CancelledError:
            exit_interrupted()
        except (ScaleRunError, OSError, TimeoutError) as error:
            exit_failed(str(error) or "the run took too long")


async def _run(plan: Plan, folder: Path) -> Summary:
    cancel_on_signals(asyncio.current_task())  # type: ignore[arg-type]
    async with asyncio.timeout(plan.options.seconds + OVERHEAD_ALLOWANCE_S):
        return await ScaleRun(plan, folder).execute()
