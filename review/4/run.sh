#!/usr/bin/env bash
# Runs the case. With TROUBLE=0 it leaves out the disruption.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review-standin ] && [ -x target/chestnuttiller ] || { echo "build the program and run review/build.sh first"; exit 2; }
exec target/review-standin large-bodies review/4
