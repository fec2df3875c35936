#!/usr/bin/env bash
# Builds the cases with their stand-ins into target/review/. Wants g++ only; run it after the deploy file's build.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
for source in review/*/case.cpp; do
  [ -e "$source" ] || continue
  number=$(basename "$(dirname "$source")")
  g++ -std=c++20 -O1 -Wall -Wextra -pthread -o "target/review/case$number" "$source"
done
