"""Validation of changes against the types and bounds that nodes enforce when they apply them."""

from __future__ import annotations

from typing import Any

from rosewheel.config.fleet_document import apply_fleet_document
from rosewheel.control.documents import Document, document_for_service, nesting_exceeds
from rosewheel.control.errors import InvalidDocumentError

MAX_DOCUMENT_BYTES = 1 << 20

# Stands for a node's own file, which has the required tables that a document may omit.
PLACEHOLDER_NODE_FILE: dict[str, Any] = {"class": [{"name": "any", "aim_ms": 1.0, "give_up_ms": 1.0}]}


def validate_document(document: Document) -> None:
    """Check that nodes of every service could apply a document.

    Raises:
        InvalidDocumentError: A value is invalid; the message begins with its key.
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
    """Check the nesting depth of a patch.

    Raises:
        InvalidDocumentError: The patch is nested too deeply.
    """
    if nesting_exceeds(patch):
        raise InvalidDocumentError("patch: nested too deeply")


def _validate_tables(tables: Document) -> None:
    try:
        apply_fleet_document(PLACEHOLDER_NODE_FILE, tables)
    except (TypeError, ValueError, OverflowError) as error:
        raise InvalidDocumentError(str(error)) from error
