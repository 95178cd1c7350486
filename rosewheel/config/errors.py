"""Errors of configuration files and values. All derive from `ConfigError`."""

from __future__ import annotations

from dataclasses import dataclass


class ConfigError(Exception):
    """A configuration that can't be used. The text is one line.

    Attributes:
        key: the key with the bad value, such as `listen` or `LB_CONFIG`; empty where no single key is at fault.
    """

    def __init__(self, message: str, key: str = "") -> None:
        super().__init__(message)
        self.key = key


class InvalidValueError(ConfigError, ValueError):
    """One key has a value that can't be used, or is missing.

    Attributes:
        key: path of the key, such as `class[0].aim_ms`; empty for the value as a whole.
        reason: what is wrong with its value.
    """

    def __init__(self, key: str, reason: str) -> None:
        super().__init__(f"{key}: {reason}", key)
        self.reason = reason


@dataclass(slots=True, frozen=True)
class Problem:
    """One error in a file.

    Attributes:
        key: path of the key, such as `tier[0].kind[1].speed`; empty for the file as a whole.
        line: line number from 1; None where it is not known.
        message: what is wrong there.
    """

    key: str
    line: int | None
    message: str

    def __str__(self) -> str:
        line = "" if self.line is None else f"line {self.line}: "
        key = f"{self.key}: " if self.key else ""
        return " ".join(f"{line}{key}{self.message}".split())


class InvalidFileError(ConfigError):
    """A file that can't be used.

    Attributes:
        path: the file's path, or the name that stands for it.
        problems: all errors that were found in it; at least one.
    """

    def __init__(self, path: str, problems: list[Problem]) -> None:
        super().__init__(f"{path}: {problems[0]}", problems[0].key)
        self.path = path
        self.problems = problems

    def messages(self) -> list[str]:
        """One line for each problem, with the file's path."""
        return [f"{self.path}: {problem}" for problem in self.problems]
