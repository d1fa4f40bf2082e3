#!/usr/bin/env bash
# Starts one backend stand-in and one entry process, measures the overhead of the entry process, and
# stops both. Arguments are passed to the measurement, for example connections=64.
set -euo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")/.."

readonly build_directory="${PERIDOT_BUILD_DIRECTORY:-Build/release}"
readonly server_threads="${PERIDOT_SERVER_THREADS:-2}"
readonly transport_threads="${PERIDOT_TRANSPORT_THREADS:-2}"
work="$(mktemp -d)"
processes=()

stop_all() {
    for process in "${processes[@]}"; do
        kill -TERM "$process" 2>/dev/null || true
    done
    wait 2>/dev/null || true
    rm -rf "$work"
}
trap stop_all EXIT

free_port() {
    local port
    while :; do
        port=$((20000 + RANDOM % 10000))
        (exec 3<>"/dev/tcp/127.0.0.1/$port") 2>/dev/null || { echo "$port"; return; }
    done
}

wait_for_port() {
    for _ in $(seq 200); do
        (exec 3<>"/dev/tcp/127.0.0.1/$1") 2>/dev/null && return
        sleep 0.05
    done
    echo "nothing listens on port $1" >&2
    return 1
}

backend="$(free_port)" control="$(free_port)" entry="$(free_port)" administration="$(free_port)"

cat > "$work/backend.json" <<JSON
{"name": "b1", "address": "127.0.0.1", "port": $backend, "control_port": $control,
 "slots": 10000, "threads": $server_threads}
JSON
cat > "$work/entry.json" <<JSON
{"instance_prefix": "e1", "data_centre": "kochi", "operator_token": "measurement",
 "callers": {"address": "127.0.0.1", "port": $entry},
 "administration": {"address": "127.0.0.1", "port": $administration},
 "threads": $server_threads, "transport_threads": $transport_threads,
 "limits": {"connections": 5000},
 "bootstrap": {
   "services": [{"name": "overhead"}],
   "backend_servers": [{"name": "b1", "address": "127.0.0.1", "port": $backend, "slots": 10000,
                        "connections": 10000, "services": ["overhead"]}]}}
JSON

"$build_directory/StandIns/Backend/peridot-standin-backend" --settings "$work/backend.json" \
    > "$work/backend.log" 2>&1 &
backend_process=$!
processes+=("$backend_process")
"$build_directory/Services/Entry/peridot-entry" --settings "$work/entry.json" \
    > "$work/entry.log" 2>&1 &
entry_process=$!
processes+=("$entry_process")
wait_for_port "$backend"
wait_for_port "$entry"

"$build_directory/Utilities/Measure/peridot-measure" overhead \
    "entry=127.0.0.1:$entry" "backend=127.0.0.1:$backend" "control=127.0.0.1:$control" \
    "entry_pid=$entry_process" "backend_pid=$backend_process" "$@"
printf 'log_lines=%s\n' "$(wc -l < "$work/entry.log")"
