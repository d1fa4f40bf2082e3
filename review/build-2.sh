#!/usr/bin/env bash
# Prepares the stand-ins of the cases of review/REPORT-2.md. They are Python 3 with its standard library, so that there is
# nothing to compile: the script checks that they can be read.
set -euo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")"
python3 - shared-2/*.py 6/run.py 8/run.py 9/run.py 10/run.py <<'CHECK'
import sys
for name in sys.argv[1:]:
    with open(name, encoding="utf-8") as file:
        compile(file.read(), name, "exec")
CHECK
