#!/usr/bin/env bash
# The program as processes on loopback: the operators' commands and their exit statuses, bad settings, signals, a killed
# leader, a disk that is lost, an edge that drains. Nothing waits for a time; each step waits for what it is about.
set -euo pipefail
altavia=$1 standin=$2
cd "$3"
dir=$(mktemp -d)
. tools/hall.sh
trap 'end_hall; rm -rf "$dir"' EXIT
wants() { # status, command...
  local status=$1 got=0
  shift
  "$@" >"$dir/out" 2>&1 || got=$?
  [ "$got" -eq "$status" ] || { echo "$*: status $got, $status is wanted" >&2; cat "$dir/out" >&2; exit 1; }
}
says() { grep -q -- "$1" "$dir/out" || { echo "does not say '$1':" >&2; cat "$dir/out" >&2; exit 1; }; }
curl_text() { # address path
  exec 3<>"/dev/tcp/${1%%:*}/${1##*:}"
  printf 'GET %s HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n' "$2" >&3
  cat <&3
}
op() { $altavia --at $members "$@"; }

wants 2 $altavia; wants 2 $altavia sing; wants 2 $altavia --loud serve; wants 2 $altavia status; says "no member is named"
wants 2 $altavia serve; says "no settings file"
wants 1 $altavia --at 127.77.0.9:1 --within 0.5 leader
echo 'nodeName = 3' >"$dir/bad.toml"
wants 2 $altavia --settings "$dir/bad.toml" check-settings; says "bad.toml:1:12: nodeName: is no text"

for n in 1 2 3; do start "core$n" "127.77.0.$n" true core; done
start edge1 127.77.1.1 true edge
wait_until 10 "a leader" op leader
wants 3 op config get; says "404"
configuration 3 shard0 >"$dir/three.json"
sed 's/"shard0"\]/"shard9"]/' "$dir/three.json" >"$dir/bad.json"
wants 2 $altavia config check "$dir/bad.json"; says "postalRoutes\[0\].gatherFrom: names no depot"
wants 2 $altavia config check "$dir/none.json"; says "cannot be read"
wants 0 op config put "$dir/three.json"; says "edition 3 is taken on top of 0"
wants 4 op config put "$dir/three.json"; says "was taken before"
sed 's/"deadlineMs":1000/"deadlineMs":900/; s/"edition":3/"edition":4/' "$dir/three.json" >"$dir/four.json"
wants 4 op config diff "$dir/four.json"; says "~ hall.example/g/"
wants 0 op config diff "$dir/three.json"
wants 0 op config put "$dir/four.json"
configuration 2 shard0 >"$dir/two.json"
wants 3 op config put "$dir/two.json"; says "400 edition: does not rise"
wants 0 op config get; cmp "$dir/four.json" "$dir/out"
wants 0 op --for 0.2 --every 0.1 config watch; says "^4  "
wants 0 op config history; says "^3  "
wants 0 op config history 1; says "^4  "
wants 2 op config history many; says "no number of editions"
wants 3 op allowance show; says "no allowance was drawn on"
start_node n0 shard0; start_node n1 shard0; start_node n2 plain
wait_until 10 "the nodes" sh -c "$altavia --at $members nodes | grep -c at_post | grep -qx 3"
wait_until 10 "the edge" edge_ready 127.77.1.1
wants 0 $standin ask --at 127.77.1.1:28726 --path /g/x -n 20
wants 0 $standin ask --at 127.77.1.1:28726 --path /s/x -n 20
wants 1 $standin ask --at 127.77.1.1:28726 --path /other/x -n 1; says 404
wants 0 curl_text 127.77.1.1:28723 /pearspar/metrics; says '^altavia_whole_total{node="edge1",zone="a"} 20'
wants 0 curl_text 127.77.1.1:28723 /pearspar/counters; says '"single":20'
wants 0 curl_text 127.77.0.1:28729 /pearspar/metrics; says '^altavia_edition{.*} 4'
wants 3 op drain i-nobody
wants 0 op drain "$(sed -n 's/ serves .*//p' "$dir/n0.log")"
wants 0 $standin ask --at 127.77.1.1:28726 --path /g/x -n 20
wants 0 op --json nodes; says closing_out

# An edge that takes nothing while a change is acknowledged: status names it and counts it, until it has caught up.
kill -STOP "${pid_of[edge1]}"
wants 0 op config put <(configuration 5 shard0)
names_the_slowest() { op status >"$dir/out"; grep -q "^slowest edge: edge1 in a, edition 4 of 5" "$dir/out"; }
wait_until 2 "the slowest edge" names_the_slowest
leader=$(op leader)
wants 0 curl_text "${leader%%:*}:28729" /pearspar/metrics; says '^altavia_edges_behind{.*} 1'
says '^altavia_followers_longest_wait_seconds{'
kill -CONT "${pid_of[edge1]}"
none_is_slow() { op status >"$dir/out"; ! grep -q "^slowest edge" "$dir/out"; }
wait_until 5 "edge1 with edition 5" none_is_slow

# The leader dies; the edge serves on; a change is taken by the next one.
leader=$(op leader); name=core${leader#127.77.0.}; name=${name%%:*}
old_id=$(op members | grep "${leader%%:*}:" | awk '{print $2}')
kill -KILL "${pid_of[$name]}"
wants 0 $standin ask --at 127.77.1.1:28726 --path /g/x -n 20
wait_until 10 "another leader" sh -c "$altavia --at $members status | grep -q ' yes '"
wants 0 op config put <(configuration 9 shard0)
# It comes back without its disk, and is taken in anew under another id.
rm -rf "${dir:?}/$name"
start "$name" "${leader%%:*}" false core
wait_until 15 "agreement" op status
# It is a follower before it counts: each member that is asked has to know the three.
# Its old id goes by one entry and the new one comes by the next: between them two are counted.
three_with_the_new() {
  local n list
  for n in 1 2 3; do
    list=$($altavia --at "127.77.0.$n:28729" members) || return 1
    [ "$(grep -c 127.77 <<<"$list")" -eq 3 ] && ! grep -qw -- "$old_id" <<<"$list" && grep -q '3 wanted' <<<"$list" || return 1
  done
}
wait_until 15 "three members, the new one among them" three_with_the_new
wants 0 op members; says "3 wanted"
[ "$(grep -c 127.77 "$dir/out")" -eq 3 ]
wants 0 op snapshot save "$dir/kept.json"; says "good: edition 9"
sed 's/"edition":9/"edition":8/' "$dir/kept.json" >"$dir/other.json"
wants 2 $altavia snapshot verify "$dir/other.json"; says "edition: is not the configuration's"
sed 's/hall.example/hell.example/' "$dir/kept.json" >"$dir/spoilt.json"
wants 2 $altavia snapshot verify "$dir/spoilt.json"; says "digest"
sed 's/"format":1/"format":2/' "$dir/kept.json" >"$dir/newer.json"
wants 2 $altavia snapshot verify "$dir/newer.json"; says "format 2, and this program reads 1"

# All are killed and come back; what was acknowledged is there.
for n in core1 core2 core3; do kill -KILL "${pid_of[$n]}"; done
start core1 127.77.0.1 false core
# Alone it tells nothing but when to come back.
wait_until 10 "core1" sh -c "$altavia --at 127.77.0.1:28729 members | grep -q wanted"
wants 0 curl_text 127.77.0.1:28729 /pearspar/config; says "503"; says "Retry-After: 0.200"
for n in 2 3; do start "core$n" "127.77.0.$n" false core; done
wait_until 15 "agreement" op status
wants 0 op config get; says '"edition":9'

# An allowance over the edge, that outlives the core: ten pulls for a firm, whatever is asked for.
configuration 12 shard0 | sed 's/"depot":"plain",/"depot":"plain","allowanceKind":"pull",/; s/"limits":{}}/"limits":{},"allowances":{"windowMs":600000,"holderHeader":"Holder","accounts":[{"firm":"acme","kind":"pull","limit":10}]}}/' >"$dir/twelve.json"
wants 0 op config put "$dir/twelve.json"
wait_until 5 "edition 12" grep -q '"event":"configuration","edition":12' "$dir/edge1.log"
wants 0 $standin ask --at 127.77.1.1:28726 --path /s/x -n 10 --holder acme
wants 1 $standin ask --at 127.77.1.1:28726 --path /s/x -n 1 --holder acme --deadline-ms 300; says 429
wants 0 $standin ask --at 127.77.1.1:28726 --path /s/x -n 3 --holder nobody
for n in core1 core2 core3; do kill -KILL "${pid_of[$n]}"; done
for n in 1 2 3; do start "core$n" "127.77.0.$n" false core; done
wait_until 15 "agreement" op status
wants 0 op allowance show acme; says '1 *acme *pull *10 *10 '
wants 0 op allowance export "$dir/counts.jsonl"; says '1 counts up to position'
grep -q '"signedOff".*"lines":1,' "$dir/counts.jsonl"
wants 1 $standin ask --at 127.77.1.1:28726 --path /s/x -n 1 --holder acme --deadline-ms 300; says 429

# Settings that change: good ones are read, others refused with their place; then an end in order.
sed -i 's/"127.77.0.1:28729",//' "$dir/edge1.toml"
wait_until 5 "the new seeds" grep -q '"event":"settings_read","seeds":2' "$dir/edge1.log"
echo 'zoneName = ' >>"$dir/edge1.toml"
kill -HUP "${pid_of[edge1]}"
wait_until 5 "a refusal" grep -q 'settings_refused.*edge1.toml:' "$dir/edge1.log"
wants 0 $standin ask --at 127.77.1.1:28726 --path /g/x -n 5
kill -TERM "${pid_of[edge1]}"
wait "${pid_of[edge1]}"
for n in 1 2 3; do kill -TERM "${pid_of[core$n]}"; done
for n in 1 2 3; do wait "${pid_of[core$n]}"; done
# A snapshot goes into a core that has nothing.
rm -rf "${dir:?}"/core?
for n in 1 2 3; do start "core$n" "127.77.0.$n" true core; done
wait_until 10 "a leader" op leader
wants 0 op snapshot restore "$dir/kept.json"; says "edition 9 is back"
wants 0 op config get; says '"edition":9'
echo "system processes: all steps held"
