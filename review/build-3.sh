#!/usr/bin/env bash
# The stand-ins of review/11 and on are Python of the standard library only
# (review/standin-3), and need no build. Checks that they can be loaded and that
# the program of the deploy file was built.
set -euo pipefail
cd "$(dirname "$0")/.."
python3 -B -c 'import ast, sys
for name in sys.argv[1:]:
    ast.parse(open(name).read(), name)' review/standin-3/testbed.py review/1[1-9]/scenario.py
test -x target/bin/foxtail-node
