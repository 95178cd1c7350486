"""Configuration documents: merge patches (RFC 7396), and the document that applies to one service.

A document has the operator's tables as plain JSON values, the list `cordons`, and under `services.NAME` the values that
override them for one service.
"""

from __future__ import annotations

from typing import Any

Document = dict[str, Any]  # JSON object

MAX_PATCH_DEPTH = 12  # nested containers in a patch; the operator's tables need six


def apply_patch(document: object, patch: Document) -> Document:
    """Return the document with a merge patch applied; unchanged parts are shared with the original."""
    result = dict(document) if isinstance(document, dict) else {}
    for key, value in patch.items():
        if value is None:
            result.pop(key, None)
        elif isinstance(value, dict):
            result[key] = apply_patch(result.get(key), value)
        else:
            result[key] = value
    return result


def make_patch(old: Document, new: Document) -> Document:
    """Return the merge patch that turns one document into the other."""
    patch: Document = {key: None for key in old if key not in new}
    for key, value in new.items():
        before = old.get(key)
        if before is value:
            continue
        if isinstance(before, dict) and isinstance(value, dict):
            if inner := make_patch(before, value):
                patch[key] = inner
        elif key not in old or not _identical(before, value):
            patch[key] = value
    return patch


def document_for_service(document: Document, service: str) -> Document:
    """Return the document of one service: the common values, overridden by the service's own."""
    common = {key: value for key, value in document.items() if key != "services"}
    services = document.get("services")
    own = services.get(service) if isinstance(services, dict) else None
    return apply_patch(common, own) if isinstance(own, dict) else common


def nesting_exceeds(value: object, depth: int = MAX_PATCH_DEPTH) -> bool:
    """Return whether containers are nested deeper than `depth`."""
    if isinstance(value, dict):
        return depth == 0 or any(nesting_exceeds(inner, depth - 1) for inner in value.values())
    if isinstance(value, list):
        return depth == 0 or any(nesting_exceeds(inner, depth - 1) for inner in value)
    return False


def _identical(one: Any, other: Any) -> bool:
    """Return whether two JSON values are equal in value and type; `==` does not distinguish 1, 1.0 and True."""
    if type(one) is not type(other):
        return False
    if isinstance(one, dict):
        return one.keys() == other.keys() and all(_identical(value, other[key]) for key, value in one.items())
    if isinstance(one, list):
        return len(one) == len(other) and all(map(_identical, one, other))
    return bool(one == other)
