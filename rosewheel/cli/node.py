"""`rosewheel node` and `rosewheel check`."""

from __future__ import annotations

import sys

import click

from rosewheel import logs
from rosewheel.config import operator, platform
from rosewheel.config.checked import ProblemsError, read, tables, text_of
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
        sys.exit(process.run(lambda again: platform.load(again=again)))
    try:
        told = read(path, operator.Operator)
    except ProblemsError as error:
        _print(error)
        sys.exit(2)
    logs.start(json or told.log.form == "json", told.log.level)
    sys.exit(process.run(lambda again: operator.load(path, again=again)))


@click.command()
@click.argument("paths", nargs=-1, required=True, metavar="FILE...")
def check(paths: tuple[str, ...]) -> None:
    """Say of each configuration or scenario whether it can be used: `ok`, or each error with its line and key."""
    good = True
    for path in paths:
        try:
            _check(path)
            click.echo(f"{path}: ok")
        except ProblemsError as error:
            _print(error)
            good = False
    sys.exit(0 if good else 2)


def _check(path: str) -> None:
    from rosewheel.lab import scenario

    shipped = "/" not in path and path in scenario.bundled_names()
    if not shipped and "node" in tables(text_of(path), path):
        read(path, operator.Operator)
    else:
        scenario.load(path)


def _print(error: ProblemsError) -> None:
    for line in error.lines():
        click.echo(f"rosewheel: {line}", err=True)
