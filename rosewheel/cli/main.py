"""The `rosewheel` command."""

from __future__ import annotations

import click

from rosewheel.cli import control, lab, node, scale, simulate


@click.group(context_settings={"help_option_names": ["-h", "--help"], "max_content_width": 110})
def main() -> None:
    """A load balancer node, and a lab to rehearse what may befall it.

    Exit codes: 0 done, 1 a rule broke or a run failed, 2 bad input (one plain line for each error).
    """


main.add_command(node.node)
main.add_command(node.check)
main.add_command(control.control)
main.add_command(simulate.command)
main.add_command(scale.command)
for command in (lab.demo, lab.emulate, lab.load, lab.experiment, lab.scenarios_command):
    main.add_command(command)
