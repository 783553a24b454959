#!/usr/bin/env bash
# Builds the stand-ins of the second review, cases 6 to 10, to target/review2. They need the standard library only.
set -euo pipefail
cd "$(dirname "$0")/.rig2"
mkdir -p ../../target/review2
CGO_ENABLED=0 GOFLAGS=-mod=readonly GOPROXY=off GOTOOLCHAIN=local go build -o ../../target/review2/rig .
