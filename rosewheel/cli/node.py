"""`rosewheel node` and `rosewheel check`."""

from __future__ import annotations

import sys

import click

from rosewheel import logs
from rosewheel.config.errors import InvalidFileError
from rosewheel.config.operator_config import OperatorConfig, load_operator_config
from rosewheel.config.platform import load_platform_config
from rosewheel.config.toml_file import parse_tables, read_file, read_text
from rosewheel.proxy import process


@click.command()
@click.option("--config", "path", type=click.Path(), help="The operator's TOML file.")
@click.option("--json", "json", is_flag=True, help="Log JSON lines, whatever the file says.")
def node(path: str | None, json: bool) -> None:
    """Run one node by the operator's TOML, or by the platform's LB_ variables where no file is named.

    SIGHUP reads the file again, SIGTERM ends the node once it has answered what it took.
    """
    if path is None:
        logs.start(json)
        sys.exit(process.run(lambda again: load_platform_config(reload=again)))
    try:
        told = read_file(path, OperatorConfig)
    except InvalidFileError as error:
        _print(error)
        sys.exit(2)
    logs.start(json or told.log.form == "json", told.log.level)
    sys.exit(process.run(lambda again: load_operator_config(path, reload=again)))


@click.command()
@click.argument("paths", nargs=-1, required=True, metavar="FILE...")
def check(paths: tuple[str, ...]) -> None:
    """Say of each configuration or scenario whether it can be used: `ok`, or each error with its line and key."""
    good = True
    for path in paths:
        try:
            _check(path)
            click.echo(f"{path}: ok")
        except InvalidFileError as error:
            _print(error)
            good = False
    sys.exit(0 if good else 2)


def _check(path: str) -> None:
    from rosewheel.lab import scenario

    shipped = "/" not in path and path in scenario.bundled_names()
    if not shipped and "node" in parse_tables(read_text(path), path):
        read_file(path, OperatorConfig)
    else:
        scenario.load(path)


def _print(error: InvalidFileError) -> None:
    for line in error.messages():
        click.echo(f"rosewheel: {line}", err=True)
