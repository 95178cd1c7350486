"""The verb `scale`: a fleet of hollow nodes beside real ones, through troubles, on one machine."""

from __future__ import annotations

import asyncio
import csv
import sys
import tempfile
from pathlib import Path
from typing import Any

import click
import msgspec
import uvloop

from rosewheel.lab.run import interrupt_to_cancel
from rosewheel.lab.scale import plan as plans
from rosewheel.lab.scale.children import ChildError
from rosewheel.lab.scale.run import Run

INTERRUPTED = 130
ALLOWANCE_S = 180.0  # for starts, settling and the end, past the run's own seconds


@click.command("scale")
@click.option("--nodes", type=int, default=540, show_default=True, help="Of the whole fleet.")
@click.option(
    "--real", type=int, default=24, show_default=True, help="Of them, how many are processes of `node`."
)
@click.option("--services", type=int, default=25, show_default=True)
@click.option(
    "--seconds", type=float, default=60.0, show_default=True, help="Of play, starts and the end aside."
)
@click.option("--seed", type=int, default=1, show_default=True)
@click.option("--changes", type=int, default=plans.CHANGES_A_DAY, show_default=True, help="Of configuration.")
@click.option(
    "--calls", type=float, default=20.0, show_default=True, help="A second, through each real node."
)
@click.option("--troubles", default=",".join(plans.TROUBLES), show_default=True, help="Or `none`.")
@click.option("--plan", "only_plan", is_flag=True, help="Print the plan, one JSON object a line.")
@click.option("--out", type=click.Path(path_type=Path), help="Where records and the rows (CSV) go.")
def command(
    nodes: int,
    real: int,
    services: int,
    seconds: float,
    seed: int,
    changes: int,
    calls: float,
    troubles: str,
    only_plan: bool,
    out: Path | None,
) -> None:
    """A fleet on one machine, most nodes hollow, through troubles; the last line is the result as JSON.

    1 where a target that the run covers does not hold, 2 and one plain line for bad input.
    """
    names = () if troubles == "none" else tuple(troubles.split(","))
    try:
        plan = plans.make(plans.Options(nodes, real, services, seconds, seed, names, changes, calls))
    except plans.BadOptionsError as error:
        click.echo(f"rosewheel: {error}", err=True)
        sys.exit(2)
    if only_plan:
        for line in plan.lines():
            click.echo(line.decode())
        return
    summary = _played(plan, out)
    click.echo(msgspec.json.encode(summary).decode())
    sys.exit(0 if summary["ok"] else 1)


def _played(plan: plans.Plan, out: Path | None) -> dict[str, Any]:
    """The run's summary; ends the command with 1 where the run failed, with 130 where it was interrupted."""
    with tempfile.TemporaryDirectory(prefix="rosewheel-scale-") as temporary:
        folder = out or Path(temporary)
        try:
            folder.mkdir(parents=True, exist_ok=True)
            summary, rows = uvloop.run(_run(plan, folder))
            if out is not None:
                write_rows(out / "rows.csv", rows)
            return summary
        except asyncio.CancelledError:
            click.echo("rosewheel: interrupted", err=True)
            sys.exit(INTERRUPTED)
        except (ChildError, OSError, TimeoutError) as error:
            click.echo(f"rosewheel: {error or 'the run took too long'}", err=True)
            sys.exit(1)


async def _run(plan: plans.Plan, folder: Path) -> tuple[dict[str, Any], list[dict[str, Any]]]:
    interrupt_to_cancel(asyncio.current_task())  # type: ignore[arg-type]
    run = Run(plan, folder)
    async with asyncio.timeout(plan.options.seconds + ALLOWANCE_S):
        summary = await run.execute()
    return summary, list(run.figures.rows())


def write_rows(path: Path, rows: list[dict[str, Any]]) -> None:
    with path.open("w", newline="") as file:
        writer = csv.DictWriter(file, list(rows[0]))
        writer.writeheader()
        writer.writerows(rows)
