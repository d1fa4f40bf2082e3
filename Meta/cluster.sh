# Shell functions that run a whole small system on loopback. Sourced by demo.sh and the end-to-end tests.
# The caller sets build (build directory), calls
# begin_run and then cluster_start.

source Meta/processes.sh

operator_token=demo-operator-token

# A script that puts relays between the processes sets these ports by process name (entry0, fleet1) in a
# function start_links, which cluster_start calls before it writes the settings.
declare -gA store_port_of=() advertised_port_of=()

platform_control() { # JSON
    curl -sf -X POST -d "$1" "http://127.0.0.1:$platform_port/control" > /dev/null
}

control() { # PERIDOTCTL-ARGUMENT...
    local addresses
    addresses=$(IFS=,; echo "${fleet_addresses[*]}")
    "$build/Utilities/Control/peridotctl" --address="$addresses" --token="$operator_token" "$@"
}

entry_ready() { # INDEX
    curl -sf "http://127.0.0.1:${entry_administration[$1]}/ready"
}

write_entry_settings() { # INDEX
    cat > "$work/entry$1.json" <<JSON
{
  "instance_prefix": "entry-$1",
  "data_centre": "kochi",
  "callers": {"address": "127.0.0.1", "port": ${entry_ports[$1]}},
  "administration": {"address": "127.0.0.1", "port": ${entry_administration[$1]}},
  "peers": {"address": "127.0.0.1", "port": ${entry_peers[$1]}},
  "store_url": "http://127.0.0.1:${store_port_of[entry$1]:-$platform_port}",
  "operator_token": "$operator_token",
  "membership": {"peer_key": "demo-peer-key", "lease_s": $lease_seconds, "peers": [$peer_list],
                 "advertised_address": "127.0.0.1:${advertised_port_of[entry$1]:-${entry_peers[$1]}}"}
}
JSON
}

write_fleet_settings() { # INDEX
    cat > "$work/fleet$1.json" <<JSON
{
  "instance_prefix": "fleet-$1",
  "data_centre": "kochi",
  "store_url": "http://127.0.0.1:${store_port_of[fleet$1]:-$platform_port}",
  "peer_address": "127.0.0.1:${fleet_peers[$1]}",
  "advertised_peer_address": "127.0.0.1:${advertised_port_of[fleet$1]:-${fleet_peers[$1]}}",
  "peer_key": "demo-peer-key",
  "peers": [$peer_list],
  "operator_address": "127.0.0.1",
  "operator_port": ${fleet_ports[$1]},
  "operators": [{"name": "demo", "token": "$operator_token"}],
  "lease_s": $lease_seconds
}
JSON
}

start_entry() { # INDEX
    start "entry$1" "$build/Services/Entry/peridot-entry" --settings "$work/entry$1.json"
}

start_fleet() { # INDEX
    start "fleet$1" "$build/Services/Fleet/peridot-fleet" "--settings=$work/fleet$1.json"
}

start_backends() { # COUNT
    local index
    # The manifest counts the ports up from the first one, so they are taken as one range.
    free_ports "$1"; backend_port="$port"
    backend_controls=()
    for index in $(seq 0 $(($1 - 1))); do
        free_port
        backend_controls+=("127.0.0.1:$port")
        cat > "$work/backend$index.json" <<JSON
{"name": "server-$(printf %02d "$index")", "address": "127.0.0.1", "port": $((backend_port + index)),
 "control_port": $port, "slots": 8, "service_time_us": 2000, "slow_time_ms": 500}
JSON
        start "backend$index" "$build/StandIns/Backend/peridot-standin-backend" --settings "$work/backend$index.json"
    done
    for index in $(seq 0 $(($1 - 1))); do
        wait_for_port $((backend_port + index))
    done
}

# Starts the platform, one backend server a host, and the entry and fleet processes, then applies the
# generated manifest.
cluster_start() { # DEPLOYMENT HOSTS ENTRIES FLEETS LEASE_SECONDS
    local deployment="$1" hosts="$2" entries="$3" fleets="$4" index advertised=()
    lease_seconds="$5"
    free_port
    platform_port="$port"
    Meta/generate-manifest.py --platform "$deployment" "$hosts" "$platform_port" > "$work/platform.json"
    start platform "$build/StandIns/Platform/peridot-standin-platform" --settings "$work/platform.json"
    wait_for_port "$platform_port"
    start_backends "$hosts"
    Meta/generate-manifest.py "$deployment" "$hosts" "$backend_port" > "$work/manifest.json"

    entry_ports=() entry_administration=() entry_peers=() fleet_ports=() fleet_peers=() fleet_addresses=()
    for index in $(seq 0 $((entries - 1))); do
        free_port; entry_ports+=("$port")
        free_port; entry_administration+=("$port")
        free_port; entry_peers+=("$port")
    done
    for index in $(seq 0 $((fleets - 1))); do
        free_port; fleet_ports+=("$port"); fleet_addresses+=("127.0.0.1:$port")
        free_port; fleet_peers+=("$port")
    done
    if declare -F start_links > /dev/null; then start_links "$entries" "$fleets"; fi
    for index in $(seq 0 $((entries - 1))); do advertised+=("${advertised_port_of[entry$index]:-${entry_peers[$index]}}"); done
    for index in $(seq 0 $((fleets - 1))); do advertised+=("${advertised_port_of[fleet$index]:-${fleet_peers[$index]}}"); done
    peer_list=$(printf '"127.0.0.1:%s",' "${advertised[@]}")
    peer_list="${peer_list%,}"
    for index in $(seq 0 $((fleets - 1))); do
        write_fleet_settings "$index"
        start_fleet "$index"
    done
    for index in $(seq 0 $((entries - 1))); do
        write_entry_settings "$index"
        start_entry "$index"
    done
    for index in $(seq 0 $((fleets - 1))); do
        wait_for_port "${fleet_ports[$index]}"
    done
    wait_until 60 control apply "$work/manifest.json"
    for index in $(seq 0 $((entries - 1))); do
        wait_until 60 entry_ready "$index"
    done
}

services_of() {
    python3 -c 'import json, sys; print(",".join(s["name"] for s in json.load(open(sys.argv[1]))["services"]))' \
        "$work/manifest.json"
}

entry_list() {
    local list
    list=$(printf '127.0.0.1:%s,' "${entry_ports[@]}")
    echo "${list%,}"
}

control_list() {
    local IFS=,
    echo "${backend_controls[*]}"
}

load() { # PERIDOT-LOAD-ARGUMENT...
    "$build/StandIns/Load/peridot-load" --entry "$(entry_list)" --service "$(services_of)" \
        --backend-control "$(control_list)" "$@"
}
