"""Output and exit codes of the command."""

from __future__ import annotations

import sys
from collections.abc import Mapping
from typing import NoReturn

import click
import msgspec

from rosewheel.config.errors import InvalidFileError

EXIT_OK = 0
EXIT_FAILED = 1  # a rule was violated or a run failed
EXIT_BAD_INPUT = 2
EXIT_INTERRUPTED = 130


def print_error(message: str) -> None:
    """Print a line on standard error."""
    click.echo(f"rosewheel: {message}", err=True)


def print_file_errors(error: InvalidFileError) -> None:
    """Print one line for each error of a file."""
    for message in error.messages():
        print_error(message)


def exit_invalid_file(error: InvalidFileError) -> NoReturn:
    """Exit because of an invalid file, with one line for each of its errors."""
    print_file_errors(error)
    sys.exit(EXIT_BAD_INPUT)


def exit_interrupted(message: str = "interrupted") -> NoReturn:
    """Exit after Ctrl-C."""
    print_error(message)
    sys.exit(EXIT_INTERRUPTED)


def exit_failed(message: str) -> NoReturn:
    """Exit because a run failed."""
    print_error(message)
    sys.exit(EXIT_FAILED)


def exit_with_result(ok: bool) -> NoReturn:
    """Exit with EXIT_OK if no rule was violated, otherwise with EXIT_FAILED."""
    sys.exit(EXIT_OK if ok else EXIT_FAILED)


def print_json(row: Mapping[str, object]) -> None:
    """Print an object as a line of JSON."""
    click.echo(msgspec.json.encode(row).decode())
