#!/usr/bin/env bash
# The stand-ins of cases 11 to 15 are Python without dependencies; this
# compiles them in memory and so shows that the interpreter fits.
set -euo pipefail
cd "$(dirname "$0")/.."
python3 - review/common3 review/11 review/12 review/13 review/14 review/15 <<'CHECK'
import pathlib
import sys

for folder in sys.argv[1:]:
    for path in pathlib.Path(folder).glob("*.py"):
        compile(path.read_bytes(), str(path), "exec")
CHECK
