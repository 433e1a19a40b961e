#!/usr/bin/env bash
# Builds the stand-ins of the cases in review/7 to 10 (into review/harness-2/bin/). They use the standard library alone.
set -euo pipefail
cd "$(dirname "$0")/harness-2"
go build -o bin/harness .
