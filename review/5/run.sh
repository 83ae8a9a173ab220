#!/usr/bin/env bash
# Plays case 5; review/build.sh builds the stand-ins. Exits with 1 if the rule was broken,
# 0 if it held and 2 if the case could not run. TROUBLE=0 leaves out the disruption.
cd "$(dirname "$0")/../.." || exit 2
for program in target/buckthorntide target/review-standin; do
  [ -x "$program" ] || { echo "$program is missing" >&2; exit 2; }
done
export TROUBLE="${TROUBLE:-1}"
exec target/review-standin poison review/5
