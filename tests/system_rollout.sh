#!/usr/bin/env bash
# Roll-outs with real processes: bad and good versions under traffic, the leader killed at each step, a majority of the
# core stopped for a while, a restart of all members. On addresses of its own, so that it may run beside other tests.
set -euo pipefail
altavia=$1 standin=$2
cd "$3"
dir=$(mktemp -d)
net=127.$((96 + $$ % 60))
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
edges="$net.1.1:28726,$net.1.2:28726"
in_state() { op rollout status shard0 | grep -q " $1 "; }
has_ended() { in_state delivered || in_state returned; }
share_moved() { ! op rollout status shard0 | grep -q ' in_transit .* 0\.00 '; }
kill_leader() {
  local leader name
  leader=$(op leader)
  name=core${leader#"$net".0.}
  name=${name%%:*}
  kill -KILL "${pid_of[$name]}"
  start "$name" "${leader%%:*}" false core
}
order() { # edition, then options of its servers
  wants 0 op rollout start shard0 "$1" 10
  says "shard0 to $1: "
  new=()
  for n in 1 2 3 4; do
    start_node "$1-$n" shard0 --edition "$1" "${@:2}"
    new+=("${pid_of[$1-$n]}")
  done
}
finish() { # state that is wanted
  wait_until 14 "the end of the roll-out" has_ended
  wants 0 op rollout status shard0
  in_state "$1" || { echo "'$1' is wanted:" >&2; cat "$dir/out" >&2; exit 1; }
  if [ "$1" = delivered ]; then
    kill -KILL "${old[@]}"
    old=("${new[@]}")
  else
    kill -TERM "${new[@]}"
  fi
  wants 0 $standin ask --at "$edges" --path /g/x -n 50
}

for n in 1 2 3; do start "core$n" "$net.0.$n" true core; done
for n in 1 2; do start "edge$n" "$net.1.$n" true edge; done
wait_until 20 "a leader" op leader
wants 0 op config put <(configuration 1 shard0)
old=()
for n in 1 2 3 4; do
  start_node "v1-$n" shard0
  old+=("${pid_of[v1-$n]}")
done
for n in 1 2; do wait_until 20 "edge $n" edge_ready "$net.1.$n"; done
wait_until 20 "all nodes" sh -c "$altavia --at $members nodes | grep -c at_post | grep -qx 4"
sleep 1.5 # the list of nodes is complete then, and the version that serves is recorded
clients=()
for at in "$edges" "$net.1.2:28726,$net.1.1:28726" "$edges" "$net.1.2:28726,$net.1.1:28726"; do
  (while :; do $standin ask --at "$at" --path /g/x -n 200 >/dev/null || true; done) &
  clients+=($!)
  pids+=($!)
done

# What is refused says why.
wants 3 op rollout status; says "no roll-out was ordered"
wants 3 op rollout why shard0; says "no roll-out was ordered"
wants 3 op rollout start nowhere v2 10; says "422 depot: "
wants 3 op rollout start shard0 "" 10; says "400 targetEdition: is empty"
wants 2 op rollout start shard0 v2 soon; says "is no number of seconds"

# A bad version; the leader dies right after the order.
order v2 --fail-share 0.5
kill_leader
wants 0 op rollout start shard0 v2 10 # the same again
wants 3 op rollout start shard0 v3 10; says "409 a roll-out to v2 is under way"
finish returned
wants 0 op rollout why shard0; says "convicted: "

# A good one; the leader dies while it is observed, and once more while shares are moved.
order v3
wait_until 8 "a vote" sh -c "$altavia --at $members rollout why shard0 | grep -q '^[0-9a-f]\{16\} '"
wants 0 op rollout why shard0; says "evidence"
kill_leader
wait_until 14 "the first share" share_moved
kill_leader
finish delivered
wants 0 op rollout why shard0; says "shard0 to v3: delivered"

# A bad one; two of three members stand still for a while, then all are killed and come back.
order v4 --fail-share 0.3
sleep 0.5
kill -STOP "${pid_of[core1]}" "${pid_of[core2]}"
sleep 1
kill -CONT "${pid_of[core1]}" "${pid_of[core2]}"
for n in 1 2 3; do kill -KILL "${pid_of[core$n]}"; done
for n in 1 2 3; do start "core$n" "$net.0.$n" false core; done
wait_until 20 "agreement" op status
finish returned

# All are killed right after an order, which is known afterwards.
order v5
for n in 1 2 3; do kill -KILL "${pid_of[core$n]}"; done
for n in 1 2 3; do start "core$n" "$net.0.$n" false core; done
wait_until 20 "agreement" op status
wants 0 op rollout status shard0; says " v5 "
finish delivered
grep -q '"event":"rollout","depot":"shard0","edition":"v5","state":"delivered"' "$dir"/core*.log
kill -KILL "${clients[@]}" 2>/dev/null || true
echo "roll-outs: all steps held"
