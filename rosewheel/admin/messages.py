"""Requests and responses of the admin API, and the errors of its requests."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass


@dataclass(slots=True, frozen=True)
class GetHealth:
    """Ask whether the process serves clients."""


@dataclass(slots=True, frozen=True)
class GetStatistics:
    """Ask for the statistics of the process."""


@dataclass(slots=True, frozen=True)
class CordonServer:
    """Keep new requests from a server."""

    server: str


@dataclass(slots=True, frozen=True)
class UncordonServer:
    """Let a server have new requests again."""

    server: str


AdminRequest = GetHealth | GetStatistics | CordonServer | UncordonServer


@dataclass(slots=True, frozen=True)
class Health:
    """Whether the process serves clients."""

    serving: bool


@dataclass(slots=True, frozen=True)
class CordonState:
    """The state of a server after a request about its cordon.

    Attributes:
        server: The server's address.
        cordoned: Whether it is cordoned.
        by_fleet: Only the fleet's configuration still cordons it.
    """

    server: str
    cordoned: bool
    by_fleet: bool = False


class AdminError(Exception):
    """A request of the admin API that can't be carried out; the text is for operators."""


class UnknownPathError(AdminError):
    """There is no such path."""

    def __init__(self, paths: Iterable[str]) -> None:
        super().__init__("no such call; there are " + ", ".join(paths))


class MethodNotAllowedError(AdminError):
    """The path takes another method.

    Attributes:
        allowed: That method.
    """

    def __init__(self, path: str, allowed: str) -> None:
        super().__init__(f"{path} takes {allowed}")
        self.allowed = allowed


class ServerParameterError(AdminError):
    """The query does not name exactly one server."""

    def __init__(self, path: str) -> None:
        super().__init__(f"{path} takes one member=ID")


class UnknownServerError(AdminError):
    """The node knows no such server."""

    def __init__(self, server: str) -> None:
        super().__init__(f"no equipo {server[:200]!r} in the list")


class CordonNotSavedError(AdminError):
    """The cordon is in force, but a later process of this node would not know of it."""

    def __init__(self, reason: str) -> None:
        super().__init__(f"in force here, but not kept for the next process: {reason}")
