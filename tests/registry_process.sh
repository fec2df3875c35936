#!/usr/bin/env bash
# The registry's command line, the operator's file and a registered broker as processes, against stand-ins.
set -euo pipefail
program=$1 standin=$2 root=$3
dir=$(mktemp -d)
pids=()
trap '[ ${#pids[@]} -eq 0 ] || kill -KILL "${pids[@]}" 2>/dev/null || true; rm -rf "$dir"' EXIT

fail() {
  echo "FAILED: $*" >&2
  [ ! -e "$dir/log" ] || cat "$dir/log" >&2
  exit 1
}
expect_status() { # status, command...
  local wanted=$1 got=0
  shift
  "$@" >"$dir/out" 2>"$dir/err" || got=$?
  [ "$got" -eq "$wanted" ] || fail "status $got instead of $wanted: $*: $(cat "$dir/out" "$dir/err")"
}
says() { grep -q -- "$1" "$dir/out" "$dir/err" || fail "nothing says '$1': $(cat "$dir/out" "$dir/err")"; }
wait_for() { # file, pattern
  for _ in $(seq 500); do
    grep -q -- "$2" "$1" 2>/dev/null && return 0
    sleep 0.02
  done
  fail "$1 does not say '$2': $(cat "$1")"
}

expect_status 0 "$program" check-config --options "$root/deploy/options.example.textproto"
printf 'membership {\n  registry {\n    dialect: ETCD\n    endpoints: "nowhere"\n  }\n}\n' >"$dir/bad"
expect_status 2 "$program" check-config --options "$dir/bad"
says "$dir/bad:4:5: membership.registry.endpoints\[0\]: 'nowhere' is no address"
expect_status 2 "$program" registry get
says 'no registry is named'
expect_status 1 "$program" registry get --endpoint 127.0.0.1:1 --timeout 0.3
says 'did not answer in time'

for dialect in etcd consul; do
  $standin registry --dialect $dialect --members 2 --for 60 >"$dir/registry.$dialect" &
  pids+=($!)
  wait_for "$dir/registry.$dialect" 'listens'
  for _ in $(seq 100); do [ "$(wc -l <"$dir/registry.$dialect")" -ge 2 ] && break; sleep 0.02; done
  mapfile -t members < <(sed -n 's/^listens on //p' "$dir/registry.$dialect")
  at=(--dialect $dialect --endpoint 127.0.0.1:1 --endpoint "${members[0]}" --endpoint "${members[1]}")

  expect_status 0 "$program" registry get "${at[@]}"
  says 'no nodes'
  expect_status 0 "$program" registry put-node s-1 "${at[@]}" --address 10.0.0.1:3000 --cell 3 --zone a --if-absent
  expect_status 3 "$program" registry put-node s-1 "${at[@]}" --address 10.0.0.1:3000 --cell 3 --if-absent
  says 'is there already'
  expect_status 2 "$program" registry put-node s-2 "${at[@]}" --address nowhere --cell 3
  expect_status 0 "$program" registry drain s-1 "${at[@]}"
  says 'draining'
  expect_status 0 "$program" registry get --json "${at[@]}"
  says '"phase":"draining"'
  expect_status 0 "$program" registry ready s-1 "${at[@]}"
  expect_status 3 "$program" registry drain s-9 "${at[@]}"
  says 'there is no'
  "$program" registry watch --json --for 20 "${at[@]}" >"$dir/watch" 2>/dev/null &
  watch=$!
  wait_for "$dir/watch" '"id":"s-1"'
  expect_status 0 "$program" registry remove s-1 "${at[@]}"
  wait_for "$dir/watch" '"phase":"gone"'
  kill -INT $watch
  wait $watch || fail "watch ends with status $?"
  expect_status 3 "$program" registry remove s-1 "${at[@]}"
done

# A broker that follows and is registered; an ordered end withdraws it.
mapfile -t members < <(sed -n 's/^listens on //p' "$dir/registry.etcd")
at=(--endpoint "${members[0]}")
"$program" registry put-node s-1 "${at[@]}" --address 127.0.0.1:1 --cell 0 >/dev/null
cat >"$dir/options" <<EOF
membership { registry { dialect: ETCD endpoints: "${members[0]}" endpoints: "${members[1]}" } }
registration { zone: "a" lease_s: 2 }
log { form: JSON }
EOF
sed 's/@NAME@/n1/' "$root/deploy/quick.example.json" >"$dir/config"
"$program" serve --config "$dir/config" --options "$dir/options" 2>"$dir/log" &
broker=$!
pids+=($broker)
wait_for "$dir/log" '1 nodes at revision'
wait_for "$dir/log" 'registered under /pearspar/brokers/n1'
grep -qv '^{"time":' "$dir/log" && fail 'a line of the log is no JSON object'
expect_status 0 "$program" registry get "${at[@]}" --prefix /pearspar/brokers/
says '^ .* n1 '
echo 'membership { registry { dialect: ETCD } }' >"$dir/options"
kill -HUP $broker
wait_for "$dir/log" 'the options in force stay'
kill -TERM $broker
wait $broker || fail "the broker ends with status $?"
expect_status 0 "$program" registry get "${at[@]}" --prefix /pearspar/brokers/
says 'no nodes'
echo "registry_process: passed"
