"""What the command prints, and the codes with which it exits."""

from __future__ import annotations

import sys
from collections.abc import Mapping
from typing import NoReturn

import click
import msgspec

from rosewheel.config.errors import InvalidFileError

EXIT_OK = 0
EXIT_FAILED = 1  # a rule broke or a run failed
EXIT_BAD_INPUT = 2
EXIT_INTERRUPTED = 130


def print_error(message: str) -> None:
    """Print one line on standard error."""
    click.echo(f"rosewheel: {message}", err=True)


def print_file_errors(error: InvalidFileError) -> None:
    """Print each error of a file on a line of its own."""
    for message in error.messages():
        print_error(message)


def exit_invalid_file(error: InvalidFileError) -> NoReturn:
    """End the command for a file that can't be used, with one line for each of its errors."""
    print_file_errors(error)
    sys.exit(EXIT_BAD_INPUT)


def exit_interrupted(message: str = "interrupted") -> NoReturn:
    """End the command after Ctrl-C."""
    print_error(message)
    sys.exit(EXIT_INTERRUPTED)


def exit_failed(message: str) -> NoReturn:
    """End the command for a run that failed."""
    print_error(message)
    sys.exit(EXIT_FAILED)


def exit_by(ok: bool) -> NoReturn:
    """End the command by whether all rules were kept."""
    sys.exit(EXIT_OK if ok else EXIT_FAILED)


def print_json(row: Mapping[str, object]) -> None:
    """Print an object as one line of JSON."""
    click.echo(msgspec.json.encode(row).decode())
