#!/usr/bin/env bash
# One entry process is cut off from the store, then from its peers, then from both, while callers send requests
# and a new configuration is applied. Each new version takes one backend server out of use, so a request that
# arrives there shows from outside that a process acts on an older version.
# Usage: network-cuts.sh BUILD_DIRECTORY
set -euo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")/../.."

readonly build="$1"
source Meta/cluster.sh
source Tests/EndToEnd/traffic.bash
begin_run

# A relay between each process and the store, and one that leads to the peer socket of each process.
start_links() { # ENTRIES FLEETS
    local name links=() names=()
    declare -gA peer_port_of=()
    for index in $(seq 0 $(($1 - 1))); do names+=("entry$index"); peer_port_of[entry$index]="${entry_peers[$index]}"; done
    for index in $(seq 0 $(($2 - 1))); do names+=("fleet$index"); peer_port_of[fleet$index]="${fleet_peers[$index]}"; done
    for name in "${names[@]}"; do
        free_port; store_port_of[$name]="$port"
        links+=("{\"name\": \"$name-store\", \"protocol\": \"tcp\", \"port\": $port, \"target_port\": $platform_port}")
        free_port; advertised_port_of[$name]="$port"
        links+=("{\"name\": \"$name-peer\", \"protocol\": \"udp\", \"port\": $port,
                  \"target_port\": ${peer_port_of[$name]}}")
    done
    free_port; link_control_port="$port"
    cat > "$work/link.json" <<JSON
{"address": "127.0.0.1", "control_port": $port, "links": [$(IFS=,; echo "${links[*]}")]}
JSON
    start link "$build/StandIns/Link/peridot-standin-link" --settings "$work/link.json"
    wait_for_port "$link_control_port"
}

link_control() { # JSON
    curl -sf -X POST -d "$1" "http://127.0.0.1:$link_control_port/control" > /dev/null
}

store_link() { # cut|heal
    link_control "{\"link\": \"entry0-store\", \"action\": \"$1\"}"
}

peer_links() { # cut|heal
    local name
    link_control "{\"link\": \"entry0-peer\", \"action\": \"$1\"}"
    for name in "${!peer_port_of[@]}"; do
        [ "$name" = entry0 ] || link_control "{\"link\": \"$name-peer\", \"action\": \"$1\",
            \"from\": \"127.0.0.1:${peer_port_of[entry0]}\"}"
    done
}

entry_version() { # INDEX
    curl -sf -H "Authorization: Bearer $operator_token" "http://127.0.0.1:${entry_administration[$1]}/state" \
        | python3 -c 'import json, sys; print(json.load(sys.stdin)["routing_version"])'
}

acts_on() { # INDEX VERSION
    [ "$(entry_version "$1")" -ge "$2" ]
}

entry_unready() { # INDEX
    ! entry_ready "$1"
}

accepted() { # VERSION
    curl -sf "http://127.0.0.1:$platform_port/control/state" | python3 -c '
import json, sys
head = [json.loads(r["value"]) for r in json.load(sys.stdin)["rows"] if r["key"] == "configuration/head"][0]
sys.exit(0 if head["version"] >= int(sys.argv[1]) and head["state"] == "accepted" else 1)' "$1"
}

last_state_is() { # STATE
    [ "$(grep -o 'event=serving-state state=[a-z-]*' "$work/entry0.log" | tail -n 1)" = "event=serving-state state=$1" ]
}

# Milliseconds from now to the end of the lease in the member row of entry0.
lease_left_ms() {
    curl -sf "http://127.0.0.1:$platform_port/control/state" | python3 -c '
import json, sys, time
row = [json.loads(r["value"]) for r in json.load(sys.stdin)["rows"] if r["key"].startswith("member/entry-0")][0]
print(row["expiry_ms"] - int(time.time() * 1000))'
}

# Takes one more backend server out of the manifest and applies it without waiting for acceptance.
apply_without() { # BACKEND-INDEX
    python3 - "$work/manifest.json" "server-$(printf %02d "$1")" <<'PYTHON'
import json, sys
manifest = json.load(open(sys.argv[1]))
manifest["backend_servers"] = [s for s in manifest["backend_servers"] if s["name"] != sys.argv[2]]
json.dump(manifest, open(sys.argv[1], "w"))
PYTHON
    control apply --no-wait "$work/manifest.json"
    version=$((version + 1))
}

# Counts the samples in which entry0 was unready. The figure is printed and not judged: a process that gets no
# processor time for longer than the evidence window may be unready.
watch_readiness() { # FILE
    local samples=0 unready=0
    while [ ! -e "$1.end" ]; do
        samples=$((samples + 1))
        entry_ready 0 > /dev/null || unready=$((unready + 1))
        echo "samples=$samples unready=$unready" > "$1"
        sleep 0.05
    done
}

start_watch() {
    rm -f "$work/ready.end"
    watch_readiness "$work/ready" &
    process_of[watch]=$!
}

end_watch() { # PHASE
    touch "$work/ready.end"
    wait "${process_of[watch]}"
    unset 'process_of[watch]'
    echo "measure=network-cut phase=$1 $(cat "$work/ready")"
}

echo '== start: 10 hosts, 3 entry and 2 fleet processes, leases of 20 s'
cluster_start kallada 10 3 2 20
version=1
for index in 0 1 2; do wait_until 30 acts_on "$index" 1; done
view_has_five() {
    curl -sf "http://127.0.0.1:$platform_port/control/state" | python3 -c '
import json, sys
view = [json.loads(r["value"]) for r in json.load(sys.stdin)["rows"] if r["key"] == "view"][0]
sys.exit(0 if len(view["instances"]) == 5 and not view["previous"] else 1)'
}
wait_until 60 view_has_five
start_traffic
wait_until 30 others_got 100

echo '== cut entry0 from the store: it learns the new version from its peers and serves'
start_watch
store_link cut
apply_without 0
for index in 0 1 2; do wait_until 30 acts_on "$index" "$version"; done
wait_until 6 gets_nothing 0
wait_until 60 last_state_is idempotent-only
entry_ready 0 > /dev/null || wait_until 30 entry_ready 0
wait_until 60 accepted "$version"
end_watch store
store_link heal

echo '== cut entry0 from its peers: it learns the new version from the store and serves'
wait_until 60 last_state_is full
start_watch
peer_links cut
apply_without 1
for index in 0 1 2; do wait_until 30 acts_on "$index" "$version"; done
wait_until 6 gets_nothing 1
wait_until 60 accepted "$version"
wait_until 30 entry_ready 0
end_watch peers
peer_links heal

echo '== cut entry0 from both: it stops before its lease ends'
wait_until 30 entry_ready 0
cut_at=$(date +%s%3N)
store_link cut
peer_links cut
wait_until 60 entry_unready 0
left=$(lease_left_ms)
echo "measure=network-cut phase=both unready_after_s=$(awk -v ms="$(($(date +%s%3N) - cut_at))" 'BEGIN { print ms / 1000 }') lease_left_ms=$left"
# By the lease alone it would stop 2 s before the end, and a renewal leaves at least 14 s at the cut.
[ "$left" -gt 4000 ] || fail 'entry0 was ready until its lease ended'
apply_without 2
for index in 1 2; do wait_until 30 acts_on "$index" "$version"; done
acts_on 0 "$version" && fail 'entry0 has the new version although it is cut off'
# The isolated process gets its share of the requests and refuses them all.
wait_until 6 gets_nothing 2
before=$(arrivals_at 2)
gets_nothing 2 || fail 'a request arrived by the older version while entry0 was cut off'
entry_ready 0 > /dev/null && fail 'entry0 is ready although it is cut off'

echo '== heal: entry0 returns by itself, with the new version'
store_link heal
peer_links heal
wait_until 60 entry_ready 0
acts_on 0 "$version" || fail 'entry0 is ready with the older version'
wait_until 60 accepted "$version"
gets_nothing 2 || fail 'a request arrived by the older version after entry0 returned'
[ "$(arrivals_at 2)" = "$before" ] || fail 'a request arrived by the older version when entry0 returned'

end_traffic
for index in 0 1 2; do stop "entry$index"; done
for index in 0 1; do stop "fleet$index"; done
stop link
