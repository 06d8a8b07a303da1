#!/usr/bin/env bash
# Builds the stand-ins of the second review's scripts into target/. It needs no network.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target
cd review/harness-2
go build -buildvcs=false -o ../../target/harness2 .
