#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# With TROUBLE=0 it does the same without the disruption.
TROUBLE="${TROUBLE:-1}"
export TROUBLE
cd "$(dirname "$0")/../.." || exit 2
[ -x target/gentiansail ] && [ -x review/bin/case1 ] || { echo "build first" >&2; exit 2; }
exec review/bin/case1 review/1/record.txt
