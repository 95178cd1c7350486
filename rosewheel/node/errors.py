"""Exceptions that a node raises."""

from __future__ import annotations


class NodeError(Exception):
    """Base class of the exceptions that a node raises."""


class DuplicateRequestError(NodeError):
    """A request with the same id is already in flight.

    Attributes:
        id: Id of the request.
    """

    def __init__(self, id: str) -> None:
        super().__init__(f"a request with id {id!r} is already in flight")
        self.id = id


class SettingsFailedError(NodeError, ValueError):
    """The policy raised an unexpected exception while it applied new settings; the old ones stay in effect."""

    def __init__(self, cause: Exception) -> None:
        super().__init__(f"settings: the policy failed to apply them: {type(cause).__name__}: {cause}")
