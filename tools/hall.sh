# Sourced: a system on loopback from our own programs. Wants $altavia and $standin; keeps all under $dir, and the ids of
# what it started in $pids. Each machine has an address of its own in 127.0.0.0/8, under $net (127.77); the ports are
# the same on all.
: "${net:=127.77}"
pids=()
declare -A pid_of
end_hall() {
  [ ${#pids[@]} -eq 0 ] || kill -TERM "${pids[@]}" 2>/dev/null || true
  for _ in $(seq 60); do
    local left=0
    for pid in "${pids[@]}"; do kill -0 "$pid" 2>/dev/null && left=1; done
    [ $left -eq 0 ] && break
    sleep 0.1
  done
  [ ${#pids[@]} -eq 0 ] || kill -KILL "${pids[@]}" 2>/dev/null || true
  wait 2>/dev/null || true
}
settings() { # name ip first_start core|edge
  cat <<EOT
nodeName = "$1"
ipAddress = "$2"
zoneName = "a"
innerPortRange = [27120,27130]
seedNodes = ["$net.0.1:28729","$net.0.2:28729","$net.0.3:28729"]
firstStart = $3
beatMs = 400
EOT
  [ "$4" != core ] || echo "dataDir = \"$dir/$1\""
  echo "[listenAddrs]"
  if [ "$4" = core ]; then echo "controlPort = \"$2:28729\""; else
    echo "frontDoor = \"$2:28726\""; echo "readyCheck = \"$2:28723\""; fi
  printf '[limits]\nmemoryMb = 256\nfileLimit = 1024\n[ruleBounds]\ngracePeriodS = 2\nretryRatio = 0.2\nretrySlack = 56\nretryWindowS = 10\n'
}
start() { # name ip first_start core|edge
  settings "$@" >"$dir/$1.toml"
  PEARSPAR_CONFIG="$dir/$1.toml" $altavia serve 2>>"$dir/$1.log" >>"$dir/$1.log" &
  pid_of[$1]=$!
  pids+=($!)
}
start_node() { # name depot options...
  $standin node --at "$members" --depot "$2" --for 120 "${@:3}" >"$dir/$1.log" &
  pid_of[$1]=$!
  pids+=($!)
}
wait_until() { # seconds, what it is, command...
  local limit=$1 what=$2
  shift 2
  for _ in $(seq $((limit * 20))); do
    "$@" >/dev/null 2>&1 && return 0
    sleep 0.05
  done
  echo "hall: $what did not come" >&2
  tail -n 5 "$dir"/*.log >&2
  exit 1
}
edge_ready() { exec 3<>"/dev/tcp/$1/28723" && printf 'GET /pearspar/ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n' >&3 && head -1 <&3 | grep -q ' 200 '; }
configuration() { # edition shards...
  local edition=$1
  shift
  local shards depots
  shards=$(printf ',"%s"' "$@")
  depots=$(printf ',{"name":"%s","healthPath":"/health","connLimit":72}' "$@" plain)
  echo "{\"edition\":$edition,\"postalRoutes\":[{\"name\":\"g\",\"hostName\":\"hall.example\",\"pathPrefix\":\"/g/\",\"lineKind\":\"safe\",\"deadlineMs\":1000,\"targetMs\":150,\"precedence\":1,\"gatherFrom\":[${shards:1}],\"tries\":2,\"topN\":20,\"minShare\":0.5},{\"name\":\"s\",\"hostName\":\"hall.example\",\"pathPrefix\":\"/s/\",\"lineKind\":\"safe\",\"deadlineMs\":1000,\"targetMs\":150,\"precedence\":2,\"depot\":\"plain\",\"tries\":2}],\"depots\":[${depots:1}],\"limits\":{}}"
}
members="$net.0.1:28729,$net.0.2:28729,$net.0.3:28729"
