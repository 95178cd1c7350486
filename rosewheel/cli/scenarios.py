"""`rosewheel scenarios`: the scenarios that come with the program."""

from __future__ import annotations

import click

from rosewheel.lab import scenario as lab_scenarios


@click.command()
def scenarios() -> None:
    """List the scenarios that come with the program."""
    for name in lab_scenarios.bundled_names():
        scenario = lab_scenarios.load(name)
        click.echo(f"{name:24} {scenario.seconds:5.0f} s  {scenario.about}")
