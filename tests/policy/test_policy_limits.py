"""Size limits, imports and docstrings of the files that the deploy file lists as the policy."""

from __future__ import annotations

import ast
import re
import tomllib
from pathlib import Path

import pytest

ROOT = Path(__file__).parent.parent.parent
DEPLOY = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())
POLICY = {name: (ROOT / name).read_text() for name in DEPLOY["policy"]}
# Files without decisions: the interface, codecs and plain types.
NOT_DECIDING = {
    "__init__",
    "actions",
    "events",
    "indexed_set",
    "learned_state",
    "learned_state_codec",
    "request_state",
    "server_stats",
    "settings",
    "settings_codec",
}

MAX_MODULE_LINES = 300


@pytest.mark.parametrize("name", POLICY)
def test_policy_file_is_short(name: str):
    lines = POLICY[name].splitlines()
    assert len(lines) <= MAX_MODULE_LINES
    assert max(len(line) for line in lines) <= 110


@pytest.mark.parametrize("name", POLICY)
def test_policy_file_has_one_concern(name: str):
    """At most two public classes: the one with the decisions, and one that only it uses."""
    classes = [node for node in ast.parse(POLICY[name]).body if isinstance(node, ast.ClassDef)]
    assert sum(not node.name.startswith("_") for node in classes) <= 2


def test_deploy_file_lists_every_file_with_decisions():
    package = {path.stem for path in (ROOT / "rosewheel" / "policy").glob("*.py")}
    assert {Path(name).stem for name in POLICY} == package - NOT_DECIDING
    assert all(Path(name).parent == Path("rosewheel/policy") for name in POLICY)


def test_entry_point_names_the_interface_files():
    text = POLICY[DEPLOY["policy"][0]]
    for name in ("settings", "events", "actions"):
        assert f"rosewheel/policy/{name}.py" in text.split('"""')[1]


@pytest.mark.parametrize("name", POLICY)
def test_every_named_constant_is_used(name: str):
    text, others = POLICY[name], "".join(other for key, other in POLICY.items() if key != name)
    for line in re.findall(r"^([A-Z][A-Z_0-9, ]+) = ", text, flags=re.MULTILINE):
        for constant in line.split(", "):
            uses = len(re.findall(rf"\b{constant}\b", text)) - 1 + len(re.findall(rf"\b{constant}\b", others))
            assert uses > 0, constant


@pytest.mark.parametrize("name", POLICY)
def test_policy_file_does_no_io(name: str):
    text = POLICY[name]
    imports = set(re.findall(r"^(?:from|import) (\w+)", text, flags=re.MULTILINE))
    assert imports <= {"__future__", "math", "collections", "dataclasses", "heapq", "random", "rosewheel"}
    own_packages = set(re.findall(r"^(?:from|import) rosewheel\.(\w+)", text, flags=re.MULTILINE))
    assert own_packages <= {"policy"}
    assert "open(" not in text


@pytest.mark.parametrize("name", POLICY)
def test_public_definitions_of_policy_files_have_docstrings(name: str):
    for node in ast.walk(ast.parse(POLICY[name])):
        if isinstance(node, ast.Module):
            assert ast.get_docstring(node)
        elif isinstance(node, ast.ClassDef | ast.FunctionDef) and not node.name.startswith("_"):
            assert ast.get_docstring(node), node.name
