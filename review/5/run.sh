#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
folder="$(cd "$(dirname "$0")" && pwd)"
cd "$folder/../.." || exit 2
TMPDIR="$(mktemp -d)" || exit 2
export TMPDIR
trap 'rm -rf "$TMPDIR"' EXIT
# The boxes end with the stand-ins.
trap 'kill "$standin" 2>/dev/null; wait "$standin"; exit 2' HUP INT TERM
RECORD="$folder/record.txt" timeout -k 2 112 target/review-2/standin late-order &
standin=$!
wait "$standin"
code=$?
[ "$code" -le 1 ] && exit "$code"
exit 2
