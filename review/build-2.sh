#!/bin/sh
# Builds the stand-ins of the scripts of review/6 to review/10: Python modules of
# review/stage and review/harness that need the standard library of Python 3.11 only.
cd "$(dirname "$0")" || exit 2
python3 -c 'import sys; sys.exit(sys.version_info < (3, 11))' || exit 2
exec python3 -m compileall -q stage harness
