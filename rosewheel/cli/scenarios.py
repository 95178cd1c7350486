"""`rosewheel scenarios`: lists the bundled scenarios."""

from __future__ import annotations

import click

from rosewheel.lab import scenario as lab_scenarios


@click.command()
def scenarios() -> None:
    """List the bundled scenarios."""
    for name in lab_scenarios.bundled_names():
        scenario = lab_scenarios.load(name)
        click.echo(f"{name:24} {scenario.seconds:5.0f} s  {scenario.about}")
