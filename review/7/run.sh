#!/bin/sh
# Runs the case: status 1 if the rule was broken, 0 if it held, 2 if it couldn't run. TROUBLE=0: without the disruption.
here=$(cd "$(dirname "$0")" && pwd) || exit 2
number=$(basename "$here")
cd "$here/../.." || exit 2
[ -x build/indigorill ] && [ -x "build-review-2/case-$number" ] || exit 2
folder=$(mktemp -d) || exit 2
TMPDIR=$folder timeout -k 5 110 "build-review-2/case-$number" "review/$number"
status=$?
rm -rf "$folder"
[ "$status" -le 1 ] || status=2
exit "$status"
