#!/usr/bin/env bash
# Prepares the stand-ins of the cases: they use the standard library only, so that
# there is nothing to build beyond a check that they compile.
set -euo pipefail
cd "$(dirname "$0")"
python3 - <<'PY'
import ast
import pathlib

for path in sorted(pathlib.Path(".").rglob("*.py")):
    ast.parse(path.read_text(encoding="utf-8"), str(path))
PY
