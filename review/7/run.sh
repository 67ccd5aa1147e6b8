#!/bin/sh
# Runs case 7: exits with 1 if the rule is broken, 0 if it holds, 2 if the case can't run.
# TROUBLE=0 leaves out the disruptions; GAP_MS is the time between them, 1000 if not given.
cd "$(dirname "$0")/../.." || exit 2
for program in target/release/currantgate-platform target/review-2/case7; do
    [ -x "$program" ] || { echo "$program is not built"; exit 2; }
done
RECORD=review/7/record.txt target/review-2/case7
code=$?
[ "$code" -le 1 ] && exit "$code"
exit 2
