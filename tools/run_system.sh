#!/usr/bin/env bash
# The system on loopback: three members, two edges, stand-in index servers; a configuration, a change, a node drained,
# the leader killed, a member's disk lost. Ends by itself. Wants the folder with the built programs.
set -euo pipefail
cd "$(dirname "$0")/.."
altavia=$1/altavia standin=$1/altavia-standin
dir=$(mktemp -d)
. tools/hall.sh
trap 'end_hall; rm -rf "$dir"' EXIT
trap 'exit 130' INT TERM
ask() { $standin ask --at 127.77.1.1:28726,127.77.1.2:28726 --path "$1" -n "${2:-5}"; }

echo "starting three members of the core and two edges"
for n in 1 2 3; do start "core$n" "127.77.0.$n" true core; done
for n in 1 2; do start "edge$n" "127.77.1.$n" true edge; done
wait_until 10 "a leader" $altavia --at $members leader
echo "starting six index servers, and putting a configuration"
for n in 0 1 2 3; do start_node "node$n" "shard$((n % 2))"; done
for n in 4 5; do start_node "node$n" plain; done
configuration 1 shard0 shard1 >"$dir/one.json"
$altavia config check "$dir/one.json"
$altavia --at $members config put "$dir/one.json"
for n in 1 2; do wait_until 10 "edge $n" edge_ready "127.77.1.$n"; done
wait_until 10 "all nodes" sh -c "$altavia --at $members nodes | grep -c at_post | grep -qx 6"
echo; $altavia --at $members status; echo; $altavia --at $members nodes
echo; echo "gathered requests, and plain ones"; ask /g/x; ask /s/x
echo; echo "a change: the configuration gets another edition"
configuration 5 shard0 shard1 >"$dir/five.json"
$altavia --at $members config diff "$dir/five.json" || true
$altavia --at $members config put "$dir/five.json"
$altavia --at $members config put "$dir/one.json" || echo "(status $?: it does not rise)"
echo; echo "one index server is drained by hand, one leaves by itself"
drained=$(sed -n 's/ serves .*//p' "$dir/node0.log")
$altavia --at $members drain "$drained"
kill -TERM "${pid_of[node4]}"
sleep 0.5
ask /g/x 20; ask /s/x 20
echo; leader=$($altavia --at $members leader)
name=core${leader#127.77.0.}; name=${name%%:*}
echo "the leader ($leader) is killed, and comes back without its disk"
kill -KILL "${pid_of[$name]}"
rm -rf "${dir:?}/$name"
ask /g/x 20
wait_until 10 "another leader" sh -c "$altavia --at $members status | grep -q ' yes '"
start "$name" "${leader%%:*}" false core
wait_until 15 "agreement" $altavia --at $members status
$altavia --at $members status
$altavia --at $members config history
$altavia --at $members snapshot save "$dir/kept.json"
echo; echo "what the members had to say"; cut -c1-180 "$dir"/core*.log
echo; echo "the system ends"
