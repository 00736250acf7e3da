#!/usr/bin/env bash
# Builds what the scripts of review/11 to review/15 start, into target/review3.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review3
go build -o target/review3/ ./review/standins3
