"""Options that the commands of the lab share, and the plans that they ask for."""

from __future__ import annotations

import sys
from collections.abc import Sequence

import click

from rosewheel.cli.output import EXIT_BAD_INPUT, exit_invalid_file, print_error
from rosewheel.config.errors import InvalidFileError
from rosewheel.lab import experiment as experiments
from rosewheel.lab import plan as plans
from rosewheel.lab import scenario as scenarios
from rosewheel.lab.plan import Plan
from rosewheel.lab.plan_codec import plan_lines

Variation = tuple[str, Sequence[object]]  # a scenario's key, and the values that it takes

seed_option = click.option("--seed", type=int, help="In place of the scenario's own.")
seconds_option = click.option("--seconds", type=float, help="In place of the scenario's own length.")
plan_option = click.option(
    "--plan", "only_plan", is_flag=True, help="Print the plan, one JSON object a line."
)
repeat_option = click.option(
    "--repeat", type=click.IntRange(1), default=1, show_default=True, help="Runs of each variant."
)
vary_option = click.option(
    "--vary", multiple=True, metavar="KEY=A,B", help="A scenario's key and the values it takes."
)


def load_plan(name: str, seed: int | None, seconds: float | None, emulated: bool = True) -> Plan:
    """The plan of a scenario.

    Args:
        name: a bundled scenario, or a file's path.
        seed: in place of the scenario's own.
        seconds: length of the run, in place of the scenario's own.
        emulated: its servers are to be emulated on sockets.

    Raises:
        SystemExit: the scenario can't be used; its errors were printed.
    """
    changes = {} if seconds is None else {"seconds": seconds}
    try:
        scenario = scenarios.load(name, changes)
        if emulated:
            experiments.check_emulated(scenario)
        return plans.make(scenario, seed)
    except InvalidFileError as error:
        exit_invalid_file(error)


def print_plan(plan: Plan) -> None:
    """Print the plan, one JSON object a line."""
    for line in plan_lines(plan):
        click.echo(line.decode())


def parse_variations(vary: Sequence[str], seconds: float | None) -> list[Variation]:
    """The changes of a scenario that `--vary` and `--seconds` name.

    Raises:
        SystemExit: a text is not KEY=A,B; that was printed.
    """
    variations = [_parse_variation(text) for text in vary]
    return variations if seconds is None else [*variations, ("seconds", [seconds])]


def _parse_variation(text: str) -> Variation:
    key, equals, values = text.partition("=")
    if not equals or not key or not values:
        print_error(f"--vary: {text!r} is not KEY=A,B")
        sys.exit(EXIT_BAD_INPUT)
    return key, [experiments.parse_value(item) for item in values.split(",")]
