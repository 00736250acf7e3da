#!/bin/sh
# Case 5. Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# With TROUBLE=0 it does the same without the disruption. What was sent, answered and run
# is written to record.txt in this folder.
REVIEW_CASE="$(cd "$(dirname "$0")" && pwd)" || exit 2
TROUBLE="${TROUBLE:-1}"
RECORD="$REVIEW_CASE/record.txt"
export TROUBLE RECORD
cd "$REVIEW_CASE/../.." || exit 2
: > "$RECORD" || exit 2
exec target/review/case5
