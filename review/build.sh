#!/usr/bin/env bash
# Builds the stand-ins of the review's cases, after the build command of deploy/service.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
for source in review/*/case.cc; do
  number=$(basename "$(dirname "$source")")
  g++ -std=c++20 -O1 -Wall -Wextra -pthread -o "target/review/case-$number" "$source"
done
