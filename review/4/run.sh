#!/usr/bin/env bash
# Plays the case and writes record.txt. Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 plays it without the disruption.
cd "$(dirname "$0")" || exit 2
[ -x ../bin/harness ] && [ -x ../../target/carobedge ] || { echo "run review/build.sh and the build of deploy/system.toml first" >&2; exit 2; }
exec ../bin/harness -case part -program ../../target/carobedge -record record.txt
