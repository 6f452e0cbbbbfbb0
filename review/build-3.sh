#!/bin/bash
# Builds the stand-ins of the cases 11 to 15 into build/. It needs no network.
set -e
cd "$(dirname "$0")/.."
mkdir -p build
(cd review/standin-3 && GOFLAGS=-mod=mod go build -o ../../build/review3 .)
