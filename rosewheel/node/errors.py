"""Errors of the node."""

from __future__ import annotations


class NodeError(Exception):
    """Base of the errors that a node raises."""


class DuplicateRequestError(NodeError):
    """A request with this id is in flight already.

    Attributes:
        id: The request's id.
    """

    def __init__(self, id: str) -> None:
        super().__init__(f"request {id!r} is in flight already")
        self.id = id


class SettingsFailedError(NodeError, ValueError):
    """The policy failed while it applied other settings; the node keeps those it had."""

    def __init__(self, cause: Exception) -> None:
        super().__init__(f"settings: a fault of the module: {type(cause).__name__}: {cause}")
