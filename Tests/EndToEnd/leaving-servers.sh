#!/usr/bin/env bash
# Hosts are marked as leaving in the host list of the platform while callers send requests. Their backend servers
# get no new request soon after, and get requests again when the hosts no longer leave. The verdict is the
# order of events; the delay is printed from the times that the stand-ins recorded.
# Usage: leaving-servers.sh BUILD_DIRECTORY
set -euo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")/../.."

readonly build="$1"
source Meta/cluster.sh
source Tests/EndToEnd/traffic.bash
begin_run

readonly target_ms=3000

host_of() { # BACKEND-INDEX
    python3 -c '
import json, sys
print([s["host"] for s in json.load(open(sys.argv[1]))["backend_servers"]][int(sys.argv[2])])' \
        "$work/manifest.json" "$1"
}

gets_requests() { # BACKEND-INDEX
    ! gets_nothing "$1"
}

echo '== start: 10 hosts, 3 entry and 2 fleet processes'
cluster_start kallada 10 3 2 10
lag_ms=$(python3 -c 'import json, sys; print(json.load(open(sys.argv[1]))["host_list_lag_ms"])' "$work/platform.json")
start_traffic
for index in 1 4 7 9; do
    host=$(host_of "$index")
    wait_until 6 gets_requests "$index"
    # The list cannot show the host before this time and its lag, so the delay is never stated too short.
    marked_ms=$(date +%s%3N)
    platform_control "{\"action\": \"drain\", \"host\": \"$host\"}"
    wait_until 6 gets_nothing "$index"
    read -r arrivals last_ms < <(arrivals_at "$index")
    gets_nothing "$index" || fail "a request arrived at the backend server of $host, which left before"
    [ "$(arrivals_at "$index")" = "$arrivals $last_ms" ] || fail "a request arrived later at $host"
    echo "measure=leaving host=$host last_request_after_list_ms=$((last_ms - marked_ms - lag_ms)) target_ms=$target_ms"
    platform_control "{\"action\": \"undrain\", \"host\": \"$host\"}"
    wait_until 6 gets_requests "$index"
done

end_traffic
for index in 0 1 2; do stop "entry$index"; done
for index in 0 1; do stop "fleet$index"; done
