#!/usr/bin/env bash
# Builds the stand-ins of the cases. They are Python 3 programs that need its standard library only, so that
# this only checks that they can be compiled. peridot-jobs comes from the build of deploy/system.toml.
set -euo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")"
python3 - <<'PYTHON'
import pathlib
import sys

assert sys.version_info >= (3, 11), "tomllib needs Python 3.11"
for path in sorted(pathlib.Path(".").rglob("*.py")):
    compile(path.read_text(encoding="utf-8"), str(path), "exec")
    print(f"ok {path}")
PYTHON
