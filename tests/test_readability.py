"""Packages listed in pyproject.toml as readable stay so: small files, short functions, docstrings."""

from __future__ import annotations

import ast
import tomllib
from collections.abc import Iterator
from pathlib import Path

import pytest

ROOT = Path(__file__).parent.parent
READABLE: list[str] = tomllib.loads((ROOT / "pyproject.toml").read_text())["tool"]["rosewheel"]["readable"]
LONGEST_FILE = 400  # lines
LONGEST_FUNCTION = 40  # lines, the signature and the docstring included

FILES = [path for name in READABLE for path in sorted((ROOT / "rosewheel" / name).glob("*.py"))]
NAMES = [str(path.relative_to(ROOT / "rosewheel")) for path in FILES]

Definition = ast.FunctionDef | ast.AsyncFunctionDef | ast.ClassDef


def definitions(tree: ast.AST, within_functions: bool) -> Iterator[Definition]:
    """Functions, methods and classes; those within functions, which no other code can name, only on request."""
    for node in ast.iter_child_nodes(tree):
        if isinstance(node, Definition):
            yield node
        if within_functions or isinstance(node, ast.ClassDef) or not isinstance(node, Definition):
            yield from definitions(node, within_functions)


@pytest.mark.parametrize("path", FILES, ids=NAMES)
def test_files_and_functions_are_short(path: Path):
    text = path.read_text(encoding="utf-8")
    assert text.count("\n") <= LONGEST_FILE
    too_long = [
        node.name
        for node in definitions(ast.parse(text), within_functions=True)
        if not isinstance(node, ast.ClassDef)
        and (node.end_lineno or node.lineno) - node.lineno + 1 > LONGEST_FUNCTION
    ]
    assert too_long == []


@pytest.mark.parametrize("path", FILES, ids=NAMES)
def test_modules_and_public_definitions_have_docstrings(path: Path):
    tree = ast.parse(path.read_text(encoding="utf-8"))
    assert ast.get_docstring(tree)
    without = [
        node.name
        for node in definitions(tree, within_functions=False)
        if not node.name.startswith("_") and ast.get_docstring(node) is None
    ]
    assert without == []


def test_every_listed_package_exists():
    assert READABLE
    assert all((ROOT / "rosewheel" / name / "__init__.py").exists() for name in READABLE)
