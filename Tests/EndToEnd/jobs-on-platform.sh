#!/usr/bin/env bash
# Runs peridot-jobs processes on a stand-in for the platform, kills the one that runs the scheduler
# while jobs are in progress, and checks that every accepted job completes and no task runs twice.
# Usage: jobs-on-platform.sh BUILD-DIRECTORY
set -euo pipefail
build=$(realpath "$1")
cd "$(dirname "${BASH_SOURCE[0]}")"
source ../../Meta/processes.sh
begin_run
free_ports 126
python3 check-jobs.py "$build/platform/peridot-jobs" "$port"
