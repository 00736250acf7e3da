#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
REVIEW_CASE="$(cd "$(dirname "$0")" && pwd)"
export REVIEW_CASE
cd "$REVIEW_CASE/../.." || exit 2
exec "target/review/case$(basename "$REVIEW_CASE")"
