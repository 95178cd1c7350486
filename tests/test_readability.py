"""Packages that pyproject.toml lists as readable have short files, short functions, and docstrings."""

from __future__ import annotations

import ast
import tomllib
from collections.abc import Iterator
from pathlib import Path

import pytest

ROOT = Path(__file__).parent.parent
READABLE: list[str] = tomllib.loads((ROOT / "pyproject.toml").read_text())["tool"]["rosewheel"]["readable"]
MAX_FILE_LINES = 400
MAX_FUNCTION_LINES = 40  # including the signature and the docstring

FILES = [path for name in READABLE for path in sorted((ROOT / "rosewheel" / name).glob("*.py"))]
NAMES = [str(path.relative_to(ROOT / "rosewheel")) for path in FILES]

Definition = ast.FunctionDef | ast.AsyncFunctionDef | ast.ClassDef


def definitions(tree: ast.AST, within_functions: bool) -> Iterator[Definition]:
    """Yield functions, methods and classes, and with `within_functions` also those defined inside functions."""
    for node in ast.iter_child_nodes(tree):
        if isinstance(node, Definition):
            yield node
        if within_functions or isinstance(node, ast.ClassDef) or not isinstance(node, Definition):
            yield from definitions(node, within_functions)


@pytest.mark.parametrize("path", FILES, ids=NAMES)
def test_files_and_functions_are_short(path: Path):
    text = path.read_text(encoding="utf-8")
    assert text.count("\n") <= MAX_FILE_LINES
    too_long = [
        node.name
        for node in definitions(ast.parse(text), within_functions=True)
        if not isinstance(node, ast.ClassDef)
        and (node.end_lineno or node.lineno) - node.lineno + 1 > MAX_FUNCTION_LINES
    ]
    assert too_long == []


@pytest.mark.parametrize("path", FILES, ids=NAMES)
def test_modules_and_public_definitions_have_docstrings(path: Path):
    tree = ast.parse(path.read_text(encoding="utf-8"))
    assert ast.get_docstring(tree)
    undocumented = [
        node.name
        for node in definitions(tree, within_functions=False)
        if not node.name.startswith("_") and ast.get_docstring(node) is None
    ]
    assert undocumented == []


def test_every_listed_package_exists():
    assert READABLE
    assert all((ROOT / "rosewheel" / name / "__init__.py").exists() for name in READABLE)
