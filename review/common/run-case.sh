#!/bin/bash
# Runs one case: run-case.sh FOLDER NUMBER. Exits with 1 if the rule was
# broken, 0 if it held, 2 if the case could not run.
set -u
folder=$(cd "$1" && pwd) || exit 2
cd "$folder/../.." || exit 2
program="review/build/case-$2"
if [ ! -x target/dotterellock-gateway ] || [ ! -x "$program" ]; then
    echo "build the deploy file and run review/build.sh first" >&2
    exit 2
fi
scratch=$(mktemp -d) || exit 2
"$program" "$folder" "$scratch" &
pid=$!
trap 'kill -KILL "$pid" 2>/dev/null' INT TERM
wait "$pid"
status=$?
rm -rf "$scratch"
[ "$status" -le 1 ] && exit "$status"
exit 2
