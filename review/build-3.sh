#!/bin/sh
# Builds the stand-ins of the cases 11 to 15: compiles them, and the project's own that
# they use, for the interpreter of the deploy file's build. Run it after that build.
set -eu
cd "$(dirname "$0")/.."
PYTHONPATH=target/deps:review target/venv/bin/python - <<'EOF'
import compileall
import sys

ok = compileall.compile_dir("review/stage3", quiet=1, force=True)
import sesameknot.platform.standin
import stage3.callers
import stage3.cuttable
import stage3.deployment
import stage3.fronts
import stage3.network
import stage3.record
import stage3.store

sys.exit(0 if ok else 1)
EOF
