#!/usr/bin/env bash
# Runs all tests except those listed in KNOWN-RED.txt, which it prints.
# A line of KNOWN-RED.txt that starts with "skip: " names a test as a regular expression.
set -euo pipefail
skip=""
if [ -f KNOWN-RED.txt ]; then
  echo "Known failures, not run:"
  cat KNOWN-RED.txt
  skip=$(sed -n 's/^skip: //p' KNOWN-RED.txt | paste -sd'|' -)
fi
args=(-count=1 -timeout 6m)
# Tests that bound the memory of processes run afterwards, one at a time and apart from
# other load.
apart='^TestUntrustedCallers'
go vet ./...
go test "${args[@]}" -skip "$apart${skip:+|$skip}" ./...
if [ -n "$skip" ]; then
  args+=(-skip "$skip")
fi
go test "${args[@]}" -p 1 -run "$apart" ./platform/soak ./scenarios
