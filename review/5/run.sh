#!/bin/sh
# Exit status: 1 if the rule was broken, 0 if it held, 2 if the case did not run.
# TROUBLE=0 leaves the disruption out.
folder=$(cd "$(dirname "$0")" && pwd) || exit 2
cd "$folder/../.." || exit 2
program="target/review/case-$(basename "$folder")"
[ -x "$program" ] || exit 2
exec "$program" "$folder"
