#!/bin/sh
# Builds what the second review starts: its stand-ins, which are plain Python modules, and the project's command line,
# whose control machines case 8 starts. Without the command line that case alone can't run (2).
cd "$(dirname "$0")/.." || exit 1
.venv/bin/python -m compileall -q review/stand2 || exit 1
# A folder that was carried over may come from another kind of machine.
.venv-dev/bin/rosewheel control --help >/dev/null 2>&1 || rm -f .venv-dev/complete
make .venv-dev/complete || echo "the command line was not built: case 8 can't run" >&2
exit 0
