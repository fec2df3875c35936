#!/usr/bin/env bash
# clang-tidy over all sources of a configured build folder, by .clang-tidy; any finding is an error.
#   tools/lint.sh BUILD [FILE...]      without files: all that the build compiles from this repository
set -euo pipefail
cd "$(dirname "$0")/.."
build=$1
shift
files=("$@")
if [ ${#files[@]} -eq 0 ]; then
  mapfile -t files < <(sed -n 's/^ *"file": "\(.*\)",\{0,1\}$/\1/p' "$build/compile_commands.json" |
    grep -E "^$PWD/(src|tests)/" | sort -u)
fi
printf '%s\0' "${files[@]}" | xargs -0 -n 4 -P "${LINT_JOBS:-$(nproc)}" clang-tidy-16 --quiet --extra-arg=-Wno-unknown-warning-option -p "$build" 2>/dev/null
echo "lint: ${#files[@]} files as .clang-tidy wants them"
