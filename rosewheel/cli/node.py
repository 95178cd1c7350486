"""`rosewheel node` and `rosewheel check`."""

from __future__ import annotations

import sys

import click

from rosewheel import logs
from rosewheel.cli.output import EXIT_BAD_INPUT, EXIT_OK, exit_invalid_file, print_file_errors
from rosewheel.config.errors import InvalidFileError
from rosewheel.config.operator_config import OperatorConfig
from rosewheel.config.operator_file import load_operator_config
from rosewheel.config.platform import load_platform_config
from rosewheel.config.toml_file import parse_tables, read_file, read_text
from rosewheel.proxy import process


@click.command()
@click.option("--config", "path", type=click.Path(), help="The operator's TOML file.")
@click.option(
    "--json", "json_lines", is_flag=True, help="Log JSON lines, even if the file selects plain lines."
)
def node(path: str | None, json_lines: bool) -> None:
    """Run one node, configured by the operator's TOML file or, without --config, by the platform's LB_ variables.

    SIGHUP reloads the configuration. SIGTERM drains the node and ends it.
    """
    if path is None:
        logs.start(json_lines)
        sys.exit(process.run(lambda reload: load_platform_config(reload=reload)))
    try:
        log_table = read_file(path, OperatorConfig).log
    except InvalidFileError as error:
        exit_invalid_file(error)
    logs.start(json_lines or log_table.form == "json", log_table.level)
    sys.exit(process.run(lambda reload: load_operator_config(path, reload=reload)))


@click.command()
@click.argument("paths", nargs=-1, required=True, metavar="FILE...")
def check(paths: tuple[str, ...]) -> None:
    """Check configuration and scenario files; print `ok`, or each error with its line and key."""
    ok = True
    for path in paths:
        try:
            _check_file(path)
            click.echo(f"{path}: ok")
        except InvalidFileError as error:
            print_file_errors(error)
            ok = False
    sys.exit(EXIT_OK if ok else EXIT_BAD_INPUT)


def _check_file(path: str) -> None:
    """Check a file: a configuration if it has a table `node`, otherwise a scenario. Raises InvalidFileError."""
    from rosewheel.lab import scenario  # imports numpy, which `rosewheel node` does not need

    bundled = "/" not in path and path in scenario.bundled_names()
    if not bundled and "node" in parse_tables(read_text(path), path):
        read_file(path, OperatorConfig)
    else:
        scenario.load(path)
