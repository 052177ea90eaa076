#!/usr/bin/env bash
# Runs a case: run-case.sh CASE FOLDER. Exits with 1 if the rule was broken, 0 if it held, 2 if the
# case could not run. TROUBLE=0 leaves the disruption out. All processes that it starts end with it.
set -u
case=$1
folder=$2
cd "$(dirname "$0")/.." || exit 2
for program in target/release/ragwortstall-platformd target/review/standins; do
  if [ ! -x "$program" ]; then
    echo "not built: $program"
    exit 2
  fi
done
export TROUBLE="${TROUBLE:-1}"
TMPDIR=$(mktemp -d) || exit 2
export TMPDIR
set -m
target/review/standins "$case" "$folder/record.txt" &
group=$!
end() {
  kill -KILL -- "-$group" 2>/dev/null
  rm -rf "$TMPDIR"
}
trap end EXIT
trap 'end; exit 2' INT TERM
wait "$group"
code=$?
[ "$code" -le 1 ] || code=2
exit "$code"
