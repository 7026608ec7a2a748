#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0: without the disruption.
set -u
here=$(cd "$(dirname "$0")" && pwd)
case=review/build/case$(basename "$here")
cd "$here/../.." || exit 2
run=$(sed -n 's/^run = "\(.*\)"$/\1/p' deploy/balancer.toml)
if [ -z "$run" ] || [ ! -x "$case" ] || [ ! -x build/indigorill ]; then exit 2; fi
TMPDIR=$(mktemp -d) || exit 2
export TMPDIR
trap 'rm -rf "$TMPDIR"' EXIT
timeout -k 2 115 "$case" "$run" "$here/record.txt"
status=$?
[ "$status" -le 2 ] || status=2
exit "$status"
