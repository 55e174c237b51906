#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the cases 11 to 15 start. Run it after the build of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/harness-3"
mkdir -p ../../target/review-3
go build -o ../../target/review-3/harness-3 .
