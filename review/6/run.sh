#!/bin/sh
# Runs case 6: exits with 1 if the rule is broken, 0 if it holds, 2 if the case can't run.
# TROUBLE=0 leaves out the disruption; 2 and 3 are two other ways, see claim.txt.
cd "$(dirname "$0")/../.." || exit 2
for program in target/release/currantgate-platform target/review-2/case6; do
    [ -x "$program" ] || { echo "$program is not built"; exit 2; }
done
RECORD=review/6/record.txt target/review-2/case6
code=$?
[ "$code" -le 1 ] && exit "$code"
exit 2
