#!/bin/sh
# Builds the stand-ins of the scripts of review/6 to review/10. They are Python modules
# of review/stage that need the standard library of Python 3.11 only.
cd "$(dirname "$0")" || exit 2
python3 -c 'import sys; sys.exit(sys.version_info < (3, 11))' || exit 2
exec python3 -m compileall -q stage
