"""Plain tables, as a TOML or JSON parser gives them, as typed values.

msgspec stops at the first wrong value. This walks the tables itself, so that all errors of a file are reported
together, each with its key and line.
"""

from __future__ import annotations

import re
import types
import typing
from collections.abc import Mapping, Sequence
from typing import Any, TypeVar

import msgspec

from rosewheel.config.errors import InvalidFileError, InvalidValueError, Problem

T = TypeVar("T", bound=msgspec.Struct)


def convert_tables(
    tables: Mapping[str, object], kind: type[T], name: str, lines: Mapping[str, int] | None = None
) -> T:
    """Convert plain tables to a struct.

    A struct's `__post_init__` may check its values together: it raises InvalidValueError, whose key is relative to
    the struct's own table.

    Args:
        tables: the tables by their keys.
        kind: the type of the result.
        name: the file's name in the errors.
        lines: line numbers of keys, by the keys' paths (`toml_file.key_lines`).

    Raises:
        InvalidFileError: with all errors, ordered by line and key.
    """
    converter = _Converter()
    value = converter.table(kind, tables, "")
    if converter.problems:
        problems = [
            Problem(item.key, _line_of(lines or {}, item.key), item.message) for item in converter.problems
        ]
        raise InvalidFileError(name, sorted(problems, key=lambda item: (item.line or 0, item.key)))
    return typing.cast(T, value)


def join_key(path: str, key: str) -> str:
    """The path of a key within the table at `path`."""
    return f"{path}.{key}" if path else key


class _Converter:
    """Converts tables and collects the problems that it finds."""

    def __init__(self) -> None:
        self.problems: list[Problem] = []

    def table(self, kind: type[msgspec.Struct], given: object, path: str) -> msgspec.Struct | None:
        """The struct; None, with at least one problem noted, where it can't be made."""
        if not isinstance(given, dict):
            self._note(path, "not a table")
            return None
        problems_before = len(self.problems)
        values = self._fields(kind, given, path)
        if len(self.problems) > problems_before:
            return None
        try:
            return kind(**values)
        except InvalidValueError as error:
            self._note(join_key(path, error.key) if error.key else path, error.reason)
        except (TypeError, ValueError) as error:
            self._note(path, str(error))
        return None

    def _fields(self, kind: type[msgspec.Struct], given: dict[str, object], path: str) -> dict[str, Any]:
        fields = {field.encode_name: field for field in msgspec.structs.fields(kind)}
        hints = typing.get_type_hints(kind, include_extras=True)
        for key in given:
            if key not in fields:
                self._note(join_key(path, key), "unknown key")
        values: dict[str, Any] = {}
        for key, field in fields.items():
            if key in given:
                values[field.name] = self._value(hints[field.name], given[key], join_key(path, key))
            elif field.required:
                self._note(join_key(path, key), "missing")
        return values

    def _value(self, hint: Any, given: object, path: str) -> Any:
        struct = _struct_in(hint)
        absent = given is None and type(None) in typing.get_args(hint)
        if struct is not None and not absent:
            return self.table(struct, given, path)
        item_struct = _struct_of_items(hint)
        if item_struct is not None:
            return self._array(item_struct, given, path)
        try:
            return msgspec.convert(given, hint)
        except msgspec.ValidationError as error:
            self._note(path, str(error).replace(" - at `$`", ""))
        return None

    def _array(self, kind: type[msgspec.Struct], given: object, path: str) -> Sequence[msgspec.Struct | None]:
        if not isinstance(given, list):
            self._note(path, "not a list of tables")
            return ()
        return tuple(self.table(kind, item, f"{path}[{index}]") for index, item in enumerate(given))

    def _note(self, path: str, message: str) -> None:
        self.problems.append(Problem(path, None, message))


def _struct_in(hint: Any) -> type[msgspec.Struct] | None:
    """The struct that a type hint names, by itself or as `Struct | None`."""
    if isinstance(hint, type) and issubclass(hint, msgspec.Struct):
        return hint
    if typing.get_origin(hint) in (typing.Union, types.UnionType):
        members = [member for member in typing.get_args(hint) if member is not type(None)]
        return _struct_in(members[0]) if len(members) == 1 else None
    return None


def _struct_of_items(hint: Any) -> type[msgspec.Struct] | None:
    """The struct of which a type hint names a tuple or list."""
    return _struct_in(typing.get_args(hint)[0]) if typing.get_origin(hint) in (tuple, list) else None


def _line_of(lines: Mapping[str, int], key: str) -> int | None:
    """The line of the key, or of the nearest table round it."""
    while key:
        for candidate in (key, f"{key}[0]"):
            if candidate in lines:
                return lines[candidate]
        shorter = re.sub(r"(\[\d+\]|\.?[^.\[\]]+)$", "", key)
        key = (
            "" if shorter == key else shorter
        )  # ends the loop at a key like `]`, which the pattern can't shorten
    return None
