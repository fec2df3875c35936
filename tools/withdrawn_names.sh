#!/usr/bin/env bash
# Refuses names that were replaced by plain ones (tools/withdrawn_names.txt) in sources, tests, tools and the build.
set -euo pipefail
cd "$(dirname "$0")/.."
list=tools/withdrawn_names.txt
pattern="(^|[^A-Za-z0-9])($(paste -sd'|' "$list"))([^A-Za-z0-9]|\$)"
if git grep -nE "$pattern" -- src tests tools deploy CMakeLists.txt .ci run test ":!$list" >&2; then
  echo "names: withdrawn names stand in the lines above" >&2
  exit 1
fi
echo "names: none of $(wc -l <"$list") withdrawn names"
