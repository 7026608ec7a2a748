#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0: no disruption.
cd "$(dirname "$0")/../.." || exit 2
program=build-review-2/late_equal
[ -x build/indigorill ] && [ -x "$program" ] || { echo "build first: deploy file, review/build-2.sh"; exit 2; }
timeout -k 5 110 "$program" review/8
status=$?
tail -n 1 review/8/record.txt
[ "$status" -le 1 ] || exit 2
exit "$status"
