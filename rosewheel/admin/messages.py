"""Requests, responses and errors of the admin API."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass


@dataclass(slots=True, frozen=True)
class GetHealth:
    """Request whether the process serves clients."""


@dataclass(slots=True, frozen=True)
class GetStatistics:
    """Request the statistics of the process."""


@dataclass(slots=True, frozen=True)
class CordonServer:
    """Request that a server gets no new requests."""

    server: str


@dataclass(slots=True, frozen=True)
class UncordonServer:
    """Request that a server gets new requests again."""

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
        by_fleet: Whether only the fleet's configuration cordons it, after an operator's cordon was lifted.
    """

    server: str
    cordoned: bool
    by_fleet: bool = False


class AdminError(Exception):
    """A request of the admin API failed. The message is for operators."""


class UnknownPathError(AdminError):
    """The path is unknown."""

    def __init__(self, paths: Iterable[str]) -> None:
        super().__init__("unknown path; available paths: " + ", ".join(paths))


class MethodNotAllowedError(AdminError):
    """The path requires another method.

    Attributes:
        allowed: The required method.
    """

    def __init__(self, path: str, allowed: str) -> None:
        super().__init__(f"{path} requires method {allowed}")
        self.allowed = allowed


class ServerParameterError(AdminError):
    """The query does not name exactly one server."""

    def __init__(self, path: str) -> None:
        super().__init__(f"{path} requires one parameter member=ID")


class UnknownServerError(AdminError):
    """The server is unknown to the node."""

    def __init__(self, server: str) -> None:
        super().__init__(f"no server {server[:200]!r} in the endpoint list")


class CordonNotSavedError(AdminError):
    """The change is in force in this process, but could not be saved for later processes of the node."""

    def __init__(self, reason: str) -> None:
        super().__init__(f"the change is in force, but not saved for the next process: {reason}")
