#!/usr/bin/env bash
# Runs the broker as a process: command line, exit status, signals, reload and reuse of its address.
set -euo pipefail
program=$1
dir=$(mktemp -d)
pid=
trap '[ -z "$pid" ] || kill -KILL "$pid" 2>/dev/null || true; rm -rf "$dir"' EXIT

fail() {
  echo "FAILED: $*" >&2
  [ ! -e "$dir/log" ] || cat "$dir/log" >&2
  exit 1
}
expect_status() { # status, command...
  local wanted=$1 got=0
  shift
  "$@" >"$dir/out" 2>&1 || got=$?
  [ "$got" -eq "$wanted" ] || fail "status $got instead of $wanted: $*: $(cat "$dir/out")"
}

config() { # listen address; prints a configuration
  cat <<EOF
{"name":"n3","listen":"$1","discovery":"127.0.0.1:1","seed":"8c1f30d27a5be964",
"limits":{"cores":1.0,"memory_mb":192,"sockets":1024},
"known":{"revision":1,"complete":true,"members":[{"id":"s-0","host_port":"127.0.0.1:1","locality":"a",
"flavor":"m1","cell":0,"phase":"ready","size":1.0,"up_since_ms":0}]},
"settings":{"balancers":1,"classes":[{"aim_s":2.0,"effect":"retryable","give_up_s":4.0,"late_worth":0.3,
"name":"search","worth":5.0}],"counted_by":"request","failure_domains":["a"],"flavors":["m1"],
"limits":{"cancel":true,"connect_timeout_s":0.25,"idle_close_s":15.0,"max_open":200,"max_retry_after_s":2.0,
"max_streams":32,"peers":false,"probes":true,"retry_after":true,"second_copies":true,"try_limit":4},
"me":0,"quantum_s":0.005,"registry_mode":"push","safety":{"fall_multiple":2.0,"fall_s":3.0,
"start_capacity":0.23,"warm_within_s":16.0},"specifics":{"class_floor":[0.4],"class_partial":[0.95],
"fetch_parts":[0],"in_a_row":1,"parts_a_call":1,"sets":1,"slabs":4,"whole_at":[1.0]},
"stats":{"source":"pull"},"weights":"silent","zone":0}}
EOF
}

config 127.0.0.1:0 >"$dir/good.json"
sed 's/"quantum_s":0.005/"quantum_s":"soon"/' "$dir/good.json" >"$dir/bad.json"

expect_status 0 "$program" version
grep -q '^pearspar [0-9]' "$dir/out" || fail "no version: $(cat "$dir/out")"
expect_status 0 "$program" --help
for command in serve check-config version; do
  grep -q "$command" "$dir/out" || fail "--help does not list $command"
done
expect_status 0 "$program" check-config --config "$dir/good.json"
for command in check-config serve; do
  expect_status 2 "$program" "$command" --config "$dir/bad.json"
  grep -q 'quantum_s' "$dir/out" || fail "the invalid key is not named: $(cat "$dir/out")"
  [ "$(wc -l <"$dir/out")" -eq 1 ] || fail "more than one line: $(cat "$dir/out")"
  expect_status 2 env -u GW_CONFIG "$program" "$command"
  expect_status 2 "$program" "$command" --config "$dir/absent.json"
done

start() { # config file; sets pid and port
  : >"$dir/log"
  GW_CONFIG=$1 "$program" serve 2>"$dir/log" &
  pid=$!
  port=
  for _ in $(seq 500); do
    port=$(sed -n 's/.* listens on 127\.0\.0\.1:\([0-9]*\),.*/\1/p' "$dir/log")
    [ -z "$port" ] || return 0
    kill -0 "$pid" 2>/dev/null || fail "the broker ended before it listened"
    sleep 0.02
  done
  fail "the broker does not listen"
}
get() { # path; prints the reply's head
  exec 3<>"/dev/tcp/127.0.0.1/$port"
  printf 'GET %s HTTP/1.1\r\nConnection: close\r\n\r\n' "$1" >&3
  cat <&3
  exec 3>&-
}
stop() { # signal
  kill "-$1" "$pid"
  local got=0
  wait "$pid" || got=$?
  pid=
  [ "$got" -eq 0 ] || fail "status $got after SIG$1"
  grep -q 'ended, counters {.*}$' "$dir/log" || fail "no complete counters in the last log line"
}

start "$dir/good.json"
get /health/ready | grep -q '^HTTP/1.1 200 ' || fail "not ready"
get /counters | grep -q '"queries":0' || fail "no counters"
kill -USR1 "$pid"
for _ in $(seq 500); do
  ! grep -q 'info: counters {' "$dir/log" || break
  sleep 0.02
done
grep -q 'info: counters {' "$dir/log" || fail "no counters on SIGUSR1"
stop TERM

# Reload: a valid configuration takes effect, an invalid one changes nothing, and neither stops the broker.
wait_for_log() { # pattern
  for _ in $(seq 500); do
    ! grep -q "$1" "$dir/log" || return 0
    sleep 0.02
  done
  fail "the log does not contain: $1"
}
cp "$dir/good.json" "$dir/now.json"
start "$dir/now.json"
sed 's/"discovery":"127.0.0.1:1"/"discovery":"127.0.0.1:2"/' "$dir/good.json" >"$dir/now.json"
kill -HUP "$pid"
wait_for_log 'moves from discovery at 127.0.0.1:1 to discovery at 127.0.0.1:2'
cp "$dir/bad.json" "$dir/now.json"
kill -HUP "$pid"
wait_for_log 'quantum_s.*the configuration in force stays'
rm "$dir/now.json"
kill -HUP "$pid"
wait_for_log 'cannot open .*the configuration in force stays'
sed 's/"max_open":200/"max_open":300/' "$dir/good.json" >"$dir/now.json"
kill -HUP "$pid"
wait_for_log 'only with a restart: settings.limits.max_open'
get /health/ready | grep -q '^HTTP/1.1 200 ' || fail "not ready after reloads"
kill -HUP "$pid"
stop TERM

# With few descriptors, idle clients are closed in favour of clients with requests.
(
  ulimit -n 20
  exec env GW_CONFIG="$dir/good.json" "$program" serve 2>"$dir/few.log"
) &
pid=$!
port=
for _ in $(seq 500); do
  port=$(sed -n 's/.* listens on 127\.0\.0\.1:\([0-9]*\),.*/\1/p' "$dir/few.log" 2>/dev/null || true)
  [ -z "$port" ] || break
  sleep 0.02
done
[ -n "$port" ] || fail "the broker does not listen with 20 descriptors"
idle=()
for _ in $(seq 40); do
  exec {one}<>"/dev/tcp/127.0.0.1/$port"
  idle+=("$one")
done
get /counters >"$dir/out"
grep -q '^HTTP/1.1 200 ' "$dir/out" || fail "no response with all descriptors in use"
grep -q '"closed_for_room":[1-9]' "$dir/out" || fail "no idle client was closed: $(cat "$dir/out")"
for one in "${idle[@]}"; do exec {one}>&-; done
kill -TERM "$pid"
wait "$pid" || fail "status $? with 20 descriptors"
pid=

# A second broker on the same address reports the conflict and exits.
start "$dir/good.json"
config "127.0.0.1:$port" >"$dir/same.json"
expect_status 1 "$program" serve --config "$dir/same.json"
grep -q "127.0.0.1:$port" "$dir/out" || fail "the address is not named: $(cat "$dir/out")"

# After SIGKILL with an open client connection, the address can be bound again at once.
exec 4<>"/dev/tcp/127.0.0.1/$port"
kill -KILL "$pid"
wait "$pid" 2>/dev/null || true
start "$dir/same.json"
get /health/live | grep -q '^HTTP/1.1 200 ' || fail "not alive after a restart"
exec 4>&-
stop TERM
start "$dir/same.json"
stop INT
echo "broker process: passed"
