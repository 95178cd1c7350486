"""The `rosewheel` command."""

from __future__ import annotations

import click

from rosewheel.cli.control import control
from rosewheel.cli.demo import demo
from rosewheel.cli.emulate import emulate, load
from rosewheel.cli.experiment import experiment
from rosewheel.cli.node import check, node
from rosewheel.cli.scale import scale
from rosewheel.cli.scenarios import scenarios
from rosewheel.cli.simulate import simulate
from rosewheel.cli.soak import soak


@click.group(context_settings={"help_option_names": ["-h", "--help"], "max_content_width": 110})
def main() -> None:
    """A load balancer node, and a lab to test it under faults.

    Exit codes: 0 success, 1 a rule was violated or a run failed, 2 invalid input (one line for each error).
    """


for command in (node, check, control, simulate, soak, scale, demo, emulate, load, experiment, scenarios):
    main.add_command(command)
