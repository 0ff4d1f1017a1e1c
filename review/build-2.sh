#!/usr/bin/env bash
# Builds the stand-ins that the scripts of review/6 to review/10 start. They are Python
# programs that use only the standard library, so building them means to compile them.
# pistachio-edge comes from the build of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")"
command -v python3 > /dev/null || { echo "python3 is missing" >&2; exit 1; }
python3 - common-2/*.py [0-9]*/case.py <<'PYTHON'
import sys
for path in sys.argv[1:]:
    with open(path, encoding="utf-8") as source:
        compile(source.read(), path, "exec")
PYTHON
