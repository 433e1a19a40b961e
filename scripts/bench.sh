#!/usr/bin/env bash
# Runs one benchmark, prints its output and writes it to its section of
# docs/MEASUREMENTS.md. If the benchmark fails, the page is not changed.
set -euo pipefail
cd "$(dirname "$0")/.."
usage="usage: $0 policy|capacity|cost|serve [arguments of the bench]"
bench=${1:?$usage}
shift
case "$bench" in
  policy|capacity|cost|serve) ;;
  *) echo "$usage" >&2; exit 2 ;;
esac
command="go run ./internal/${bench}bench/cmd${*:+ $*}"
output=$(mktemp)
trap 'rm -f "$output"' EXIT
# Show the output while the benchmark runs; write the page only after it has succeeded.
go run "./internal/${bench}bench/cmd" "$@" | tee "$output"
go run ./internal/benchpage --section "$bench" --command "$command" < "$output" > /dev/null
