#!/usr/bin/env bash
# Builds the stand-ins that the scripts of cases 11 to 15 start. They are Python 3 with its standard
# library, so that there is nothing to compile: this checks that they can be read.
set -euo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")"
python3 - <<'PYTHON'
import glob
for path in sorted(glob.glob("standins-3/*.py") + glob.glob("1[1-5]/*.py")):
    with open(path) as file:
        compile(file.read(), path, "exec")
PYTHON
test -x ../target/platform/peridot-jobs || { echo "build the deploy file first" >&2; exit 1; }
