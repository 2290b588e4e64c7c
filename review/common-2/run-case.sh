#!/usr/bin/env bash
# Runs the case of one folder. Usage: run-case.sh FOLDER
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
folder=$(cd "$1" && pwd) || exit 2
repository=$(cd "$folder/../.." && pwd)
program=$repository/target/review-2/case-$(basename "$folder")
if [ ! -x "$program" ] || [ ! -x "$repository/target/dotterellock-gateway" ]; then
  echo "build by deploy/system.toml and with review/build-2.sh first" >&2
  exit 2
fi
timeout --kill-after=1 118 "$program" "$repository" "$folder/record.txt"
code=$?
[ "$code" -le 1 ] && exit "$code"
exit 2
