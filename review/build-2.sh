#!/usr/bin/env bash
# Builds the tests of the cases 4 to 8 with their stand-ins, into target/review-2. Needs what the
# build of deploy/service.toml needs: g++ and nlohmann-json3-dev.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
pids=()
for folder in review/[4-8]; do
  [ -f "$folder/test.cc" ] || continue
  g++ -std=c++20 -O1 -pthread -Wall -Wextra "$folder/test.cc" \
    -o "target/review-2/$(basename "$folder")" &
  pids+=($!)
done
for pid in "${pids[@]}"; do wait "$pid"; done
