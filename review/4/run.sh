#!/bin/bash
# Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run. TROUBLE=0 leaves the disruption out.
here="$(cd "$(dirname "$0")" && pwd)"
root="$(cd "$here/../.." && pwd)"
[ -x "$root/target/rattanchuted" ] && [ -x "$root/review/bin/standin" ] || { echo "not built"; exit 2; }
exec "$root/review/bin/standin" planned-stop "$root/target/rattanchuted" "$here/record.txt"
