#!/usr/bin/env bash
# Runs the tests of all packages with the race detector. The test cache is off, so that every test runs each time.
# Packages run two at a time, because the integration tests start many processes.
set -euo pipefail
cd "$(dirname "$0")"
exec go test -race -count=1 -p 2 -timeout 15m ./... "$@"
