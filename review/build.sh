#!/usr/bin/env bash
# Builds the stand-in that the cases start. It uses only the standard library, so that it needs no network.
set -euo pipefail
cd "$(dirname "$0")/standin"
mkdir -p ../target
GOWORK=off go build -o ../target/standin .
