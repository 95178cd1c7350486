#!/bin/sh
# The stand-ins are Python files that need only the standard library and the interpreter that `build` of the deploy
# file leaves in .venv: there is nothing to compile. This checks that they can be read.
cd "$(dirname "$0")/.." || exit 2
exec .venv/bin/python -c '
import ast, pathlib
for path in sorted(pathlib.Path("review").rglob("*.py")):
    ast.parse(path.read_text(), str(path))
    print("ok", path)
'
