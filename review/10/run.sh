#!/usr/bin/env bash
# Case 10. Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
# Build first: the deploy file's build and review/build-2.sh.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review/cases-2 ] || exit 2
export TROUBLE="${TROUBLE:-1}"
exec timeout --kill-after=2 110 target/review/cases-2 starts-after-a-cancel review/10/record.txt
