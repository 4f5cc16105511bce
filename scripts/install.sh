#!/usr/bin/env bash
# Installs peridotfront and its tools, at pinned versions, into .venv.
set -euo pipefail
cd "$(dirname "$0")/.."
stamp=.venv/installed
if [ -f "$stamp" ] && [ "$stamp" -nt pyproject.toml ] && [ "$stamp" -nt constraints.txt ]; then
  exit 0
fi
python3 -m venv .venv
.venv/bin/pip install --quiet --constraint constraints.txt --editable '.[dev]'
touch "$stamp"
