#!/usr/bin/env bash
# Starts the platform process and stops it with SIGTERM. Usage: stop.sh PROGRAM EXAMPLE_SETTINGS
set -euo pipefail
program="$1"
settings="$2"
work="$(mktemp -d)"
trap 'rm -rf "$work"' EXIT

# Port 0 lets the system choose a free one.
sed 's/"port": [0-9]*/"port": 0/' "$settings" > "$work/settings.json"
"$program" --settings "$work/settings.json" > "$work/log" 2>&1 &
process=$!
for _ in $(seq 100); do
    grep -q event=platform-started "$work/log" && break
    sleep 0.1
done
kill -TERM "$process"
status=0
wait "$process" || status=$?
cat "$work/log"
[ "$status" -eq 0 ] || { echo "exit status $status after SIGTERM"; exit 1; }
grep -q event=platform-stopped "$work/log" || { echo 'no graceful stop'; exit 1; }
