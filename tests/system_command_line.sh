#!/usr/bin/env bash
# What operators are told on a bad day: a member that is silent, nobody who leads, a full disk, an order sent again,
# bad input; each with its exit status. On addresses of its own, so that it may run beside other tests.
set -euo pipefail
altavia=$1 standin=$2
cd "$3"
dir=$(mktemp -d)
net=127.$((16 + $$ % 60))
. tools/hall.sh
trap 'end_hall 2>/dev/null; rm -rf "$dir"' EXIT
wants() { # status, command...
  local status=$1 got=0
  shift
  "$@" >"$dir/out" 2>&1 || got=$?
  [ "$got" -eq "$status" ] || { echo "$*: status $got, $status is wanted" >&2; cat "$dir/out" >&2; exit 1; }
}
says() { grep -q -- "$1" "$dir/out" || { echo "does not say '$1':" >&2; cat "$dir/out" >&2; exit 1; }; }
op() { $altavia --at $members "$@"; }
one() { $altavia --at "$net.0.$1:28729" "${@:2}"; }

for n in 1 2 3; do start "core$n" "$net.0.$n" true core; done
wait_until 20 "a leader" op leader
for e in 3 4 5 6 7; do configuration $e shard0 >"$dir/$e.json"; done
sed 's/"deadlineMs":1000/"deadlineMs":900/' "$dir/4.json" >"$dir/4b.json"
wait_until 20 "agreement" op status

# The very same order is the same order, whatever has come after it; another text under its number never.
wants 0 op --on 0 config put "$dir/3.json"; says "edition 3 is taken on top of 0"
wants 0 op --on 3 config put "$dir/4.json"
wants 0 op --on 0 config put "$dir/3.json"; says "edition 3 is taken on top of 0"
wants 3 op --on 3 config put "$dir/4b.json"; says "412 edition 4 is in place"
wants 0 op --on 3 config put "$dir/4.json"

# Bad input, at once.
wants 2 $altavia --at "$net.0.1" status; says "is no address"
wants 2 $altavia --at "hall:28729" members; says "is no address"
wants 1 sh -c "$altavia --at $members config get >/dev/full"; says "the output cannot be written"

# One that does not answer: the others do, and say that it is missing.
kill -STOP "${pid_of[core1]}"
wants 4 op status; says "no answer in time"; says "1 of 3 have not answered"
wants 1 one 1 --within 1 config put "$dir/5.json"; says "nothing was sent"
wants 1 one 1 --within 1 --on 4 config put "$dir/5.json"; says "not known whether edition 5 is taken"
says "--on 4 config put"
wants 0 op --on 4 config put "$dir/5.json"
kill -CONT "${pid_of[core1]}"
wait_until 20 "agreement" op status
wants 0 op --on 4 config put "$dir/5.json"

# Nobody leads: who is left says so, and that what it tells is what it had. Silent ones do not use up its time.
kill -STOP "${pid_of[core1]}" "${pid_of[core2]}"
wait_until 20 "no leader" sh -c "! $altavia --at $net.0.3:28729 leader"
wants 4 one 3 status; says "knows of no leader"
wants 1 op --within 3 config get; says "503 nobody leads here"
wants 1 op --within 3 --on 5 config put "$dir/6.json"; says "not known whether edition 6 is taken"
kill -CONT "${pid_of[core1]}" "${pid_of[core2]}"
wait_until 20 "agreement" op status
wants 0 op --on 5 config put "$dir/6.json"

# A disk that takes nothing: the others go on, and status names it.
kill -KILL "${pid_of[core2]}"
(ulimit -f 60; PEARSPAR_CONFIG="$dir/core2.toml" exec $altavia serve) >>"$dir/core2.log" 2>&1 &
pid_of[core2]=$!
pids+=($!)
wait_until 20 "agreement" op status
base=6
fill() {
  base=$((base + 1))
  sed "s/\"edition\":7/\"edition\":$base/; s/\"deadlineMs\":1000/&$(printf '%20000s' '')/" "$dir/7.json" >"$dir/fill.json"
  op config put "$dir/fill.json"
  op status >"$dir/seen" || true
  grep -q "its disk refuses" "$dir/seen"
}
wait_until 30 "a full disk" fill
wants 4 op status; says "its disk refuses"
wants 0 op --on $base config put <(configuration $((base + 1)) shard0)

# Settings that read but name what is no address: it says so, and waits for better ones.
sed "s|^controlPort *=.*|controlPort = \"nowhere\"|; s|^ipAddress *=.*|ipAddress = \"$net.0.9\"|; s|^dataDir *=.*|dataDir = \"$dir/wrong\"|" \
  "$dir/core1.toml" >"$dir/wrong.toml"
PEARSPAR_CONFIG="$dir/wrong.toml" $altavia serve >"$dir/wrong.log" 2>&1 &
wrong=$!
pids+=("$wrong")
wait_until 10 "start_failed" grep -q '"event":"start_failed","why":"address nowhere' "$dir/wrong.log"
kill -0 "$wrong"
kill -TERM "$wrong"
wait "$wrong"
echo "command line: all steps held"
