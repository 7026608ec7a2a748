#!/usr/bin/env bash
# Runs the case in the folder given: its program, with a temporary folder and the command of the deploy file.
# Exit status: 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
set -uo pipefail
folder=$(cd "$1" && pwd) || exit 2
root=$(cd "$folder/../.." && pwd) || exit 2
cd "$root" || exit 2
program=$root/review/build-2/play-$(basename "$folder")
run_command=$(sed -n 's/^run = "\(.*\)"$/\1/p' deploy/balancer.toml)
if [ ! -x "$program" ] || [ ! -x build/indigorill ] || [ -z "$run_command" ]; then
  echo "build first: the command of deploy/balancer.toml, then review/build-2.sh" >&2
  exit 2
fi
temporary=$(mktemp -d) || exit 2
trap 'rm -rf "$temporary"' EXIT
timeout -k 2 110 "$program" "$folder" "$temporary" "$run_command"
status=$?
case $status in
  0 | 1) exit "$status" ;;
  *) exit 2 ;;
esac
