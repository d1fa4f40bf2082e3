#!/usr/bin/env bash
# Lets crowds of hostile clients connect to a peridot-jobs process, one kind of client after another. Guards against a
# process that runs out of memory or descriptors, stops answering, or loses accepted jobs because of such clients.
# Usage: hostile-clients.sh BUILD-DIRECTORY [KIND...]
set -euo pipefail
build=$(realpath "$1")
shift
cd "$(dirname "${BASH_SOURCE[0]}")"
source ../../Meta/processes.sh
begin_run
free_ports 126
[ $# -gt 0 ] || mapfile -t kinds < <(python3 hostile_clients.py --list)
[ $# -eq 0 ] || kinds=("$@")
failed=()
for kind in "${kinds[@]}"; do
    python3 hostile_clients.py "$build/platform/peridot-jobs" "$port" "$kind" || failed+=("$kind")
done
[ ${#failed[@]} -eq 0 ] || { echo "failed kinds: ${failed[*]}" >&2; exit 1; }
echo passed
