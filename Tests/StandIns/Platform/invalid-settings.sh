#!/usr/bin/env bash
# Starts the platform process with an invalid port; the log must name the setting.
# Usage: invalid-settings.sh PROGRAM EXAMPLE_SETTINGS
set -euo pipefail
program="$1"
settings="$2"
work="$(mktemp -d)"
trap 'rm -rf "$work"' EXIT

sed 's/"port": [0-9]*/"port": "x"/' "$settings" > "$work/settings.json"
status=0
"$program" --settings "$work/settings.json" > "$work/log" 2>&1 || status=$?
cat "$work/log"
[ "$status" -eq 1 ] || { echo "exit status $status"; exit 1; }
grep -q 'schema-violation.*port' "$work/log" || { echo 'the error does not name the setting'; exit 1; }
