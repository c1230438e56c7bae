#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 does the same without the disruption.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review/case-2 ] || bash review/build.sh || exit 2
trouble="${TROUBLE:-1}"
TROUBLE="$trouble" exec timeout -k 5 110 target/review/case-2 review/2
