#!/usr/bin/env bash
# Builds the stand-ins of cases 11 to 15. They are Python programs without dependencies, so
# this only compiles them to bytecode in a temporary folder, to find errors early.
set -euo pipefail
cd "$(dirname "$0")"
folder=$(mktemp -d)
trap 'rm -rf "$folder"' EXIT
PYTHONPYCACHEPREFIX="$folder" python3 -m py_compile common-3/standins.py 1[1-5]/play.py
