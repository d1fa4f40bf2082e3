#!/usr/bin/env bash
# Real processes under load: entry processes are killed, frozen and restarted, backend servers leave
# and return, the store goes down. peridot-load checks every answer and the run counts from outside.
# Usage: request-path.sh BUILD_DIRECTORY
set -euo pipefail

readonly build="$1"
source "$(dirname "${BASH_SOURCE[0]}")/../../Meta/processes.sh"
begin_run

log() { printf '%s\n' "$*"; }

# ---- set-up -------------------------------------------------------------------------------------

free_port; platform="$port"
cat > "$work/platform.json" <<JSON
{"address": "127.0.0.1", "port": $platform, "workers": []}
JSON

backend_routes=()
controls=()
for index in 1 2 3; do
    free_port; backend="$port"
    free_port; control="$port"
    cat > "$work/backend$index.json" <<JSON
{"name": "b$index", "address": "127.0.0.1", "port": $backend, "control_port": $control,
 "slots": 8, "service_time_us": 2000, "slow_time_ms": 500}
JSON
    backend_routes+=("{\"name\": \"b$index\", \"address\": \"127.0.0.1\", \"port\": $backend,
        \"slots\": 8, \"services\": [\"intake\", \"renewals\"]}")
    controls+=("127.0.0.1:$control")
done
routes="$(IFS=,; echo "${backend_routes[*]}")"
control_list="$(IFS=,; echo "${controls[*]}")"

entries=()
declare -A caller_port_of=()
for index in 1 2; do
    free_port; callers="$port"
    free_port; administration="$port"
    cat > "$work/entry$index.json" <<JSON
{"instance_prefix": "e$index", "data_centre": "kochi", "operator_token": "operator-token",
 "callers": {"address": "127.0.0.1", "port": $callers},
 "administration": {"address": "127.0.0.1", "port": $administration},
 "store_url": "http://127.0.0.1:$platform",
 "bootstrap": {
   "services": [{"name": "intake", "weight": 1}, {"name": "renewals", "weight": 3}],
   "backend_servers": [$routes]}}
JSON
    entries+=("127.0.0.1:$callers")
    caller_port_of[entry$index]="$callers"
done
entry_list="$(IFS=,; echo "${entries[*]}")"

start_entry() { # NAME
    start "$1" "$build/Services/Entry/peridot-entry" --settings "$work/$1.json"
    wait_for_port "${caller_port_of[$1]}"
}

start platform "$build/StandIns/Platform/peridot-standin-platform" --settings "$work/platform.json"
wait_for_port "$platform"
for index in 1 2 3; do
    start "backend$index" "$build/StandIns/Backend/peridot-standin-backend" \
        --settings "$work/backend$index.json"
    wait_for_port "${controls[$((index - 1))]##*:}"
done
for index in 1 2; do
    "$build/Services/Entry/peridot-entry" --settings "$work/entry$index.json" --check-settings
    start_entry "entry$index"
done

# ---- load ---------------------------------------------------------------------------------------

load() { # MILLISECONDS [ARGUMENT...]
    local milliseconds="$1"
    shift
    "$build/StandIns/Load/peridot-load" --entry "$entry_list" --service intake,renewals \
        --backend-control "$control_list" --callers 16 --rate 400 --deadline-ms 2000 \
        --patience-ms 4000 --milliseconds "$milliseconds" --seed "$RANDOM" "$@"
}

load_in_background() {
    load "$@" > "$work/load.out" 2>&1 &
    load_process=$!
}

finish_load() { # NAME
    local status=0
    wait "$load_process" || status=$?
    log "== $1"
    cat "$work/load.out"
    if [ "$status" -ne 0 ]; then
        log "FAILED: $1 (peridot-load exited with $status)"
        exit 1
    fi
}

none_with() { # OUTCOMES MESSAGE
    if grep -Eq "($1)=[1-9]" "$work/load.out"; then
        log "FAILED: $2"
        exit 1
    fi
}

fault() { # CONTROL FAULT COUNT
    local address="${1%%:*}" target_port="${1##*:}" body="{\"fault\":\"$2\",\"count\":$3}"
    exec 4<>"/dev/tcp/$address/$target_port"
    printf 'POST /control HTTP/1.1\r\nConnection: close\r\nContent-Length: %s\r\n\r\n%s' \
        "${#body}" "$body" >&4
    cat <&4 > /dev/null
    exec 4>&-
}

# 1. No faults: everything is answered.
load_in_background 1500
finish_load 'no faults'
none_with 'refused|unknown' 'a request was not answered without any fault'

# 2. SIGTERM rolling restart: each process exits with status 0 and no request is cut. An idle
# connection may close just as a caller sends, so repeats are allowed and unknown outcomes are not.
load_in_background 4000
for index in 1 2; do
    sleep 0.7
    kill -TERM "${process_of[entry$index]}"
    status=0
    wait "${process_of[entry$index]}" || status=$?
    if [ "$status" -ne 0 ]; then
        log "FAILED: entry$index exited with $status after SIGTERM"
        exit 1
    fi
    start_entry "entry$index"
done
finish_load 'rolling restart'
none_with unknown 'a planned stop left an outcome unknown'

# 3. kill -9 and restart.
load_in_background 4000
sleep 0.7
kill -KILL "${process_of[entry1]}"
wait "${process_of[entry1]}" 2>/dev/null || true
sleep 0.5
start_entry entry1
finish_load 'kill -9'

# 4. A frozen entry process.
load_in_background 4000
sleep 0.5
kill -STOP "${process_of[entry2]}"
sleep 2
kill -CONT "${process_of[entry2]}"
finish_load 'frozen entry process'

# 5. Backend servers that break connections, refuse and leave.
load_in_background 3000
for kind in die-in-body close-before-answer wrong-length refuse fail-fast slow; do
    fault "${controls[0]}" "$kind" 20
    sleep 0.3
done
finish_load 'backend faults'

# 6. A backend server is killed and returns; its run counts are lost.
load_in_background 3000 --lost-counts
sleep 0.7
kill -KILL "${process_of[backend3]}"
wait "${process_of[backend3]}" 2>/dev/null || true
sleep 0.7
start backend3 "$build/StandIns/Backend/peridot-standin-backend" --settings "$work/backend3.json"
wait_for_port "${controls[2]##*:}"
finish_load 'killed backend server'

# 7. The store is frozen: idempotent requests are served, the others are refused or unknown.
load_in_background 4000
sleep 0.5
kill -STOP "${process_of[platform]}"
sleep 2
kill -CONT "${process_of[platform]}"
finish_load 'frozen store'
log 'passed'
