#!/usr/bin/env bash
# Runs peridot-jobs on a stand-in of the platform, kills the scheduling process midway, and checks
# that no job is lost and no task runs twice. Usage: jobs-on-platform.sh BUILD-DIRECTORY
set -euo pipefail
build=$(realpath "$1")
cd "$(dirname "${BASH_SOURCE[0]}")"
exec python3 check-jobs.py "$build/platform/peridot-jobs"
