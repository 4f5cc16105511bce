#!/usr/bin/env bash
# Installs peridotfront with its tools into .venv and runs every feature.
set -euo pipefail
cd "$(dirname "$0")/.."
bash scripts/install.sh
exec .venv/bin/behave --format progress --no-capture --no-logcapture "$@" features
