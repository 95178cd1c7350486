"""`rosewheel soak`: overlapping faults on real node processes, judged by the operators' rules."""

from __future__ import annotations

import sys
from pathlib import Path

import click
import uvloop

from rosewheel.cli.output import EXIT_BAD_INPUT, exit_invalid_file, exit_with_result, print_error, print_json
from rosewheel.config.errors import InvalidFileError
from rosewheel.lab.soak.plan import draw_plan, encode_plan, keep_only, read_plan
from rosewheel.lab.soak.planted_node import PLANTS
from rosewheel.lab.soak.run import play

SECONDS = 60.0
PROCESSES = 24


@click.group()
def soak() -> None:
    """Long runs with overlapping faults; the same seed gives the same plan."""


@soak.command(name="node")
@click.option("--seed", type=int, default=1, show_default=True, help="Of the plan and of all draws.")
@click.option("--seconds", type=click.FloatRange(5.0, 3600.0), default=SECONDS, show_default=True)
@click.option("--processes", type=click.IntRange(1, 100), default=PROCESSES, show_default=True)
@click.option("--out", type=click.Path(path_type=Path), help="Keep configurations and logs there.")
@click.option("--plan", "only_plan", is_flag=True, help="Print the plan, and play nothing.")
@click.option("--replay", type=str, help="Play the plan in this file.")
@click.option("--only", type=str, help="Keep only these faults of the plan: numbers, joined by commas.")
@click.option("--plant", type=click.Choice(sorted(PLANTS)), help="Plant this fault into the nodes.")
@click.option("--list-plants", is_flag=True, help="Print the names of all plants.")
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
    """Node processes between emulated servers, discovery and clients; one line of JSON last, 1 on a breach."""
    if list_plants:
        click.echo("\n".join(PLANTS))
        return
    try:
        plan = read_plan(replay) if replay else draw_plan(seed, seconds, processes)
    except InvalidFileError as error:
        exit_invalid_file(error)
    if only is not None:
        try:
            plan = keep_only(plan, {int(number) for number in only.split(",") if number})
        except ValueError:
            print_error(f"--only: {only!r} is not a list of numbers")
            sys.exit(EXIT_BAD_INPUT)
    if only_plan:
        click.echo(encode_plan(plan).decode())
        return
    summary = uvloop.run(play(plan, plant, out))
    print_json(summary)
    exit_with_result(bool(summary["ok"]))
