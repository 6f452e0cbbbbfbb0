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
if [ -n "$skip" ]; then
  args+=(-skip "$skip")
fi
go vet ./...
go test "${args[@]}" ./...
