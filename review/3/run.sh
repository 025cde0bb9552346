#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves out the disruption.
set -u
cd "$(dirname "$0")/../.." || exit 2
program=target/review/release/review-standins
[[ -x $program && -x target/release/almondpass-instance ]] || { echo "build first: review/build.sh"; exit 2; }
exec "$program" waiting-start "$PWD" review/3
