#!/usr/bin/env bash
# Builds the stand-in that the cases start, from .standin: a module of its own in a folder that the tests and linters of the project pass
# over. It uses only the standard library, so that it needs no network.
set -euo pipefail
cd "$(dirname "$0")/.standin"
mkdir -p ../target
GOWORK=off go build -o ../target/standin .
