#!/usr/bin/env bash
# Brokers as processes that take part in a fleet: their commands and exit statuses, and nothing of it where no fleet is
# configured.
set -euo pipefail
program=$1 root=$2
dir=$(mktemp -d)
pids=()
trap '[ ${#pids[@]} -eq 0 ] || kill -KILL "${pids[@]}" 2>/dev/null || true; rm -rf "$dir"' EXIT

fail() {
  echo "FAILED: $*" >&2
  for log in "$dir"/log*; do echo "-- $log" >&2; tail -20 "$log" >&2; done
  exit 1
}
expect_status() { # status, command...
  local wanted=$1 got=0
  shift
  "$@" >"$dir/out" 2>&1 || got=$?
  [ "$got" -eq "$wanted" ] || fail "status $got instead of $wanted: $*: $(cat "$dir/out")"
}
wait_for() { # file, pattern
  for _ in $(seq 200); do
    grep -q "$2" "$1" 2>/dev/null && return 0
    sleep 0.05
  done
  fail "$1 does not say '$2'"
}
# Datagram sockets of a process, by the kernel's own tables.
datagram_sockets() {
  local inode count=0
  while read -r inode; do
    if awk '{print $10}' /proc/net/udp | grep -qx "$inode"; then count=$((count + 1)); fi
  done < <(find "/proc/$1/fd" -lname 'socket:*' -printf '%l\n' | tr -dc '0-9\n')
  echo "$count"
}
start() { # number, options or empty
  sed "s/@NAME@/n$1/" "$root/deploy/quick.example.json" >"$dir/config$1.json"
  "$program" serve --config "$dir/config$1.json" ${2:+--options "$2"} 2>"$dir/log$1" &
  pids[$1]=$!
  wait_for "$dir/log$1" 'listens on'
  serves[$1]=$(sed -n 's/.* listens on \([0-9.:]*\),.*/\1/p' "$dir/log$1" | head -1)
}
serves=()
membership='membership { fixed { nodes { id: "s-0" address: "127.0.0.1:9" } } }'

# ---- off ----
echo "$membership" >"$dir/off.textproto"
start 0 "$dir/off.textproto"
[ "$(datagram_sockets "${pids[0]}")" -eq 0 ] || fail "a datagram socket is open where no fleet is configured"
expect_status 1 "$program" fleet members "${serves[0]}"
grep -q 'takes part in no fleet' "$dir/out" || fail "what is missing is not named: $(cat "$dir/out")"
kill -USR1 "${pids[0]}"
wait_for "$dir/log0" 'counters {'
! grep -q fleet "$dir/log0" || fail "a fleet is spoken of where none is configured"

# ---- the operator's file ----
bad() { # what must be named, fleet section
  printf '%s\nfleet {\n%s\n}\n' "$membership" "$2" >"$dir/bad.textproto"
  expect_status 2 "$program" check-config --options "$dir/bad.textproto"
  grep -q "$1" "$dir/out" || fail "'$1' is not named: $(cat "$dir/out")"
}
bad 'bad.textproto:.*fleet.name: is missing' 'listen: "127.0.0.1:0"'
bad 'bad.textproto:3:.*fleet.listen' 'name: "x" listen: "somewhere"'
bad 'fleet.listen: names no host' 'name: "x" listen: "0.0.0.0:7400"'
bad 'bad.textproto:4:.*fleet.seeds\[1\].*twice' 'name: "x" listen: "127.0.0.1:0" seeds: "127.0.0.1:1"
seeds: "127.0.0.1:1"'
bad 'fleet.period_ms: 5 is not from' 'name: "x" listen: "127.0.0.1:0" period_ms: 5'
bad 'fleet.bytes_per_s' 'name: "x" listen: "127.0.0.1:0" period_ms: 20 bytes_per_s: 4096'
bad 'registry_prefix: needs a registration' 'name: "x" listen: "127.0.0.1:0" registry_prefix: "/a/"'
expect_status 106 "$program" fleet check

# ---- three brokers ----
seed=
for n in 1 2 3; do
  printf '%s\nfleet { name: "test" listen: "127.0.0.1:0" zone: "z%s" leave_by_request: %s%s }\n' "$membership" "$n" \
    "$([ "$n" -eq 2 ] && echo true || echo false)" "${seed:+ seeds: \"$seed\"}" >"$dir/o$n.textproto"
  start "$n" "$dir/o$n.textproto"
  wait_for "$dir/log$n" 'takes part in test'
  [ -n "$seed" ] || seed=$(sed -n 's/.* takes part in test at \([0-9.:]*\),.*/\1/p' "$dir/log1")
done
[ "$(datagram_sockets "${pids[1]}")" -eq 1 ] || fail "not one datagram socket"
expect_status 0 "$program" fleet check --all --for 10 "${serves[1]}"
grep -q '^3 asked, all agree' "$dir/out" || fail "not three asked: $(cat "$dir/out")"
expect_status 0 "$program" fleet check --json "${serves[1]}" "${serves[2]}" "${serves[3]}"
grep -q '"agree":true' "$dir/out" || fail "no agreement in JSON: $(cat "$dir/out")"
expect_status 0 "$program" fleet members "${serves[2]}"
for n in 1 2 3; do grep -q "n$n .* alive .* z$n " "$dir/out" || fail "n$n is not there: $(cat "$dir/out")"; done
expect_status 0 "$program" fleet digest "${serves[1]}" "${serves[2]}" "${serves[3]}"
[ "$(cut -d' ' -f1 "$dir/out" | sort -u | wc -l)" -eq 1 ] || fail "digests differ: $(cat "$dir/out")"
expect_status 0 "$program" fleet watch --for 0.5 "${serves[3]}"
grep -q 'n1 is alive' "$dir/out" || fail "watch shows nothing: $(cat "$dir/out")"
expect_status 1 "$program" fleet leave "${serves[1]}"
grep -q 'leave_by_request is not set' "$dir/out" || fail "the key is not named: $(cat "$dir/out")"

# Clients take the last descriptor of one: its voice in the fleet stays.
printf '%s\nfleet { name: "test" listen: "127.0.0.1:0" seeds: "%s" }\n' "$membership" "$seed" >"$dir/o4.textproto"
ulimit -S -n 72
start 4 "$dir/o4.textproto"
ulimit -S -n "$(ulimit -H -n)"
wait_for "$dir/log4" 'settled, .* 4 in force'
connections=()
for _ in $(seq 120); do
  exec {fd}<>"/dev/tcp/${serves[4]%:*}/${serves[4]#*:}" || break
  connections+=("$fd")
done
sleep 3
! grep -q 'n4 .* is gone' "$dir/log1" || fail "n4 was removed for want of descriptors"
for fd in "${connections[@]}"; do exec {fd}>&-; done
kill -TERM "${pids[4]}"
wait "${pids[4]}" || fail "n4 ended with status $?"
unset 'pids[4]'
wait_for "$dir/log2" 'n4 .* is left'

# One leaves by request and is seen as leaving; one is killed and is seen as gone.
expect_status 0 "$program" fleet leave "${serves[2]}"
wait_for "$dir/log1" 'n2 .* is leaving'
wait_for "$dir/log1" 'n2 .* is left'
wait "${pids[2]}" || fail "n2 ended with status $?"
unset 'pids[2]'
! grep -q 'n2 .* is gone' "$dir/log1" || fail "a leave was taken for a crash"
kill -KILL "${pids[3]}"
wait "${pids[3]}" 2>/dev/null || true
unset 'pids[3]'
wait_for "$dir/log1" 'n3 .* is gone'
expect_status 3 "$program" fleet check "${serves[1]}" "${serves[3]}" --timeout-s 0.5
expect_status 0 "$program" fleet check --for 10 "${serves[1]}"
expect_status 0 "$program" fleet members --all "${serves[1]}"
grep -q 'n2 .* left ' "$dir/out" && grep -q 'n3 .* gone ' "$dir/out" || fail "what became of them: $(cat "$dir/out")"
kill -TERM "${pids[1]}"
wait "${pids[1]}" || fail "n1 ended with status $?"
unset 'pids[1]'
echo "passed"
