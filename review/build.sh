#!/usr/bin/env bash
# Builds the stand-ins of the cases. They are Python programs that use its standard library
# only, so all there is to do is to see that this machine's Python can read them.
set -euo pipefail
cd "$(dirname "$0")"
for each in common/*.py [0-9]*/*.py; do
  python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read())' "$each"
done
