#!/bin/sh
# A service has got the weight 0; then a zone is emptied and taken back.
# 1: the rule was broken, 0: it held, 2: the case couldn't run. TROUBLE=0 leaves out the disruption.
cd "$(dirname "$0")/../.." || exit 2
program=target/review-3/case-zero-weight
[ -x "$program" ] && [ -x target/daemons/glade-agent ] && [ -x target/daemons/glade-balancer ] || exit 2
scratch=$(mktemp -d) || exit 2
"$program" "$scratch" review/13/record.txt "${TROUBLE:-1}"
result=$?
rm -rf "$scratch"
[ "$result" -le 2 ] || result=2
exit "$result"
