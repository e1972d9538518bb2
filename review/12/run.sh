#!/bin/sh
# The settings state a bound as a fraction; the processes are stopped and started in turn.
# 1: the rule was broken, 0: it held, 2: the case couldn't run. TROUBLE=0 leaves out the disruption.
cd "$(dirname "$0")/../.." || exit 2
program=target/review-3/case-fraction
[ -x "$program" ] && [ -x target/daemons/glade-agent ] && [ -x target/daemons/glade-balancer ] || exit 2
scratch=$(mktemp -d) || exit 2
"$program" "$scratch" review/12/record.txt "${TROUBLE:-1}"
result=$?
rm -rf "$scratch"
[ "$result" -le 2 ] || result=2
exit "$result"
