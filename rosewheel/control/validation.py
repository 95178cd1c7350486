"""Validation of changes by the types and bounds by which nodes apply them."""

from __future__ import annotations

from typing import Any

from rosewheel.config.fleet_document import apply_fleet_document
from rosewheel.control.documents import Document, document_for_service, nesting_exceeds
from rosewheel.control.errors import InvalidDocumentError

MAX_DOCUMENT_BYTES = 1 << 20

# What each node's own file has, and a document need not have.
PLACEHOLDER_NODE_FILE: dict[str, Any] = {"class": [{"name": "any", "aim_ms": 1.0, "give_up_ms": 1.0}]}


def validate_document(document: Document) -> None:
    """Check that nodes of every service could apply a document.

    Raises:
        InvalidDocumentError: One plain line that begins with the key.
    """
    _validate_tables({key: value for key, value in document.items() if key != "services"})
    services = document.get("services", {})
    if not isinstance(services, dict):
        raise InvalidDocumentError("services: not a table")
    for service, own in services.items():
        if not isinstance(own, dict):
            raise InvalidDocumentError(f"services.{service}: not a table")
        try:
            _validate_tables(own)
            _validate_tables(document_for_service(document, service))
        except InvalidDocumentError as error:
            raise InvalidDocumentError(f"services.{service}.{error}") from error


def validate_patch(patch: Document) -> None:
    """Check the depth of a patch.

    Raises:
        InvalidDocumentError: It is nested too deep.
    """
    if nesting_exceeds(patch):
        raise InvalidDocumentError("a patch that is nested too deep")


def _validate_tables(tables: Document) -> None:
    try:
        apply_fleet_document(PLACEHOLDER_NODE_FILE, tables)
    except (TypeError, ValueError, OverflowError) as error:
        raise InvalidDocumentError(str(error)) from error
