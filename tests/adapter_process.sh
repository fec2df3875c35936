#!/usr/bin/env bash
# Runs the adapter as a process: checks exit status and error line for valid and malformed input, and a reply.
set -u
adapter=$1
failed=0

expect() {  # name, wanted status, wanted text on standard error, input as printf escapes
  local output status
  output=$(printf "$4" | timeout 10 "$adapter" 2>&1 >/dev/null)
  status=$?
  if [ "$status" -ne "$2" ] || [ "$(printf '%s' "$output" | wc -l)" -gt 0 ] ||
    ! [[ $output =~ $3 ]]; then
    echo "FAILED $1: status $status, output: $output"
    failed=1
  fi
}

expect "end of input" 0 '^$' ''
expect "an empty batch" 0 '^$' '\x10\0\0\0\0\0\0\0\0\0\0\0\0\0\0\0'
expect "input ends within the header" 1 'input ends within a frame' '\x10\0\0'
expect "input ends within the body" 1 'input ends within a frame' '\x20\0\0\0\0\0\0\0\0\0\0\0\x01\0\0\0\x07'
expect "a length below the header" 1 'shorter than its header' '\x04\0\0\0\0\0\0\0\0\0\0\0\0\0\0\0'
expect "a length above the limit" 1 'over 1 GiB' '\xff\xff\xff\xff\0\0\0\0\0\0\0\0\0\0\0\0'
expect "an unknown code" 1 'unknown record code 99' '\x11\0\0\0\0\0\0\0\0\0\0\0\x01\0\0\0\x63'
expect "an unknown instance" 1 'instance 3, which is not open' \
  '\x1e\0\0\0\0\0\0\0\0\0\0\0\x02\0\0\0\x0c\x03\0\0\0\x07\x4d\0\0\0\0\0\0\0'
expect "malformed settings" 1 'settings: a line is not path=value' \
  '\x25\0\0\0\0\0\0\0\0\0\0\0\x02\0\0\0\x0c\x03\0\0\0\x01\0\0\0\0\0\0\0\0\x03\0\0\0abc'

expect_reply() {
  local reply
  reply=$(printf '\x10\0\0\0\0\0\0\0\0\0\0\0\0\0\0\0' | timeout 10 "$adapter" | od -An -tx1 | tr -d ' \n')
  [ "$reply" = 0000000008000000 ] || { echo "FAILED reply to an empty batch: $reply"; failed=1; }
}
expect_reply
exit $failed
