#!/bin/sh
# The stand-ins of the cases are Python without dependencies; this checks that they compile.
set -eu
cd "$(dirname "$0")"
python3 - <<'CHECK'
from pathlib import Path

for path in sorted([*Path(".").glob("case_*.py"), *Path(".").glob("*/case.py")]):
    compile(path.read_text(), str(path), "exec")
CHECK
