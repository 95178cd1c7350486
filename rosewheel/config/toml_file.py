"""Reads TOML files as typed values, and reports each error with its line number."""

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


def read_file(path: str | Path, struct_type: type[T]) -> T:
    """Read a TOML file as a value of `struct_type`.

    Raises:
        InvalidFileError: the file is invalid; the exception has all of its errors.
    """
    return parse_text(read_text(path), struct_type, str(path))


def read_text(path: str | Path) -> str:
    """Return the text of a file. Raises InvalidFileError if it can't be read or is not UTF-8."""
    try:
        return Path(path).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        reason = error.strerror if isinstance(error, OSError) and error.strerror else str(error)
        raise InvalidFileError(str(path), [Problem("", None, reason)]) from error


def parse_text(text: str, struct_type: type[T], name: str) -> T:
    """Parse TOML text as a value of `struct_type`. Errors give `name` as the path of the file.

    Raises:
        InvalidFileError: the text is invalid; the exception has all of its errors.
    """
    return convert_tables(parse_tables(text, name), struct_type, name, key_lines(text))


def parse_tables(text: str, name: str) -> dict[str, Any]:
    """Parse TOML text as plain tables. Raises InvalidFileError if it is not TOML."""
    try:
        return tomllib.loads(text)
    except tomllib.TOMLDecodeError as error:
        found = _LINE_IN_ERROR.search(str(error))
        line = int(found.group(1)) if found else None
        raise InvalidFileError(name, [Problem("", line, f"not TOML: {error}")]) from error


def key_lines(text: str) -> dict[str, int]:
    """Return the line numbers, from 1, of tables and keys by their paths.

    tomllib reports no positions, so this scans the text line by line. It does not recognize multi-line strings, and
    misses keys within inline tables; an error there is reported with the line of the enclosing table.
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
    """Return the path of the table that a header opens. Counts the tables of each array in `array_lengths`."""
    path = ""
    names = [name.strip().strip("\"'") for name in header.split(".")]
    for position, name in enumerate(names):
        path = join_key(path, name)
        if is_array and position == len(names) - 1:
            array_lengths[path] = array_lengths.get(path, 0) + 1
        if path in array_lengths:
            path = f"{path}[{array_lengths[path] - 1}]"
    return path
