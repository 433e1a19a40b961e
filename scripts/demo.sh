#!/usr/bin/env bash
# Builds the programs and runs the demo with the example configurations. The last line
# of a successful run is "demo: ok".
set -euo pipefail
cd "$(dirname "$0")/.."
dir=$(mktemp -d)
trap 'rm -rf "$dir"' EXIT
go build -o "$dir" ./cmd/... ./internal/demo
"$dir/demo" --binaries "$dir" --examples examples
