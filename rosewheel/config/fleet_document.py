"""The fleet's configuration: one document for all nodes, applied to each node's own file.

A document is a JSON object with the file's tables `limits`, `routing`, `class` and `tenant`, and the list `cordons`.
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

MERGED_TABLES = ("limits", "routing")  # the document sets them key by key
REPLACED_LISTS = ("class", "tenant")  # the document sets each as a whole
CORDONS = "cordons"

# Keys of the merged tables that belong to the node alone: its place, and what its machine has.
NODE_ONLY_KEYS = {"limits": ("memory_mb", "sockets"), "routing": ("zone", "tier")}

# Stands for the tables that every file needs, where a document is checked without a node's file.
ANY_NODE: dict[str, Any] = {"node": {"listen": "127.0.0.1:1"}, "discovery": {"address": "127.0.0.1:1"}}


class AppliedConfig(NamedTuple):
    """Settings and limits of a node under a fleet document."""

    settings: Settings
    limits: Limits


def apply_fleet_document(node_file: OperatorConfig | Mapping[str, object], document: object) -> AppliedConfig:
    """Apply a fleet document to a node's own file. Where the document has no value, the file's stays.

    Args:
        node_file: the node's file; as plain tables it may lack those that every file needs.
        document: the document, as parsed from JSON.

    Raises:
        InvalidValueError: the document can't be used; the text is one line that begins with the key.
    """
    tables = _tables_of(node_file)
    for key, value in _checked_document(document).items():
        if key in MERGED_TABLES:
            tables[key] = _merged(key, tables.get(key), value)
        elif key in REPLACED_LISTS:
            tables[key] = value
        elif key in OperatorConfig.__struct_encode_fields__:
            raise _node_only(key)
        elif key != CORDONS:
            raise InvalidValueError(" ".join(str(key).split()), "unknown key")
    try:
        config = convert_tables(tables, OperatorConfig, "")
    except InvalidFileError as error:
        raise _first_problem(error) from error
    return AppliedConfig(config.to_settings(), config.to_limits())


def cordoned_servers(document: object) -> frozenset[str]:
    """Names of the servers that a fleet document cordons.

    Raises:
        InvalidValueError: as `apply_fleet_document`.
    """
    names = _object(document).get(CORDONS, [])
    if not isinstance(names, list) or not all(isinstance(name, str) and name for name in names):
        raise InvalidValueError(CORDONS, "not a list of equipos' names")
    return frozenset(names)


def _object(document: object) -> dict[Any, Any]:
    if not isinstance(document, dict):
        raise InvalidValueError("document", "not a table")
    return document


def _checked_document(document: object) -> dict[Any, Any]:
    cordoned_servers(document)  # a document with bad cordons is rejected before its tables are read
    return _object(document)


def _tables_of(node_file: OperatorConfig | Mapping[str, object]) -> dict[str, Any]:
    if isinstance(node_file, OperatorConfig):
        plain: dict[str, Any] = msgspec.json.decode(msgspec.json.encode(node_file))
        return {**ANY_NODE, **plain}
    return {**ANY_NODE, **node_file}


def _merged(key: str, own: object, value: object) -> dict[str, Any]:
    """The node's own table with the document's keys over it."""
    if not isinstance(value, dict):
        raise InvalidValueError(key, "not a table")
    for name in NODE_ONLY_KEYS[key]:
        if name in value:
            raise _node_only(f"{key}.{name}")
    return {**(own if isinstance(own, dict) else {}), **value}


def _node_only(key: str) -> InvalidValueError:
    return InvalidValueError(key, "is each node's own, and not the document's to set")


def _first_problem(error: InvalidFileError) -> InvalidValueError:
    problem, more = error.problems[0], len(error.problems) - 1
    reason = problem.message + (f" (and {more} more)" if more else "")
    return InvalidValueError(" ".join(problem.key.split()) or "document", " ".join(reason.split()))
