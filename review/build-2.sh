#!/usr/bin/env bash
# Builds the stand-ins and callers of the cases 6 to 9 into target/review-2. Needs no network: the module has no dependency.
set -euo pipefail
cd "$(dirname "$0")/harness-2"
mkdir -p ../../target/review-2
GOWORK=off go build -o ../../target/review-2/rig .
