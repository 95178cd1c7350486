"""Options that the commands of the lab share, and the plans made from them."""

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

Variation = tuple[str, Sequence[object]]  # a key of a scenario file, and its values

seed_option = click.option("--seed", type=int, help="Seed, in place of the scenario's.")
seconds_option = click.option("--seconds", type=float, help="Length of the run, in place of the scenario's.")
plan_option = click.option(
    "--plan", "only_plan", is_flag=True, help="Print the plan, one JSON object per line, and run nothing."
)
repeat_option = click.option(
    "--repeat", type=click.IntRange(1), default=1, show_default=True, help="Number of runs per variant."
)
vary_option = click.option(
    "--vary", multiple=True, metavar="KEY=A,B", help="Key of the scenario, and the values to run it with."
)


def load_plan(name: str, seed: int | None, seconds: float | None, emulated: bool = True) -> Plan:
    """Return the plan of a scenario.

    Args:
        name: name of a bundled scenario, or path of a file.
        seed: seed of the plan; None for the scenario's.
        seconds: length of the run; None for the scenario's.
        emulated: whether the servers are to be emulated on sockets.

    Raises:
        SystemExit: the scenario is invalid; its errors were printed.
    """
    changes = {} if seconds is None else {"seconds": seconds}
    try:
        scenario = scenarios.load(name, changes)
        if emulated:
            experiments.check_emulation_supported(scenario)
        return plans.make(scenario, seed)
    except InvalidFileError as error:
        exit_invalid_file(error)


def print_plan(plan: Plan) -> None:
    """Print a plan, one JSON object per line."""
    for line in plan_lines(plan):
        click.echo(line.decode())


def parse_variations(vary: Sequence[str], seconds: float | None) -> list[Variation]:
    """Return the variations that `--vary` and `--seconds` name.

    Raises:
        SystemExit: a value of `--vary` is not KEY=A,B; the error was printed.
    """
    variations = [_parse_variation(text) for text in vary]
    return variations if seconds is None else [*variations, ("seconds", [seconds])]


def _parse_variation(text: str) -> Variation:
    key, equals, values = text.partition("=")
    if not equals or not key or not values:
        print_error(f"--vary: {text!r} is not KEY=A,B")
        sys.exit(EXIT_BAD_INPUT)
    return key, [experiments.parse_value(item) for item in values.split(",")]
