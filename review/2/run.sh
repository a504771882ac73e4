#!/bin/bash
# Plays the case. Exits with 1 if the rule was broken, 0 if it held and 2 if the case couldn't run. TROUBLE=0: no disruption.
cd "$(dirname "$0")" || exit 2
export REVIEW_ROOT="$(cd ../.. && pwd)" REVIEW_RECORD="$PWD/record.txt"
[ -x ../bin/memory ] && [ -x ../../bin/havencart ] || { echo "not built"; exit 2; }
timeout --signal=TERM --kill-after=5 110 ../bin/memory
code=$?
[ $code -le 1 ] && exit $code
exit 2
