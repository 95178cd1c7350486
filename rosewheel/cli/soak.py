"""`rosewheel soak`: tests node processes under overlapping faults against the operators' rules."""

from __future__ import annotations

import sys
from pathlib import Path

import click
import uvloop

from rosewheel.cli.output import EXIT_BAD_INPUT, exit_invalid_file, exit_with_result, print_error, print_json
from rosewheel.config.errors import InvalidFileError
from rosewheel.lab.soak.plan import draw_plan, encode_plan, read_plan, select_faults
from rosewheel.lab.soak.planted_node import PLANTS
from rosewheel.lab.soak.run import run_soak

DEFAULT_SECONDS = 60.0
DEFAULT_PROCESSES = 24


@click.group()
def soak() -> None:
    """Run soak tests with overlapping faults; the same seed gives the same plan."""


@soak.command(name="node")
@click.option(
    "--seed", type=int, default=1, show_default=True, help="Seed of the plan and of all random choices."
)
@click.option("--seconds", type=click.FloatRange(5.0, 3600.0), default=DEFAULT_SECONDS, show_default=True)
@click.option("--processes", type=click.IntRange(1, 100), default=DEFAULT_PROCESSES, show_default=True)
@click.option("--out", type=click.Path(path_type=Path), help="Folder for configurations and logs.")
@click.option("--plan", "only_plan", is_flag=True, help="Print the plan, and run nothing.")
@click.option("--replay", type=str, help="Run the plan in this file.")
@click.option("--only", type=str, help="Numbers of the faults to keep, separated by commas.")
@click.option("--plant", type=click.Choice(sorted(PLANTS)), help="Fault to plant in the code of the nodes.")
@click.option("--list-plants", is_flag=True, help="Print the names of the faults that can be planted.")
def soak_node(
    seed: int,
    seconds: float,
    processes: int,
    out: Path | None,
    only_plan: bool,
    replay: str | None,
    only: str | None,
    plant: str | None,
    list_plants: bool,
) -> None:
    """Run node processes between emulated servers, discovery and clients.

    The last line is the result as JSON. Exit code 1 if a rule was violated.
    """
    if list_plants:
        click.echo("\n".join(PLANTS))
        return
    try:
        plan = read_plan(replay) if replay else draw_plan(seed, seconds, processes)
    except InvalidFileError as error:
        exit_invalid_file(error)
    if only is not None:
        try:
            plan = select_faults(plan, {int(number) for number in only.split(",") if number})
        except ValueError:
            print_error(f"--only: {only!r} is not a list of numbers")
            sys.exit(EXIT_BAD_INPUT)
    if only_plan:
        click.echo(encode_plan(plan).decode())
        return
    summary = uvloop.run(run_soak(plan, plant, out))
    print_json(summary)
    exit_with_result(bool(summary["ok"]))
