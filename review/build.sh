#!/bin/bash
# Builds the stand-ins that the scripts of the cases start. The project's own program is
# built by the command of deploy/system.toml.
set -e
cd "$(dirname "$0")/standin"
mkdir -p ../bin
GOWORK=off go build -o ../bin/standin .
