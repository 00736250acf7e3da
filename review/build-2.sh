#!/usr/bin/env bash
# Builds what the scripts of review/6 to review/10 start besides the daemon.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review2/standins2 ./review/standins2
