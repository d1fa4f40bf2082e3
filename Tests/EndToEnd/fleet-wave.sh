#!/usr/bin/env bash
# A maintenance wave over all hosts under traffic, while one fleet process is killed, another is frozen past
# its lease, a host fails and the store is gone for a while. check-fleet.py checks the rows from outside and
# peridot-load checks every answer against the run counts of the backend servers.
# Usage: fleet-wave.sh BUILD_DIRECTORY
set -euo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")/../.."

readonly build="$1"
source Meta/cluster.sh
begin_run

all_maintained() {
    curl -sf "http://127.0.0.1:$platform_port/control/state" | python3 -c '
import json, sys
rows = [json.loads(r["value"]) for r in json.load(sys.stdin)["rows"] if r["key"].startswith("host/")]
done = [r for r in rows if r["generation"] >= 1 and r["state"] == "active"]
sys.exit(0 if len(done) == 20 and len(rows) == 20 else 1)'
}

admitted() {
    curl -sf "http://127.0.0.1:$platform_port/control/state" | python3 -c '
import json, sys
rows = [r for r in json.load(sys.stdin)["rows"] if r["key"].startswith("host/")]
sys.exit(0 if len(rows) == 20 else 1)'
}

echo '== start: 20 hosts, 3 entry and 3 fleet processes'
cluster_start kallada 20 3 3 4
wait_until 60 admitted
Tests/EndToEnd/check-fleet.py "http://127.0.0.1:$platform_port" "$work/stop" > "$work/check.log" 2>&1 &
process_of[check]=$!
load --callers 8 --rate 150 --milliseconds 20000 > "$work/load.log" 2>&1 &
process_of[load]=$!

echo '== start the wave in every pool'
for pool in intake premises renewals treasury notices; do control wave start "$pool"; done
sleep 2
echo '== kill one fleet process, freeze another past its lease, fail a host'
kill -KILL "${process_of[fleet0]}"
wait "${process_of[fleet0]}" 2> /dev/null || true
kill -STOP "${process_of[fleet1]}"
platform_control '{"action": "fail", "host": "host-02-3"}'
sleep 6
kill -CONT "${process_of[fleet1]}"
echo '== the store is gone for 5 s, then loses answers after the effect'
platform_control '{"action": "gone", "for_ms": 5000}'
sleep 5
platform_control '{"action": "fault", "call": "commit", "fault": "lose-answer-after-effect", "count": 5}'
platform_control '{"action": "restore", "host": "host-02-3"}'
start_fleet 0

echo '== wait for the end of the wave'
wait_until 180 all_maintained
load_status=0
wait "${process_of[load]}" || load_status=$?
unset 'process_of[load]'
cat "$work/load.log"
touch "$work/stop"
check_status=0
wait "${process_of[check]}" || check_status=$?
unset 'process_of[check]'
cat "$work/check.log"
for index in 0 1 2; do stop "entry$index"; done
for index in 0 1 2; do stop "fleet$index"; done
exit $((load_status + check_status))
