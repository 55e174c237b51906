#!/usr/bin/env bash
# Builds the stand-ins and clients that the scripts of the cases start. Needs the Go toolchain and no network.
set -euo pipefail
cd "$(dirname "$0")"
GOWORK=off GOPROXY=off go build -o bin/harness ./harness
