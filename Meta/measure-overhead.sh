#!/usr/bin/env bash
# Starts one backend stand-in and one entry process, measures the overhead of the entry process, and
# stops both. Arguments are passed to the measurement, for example connections=64.
set -euo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")/.."

readonly build_directory="${PERIDOT_BUILD_DIRECTORY:-Build/release}"
readonly server_threads="${PERIDOT_SERVER_THREADS:-2}"
readonly transport_threads="${PERIDOT_TRANSPORT_THREADS:-2}"
source Meta/processes.sh
begin_run

free_port; backend="$port"
free_port; control="$port"
free_port; entry="$port"
free_port; administration="$port"

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

start backend "$build_directory/StandIns/Backend/peridot-standin-backend" --settings "$work/backend.json"
start entry "$build_directory/Services/Entry/peridot-entry" --settings "$work/entry.json"
wait_for_port "$backend"
wait_for_port "$entry"

"$build_directory/Utilities/Measure/peridot-measure" overhead \
    "entry=127.0.0.1:$entry" "backend=127.0.0.1:$backend" "control=127.0.0.1:$control" \
    "entry_pid=${process_of[entry]}" "backend_pid=${process_of[backend]}" "$@"
printf 'log_lines=%s\n' "$(wc -l < "$work/entry.log")"
stop entry
stop backend
