#!/usr/bin/env bash
# What the platform asks of the one process that `run` starts, as far as the built program shows it: linked
# dynamically against the C library; nothing of ours starts programs, forks, makes raw system calls, or uses
# io_uring, splice, sendfile or Unix sockets. Libraries that can are held to the list below.
#   check_process.sh PROGRAM [DEPLOY_FILE]
set -euo pipefail
program=$1
deploy=${2:-}
# A symbol as the dynamic table or an archive names it, with or without its version.
barred='^(fork|vfork|_Fork|clone|clone3|daemon|forkpty|execl|execle|execlp|execv|execve|execvp|execvpe|execveat|fexecve'
barred+='|posix_spawnp?|system|popen|wordexp|io_uring_[a-z_]*|splice|tee|vmsplice|sendfile|sendfile64|socketpair|syscall)(@.*)?$'
# Why each is never reached: docs/platform.md.
declare -A known=(
  ["libspdlog.so"]="syscall"
  ["libstdc++.so"]="sendfile syscall"
  ["libabsl_raw_logging_internal.so"]="syscall"
)
faults=0
fault() { echo "process: $*" >&2; faults=$((faults + 1)); }

readelf -lW "$program" | grep -q INTERP || fault "$program: linked statically, no loader is named"
readelf -dW "$program" | grep -q 'NEEDED.*\[libc\.so\.' || fault "$program: not linked against the C library"
imports=$(nm -D --undefined-only "$program" | awk '{print $NF}' | grep -E "$barred" || true)
[ -z "$imports" ] || fault "$program imports" $imports
while read -r library; do
  imports=$(nm -D --undefined-only "$library" | awk '{print $NF}' | grep -E "$barred" | sed 's/@.*//' || true)
  [ -n "$imports" ] || continue
  name=$(basename "$library"); name=${name%%.so*}.so
  for symbol in $imports; do
    [[ " ${known[$name]:-} " == *" $symbol "* ]] || fault "$library imports $symbol, which docs/platform.md does not explain"
  done
done < <(ldd "$program" | awk '$3 ~ /^\// && $3 !~ /\/(libc|libasan|libubsan)\.so/ {print $3}')

if [ -n "$deploy" ]; then
  run=$(sed -n 's/^run = "\(.*\)"$/\1/p' "$deploy")
  [[ "$run" =~ ^exec\ [^\;\&\|]+$ ]] || fault "$deploy: run is '$run', wanted one program by exec"
  root=$(cd "$(dirname "$deploy")/.." && pwd)
  folders=$(sed -n 's/^node = \[\(.*\)\]$/\1/p' "$deploy" | tr -d '",')
  for folder in $folders; do
    [ -e "$root/$folder" ] || { fault "$deploy: node names $folder, which is not there"; continue; }
    if grep -rnE 'AF_UNIX|AF_LOCAL|PF_UNIX|PF_LOCAL|sockaddr_un' "$root/$folder"; then fault "$folder: Unix sockets"; fi
  done
fi
[ "$faults" -eq 0 ] || exit 1
echo "process: $(basename "$program") is one process, linked dynamically, and imports nothing that the platform bars"
