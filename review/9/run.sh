#!/usr/bin/env bash
# 1: the rule was broken, 0: it held, 2: the case couldn't run. TROUBLE=0: without the disruption.
exec "$(dirname "$0")/../stand-ins-2/run-case.sh" "$(dirname "$0")"
