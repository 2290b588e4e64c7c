#!/usr/bin/env bash
# Builds the cases from review/6 on, with their stand-ins, into target/review-2.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for source in review/*/case.cc; do
  number=$(basename "$(dirname "$source")")
  [ "$number" -ge 6 ] || continue
  g++ -std=c++17 -O2 -Wall -Wextra -pthread "$source" -o "target/review-2/case-$number"
done
