#!/usr/bin/env bash
# Nobody reads what a process logs, and the pipe is full: it serves on, and tells later how much was left out.
set -euo pipefail
program=$1
dir=$(mktemp -d)
pid=
trap '[ -z "$pid" ] || kill -KILL "$pid" 2>/dev/null || true; rm -rf "$dir"' EXIT
fail() {
  echo "FAILED: $*" >&2
  exit 1
}
host=127.78.2.$((RANDOM % 200 + 2))
cat >"$dir/settings.toml" <<TOML
nodeName = "edge"
ipAddress = "$host"
zoneName = "a"
innerPortRange = [27120,27130]
seedNodes = ["127.78.2.1:28729"]
firstStart = false
beatMs = 400
[listenAddrs]
frontDoor = "$host:28726"
readyCheck = "$host:28723"
[limits]
memoryMb = 256
fileLimit = 1024
[ruleBounds]
gracePeriodS = 4
retryRatio = 0.2
retrySlack = 56
retryWindowS = 10
TOML
mkfifo "$dir/pipe"
exec 3<>"$dir/pipe"
# A pipe holds 64 KB; what is there first is not the process's.
head -c 65536 /dev/zero | tr '\0' '.' >&3
"$program" serve --settings "$dir/settings.toml" >&3 2>&3 &
pid=$!
answers() {
  timeout 2 bash -c "exec 5<>/dev/tcp/$host/28723; printf 'GET /pearspar/$1 HTTP/1.1\r\nHost: x\r\n\r\n' >&5; cat <&5" \
    2>/dev/null || true
}
for _ in $(seq 100); do
  answers ready | grep -q '^HTTP/1.1 503' && break
  sleep 0.05
done
answers ready | grep -q '^HTTP/1.1 503' || fail "the process stands still"
answers metrics | grep -q '^altavia_log_lines_dropped_total{.*} [1-9]' || fail "what was dropped is not counted"
answers failures | grep -q '"failures":\[' || fail "failures are not told"
# The pipe is read again: the next line tells.
head -c 65536 <&3 >/dev/null
kill -HUP "$pid"
timeout 5 head -1 <&3 | grep -q '"dropped":[1-9]' || fail "the next line does not tell"
kill -TERM "$pid"
for _ in $(seq 100); do
  kill -0 "$pid" 2>/dev/null || break
  sleep 0.05
done
wait "$pid" || fail "it ended with status $?"
pid=
echo "1 passed, 0 failed"
