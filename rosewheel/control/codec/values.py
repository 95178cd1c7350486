"""JSON of the values that several messages share: revisions, epochs, documents."""

from __future__ import annotations

import contextlib
from collections.abc import Iterator
from typing import Any

from rosewheel.control.documents import Document
from rosewheel.control.errors import ControlError, MalformedMessageError
from rosewheel.control.revisions import Epoch, Revision

JsonObject = dict[str, Any]
JsonArray = list[Any]


@contextlib.contextmanager
def malformed_on_error() -> Iterator[None]:
    """Raise MalformedMessageError in place of the errors of missing and mistyped fields."""
    try:
        yield
    except ControlError:
        raise
    except KeyError as error:
        raise MalformedMessageError(f"missing: {error}") from error
    except (TypeError, ValueError, OverflowError) as error:
        raise MalformedMessageError(str(error)) from error


def encode_revision(revision: Revision) -> JsonArray:
    """Return `[epoch number, leader, number]`."""
    return [revision.epoch_number, revision.leader, revision.number]


def decode_revision(value: object) -> Revision:
    """Read `[epoch number, leader, number]`.

    Raises:
        MalformedMessageError: It is none.
    """
    match value:
        case [int(epoch_number), str(leader), int(number)]:
            return Revision(epoch_number, leader, number)
    raise MalformedMessageError(f"{value!r} is no position")


def encode_epoch(epoch: Epoch) -> JsonArray:
    """Return `[number, leader]`."""
    return [epoch.number, epoch.leader]


def decode_epoch(value: object) -> Epoch:
    """Read `[number, leader]`.

    Raises:
        MalformedMessageError: It is none.
    """
    match value:
        case [int(number), str(leader)]:
            return Epoch(number, leader)
    raise MalformedMessageError(f"{value!r} is no epoch")


def encode_response_revision(revision: Revision) -> JsonObject:
    """Return a revision as the fields `version`, `epoch` and `writer` of an answer to operators."""
    return {"version": revision.number, "epoch": revision.epoch_number, "writer": revision.leader}


def decode_response_revision(row: JsonObject) -> Revision:
    """Read a revision from the fields of an answer to operators.

    Raises:
        KeyError: A field is missing.
    """
    return Revision(row["epoch"], row["writer"], row["version"])


def decode_document(value: object) -> Document:
    """Read a JSON object.

    Raises:
        MalformedMessageError: It is none.
    """
    if not isinstance(value, dict):
        raise MalformedMessageError(f"{value!r} is not an object")
    return value
