#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the review start. The program itself is built by the line in deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/standin"
GOWORK=off GOFLAGS=-buildvcs=false go build -o ../../target/review-standin .
