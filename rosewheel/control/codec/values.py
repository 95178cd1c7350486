"""JSON encoding of the values that several messages share: revisions, epochs and documents."""

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
    """Convert the exceptions raised by missing and mistyped fields to MalformedMessageError."""
    try:
        yield
    except ControlError:
        raise
    except KeyError as error:
        raise MalformedMessageError(f"missing field: {error}") from error
    except (TypeError, ValueError, OverflowError) as error:
        raise MalformedMessageError(str(error)) from error


def encode_revision(revision: Revision) -> JsonArray:
    """Encode a revision as `[epoch number, leader, number]`."""
    return [revision.epoch_number, revision.leader, revision.number]


def decode_revision(value: object) -> Revision:
    """Decode a revision from `[epoch number, leader, number]`.

    Raises:
        MalformedMessageError: The value has another form.
    """
    match value:
        case [int(epoch_number), str(leader), int(number)]:
            return Revision(epoch_number, leader, number)
    raise MalformedMessageError(f"{value!r} is not a revision")


def encode_epoch(epoch: Epoch) -> JsonArray:
    """Encode an epoch as `[number, leader]`."""
    return [epoch.number, epoch.leader]


def decode_epoch(value: object) -> Epoch:
    """Decode an epoch from `[number, leader]`.

    Raises:
        MalformedMessageError: The value has another form.
    """
    match value:
        case [int(number), str(leader)]:
            return Epoch(number, leader)
    raise MalformedMessageError(f"{value!r} is not an epoch")


def encode_response_revision(revision: Revision) -> JsonObject:
    """Encode a revision as the fields `version`, `epoch` and `writer` of a response to operators."""
    return {"version": revision.number, "epoch": revision.epoch_number, "writer": revision.leader}


def decode_response_revision(row: JsonObject) -> Revision:
    """Decode a revision from the fields of a response to operators.

    Raises:
        KeyError: A field is missing.
    """
    return Revision(row["epoch"], row["writer"], row["version"])


def decode_document(value: object) -> Document:
    """Return a value as a document.

    Raises:
        MalformedMessageError: The value is not a JSON object.
    """
    if not isinstance(value, dict):
        raise MalformedMessageError(f"{value!r} is not an object")
    return value
