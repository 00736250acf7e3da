#!/bin/sh
# Builds the programs that the scripts of the review start, in target/review/.
set -eu
cd "$(dirname "$0")/.."
for dir in review/[1-5]; do
  if [ -f "$dir/main.go" ]; then
    go build -o "target/review/case$(basename "$dir")" "./$dir"
  fi
done
