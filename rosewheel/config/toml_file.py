"""TOML files as typed values, with the line number of each error."""

from __future__ import annotations

import re
import tomllib
from pathlib import Path
from typing import Any, TypeVar

import msgspec

from rosewheel.config.errors import InvalidFileError, Problem
from rosewheel.config.typed_tables import convert_tables, join_key

T = TypeVar("T", bound=msgspec.Struct)

_TABLE_HEADER = re.compile(r"\s*(\[\[?)\s*([^\[\]]+?)\s*\]\]?\s*(#.*)?$")
_KEY = re.compile(r"\s*([A-Za-z0-9_.\-\"']+)\s*=")
_LINE_IN_ERROR = re.compile(r"line (\d+)")


def read_file(path: str | Path, kind: type[T]) -> T:
    """Read a TOML file as a value of this type.

    Raises:
        InvalidFileError: with all errors of the file.
    """
    return parse_text(read_text(path), kind, str(path))


def read_text(path: str | Path) -> str:
    """The file's text. Raises InvalidFileError where it can't be read or is not UTF-8."""
    try:
        return Path(path).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        reason = error.strerror if isinstance(error, OSError) and error.strerror else str(error)
        raise InvalidFileError(str(path), [Problem("", None, reason)]) from error


def parse_text(text: str, kind: type[T], name: str) -> T:
    """Parse a TOML file's text as a value of this type; `name` stands for the file in errors.

    Raises:
        InvalidFileError: with all errors of the text.
    """
    return convert_tables(parse_tables(text, name), kind, name, key_lines(text))


def parse_tables(text: str, name: str) -> dict[str, Any]:
    """The text as plain tables. Raises InvalidFileError where it is not TOML."""
    try:
        return tomllib.loads(text)
    except tomllib.TOMLDecodeError as error:
        found = _LINE_IN_ERROR.search(str(error))
        line = int(found.group(1)) if found else None
        raise InvalidFileError(name, [Problem("", line, f"not TOML: {error}")]) from error


def key_lines(text: str) -> dict[str, int]:
    """Line numbers from 1 of tables and keys, by their paths.

    tomllib gives no positions. This reads line by line, and so misses keys within inline tables and strings of several
    lines; an error there gets the line of the table round it.
    """
    lines: dict[str, int] = {}
    array_lengths: dict[str, int] = {}
    table = ""
    for number, line in enumerate(text.splitlines(), 1):
        if header := _TABLE_HEADER.match(line):
            table = _table_path(header.group(2), header.group(1) == "[[", array_lengths)
            lines.setdefault(table, number)
        elif key := _KEY.match(line):
            lines.setdefault(join_key(table, key.group(1).strip("\"'")), number)
    return lines


def _table_path(header: str, is_array: bool, array_lengths: dict[str, int]) -> str:
    """The path of the table that a header opens; counts the tables of each array so far."""
    path = ""
    names = [name.strip().strip("\"'") for name in header.split(".")]
    for position, name in enumerate(names):
        path = join_key(path, name)
        if is_array and position == len(names) - 1:
            array_lengths[path] = array_lengths.get(path, 0) + 1
        if path in array_lengths:
            path = f"{path}[{array_lengths[path] - 1}]"
    return path
