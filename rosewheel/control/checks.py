"""A configuration against the types and bounds of the operator's tables, before a version is made of it."""

from __future__ import annotations

from typing import Any

import msgspec

from rosewheel.config.checked import KeyedError, ProblemsError, convert
from rosewheel.config.operator import ClassTable, LimitsTable, RoutingTable, Table, TenantTable, Text
from rosewheel.control.versions import Document, projection, too_deep

DOCUMENT_BYTES = 1 << 20


class FleetTable(Table, frozen=True, kw_only=True):
    """What a node can be told: tables of its own file, of which only what is to differ has to stand here."""

    limits: LimitsTable = LimitsTable()
    routing: RoutingTable = RoutingTable()
    classes: tuple[ClassTable, ...] = msgspec.field(name="class", default=())
    tenants: tuple[TenantTable, ...] = msgspec.field(name="tenant", default=())
    cordons: tuple[Text, ...] = ()

    def __post_init__(self) -> None:
        for key, names in (
            ("class", [row.name for row in self.classes]),
            ("tenant", [row.name for row in self.tenants]),
            ("cordons", list(self.cordons)),
        ):
            if len(set(names)) != len(names):
                raise KeyedError(key, "a name stands twice")


def check(document: Document) -> None:
    """ValueError with one plain line that names the key."""
    _table({key: value for key, value in document.items() if key != "services"}, "")
    services = document.get("services", {})
    if not isinstance(services, dict):
        raise ValueError("services: not a table")
    for name, own in services.items():
        _table(own, f"services.{name}.")
        _table(projection(document, name), f"services.{name}.")  # together with the common part


def check_patch(patch: Any) -> None:
    if not isinstance(patch, dict):
        raise ValueError("a patch is an object")
    if too_deep(patch):
        raise ValueError("a patch that is nested too deep")


def _table(rows: Any, place: str) -> None:
    try:
        convert(rows, FleetTable, "")
    except ProblemsError as error:
        problem = error.problems[0]
        raise ValueError(f"{place}{problem.key or 'file'}: {problem.text}".replace("\n", " ")) from error
