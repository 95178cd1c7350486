"""Fleet documents: the keys that they may set, and one-line errors for invalid documents."""

from __future__ import annotations

import json
import tomllib
from pathlib import Path
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st

from rosewheel.config.fleet_document import apply_fleet_document, cordoned_servers
from rosewheel.config.operator_config import OperatorConfig
from rosewheel.config.operator_file import load_operator_config
from rosewheel.config.toml_file import parse_text
from rosewheel.policy.settings import Tenant
from tests.support.configurations import OPERATOR_TOML

NODE_FILE = OPERATOR_TOML.replace(
    "[routing]\n", '[limits]\nmax_open = 7\nsockets = 100\n[routing]\nzone = "a"\ntier = 1\n'
)
CLASS = {"name": "c", "aim_ms": 100, "give_up_ms": 200.0}
DOCUMENT: dict[str, Any] = {
    "limits": {"max_open": 9},
    "routing": {"siblings": 30, "cancel": False},
    "class": [CLASS],
    "tenant": [{"name": "t", "quota_per_s": 4}],
    "cordons": ["equipo-1"],
}


@pytest.mark.parametrize(
    "node_file", [tomllib.loads(NODE_FILE), parse_text(NODE_FILE, OperatorConfig, "file")]
)
def test_a_document_overrides_the_nodes_own_file(node_file: Any) -> None:
    settings, limits = apply_fleet_document(node_file, DOCUMENT)
    assert [item.name for item in settings.classes] == ["c"]
    assert settings.tenants == (Tenant("t", 4.0),)
    assert (settings.balancer_count, settings.may_cancel) == (30, False)
    # Values that only the file has.
    assert (settings.zone, settings.tier, settings.warm_up_initial_share) == ("a", 1, 0.2)
    assert (limits.max_open_requests, limits.max_sockets) == (9, 100)
    assert cordoned_servers(DOCUMENT) == {"equipo-1"}


def test_an_empty_document_leaves_the_file_as_it_is(tmp_path: Path) -> None:
    path = tmp_path / "node.toml"
    path.write_text(NODE_FILE)
    config = load_operator_config(str(path), {})
    assert apply_fleet_document(parse_text(NODE_FILE, OperatorConfig, "file"), {}) == (
        config.settings,
        config.limits,
    )
    assert cordoned_servers({}) == frozenset()


def test_a_document_can_be_checked_without_a_nodes_file() -> None:
    settings, _ = apply_fleet_document({}, {"class": [CLASS]})
    assert settings.balancer_count == 1


@pytest.mark.parametrize(
    ("document", "expected"),
    [
        ([], "document: not a table"),
        ({"node": {"listen": "127.0.0.1:1"}}, "node: can be set only in the node's own file"),
        ({"log": {}}, "log: can be set only in the node's own file"),
        ({"discovery": {"ask": True}}, "discovery: can be set only in the node's own file"),
        ({"routing": {"zone": "b"}}, "routing.zone: can be set only in the node's own file"),
        ({"routing": {"tier": 0}}, "routing.tier: can be set only in the node's own file"),
        ({"limits": {"sockets": 4096}}, "limits.sockets: can be set only in the node's own file"),
        ({"limits": {"memory_mb": 4096}}, "limits.memory_mb: can be set only in the node's own file"),
        ({"routing": 7}, "routing: not a table"),
        ({"routing": {"sibling": 3}}, "routing.sibling: unknown key"),
        ({"routing": {"siblings": "many"}}, "routing.siblings: Expected"),
        ({"routing": {"siblings": 10**400}}, "routing.siblings: "),
        ({"rooting\n": {}}, "rooting: unknown key"),
        ({3: {}}, "3: unknown key"),
        ({"class": []}, "class: at least one class is needed"),
        ({"class": {}}, "class: not a list of tables"),
        ({"class": [CLASS, CLASS]}, "class: duplicate name"),
        ({"class": [CLASS | {"aim_ms": 900}]}, "class[0].aim_ms: longer than give_up_ms"),
        ({"class": [CLASS | {"give_up_ms": float("inf")}]}, "class[0].give_up_ms: Expected"),
        ({"class": [CLASS | {"aim_ms": 0}], "routing": {"cancel": 3}}, "class[0].aim_ms: Expected"),
        ({"tenant": [{"name": "t"}]}, "tenant[0].quota_per_s: missing"),
        ({"cordons": "equipo-1"}, "cordons: not a list of server names"),
        ({"cordons": [""]}, "cordons: not a list of server names"),
    ],
)
def test_an_invalid_document_is_reported_in_one_line_with_the_key(document: Any, expected: str) -> None:
    with pytest.raises(ValueError, match=r".*") as caught:
        apply_fleet_document(tomllib.loads(NODE_FILE), document)
    assert str(caught.value).startswith(expected)
    assert "\n" not in str(caught.value)


VALUES = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=5),
    lambda inner: st.lists(inner, max_size=3) | st.dictionaries(st.text(max_size=5), inner, max_size=3),
    max_leaves=6,
)
KEYS = st.sampled_from(["limits", "routing", "class", "tenant", "cordons", "x"])


@given(st.dictionaries(KEYS, VALUES) | VALUES, st.sampled_from(sorted(CLASS)), VALUES)
def test_any_document_is_applied_or_rejected_in_one_line(document: Any, key: str, value: Any) -> None:
    for candidate in (
        document,
        {"class": [CLASS | {key: value}]},
        {"routing": {"siblings": value, "cold_ms": value}},
    ):
        before = json.dumps(candidate, default=str)
        message = "ok: applied"
        try:
            apply_fleet_document(tomllib.loads(NODE_FILE), candidate)
        except ValueError as error:
            message = str(error)
        assert "\n" not in message
        assert ": " in message
        assert json.dumps(candidate, default=str) == before
