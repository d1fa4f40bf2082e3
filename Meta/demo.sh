#!/usr/bin/env bash
# Runs the whole system once: stand-ins, three entry and two fleet processes, an example manifest, load of
# both kinds, a drain, a graceful stop.
# Usage: Meta/demo.sh BUILD_DIRECTORY
set -euo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")/.."

readonly build="$1"
source Meta/cluster.sh
begin_run

echo '== start: platform, 10 backend servers, 3 entry and 2 fleet processes; apply the manifest'
cluster_start kallada 10 3 2 4
control status

echo '== load: idempotent and non-idempotent requests through all entry processes'
load --callers 16 --rate 800 --milliseconds 4000

echo '== drain host-00-1, explain it, undrain it'
control drain host-00-1 --reason=demo
control explain host host-00-1
control undrain host-00-1 --reason=demo

echo '== graceful stop of every process'
for index in "${!entry_ports[@]}"; do stop "entry$index"; done
for index in "${!fleet_ports[@]}"; do stop "fleet$index"; done
for index in "${!backend_controls[@]}"; do stop "backend$index"; done
stop platform
echo '== done'
