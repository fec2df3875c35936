#!/usr/bin/env bash
# A small set of the trials of real processes, and that nothing which the rig starts outlives it.
set -euo pipefail
trial=$1 program=$2
dir=$(mktemp -d)
trap 'rm -rf "$dir"' EXIT
export TMPDIR=$dir

"$trial" cases third-killed split-in-half one-way hold twin restart-at-once seeds-gone leave --brokers 8 --jobs 8 \
  --period-ms 300 --slack-s 0.5 --program "$program" || {
  echo "FAILED: a guarantee broke; the schedule stands above" >&2
  exit 1
}

"$trial" cases start --brokers 1 --program "$program" >/dev/null || { echo "FAILED: a fleet of one" >&2; exit 1; }

# The rig is killed in the middle: its brokers end with it.
"$trial" cases lossy --brokers 4 --program "$program" >/dev/null &
rig=$!
for _ in $(seq 100); do
  [ "$(pgrep -fc "$dir/pearspar-trial-" || true)" -ge 4 ] && break
  sleep 0.1
done
[ "$(pgrep -fc "$dir/pearspar-trial-" || true)" -ge 4 ] || { echo "FAILED: no brokers were started" >&2; exit 1; }
kill -KILL "$rig"
wait "$rig" 2>/dev/null || true
for _ in $(seq 50); do
  [ "$(pgrep -fc "$dir/pearspar-trial-" || true)" -eq 0 ] && { echo "passed"; exit 0; }
  sleep 0.1
done
echo "FAILED: processes outlive the rig:" >&2
pgrep -fa "$dir/pearspar-trial-" >&2
exit 1
