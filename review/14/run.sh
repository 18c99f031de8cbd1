#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not
# run. TROUBLE=0 leaves the disruption out.
case=$(cd "$(dirname "$0")" && pwd)
exec python3 "$case/scenario.py"
