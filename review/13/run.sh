#!/usr/bin/env bash
# One of three machines is partitioned from all servers for 10 s. Exit status: 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 leaves the partition out.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review-3/harness-3 ] || { echo "run review/build-3.sh first"; exit 2; }
exec target/review-3/harness-3 cut-off review/13
