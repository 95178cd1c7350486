"""Applies the fleet's configuration, one document for all nodes, on top of a node's own file.

A document is a JSON object with the tables `limits`, `routing`, `class` and `tenant` of the node's file, and the list
`cordons`.
"""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any, NamedTuple

import msgspec

from rosewheel.config.errors import InvalidFileError, InvalidValueError
from rosewheel.config.operator_config import OperatorConfig
from rosewheel.config.typed_tables import convert_tables
from rosewheel.node.limits import Limits
from rosewheel.policy.settings import Settings

MERGED_TABLES = ("limits", "routing")  # overridden key by key
REPLACED_LISTS = ("class", "tenant")  # replaced as a whole
CORDONS = "cordons"

# Keys of the merged tables that only the node's own file may set: location of the node, resources of its machine.
NODE_ONLY_KEYS = {"limits": ("memory_mb", "sockets"), "routing": ("zone", "tier")}

# Placeholders for the required tables of a node's file, to check a document without such a file.
PLACEHOLDER_TABLES: dict[str, Any] = {
    "node": {"listen": "127.0.0.1:1"},
    "discovery": {"address": "127.0.0.1:1"},
}


class AppliedConfig(NamedTuple):
    """Settings and limits of a node, with a fleet document applied."""

    settings: Settings
    limits: Limits


def apply_fleet_document(node_file: OperatorConfig | Mapping[str, object], document: object) -> AppliedConfig:
    """Apply a fleet document to a node's own file, whose values remain where the document has none.

    Args:
        node_file: the node's file; as plain tables it may lack the required tables `node` and `discovery`.
        document: the document, as decoded from JSON.

    Raises:
        InvalidValueError: the document is invalid; the message is one line that begins with the key.
    """
    tables = _plain_tables(node_file)
    for key, value in _check_document(document).items():
        if key in MERGED_TABLES:
            tables[key] = _override_table(key, tables.get(key), value)
        elif key in REPLACED_LISTS:
            tables[key] = value
        elif key in OperatorConfig.__struct_encode_fields__:
            raise _node_only_error(key)
        elif key != CORDONS:
            raise InvalidValueError(" ".join(str(key).split()), "unknown key")
    try:
        config = convert_tables(tables, OperatorConfig, "")
    except InvalidFileError as error:
        raise _single_error(error) from error
    return AppliedConfig(config.to_settings(), config.to_limits())


def cordoned_servers(document: object) -> frozenset[str]:
    """Return the names of the servers that a fleet document cordons.

    Raises:
        InvalidValueError: the document is not an object, or its cordons are not a list of names.
    """
    names = _require_object(document).get(CORDONS, [])
    if not isinstance(names, list) or not all(isinstance(name, str) and name for name in names):
        raise InvalidValueError(CORDONS, "not a list of server names")
    return frozenset(names)


def _require_object(document: object) -> dict[Any, Any]:
    if not isinstance(document, dict):
        raise InvalidValueError("document", "not a table")
    return document


def _check_document(document: object) -> dict[Any, Any]:
    cordoned_servers(document)  # raises for invalid cordons before the tables are read
    return _require_object(document)


def _plain_tables(node_file: OperatorConfig | Mapping[str, object]) -> dict[str, Any]:
    if isinstance(node_file, OperatorConfig):
        plain: dict[str, Any] = msgspec.json.decode(msgspec.json.encode(node_file))
        return {**PLACEHOLDER_TABLES, **plain}
    return {**PLACEHOLDER_TABLES, **node_file}


def _override_table(key: str, own_table: object, value: object) -> dict[str, Any]:
    """Return the node's own table, overridden by the document's keys."""
    if not isinstance(value, dict):
        raise InvalidValueError(key, "not a table")
    for name in NODE_ONLY_KEYS[key]:
        if name in value:
            raise _node_only_error(f"{key}.{name}")
    return {**(own_table if isinstance(own_table, dict) else {}), **value}


def _node_only_error(key: str) -> InvalidValueError:
    return InvalidValueError(key, "can be set only in the node's own file")


def _single_error(error: InvalidFileError) -> InvalidValueError:
    problem, more = error.problems[0], len(error.problems) - 1
    reason = problem.message + (f" (and {more} more)" if more else "")
    return InvalidValueError(" ".join(problem.key.split()) or "document", " ".join(reason.split()))
