"""A configuration as every node's is checked, before a version is made of it."""

from __future__ import annotations

from typing import Any

from rosewheel.config.operator import tuned
from rosewheel.control.revisions import Document, document_for_service, nesting_exceeds

MAX_DOCUMENT_BYTES = 1 << 20

# What a node's own file has at least, and a document need not have.
ANY_CLASSES = {"class": [{"name": "any", "aim_ms": 1.0, "give_up_ms": 1.0}]}


def validate_document(document: Document) -> None:
    """ValueError with one plain line that names the key."""
    tuned(ANY_CLASSES, {key: value for key, value in document.items() if key != "services"})
    services = document.get("services", {})
    if not isinstance(services, dict):
        raise ValueError("services: not a table")
    for name, own in services.items():
        if not isinstance(own, dict):
            raise ValueError(f"services.{name}: not a table")
        try:
            tuned(ANY_CLASSES, own)
            tuned(ANY_CLASSES, document_for_service(document, name))  # together with the common part
        except ValueError as error:
            raise ValueError(f"services.{name}.{error}") from error


def validate_patch(patch: Any) -> None:
    if not isinstance(patch, dict):
        raise ValueError("a patch is an object")
    if nesting_exceeds(patch):
        raise ValueError("a patch that is nested too deep")
