#!/usr/bin/env bash
# What an edge tells that knows of a newer configuration and does not receive it: it says when it begins to refuse, and
# how the configuration came in the end. On addresses of its own, so that it may run beside other tests.
set -euo pipefail
altavia=$1
cd "$2"
dir=$(mktemp -d)
net=127.$((80 + $$ % 60))
. tools/hall.sh
cores() { kill "-$1" "${pid_of[core1]}" "${pid_of[core2]}" "${pid_of[core3]}"; }
trap 'cores CONT 2>/dev/null || true; end_hall 2>/dev/null; rm -rf "$dir"' EXIT
op() { $altavia --at $members "$@"; }
logged() { grep -q -- "$1" "$dir/edge1.log"; }
edge_get() { # path, and the port where it is not that of the readiness check
  exec 3<>"/dev/tcp/$net.1.1/${2:-28723}"
  printf 'GET %s HTTP/1.1\r\nHost: hall.example\r\nRequest-Id: late-1\r\nConnection: close\r\n\r\n' "$1" >&3
  cat <&3
}
tells() { # path, pattern
  edge_get "$1" >"$dir/out"
  grep -q -- "$2" "$dir/out" || { echo "$1 does not tell '$2':" >&2; cat "$dir/out" "$dir/edge1.log" >&2; exit 1; }
}

for n in 1 2 3; do start "core$n" "$net.0.$n" true core; done
start edge1 "$net.1.1" true edge
wait_until 20 "a leader" op leader
configuration 3 shard0 >"$dir/small.json"
op config put "$dir/small.json" >/dev/null
wait_until 10 "edition 3" logged '"event":"configuration","edition":3,.*"from":"leader_'
tells /pearspar/metrics '^altavia_configuration_behind{.*} 0'
tells /pearspar/metrics '^altavia_configuration_from{.*source="leader_.*} 1'
tells /pearspar/metrics '^altavia_configuration_age_seconds{.*} [0-9]'
if logged configuration_late; then echo "what came at once is told as late" >&2; exit 1; fi

# A large configuration is announced first and then requested. All members are stopped between the two. Where the
# machine was too busy for that, it is tried again with another configuration.
large() { # edition
  configuration "$1" shard0 | sed "s/\"deadlineMs\":1000/&$(printf '%40000s' '')/"
}
caught=
for edition in 5 7 9 11 13; do
  large $edition >"$dir/large.json"
  op config put "$dir/large.json" >/dev/null
  cores STOP
  sleep 0.3
  if ! logged "\"event\":\"configuration\",\"edition\":$edition,"; then caught=$edition; break; fi
  cores CONT
  configuration $((edition + 1)) shard0 >"$dir/small.json"
  wait_until 20 "a small configuration" op config put "$dir/small.json"
  wait_until 10 "it at the edge" logged "\"event\":\"configuration\",\"edition\":$((edition + 1)),"
done
[ -n "$caught" ] || { echo "the edge received each configuration before its members were stopped" >&2; exit 1; }
wait_until 5 "the refusal" logged "\"event\":\"configuration_outdated\",.*\"newest\":$caught,"
tells /pearspar/metrics '^altavia_configuration_behind{.*} 1'
tells /pearspar/metrics '^altavia_configuration_behind_seconds{.*} [1-9]'
for _ in 1 2 3; do
  edge_get /s/x 28726 >"$dir/out"
  grep -q '^HTTP/1.1 503' "$dir/out" || { cat "$dir/out" >&2; exit 1; }
done
tells /pearspar/metrics '^altavia_outdated_refused_total{.*} 3'
tells /pearspar/failures '"reason":"outdated_configuration"'
cores CONT
wait_until 20 "the late configuration" logged "\"event\":\"configuration_late\",\"edition\":$caught,.*\"refused\":3"
tells /pearspar/metrics '^altavia_configuration_behind{.*} 0'
[ "$(grep -c '"event":"configuration_outdated"' "$dir/edge1.log")" -eq 1 ]
[ "$(grep -c '"event":"configuration_late"' "$dir/edge1.log")" -eq 1 ]
grep '"event":"configuration_' "$dir/edge1.log"
echo "late configuration: all steps held"
