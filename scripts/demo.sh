#!/usr/bin/env bash
# Builds the programs and shows the whole path; the last line is "demo: ok".
set -euo pipefail
cd "$(dirname "$0")/.."
dir=$(mktemp -d)
trap 'rm -rf "$dir"' EXIT
go build -o "$dir" ./cmd/... ./internal/demo
"$dir/demo" --binaries "$dir" --examples examples
