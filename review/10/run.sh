#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not
# run. TROUBLE=0 leaves the disruption out.
set -u
cd "$(dirname "$0")"
export PYTHONDONTWRITEBYTECODE=1
timeout --signal=TERM --kill-after=5 110 python3 scenario.py
code=$?
case $code in
0 | 1) exit $code ;;
*) exit 2 ;;
esac
