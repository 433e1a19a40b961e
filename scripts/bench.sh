#!/usr/bin/env bash
# Runs one bench, prints what it measures and writes it into docs/MEASUREMENTS.md. A
# bench that fails leaves the page as it is.
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
# Shown as it comes; the page is written only once the bench has succeeded.
go run "./internal/${bench}bench/cmd" "$@" | tee "$output"
go run ./internal/benchpage --section "$bench" --command "$command" < "$output" > /dev/null
