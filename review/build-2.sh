#!/usr/bin/env bash
# Checks the stand-ins of the scripts 6 to 10; they need only Python 3.11 and its library.
set -euo pipefail
cd "$(dirname "$0")/.."
python3 - <<'PY'
import sys
from pathlib import Path

assert sys.version_info >= (3, 11), "Python 3.11 or later is needed"
for path in (*Path("review/standins-2").glob("*.py"), *Path("review").glob("*/case.py")):
    compile(path.read_text(), str(path), "exec")
PY
