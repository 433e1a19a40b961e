#!/usr/bin/env bash
# Runs the soak test, which injects random faults: soak.sh [minutes] [seed]. Prints the
# seed first, then a counter for each fault and each guarantee, and "violations: N" last.
set -uo pipefail
cd "$(dirname "$0")/.."
minutes=${1:-1}
seed=${2:-0}
go test -race ./internal/soak -run 'TestSoak$' -timeout 24h -v -args \
  -soak.minutes="$minutes" -soak.seed="$seed" | grep -v '^=== RUN\|^ok\|^PASS\|^--- PASS'
status=${PIPESTATUS[0]}
exit "$status"
