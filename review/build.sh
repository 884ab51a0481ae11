#!/bin/sh
# Builds the stand-ins that the scripts start: Python modules without dependencies.
cd "$(dirname "$0")/.." || exit 1
exec target/venv/bin/python -m compileall -q review/harness
