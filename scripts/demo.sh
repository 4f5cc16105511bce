#!/usr/bin/env bash
# Starts a small local deployment, sends requests through it and stops it.
set -euo pipefail
cd "$(dirname "$0")/.."
bash scripts/install.sh
bin=$PWD/.venv/bin
folder=$(mktemp -d "${TMPDIR:-/tmp}/peridotfront-demo.XXXXXX")
process_ids=()

start() {
  local program=$1 name=$2
  "$bin/peridotfront-$program" --settings "$folder/$name.ini" \
    > "$folder/$name.out" 2> "$folder/$name.log" &
  process_ids+=("$!")
}

stop() {
  local status=$? process_id
  trap - EXIT
  for process_id in "${process_ids[@]}"; do
    kill -TERM "$process_id" 2> /dev/null || true
  done
  for process_id in "${process_ids[@]}"; do
    wait "$process_id" || { echo "process $process_id exited with $?"; status=1; }
  done
  echo "All processes have stopped. Logs and data: $folder"
  exit "$status"
}

show() {
  echo
  echo "\$ peridotfrontctl $*"
  "$bin/peridotfrontctl" --settings "$folder/ctl.ini" "$@"
}

trap stop EXIT
"$bin/python" scripts/demo_files.py "$folder"
for name in control-1 control-2 control-3; do start control "$name"; done
for name in engine-fast engine-slow payout-1; do start standin "$name"; done
for name in entry-1 entry-2; do start entry "$name"; done

show config apply "$folder/rules.ini" --base_version 0 --wait_ms 20000
show status
echo
"$bin/python" scripts/demo_requests.py "$folder"
show upstreams
show drain engine-slow
show upstreams
show undrain engine-slow
show config history
echo
