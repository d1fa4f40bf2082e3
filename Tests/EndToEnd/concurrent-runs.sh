#!/usr/bin/env bash
# Two runs at the same time get different ports, also before either has started a process. Otherwise, a process of one
# run cannot listen on its port, or takes a process of the other run for one of its own.
# Usage: concurrent-runs.sh BUILD_DIRECTORY
set -euo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")/../.."

# Both runs draw the same random numbers. The second one begins while the first one lasts.
take_ports='
    RANDOM=1
    source Meta/processes.sh
    begin_run
    for _ in $(seq 10); do free_port; echo "$port"; done'
ports=$(bash -euc "$take_ports; bash -euc '$take_ports'")
[ "$(wc -l <<< "$ports")" -eq 20 ] || { echo "not 20 ports: $ports" >&2; exit 1; }
shared=$(sort <<< "$ports" | uniq -d)
[ -z "$shared" ] || { echo "both runs have these ports:" $shared >&2; exit 1; }
