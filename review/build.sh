#!/usr/bin/env bash
# The stand-ins of the cases are Python programs of the standard library only; this checks that they compile.
set -euo pipefail
cd "$(dirname "$0")"
python3 -c 'import sys; assert sys.version_info >= (3, 11), "Python 3.11 or newer is needed"'
python3 - <<'PY'
import ast, glob
for path in glob.glob("stand_ins/*.py") + glob.glob("*/case.py"):
    ast.parse(open(path, encoding="utf-8").read(), path)
PY
