"""Errors in configuration files and values. All exceptions derive from `ConfigError`."""

from __future__ import annotations

from dataclasses import dataclass


class ConfigError(Exception):
    """The configuration is invalid. The message is one line.

    Attributes:
        key: the key with the invalid value, such as `listen` or `LB_CONFIG`; empty if no single key is at fault.
    """

    def __init__(self, message: str, key: str = "") -> None:
        super().__init__(message)
        self.key = key


class InvalidValueError(ConfigError, ValueError):
    """A key has an invalid value or is missing.

    Attributes:
        key: path of the key, such as `class[0].aim_ms`; empty if the error concerns the whole table.
        reason: what is wrong with the value.
    """

    def __init__(self, key: str, reason: str) -> None:
        super().__init__(f"{key}: {reason}", key)
        self.reason = reason


@dataclass(slots=True, frozen=True)
class Problem:
    """One error in a file.

    Attributes:
        key: path of the key, such as `tier[0].kind[1].speed`; empty if the error concerns the whole file.
        line: line number, from 1; None if unknown.
        message: what is wrong.
    """

    key: str
    line: int | None
    message: str

    def __str__(self) -> str:
        line = "" if self.line is None else f"line {self.line}: "
        key = f"{self.key}: " if self.key else ""
        return " ".join(f"{line}{key}{self.message}".split())


class InvalidFileError(ConfigError):
    """A configuration or scenario file is invalid.

    Attributes:
        path: path of the file, or a name for text that was not read from a file.
        problems: all errors found in the file; at least one.
    """

    def __init__(self, path: str, problems: list[Problem]) -> None:
        super().__init__(f"{path}: {problems[0]}", problems[0].key)
        self.path = path
        self.problems = problems

    def messages(self) -> list[str]:
        """Return one line for each problem, with the path of the file."""
        return [f"{self.path}: {problem}" for problem in self.problems]
