#!/bin/sh
# Builds the stand-ins of the second review: plain Python modules, run by the environment of the deploy file's build.
set -e
cd "$(dirname "$0")/.."
.venv/bin/python -m compileall -q review/stand2
