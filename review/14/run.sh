#!/usr/bin/env bash
# A sound server is silent for 1.35 s while a daemon that has just started reloads its settings. Exit status: 1 if the rule was broken, 0 if it
# held, 2 if the case could not run. TROUBLE=0 leaves the silence out.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review-3/harness-3 ] || { echo "run review/build-3.sh first"; exit 2; }
exec target/review-3/harness-3 silent-server review/14
