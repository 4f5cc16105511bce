#!/usr/bin/env bash
# Installs peridotfront and its tools into .venv and runs all features.
set -euo pipefail
cd "$(dirname "$0")/.."
bash scripts/install.sh
exec .venv/bin/behave --format progress --no-capture --no-logcapture "$@" features
