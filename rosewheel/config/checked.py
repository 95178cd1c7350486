"""TOML files as typed values, with every error named by its key and line.

msgspec checks single values and stops at the first that is wrong; this walks the tables itself, so that all errors
of a file come at once, and looks up the line of each key in the text.
"""

from __future__ import annotations

import re
import tomllib
import types
import typing
from dataclasses import dataclass
from pathlib import Path
from typing import Any, TypeVar

import msgspec

T = TypeVar("T", bound=msgspec.Struct)

_TABLE = re.compile(r"\s*(\[\[?)\s*([^\[\]]+?)\s*\]\]?\s*(#.*)?$")
_KEY = re.compile(r"\s*([A-Za-z0-9_.\-\"']+)\s*=")


@dataclass(slots=True, frozen=True)
class Problem:
    """One thing that is wrong with a file."""

    key: str  # like `tier[0].kind[1].speed`; empty for the file as a whole
    line: int | None  # from 1
    text: str

    def __str__(self) -> str:
        place = "" if self.line is None else f"line {self.line}: "
        return " ".join(f"{place}{self.key + ': ' if self.key else ''}{self.text}".split())


class ProblemsError(Exception):
    """A file that can't be used; `problems` holds at least one."""

    def __init__(self, path: str, problems: list[Problem]) -> None:
        super().__init__(f"{path}: {problems[0]}")
        self.path, self.problems = path, problems

    def lines(self) -> list[str]:
        return [f"{self.path}: {problem}" for problem in self.problems]


class KeyedError(ValueError):
    """Raised by a table's own check: what is wrong with which of its keys."""

    def __init__(self, key: str, text: str) -> None:
        super().__init__(text)
        self.key = key


def read(path: str | Path, kind: type[T]) -> T:
    """The file as a value of this type; ProblemsError with all that is wrong otherwise."""
    return parse(text_of(path), kind, str(path))


def text_of(path: str | Path) -> str:
    try:
        return Path(path).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        why = error.strerror if isinstance(error, OSError) and error.strerror else str(error)
        raise ProblemsError(str(path), [Problem("", None, why)]) from error


def parse(text: str, kind: type[T], name: str) -> T:
    """The same of a file's text; `name` stands for the file in what is said of it."""
    return convert(tables(text, name), kind, name, places(text))


def tables(text: str, name: str) -> dict[str, Any]:
    """The text as plain tables; ProblemsError where it is no TOML."""
    try:
        return tomllib.loads(text)
    except tomllib.TOMLDecodeError as error:
        found = re.search(r"line (\d+)", str(error))
        line = int(found.group(1)) if found else None
        raise ProblemsError(name, [Problem("", line, f"not TOML: {error}")]) from error


def convert(rows: dict[str, Any], kind: type[T], name: str, lines: dict[str, int] | None = None) -> T:
    """Plain tables as a value of this type."""
    problems: list[Problem] = []
    value = _table(kind, rows, "", problems)
    if problems:
        placed = [Problem(item.key, _line(lines or {}, item.key), item.text) for item in problems]
        raise ProblemsError(name, sorted(placed, key=lambda item: (item.line or 0, item.key)))
    return typing.cast(T, value)


# -------------------------------------------------------------------- values


def _table(kind: type[msgspec.Struct], rows: Any, path: str, problems: list[Problem]) -> Any:
    if not isinstance(rows, dict):
        problems.append(Problem(path, None, "not a table"))
        return None
    before = len(problems)
    fields = {field.encode_name: field for field in msgspec.structs.fields(kind)}
    hints = typing.get_type_hints(kind, include_extras=True)
    for key in rows:
        if key not in fields:
            problems.append(Problem(_join(path, key), None, "unknown key"))
    values: dict[str, Any] = {}
    for key, field in fields.items():
        if key in rows:
            values[field.name] = _value(hints[field.name], rows[key], _join(path, key), problems)
        elif field.required:
            problems.append(Problem(_join(path, key), None, "missing"))
    if len(problems) > before:
        return None
    try:
        return kind(**values)
    except KeyedError as error:
        problems.append(Problem(_join(path, error.key) if error.key else path, None, str(error)))
    except (TypeError, ValueError) as error:
        problems.append(Problem(path, None, str(error)))
    return None


def _value(hint: Any, given: Any, path: str, problems: list[Problem]) -> Any:
    inner = _struct(hint)
    if inner is not None and not (given is None and type(None) in typing.get_args(hint)):
        return _table(inner, given, path, problems)
    origin, parts = typing.get_origin(hint), typing.get_args(hint)
    if origin in (tuple, list) and _struct(parts[0]) is not None:
        if not isinstance(given, list):
            problems.append(Problem(path, None, "not a list of tables"))
            return ()
        items = (_table(_struct(parts[0]), row, f"{path}[{at}]", problems) for at, row in enumerate(given))  # type: ignore[arg-type]
        return tuple(items)
    try:
        return msgspec.convert(given, hint)
    except msgspec.ValidationError as error:
        problems.append(Problem(path, None, str(error).replace(" - at `$`", "")))
    return None


def _struct(hint: Any) -> type[msgspec.Struct] | None:
    """The table type that this names, by itself or as `Table | None`."""
    if isinstance(hint, type) and issubclass(hint, msgspec.Struct):
        return hint
    if typing.get_origin(hint) in (typing.Union, types.UnionType):
        inner = [item for item in typing.get_args(hint) if item is not type(None)]
        return _struct(inner[0]) if len(inner) == 1 else None
    return None


def _join(path: str, key: str) -> str:
    return f"{path}.{key}" if path else key


# --------------------------------------------------------------------- lines


def places(text: str) -> dict[str, int]:
    """The line of each table and key, as far as a plain reading of the lines tells."""
    found_at: dict[str, int] = {}
    counts: dict[str, int] = {}
    table = ""
    for number, line in enumerate(text.splitlines(), 1):
        if found := _TABLE.match(line):
            table = ""
            names = [name.strip().strip("\"'") for name in found.group(2).split(".")]
            for at, name in enumerate(names):
                table = _join(table, name)
                if at == len(names) - 1 and found.group(1) == "[[":
                    counts[table] = counts.get(table, -1) + 1
                if table in counts:
                    table = f"{table}[{counts[table]}]"
            found_at.setdefault(table, number)
        elif found := _KEY.match(line):
            found_at.setdefault(_join(table, found.group(1).strip("\"'")), number)
    return found_at


def _line(lines: dict[str, int], key: str) -> int | None:
    """The line of the key, or of the nearest table round it."""
    while key:
        for place in (key, f"{key}[0]"):
            if place in lines:
                return lines[place]
        shorter = re.sub(r"(\[\d+\]|\.?[^.\[\]]+)$", "", key)
        key = "" if shorter == key else shorter  # Guards against a key like `]`, of which nothing comes off
    return None
