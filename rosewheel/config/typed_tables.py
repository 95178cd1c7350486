"""Converts plain tables, as a TOML or JSON parser returns them, to structs.

msgspec stops at the first invalid value. This module walks the tables itself, so that all errors of a file are reported
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
    tables: Mapping[str, object], struct_type: type[T], name: str, lines: Mapping[str, int] | None = None
) -> T:
    """Convert plain tables to a struct.

    A struct's `__post_init__` may check its values together and raise InvalidValueError, with a key relative to the
    struct's own table.

    Args:
        tables: the tables by key.
        struct_type: type of the result.
        name: name of the file in errors.
        lines: line numbers of keys, by path (`toml_file.key_lines`).

    Raises:
        InvalidFileError: the tables are invalid; the exception has all of their errors, ordered by line and key.
    """
    converter = _Converter()
    value = converter.convert(struct_type, tables, "")
    if converter.problems:
        problems = [
            Problem(item.key, _line_of(lines or {}, item.key), item.message) for item in converter.problems
        ]
        raise InvalidFileError(name, sorted(problems, key=lambda item: (item.line or 0, item.key)))
    return typing.cast(T, value)


def join_key(path: str, key: str) -> str:
    """Return the path of a key in the table at `path`."""
    return f"{path}.{key}" if path else key


class _Converter:
    """Converts tables to structs and collects the problems in them."""

    def __init__(self) -> None:
        self.problems: list[Problem] = []

    def convert(self, struct_type: type[msgspec.Struct], data: object, path: str) -> msgspec.Struct | None:
        """Return the struct, or None after adding at least one problem."""
        if not isinstance(data, dict):
            self._add_problem(path, "not a table")
            return None
        problems_before = len(self.problems)
        values = self._convert_fields(struct_type, data, path)
        if len(self.problems) > problems_before:
            return None
        try:
            return struct_type(**values)
        except InvalidValueError as error:
            self._add_problem(join_key(path, error.key) if error.key else path, error.reason)
        except (TypeError, ValueError) as error:
            self._add_problem(path, str(error))
        return None

    def _convert_fields(
        self, struct_type: type[msgspec.Struct], data: dict[str, object], path: str
    ) -> dict[str, Any]:
        fields = {field.encode_name: field for field in msgspec.structs.fields(struct_type)}
        hints = typing.get_type_hints(struct_type, include_extras=True)
        for key in data:
            if key not in fields:
                self._add_problem(join_key(path, key), "unknown key")
        values: dict[str, Any] = {}
        for key, field in fields.items():
            if key in data:
                values[field.name] = self._convert_value(hints[field.name], data[key], join_key(path, key))
            elif field.required:
                self._add_problem(join_key(path, key), "missing")
        return values

    def _convert_value(self, hint: Any, data: object, path: str) -> Any:
        struct = _struct_of(hint)
        is_none = data is None and type(None) in typing.get_args(hint)
        if struct is not None and not is_none:
            return self.convert(struct, data, path)
        item_struct = _item_struct_of(hint)
        if item_struct is not None:
            return self._convert_array(item_struct, data, path)
        try:
            return msgspec.convert(data, hint)
        except msgspec.ValidationError as error:
            self._add_problem(path, str(error).replace(" - at `$`", ""))
        return None

    def _convert_array(
        self, struct_type: type[msgspec.Struct], data: object, path: str
    ) -> Sequence[msgspec.Struct | None]:
        if not isinstance(data, list):
            self._add_problem(path, "not a list of tables")
            return ()
        return tuple(self.convert(struct_type, item, f"{path}[{index}]") for index, item in enumerate(data))

    def _add_problem(self, path: str, message: str) -> None:
        self.problems.append(Problem(path, None, message))


def _struct_of(hint: Any) -> type[msgspec.Struct] | None:
    """Return the struct that a type hint names, alone or as `Struct | None`."""
    if isinstance(hint, type) and issubclass(hint, msgspec.Struct):
        return hint
    if typing.get_origin(hint) in (typing.Union, types.UnionType):
        members = [member for member in typing.get_args(hint) if member is not type(None)]
        return _struct_of(members[0]) if len(members) == 1 else None
    return None


def _item_struct_of(hint: Any) -> type[msgspec.Struct] | None:
    """Return the struct that a type hint names as the item of a tuple or list."""
    return _struct_of(typing.get_args(hint)[0]) if typing.get_origin(hint) in (tuple, list) else None


def _line_of(lines: Mapping[str, int], key: str) -> int | None:
    """Return the line of the key, or of the innermost enclosing table that has one."""
    while key:
        for candidate in (key, f"{key}[0]"):
            if candidate in lines:
                return lines[candidate]
        shorter = re.sub(r"(\[\d+\]|\.?[^.\[\]]+)$", "", key)
        # The pattern can't shorten a key such as `]`; the loop ends there.
        key = "" if shorter == key else shorter
    return None
